#!/usr/bin/env python3
"""Plays each kind of trouble alone, early and late, and prints a table of what came of it.

Usage: tools/troubles.py FLEETBENCH SITE [JOBS] > TABLE

The kinds and their variants are read from what `FLEETBENCH kinds SITE` lists and from the site's own
list of troubles, so that new ones are played without a change here. The days go to a temporary folder.
"""

import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib

MOMENTS_S = (2.0, 15.0)  # early, and in the middle of a day
CLOSINGS = ("power_off_all", "kill_all")
PLANNED = {"add_nodes", "roll_term", "scale_in", "scale_out", "release", "config_change",
           "config_storm", "big_config", "hup"}
# Words of the list that are no variants of their own.
NO_VARIANTS = {"how", "and", "or", "with", "of", "all", "them", "for", "they", "are", "x", "s", "after",
               "the", "on", "a", "these", "is", "lose", "off", "killed", "share", "cut"}
DAY_TIMEOUT_S = 120


def listed_kinds(bench, site):
    """Kinds and variants as the bench lists them: {kind: [variant, ...]}."""
    text = subprocess.run([bench, "kinds", site], capture_output=True, text=True).stdout
    kinds = {}
    for line in text.splitlines():
        found = re.match(r"([a-z_]+): (.*)", line)
        if not found or " " in found[1]:
            continue
        kind, meaning = found[1], found[2]
        variants = [""]
        how = re.search(r"\bhow:? (.*)", re.sub(r"\([^()]*\)", "", meaning))
        if how:
            words = re.findall(r"[a-z_]+", how[1].split(":")[0] if ":" in how[1][:12] else how[1])
            variants += [word for word in words if word not in NO_VARIANTS][:8]
        kinds.setdefault(kind, []).extend(v for v in variants if v not in kinds.get(kind, []))
    return {kind: variants for kind, variants in kinds.items() if kind not in ("for_s", "zone", "closing")}


def entry_text(entry):
    fields = (f"{key} = {json.dumps(value)}" for key, value in entry.items())
    return "{ " + ", ".join(fields) + " }"


def day_text(quiet, name, entry, closing):
    plan = [entry] if entry and entry["kind"] in PLANNED else []
    faults = [entry] if entry and not plan else []
    lines = ["[[day]]", f"name = {json.dumps(name)}", f"seed = {quiet['seed']}"]
    if closing:
        lines += [f'closing = {{ kind = "{closing}", down_s = 1.0 }}', "length_s = 41.0"]
    for key, entries in (("plan", plan), ("faults", faults)):
        lines.append(f"{key} = [" + ", ".join(entry_text(one) for one in entries) + "]")
    return "\n".join(lines) + "\n"


def entries(bench, site, spec):
    """All troubles to play: the site's own, and each listed kind with each variant."""
    for trouble in spec["troubles"]:
        yield dict(trouble)
    known = {(one["kind"], one.get("how", "")) for one in spec["troubles"]}
    for kind, variants in listed_kinds(bench, site).items():
        for how in variants:
            if (kind, how) not in known:
                yield {"kind": kind, **({"how": how} if how else {})}


def play(bench, site, folder, number, text):
    day = os.path.join(folder, f"day-{number}.toml")
    report = os.path.join(folder, f"day-{number}.json")
    with open(day, "w", encoding="utf-8") as file:
        file.write(text)
    command = [bench, "run", site, day, "--no-cpu", "--jobs", "1", "--report", report,
               "--why", "each kind of trouble alone"]
    try:
        run = subprocess.run(command, capture_output=True, text=True, timeout=DAY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return None, "timed out"
    if not os.path.exists(report):
        return None, (run.stdout + run.stderr).strip().splitlines()[-1][:60]
    with open(report, encoding="utf-8") as file:
        return json.load(file), ""


def main():
    bench, site = sys.argv[1:3]
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else 4
    with open(site, encoding="utf-8") as file:
        # What follows the site's tables is sealed.
        text = file.read().split("\n[[day]]")[0]
        spec = tomllib.loads(text)
    with open(site, encoding="utf-8") as file:
        quiet = {"seed": int(re.search(r"\[\[day\]\].*?seed = (\d+)", file.read(), re.S)[1])}
    days = [("quiet", "", "", None)]
    for one in entries(bench, site, spec):
        for moment in MOMENTS_S:
            days.append((one["kind"], one.get("how", ""), moment, {**one, "at": moment}))
    days += [("closing", kind, "end", None) for kind in CLOSINGS]
    with tempfile.TemporaryDirectory() as folder:
        def job(item):
            number, (kind, how, moment, entry) = item
            closing = how if kind == "closing" else None
            return play(bench, site, folder, number, day_text(quiet, f"single-{number}", entry, closing))

        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            results = list(pool.map(job, enumerate(days)))
    base = results[0][0]["G"] if results[0][0] else 0.0
    print("| kind | how | at s | rules broken | worth | against quiet |\n| --- | --- | --- | --- | --- | --- |")
    for (kind, how, moment, _), (report, problem) in zip(days, results):
        if report is None:
            print(f"| {kind} | {how} | {moment} | not played: {problem} | | |")
            continue
        broken = ", ".join(report["breaks"]) or report["fault"] or "none"
        print(f"| {kind} | {how} | {moment} | {broken} | {report['G']:.3f} | {report['G'] - base:+.3f} |")


main()
