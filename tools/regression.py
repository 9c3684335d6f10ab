#!/usr/bin/env python3
"""Scores the deployments in force and compares their worth with the figures that docs/worth.md keeps.

Usage: tools/regression.py FLEETBENCH KIT [--only NAME,...] [--oldest] [--jobs N] [--why TEXT] > TABLE

  KIT       the folder that holds shifted/, large/, further/, further-grown/, grown/, demands/ and sites/
  --only    these deployments only
  --oldest  also the two oldest ones (sites/), once on the final code of a sitting
  --jobs    days at once; left out: 4
  --why     a line for the journal

Exit codes: 0 all within bounds, 1 a worth fell by more than 0.03, a rule was broken or a gate was lost, 2 a bench, site or
page that cannot be read.
"""

import argparse
import os
import re
import subprocess
import sys

# Processor time is counted, so a smaller change is noise.
FALL_BOUND = 0.03
SCORE_TIMEOUT_S = 1500
IN_FORCE = ("shifted/clcs-orders-now-grown", "large/clcs-orders-large", "further/tidewater-channels",
            "further-grown/tidewater-channels-grown", "grown/clcs-orders-grown", "grown/lintas-hq-grown",
            "demands/pemberton-tm-grown", "demands/asahi-permits-grown")
OLDEST = ("sites/clcs-orders", "sites/lintas-hq")
FIGURES_PAGE = os.path.join(os.path.dirname(__file__), "..", "docs", "worth.md")
FIGURES_HEAD = "## Figures in force"
# A standard day's line of a score: name, hosts and servers, score, worth.
DAY_LINE = re.compile(r"^(quiet|trouble|scale)-(\d+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s")


class Problem(Exception):
    """Something that the user can mend; said in one line."""


def figures_in_force():
    """The figures by deployment: {name: (mean of the days with trouble, quiet day)}."""
    try:
        with open(FIGURES_PAGE, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise Problem(f"{FIGURES_PAGE}: {error.strerror}") from error
    if FIGURES_HEAD not in text:
        raise Problem(f"{FIGURES_PAGE}: no section {FIGURES_HEAD!r}")
    section = text.split(FIGURES_HEAD, 1)[1].split("\n## ", 1)[0]
    rows = re.findall(r"^\| ([\w-]+) \| ([\d.]+) \| ([\d.]+) \|", section, re.MULTILINE)
    return {name: (float(trouble), float(quiet)) for name, trouble, quiet in rows}


def score(options, site):
    """Scores a site; gives its days' worth and whether the gate was passed."""
    command = [options.bench, "score", site, "--jobs", str(options.jobs), "--why", options.why]
    try:
        run = subprocess.run(command, capture_output=True, text=True, timeout=SCORE_TIMEOUT_S, check=False)
    except OSError as error:
        raise Problem(f"{options.bench}: {error.strerror}") from error
    except subprocess.TimeoutExpired as error:
        raise Problem(f"{site}: not scored within {SCORE_TIMEOUT_S} s") from error
    days = {}
    for line in run.stdout.splitlines():
        found = DAY_LINE.match(line)
        if found:
            days[f"{found[1]}-{found[2]}"] = float(found[3])
    if not days:
        said = (run.stdout + run.stderr).strip().splitlines() or ["nothing said"]
        raise Problem(f"{site}: not scored: {said[-1][:200]}")
    broken = [line.strip() for line in run.stdout.splitlines() if "rule broken" in line or "broke" in line.split(":")[0]]
    return days, "GATE passed" in run.stdout, broken


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def check(options, name, kept):
    """Scores one deployment; prints its row and gives whether it holds."""
    site = os.path.join(options.kit, f"{name}.toml")
    days, passed, broken = score(options, site)
    label = os.path.basename(name)
    trouble = mean(worth for day, worth in days.items() if not day.startswith("quiet"))
    quiet = mean(worth for day, worth in days.items() if day.startswith("quiet"))
    before = kept.get(label)
    falls = before is not None and (trouble < before[0] - FALL_BOUND or quiet < before[1] - FALL_BOUND)
    verdict = "gate lost" if not passed else "fell" if falls else "holds" if before else "no figure kept"
    each = ", ".join(f"{day} {worth:.3f}" for day, worth in sorted(days.items()))
    shown = f"{before[0]:.3f}, {before[1]:.3f}" if before else ""
    print(f"| {label} | {trouble:.3f} | {quiet:.3f} | {shown} | {verdict} | {each} |", flush=True)
    for line in broken:
        print(f"{label}: {line}", file=sys.stderr)
    return passed and not falls


def parse_options():
    parser = argparse.ArgumentParser(add_help=True, usage=__doc__)
    parser.add_argument("bench")
    parser.add_argument("kit")
    parser.add_argument("--only", type=lambda text: text.split(","), default=[])
    parser.add_argument("--oldest", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="regression run")
    return parser.parse_args()


def main():
    options = parse_options()
    kept = figures_in_force()
    names = IN_FORCE + (OLDEST if options.oldest else ())
    if options.only:
        names = [name for name in IN_FORCE + OLDEST if os.path.basename(name) in options.only]
    print("| deployment | days with trouble | quiet day | kept | verdict | days |")
    print("| --- | --- | --- | --- | --- | --- |")
    results = [check(options, name, kept) for name in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Problem as problem:
        print(f"regression.py: {problem}", file=sys.stderr)
        sys.exit(2)
