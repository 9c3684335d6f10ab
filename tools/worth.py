#!/usr/bin/env python3
"""Plays days of a site several times and says where their worth goes; by default without processor time.

Usage: tools/worth.py FLEETBENCH SITE [--days NAME,...] [--seeds N,...] [--without KIND,...]...
                      [--jobs N] [--causes] [--account] [--small] [--why TEXT] > TABLES

  --days     names of standard days; left out: all that have a closing, which are those with trouble
  --seeds    seeds to play each day with; left out: 11,12,13
  --without  plays the days as they are and once more without these kinds of trouble, 'closing' among
             them; may be given several times: the bounds of what the trouble takes
  --jobs     days at once; left out: 4
  --causes   reads the hosts' logs: at which step streams lost their time, and the stricter figure
  --account  reads the hosts' logs: calls to the store by cause, connections, how evenly engines are used, how soon
             all hosts know of a server that fails
  --small    the small twins of large days
  --why      a line for the journal

Exit codes: 0 played, 2 a site, day or bench that cannot be read, or a day that was not played.
"""

import argparse
import collections
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib

import account

# What a retry that fails costs of its request's worth, as a second refusal does.
RETRY_CHARGE = 0.3
DAY_TIMEOUT_S = 900
WINDOW_S = 2
# Share of its time for which a request may be held in vain until that costs its whole worth: the letter's
# charge grows without steps.
FULL_CHARGE_SHARE = 0.75


class Problem(Exception):
    """Something that the user can mend; said in one line."""


def read_site(path):
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise Problem(f"{path}: {error.strerror}") from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        # What follows the open days may be sealed.
        try:
            return tomllib.loads(text[: text.rfind("\n[[day]]")])
        except tomllib.TOMLDecodeError as error:
            raise Problem(f"{path}: {error}") from error


def toml_value(value):
    if isinstance(value, dict):
        fields = (f"{json.dumps(key)} = {toml_value(entry)}" for key, entry in value.items())
        return "{ " + ", ".join(fields) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(entry) for entry in value) + "]"
    return json.dumps(value)


def day_without(day, kinds):
    """The text of a day without some kinds of trouble."""
    kept = dict(day)
    if "closing" in kinds:
        kept.pop("closing", None)
    for key in ("plan", "faults"):
        kept[key] = [one for one in day.get(key, []) if one["kind"] not in kinds]
    lines = ["[[day]]"]
    lines += [f"{key} = {toml_value(value)}" for key, value in kept.items()]
    return "\n".join(lines) + "\n"


def play(options, folder, name, day, seed):
    """Plays one day; gives its report and the hosts' logs."""
    stem = os.path.join(folder, f"{name}-{seed}-{abs(hash(day))}")
    target = name
    if day:
        target = f"{stem}.toml"
        with open(target, "w", encoding="utf-8") as file:
            file.write(day)
    report = f"{stem}.json"
    command = [options.bench, "run", options.site, target, "--seed", str(seed), "--no-cpu", "--jobs", "1",
               "--report", report, "--why", options.why]
    if options.causes or options.account:
        command += ["--log", "all"]
    if options.small:
        command += ["--small"]
    try:
        run = subprocess.run(command, capture_output=True, text=True, timeout=DAY_TIMEOUT_S, check=False)
    except OSError as error:
        raise Problem(f"{options.bench}: {error.strerror}") from error
    except subprocess.TimeoutExpired as error:
        raise Problem(f"{name}, seed {seed}: not played within {DAY_TIMEOUT_S} s") from error
    if not os.path.exists(report):
        said = (run.stdout + run.stderr).strip().splitlines() or ["nothing said"]
        raise Problem(f"{name}, seed {seed}: not played: {said[-1][:200]}")
    with open(report, encoding="utf-8") as file:
        return json.load(file), run.stderr


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def fields_of(line):
    return dict(re.findall(r'(\w+)=("[^"]*"|\S*)', line))


