#!/usr/bin/env python3
"""Plays each kind of trouble alone, early and late, and prints a table of what came of it; with --pairs,
the most dangerous pairs at once.

Usage: tools/troubles.py FLEETBENCH SITE [JOBS] [--pairs] [--small] [--only NUMBER,...] > TABLE

  --pairs  the most dangerous pairs at once, in place of each kind alone
  --small  the small twin of a large deployment
  --only   these rows of the table only, by their number

The kinds and their variants are read from what `FLEETBENCH kinds SITE` lists and from the site's own
list of troubles, so that new ones are played without a change here. The days go to a temporary folder.
"""

import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile

import worth

MOMENTS_S = (2.0, 15.0)  # early, and in the middle of a day
CLOSINGS = ("power_off_all", "kill_all")
PLANNED = {"add_nodes", "roll_term", "scale_in", "scale_out", "release", "config_change",
           "config_storm", "big_config", "hup"}
# Words of the list that are no variants of their own.
NO_VARIANTS = {"how", "and", "or", "with", "of", "all", "them", "for", "they", "are", "x", "s", "after",
               "the", "on", "a", "these", "is", "lose", "off", "killed", "share", "cut"}
DAY_TIMEOUT_S = 300

# Pairs: each store trouble with each loss of hosts, with leaving servers and with configurations, and some
# that meet in a request.
PAIR_AT_S = 10.0
STORE_TROUBLES = [
    {"kind": "platform_down", "how": "silent lapse", "for_s": 5.0},
    {"kind": "platform_slow", "x": 40.0, "for_s": 6.0},
    {"kind": "platform_lost", "how": "late", "x": 0.4, "for_s": 6.0},
    {"kind": "platform_compact", "x": 4.0, "for_s": 6.0},
    {"kind": "core_cut", "count": 1, "how": "reader", "for_s": 6.0},
    {"kind": "core_cut", "count": 1, "how": "giver", "for_s": 6.0},
    {"kind": "platform_down", "how": "nodes silent", "share": 0.35, "for_s": 6.0},
]
HOST_LOSSES = [
    {"kind": "node_kill", "share": 0.3, "how": "power", "for_s": 3.0},
    {"kind": "herd_kill", "share": 0.7, "for_s": 2.0},
    {"kind": "roll_term", "share": 1.0, "gap_s": 1.0},
    {"kind": "node_cut", "share": 0.3, "for_s": 5.0},
    {"kind": "replace_core", "how": "leader", "x": 2.0},
]
CHANGES = [{"kind": "scale_in", "share": 0.2}, {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.4}]
MEETINGS = [
    ({"kind": "reset_conns", "share": 0.6, "x": 0.6}, {"kind": "answer_lost", "share": 0.6, "x": 0.1, "for_s": 5.0}),
    ({"kind": "config_change", "how": "weights"}, {"kind": "after_ack_kill", "for_s": 3.0}),
    ({"kind": "zone_cut", "for_s": 5.0, "how": "drop"}, {"kind": "srv_crash", "share": 0.3, "for_s": 4.0, "how": "dark"}),
    ({"kind": "retry_abuse", "share": 0.5, "x": 3.0, "for_s": 6.0}, {"kind": "srv_grey", "share": 0.4, "for_s": 6.0, "how": "mute"}),
    ({"kind": "give_up", "share": 0.5, "for_s": 6.0}, {"kind": "kv_slow", "share": 0.5, "for_s": 6.0}),
    ({"kind": "release", "share": 0.6, "gap_s": 0.7}, {"kind": "garble", "share": 0.5, "x": 0.1, "how": "extra", "for_s": 6.0}),
    ({"kind": "applied_late", "x": 0.6, "for_s": 8.0}, {"kind": "node_kill", "on": "core", "count": 1, "how": "leader", "for_s": 2.0}),
    ({"kind": "lossy", "x": 0.08, "for_s": 6.0}, {"kind": "roll_term", "share": 1.0, "gap_s": 0.8}),
]


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


def day_text(quiet, name, troubles, closing):
    """The text of a day with these troubles; what a small twin needs is the quiet day's."""
    plan = [one for one in troubles if one["kind"] in PLANNED]
    faults = [one for one in troubles if one["kind"] not in PLANNED]
    lines = ["[[day]]", f"name = {json.dumps(name)}", f"seed = {quiet['seed']}"]
    if closing:
        lines += [f'closing = {{ kind = "{closing}", down_s = 1.0 }}', "length_s = 41.0"]
    if "small" in quiet:
        lines.append(f"small = {worth.toml_value(quiet['small'])}")
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


def pairs():
    """The pairs to play, each with a name."""
    together = [(a, b) for a in STORE_TROUBLES for b in HOST_LOSSES + CHANGES] + MEETINGS
    for a, b in together:
        names = [" ".join(filter(None, (one["kind"], one.get("how", "")))) for one in (a, b)]
        yield names, [{**a, "at": PAIR_AT_S}, {**b, "at": PAIR_AT_S + 0.5}]


def play(bench, site, folder, number, text, is_small):
    day = os.path.join(folder, f"day-{number}.toml")
    report = os.path.join(folder, f"day-{number}.json")
    with open(day, "w", encoding="utf-8") as file:
        file.write(text)
    command = [bench, "run", site, day, "--no-cpu", "--jobs", "1", "--report", report,
               "--why", "troubles of our own, alone or in pairs"]
    command += ["--small"] if is_small else []
    try:
        run = subprocess.run(command, capture_output=True, text=True, timeout=DAY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return None, "timed out"
    if not os.path.exists(report):
        return None, (run.stdout + run.stderr).strip().splitlines()[-1][:60]
    with open(report, encoding="utf-8") as file:
        return json.load(file), ""


def parse_options():
    parser = argparse.ArgumentParser(add_help=True, usage=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("jobs", type=int, nargs="?", default=4)
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--only", type=lambda text: [int(number) for number in text.split(",")], default=[])
    return parser.parse_args()


def main():
    options = parse_options()
    bench, site = options.bench, options.site
    spec = worth.read_site(site)
    first = spec["day"][0]
    quiet = {key: first[key] for key in ("seed", "small") if key in first}
    days = [("quiet", "", "", [])]
    if options.pairs:
        days += [(first, second, PAIR_AT_S, both) for (first, second), both in pairs()]
    else:
        for one in entries(bench, site, spec):
            for moment in MOMENTS_S:
                days.append((one["kind"], one.get("how", ""), moment, [{**one, "at": moment}]))
        days += [("closing", kind, "end", []) for kind in CLOSINGS]
    wanted = {0, *options.only} if options.only else set(range(len(days)))
    numbered = [(number, day) for number, day in enumerate(days) if number in wanted]
    with tempfile.TemporaryDirectory() as folder:
        def job(item):
            number, (kind, how, moment, troubles) = item
            closing = how if kind == "closing" else None
            text = day_text(quiet, f"own-{number}", troubles, closing)
            return play(bench, site, folder, number, text, options.small)

        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = list(pool.map(job, numbered))
    base = results[0][0]["G"] if results[0][0] else 0.0
    print("| number | kind | how | at s | rules broken | worth | against quiet |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for (number, (kind, how, moment, _)), (report, problem) in zip(numbered, results):
        if report is None:
            print(f"| {number} | {kind} | {how} | {moment} | not played: {problem} | | |")
            continue
        broken = ", ".join(report["breaks"]) or report["fault"] or "none"
        row = (number, kind, how, moment, broken, f"{report['G']:.3f}", f"{report['G'] - base:+.3f}")
        print("| " + " | ".join(map(str, row)) + " |")


if __name__ == "__main__":
    main()