def tries_of(log):
    """What the hosts' logs say of each try: the last lines of streams and of plain calls, and refusals by
    request."""
    ended, plain, refused = [], [], {}
    for line in log.splitlines():
        found = re.match(r"\s*(-?[\d.]+) (\S+) ", line)
        if not found:
            continue
        if "name=request-refused" in line:
            entry = fields_of(line)
            refused[entry.get("request")] = entry
        elif "name=request-ended" in line and "reserved_ms=" in line:
            ended.append(fields_of(line))
        elif "name=request-ended" in line and "tried=" in line:
            plain.append(fields_of(line))
    return ended, plain, refused


def step_of(entry, refused):
    """Where a stream's time went; none where it was in time."""
    times = {key: int(entry.get(f"{key}_ms", 0)) for key in ("reserved", "computed", "answered", "ended")}
    end = entry["end"]
    if end == "caller-gone":
        return "caller left"
    if end != "whole":
        why = refused.get(entry["request"], {}).get("why", "").strip('"')
        why = re.sub(r"i-[0-9a-f]+", "ENGINE", why).split(": of ")[0]
        return f"{end}: {why[:70]}" if why else end
    if entry.get("after_event", '""') != '""':
        return "late: went on after its caller's connection broke"
    late = times["answered"] > int(entry.get("target_ms", 900))
    if late:
        parts = {"line": times["reserved"], "prefill": times["computed"] - times["reserved"],
                 "first event": times["answered"] - times["computed"]}
        longest = max(parts, key=parts.get)
        again = " of another round" if int(entry["rounds"]) > 1 else ""
        return f"late: {longest}{again}"
    if int(entry.get("pause_ms", 0)) > int(entry.get("pause_limit_ms", 10**9)):
        return "late: pause, went on at another engine" if int(entry["rounds"]) > 1 else "late: pause, same engine"
    return None


def computed_again(entry):
    """Tokens of a stream's prompt that were computed again, and why; none where its prompt was kept."""
    tokens, rounds = int(entry["prompt_tokens"]), int(entry["rounds"])
    if rounds > 1 and entry.get("kept_at", '""') == '""':
        return "went on at another engine, or its first one failed", tokens * (rounds - 1)
    if rounds > 0 and entry.get("after_event", '""') != '""' and entry.get("kept_at", '""') == '""':
        return "its caller came back, and no engine kept the prompt", tokens
    return None


def plain_step(entry):
    """How a plain call ended: the answers of its servers one after the other; none where the first was good."""
    steps = [step.split(":")[1].split("@")[0] for step in entry["tried"].strip('"').split(",") if ":" in step]
    # A place that was granted is no answer of a server; how long it took differs from call to call.
    trail = [step.split("-in-")[0] for step in steps if not step.startswith("place-in-")]
    if trail == ["200"]:
        return None
    return f"{entry['end']}: {', then '.join(trail) or 'sent to none'}"


class Causes:
    """What the logs of several days add up to."""

    def __init__(self):
        self.steps = collections.Counter()
        self.streams = 0
        self.sizes = collections.defaultdict(lambda: [0, 0])
        self.in_vain = []
        self.plain = collections.Counter()
        self.plains = 0
        self.again = collections.Counter()

    def take(self, log, report, spec):
        ended, plain, refused = tries_of(log)
        sizes = sorted(int(entry["prompt_tokens"]) for entry in ended)
        for entry in ended:
            self.streams += 1
            step = step_of(entry, refused)
            if step:
                self.steps[step] += 1
            rank = sizes.index(int(entry["prompt_tokens"])) / max(len(sizes), 1)
            size = "largest tenth" if rank >= 0.9 else "fifth below" if rank >= 0.7 else "others"
            self.sizes[size][0] += 1
            self.sizes[size][1] += step is None
        for entry in ended:
            again = computed_again(entry)
            if again:
                self.again[again[0]] += again[1]
        self.plains += len(plain)
        self.plain.update(step for step in map(plain_step, plain) if step)
        self.in_vain.append(charge_in_vain(refused, ended, report, spec))


def charge_in_vain(refused, ended, report, spec):
    """The part of the worth owed that the letter's accounting takes beyond the bench's prices: waiting in vain in
    proportion to its length and, on deployments whose bench does not count from the first try, retries that fail
    and the credit of those that succeed."""
    worths = {one["name"]: one for one in spec["classes"]}
    streams = [one for one in worths.values() if one["kind"] == "stream"]
    stream, late = mean(one["worth"] for one in streams), mean(one["late_worth"] for one in streams)
    plain = mean(one["worth"] for one in worths.values() if one["kind"] != "stream")
    limit = mean(one["timeout_ms"] for one in worths.values())
    tries = {entry["request"]: entry for entry in ended}
    counts_first_try = bool(spec.get("bounds", {}).get("even"))
    charge = 0.0
    for request, entry in refused.items():
        share = int(entry["after_ms"]) / (FULL_CHARGE_SHARE * limit)
        charge += min(share, 1.0) * (stream if request in tries else plain)
    for entry in ended:
        if counts_first_try or int(entry.get("waited_ms", 0)) == 0:
            continue
        if entry["end"] == "refused":
            charge += RETRY_CHARGE * stream
        elif entry["end"] == "whole" and int(entry["answered_ms"]) <= int(entry["target_ms"]):
            # It earned the mean of a prompt and a late answer.
            charge += (stream - late) / 2
    owed = sum(one["n"] * worths[one["name"]]["worth"] for one in report["classes"])
    return charge / max(owed, 1.0)


def stricter(report, in_vain):
    """The worth by the letter's accounting, in place of the bench's price for waiting in vain."""
    priced = {label: cost for label, _, cost in report["prices"]}
    given_up = sum(cost for label, cost in priced.items() if "given up late" in label)
    return report["G"] + given_up - in_vain


def table(head, rows):
    print("| " + " | ".join(head) + " |")
    print("| " + " | ".join("---" for _ in head) + " |")
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print()


def print_parts(title, results):
    print(f"## {title}\n")
    days = collections.defaultdict(list)
    for (day, _), report in results.items():
        days[day].append(report)
    rows = []
    for day, reports in [*days.items(), ("mean", list(results.values()))]:
        parts = [f"{mean(report['parts'][index][2] for report in reports):.3f}" for index in range(4)]
        prices = mean(sum(cost for _, _, cost in report["prices"]) for report in reports)
        broken = sum(1 for report in reports if report["breaks"] or report["fault"])
        rows.append([day, f"{mean(report['G'] for report in reports):.3f}", *parts, f"{prices:.3f}", str(broken)])
    names = [name for name, _, _ in next(iter(results.values()))["parts"][:4]]
    table(["day", "worth", *names, "prices", "days with a broken rule"], rows)


def print_prices(reports):
    costs = collections.defaultdict(list)
    amounts = collections.defaultdict(list)
    for report in reports:
        for label, amount, cost in report["prices"]:
            costs[label].append(cost)
            amounts[label].append(amount)
    rows = sorted(((mean(cost), label) for label, cost in costs.items()), reverse=True)
    table(["price", "amount", "of the worth"],
          [[label, f"{mean(amounts[label]):.1f}", f"{cost:.4f}"] for cost, label in rows if cost >= 0.0003])


def print_groups(reports, key, title):
    groups = collections.defaultdict(list)
    for report in reports:
        for one in report[key]:
            groups[one["name"]].append(one)
    rows = []
    for name, ones in groups.items():
        label = f"{name} to {int(name) + WINDOW_S}" if key == "windows" else name
        counts = [f"{mean(one[field] for one in ones):.0f}" for field in ("n", "in_aim", "late", "refused", "failed")]
        rows.append([label, *counts, f"{mean(one['worth'] for one in ones):.3f}"])
    table([title, "asked", "in time", "late", "refused", "failed", "worth"], rows)


def print_causes(causes):
    rows = [[step, str(count), f"{count / causes.streams:.4f}"] for step, count in causes.steps.most_common()]
    table(["tries of streams, by the step that took their time", "tries", "of all"], rows)
    rows = [[why, str(tokens)] for why, tokens in causes.again.most_common()]
    table(["prompts computed again, as the hosts' last lines tell", "tokens"], rows)
    rows = [[step, str(count), f"{count / max(causes.plains, 1):.4f}"] for step, count in causes.plain.most_common(12)]
    table(["plain calls, by what their servers answered", "calls", "of all"], rows)
    rows = [[size, str(count), f"{good / max(count, 1):.3f}"] for size, (count, good) in causes.sizes.items()]
    table(["size of the prompt", "tries", "in time"], rows)


def print_account(played):
    figures = account.Account()
    for _, log in played.values():
        figures.take(log)
    table(["account, mean of a day", "value"], [list(row) for row in figures.rows()])


def play_all(options, spec, folder):
    """Plays all days; gives reports and logs by variant, then by day and seed."""
    known = {day["name"]: day for day in spec.get("day", [])}
    names = options.days or [name for name, day in known.items() if "closing" in day or day["slot"] == "scale"]
    for name in names:
        if name not in known:
            raise Problem(f"{options.site}: no day {name!r}; there are {', '.join(known)}")
    variants = {"as they are": []} | {"without " + " and ".join(kinds): kinds for kinds in options.without}
    jobs = [(label, kinds, name, seed) for label, kinds in variants.items() for name in names
            for seed in options.seeds]

    def work(job):
        label, kinds, name, seed = job
        text = day_without(known[name], kinds) if kinds else ""
        return label, (name, seed), play(options, folder, name, text, seed)

    results = collections.defaultdict(dict)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for label, key, played in pool.map(work, jobs):
            results[label][key] = played
    return results


def parse_options():
    parser = argparse.ArgumentParser(add_help=True, usage=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", type=lambda text: text.split(","), default=[])
    parser.add_argument("--seeds", type=lambda text: [int(seed) for seed in text.split(",")], default=[11, 12, 13])
    parser.add_argument("--without", type=lambda text: text.split(","), action="append", default=[])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--causes", action="store_true")
    parser.add_argument("--account", action="store_true")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--why", default="where the worth goes")
    return parser.parse_args()


def main():
    options = parse_options()
    spec = read_site(options.site)
    if not os.access(options.bench, os.X_OK):
        raise Problem(f"{options.bench}: no program that can be run")
    # One build before the days are played at once.
    built = subprocess.run([options.bench, "build"], capture_output=True, text=True, check=False)
    if built.returncode != 0:
        raise Problem(f"the build failed: {(built.stdout + built.stderr).strip()[-200:]}")
    with tempfile.TemporaryDirectory() as folder:
        results = play_all(options, spec, folder)
    for label, played in results.items():
        reports = {key: report for key, (report, _) in played.items()}
        print_parts(label, reports)
        if label != "as they are":
            continue
        print_prices(reports.values())
        print_groups(reports.values(), "windows", "from second")
        print_groups(reports.values(), "classes", "kind")
        print_groups(reports.values(), "zones", "zone")
        if options.account:
            print_account(played)
        if options.causes:
            causes = Causes()
            for report, log in played.values():
                causes.take(log, report, spec)
            print_causes(causes)
            strict = mean(stricter(report, charge) for report, charge in zip(reports.values(), causes.in_vain))
            print(f"Worth by the letter's accounting (first try, waiting in vain in proportion to its length, failed retries): {strict:.3f}\n")


if __name__ == "__main__":
    try:
        main()
    except Problem as problem:
        print(f"worth.py: {problem}", file=sys.stderr)
        sys.exit(2)
