"""What hosts say to the store, to backend servers and to each other, out of their logs; used by worth.py."""

import collections
import re

# Figures of the line that each host logs in five seconds, in the order of the table.
FIGURES = ("lists", "watches", "while_lost", "lease", "entry", "opened", "reused", "news_told",
           "opened_plain", "opened_prefill", "opened_decode", "opened_reserve", "opened_free", "opened_ask")
STORE_FIGURES = FIGURES[:5]
WINDOW_S = 5
# Ejections of one server further apart than this are of different troubles.
EPISODE_S = 4.0
LINE = re.compile(r"\s*(-?[\d.]+) (\S+) ")


def fields_of(line):
    return dict(re.findall(r'(\w+)=("[^"]*"|\S*)', line))


class Account:
    """What the logs of several days add up to."""

    def __init__(self):
        self.days = 0
        self.sums = collections.Counter()
        self.windows = collections.defaultdict(collections.Counter)
        self.arrivals = []
        self.spreads = []

    def take(self, log):
        """Takes the hosts' logs of one day."""
        self.days += 1
        last = {}
        engines = collections.Counter()
        ejected = collections.defaultdict(list)
        for line in log.splitlines():
            found = LINE.match(line)
            if not found:
                continue
            at, host = float(found[1]), found[2]
            if "name=host-started" in line:
                last[host] = {}
            elif "name=host-figures" in line:
                self.take_figures(at, fields_of(line), last.setdefault(host, {}))
            elif "name=request-ended" in line and "engine=" in line:
                engines[fields_of(line)["engine"]] += 1
            elif "name=backend-ejected" in line:
                ejected[fields_of(line)["backend"]].append((at, host))
        self.arrivals.append(sorted(engines.values(), reverse=True))
        self.spreads += spreads_of(ejected)

    # Figures are sums since the host's start.
    def take_figures(self, at, fields, before):
        window = int(at // WINDOW_S) * WINDOW_S
        for name in FIGURES:
            now = int(fields.get(name, 0))
            self.sums[name] += now - before.get(name, 0)
            self.windows[window][name] += now - before.get(name, 0)
            before[name] = now

    def rows(self):
        """The table's rows: a figure and its value, the mean of a day."""
        per_day = {name: self.sums[name] / self.days for name in FIGURES}
        for name in STORE_FIGURES:
            yield f"calls to the store: {name.replace('_', ' ')}", f"{per_day[name]:.0f}"
        most = max(self.windows, key=lambda at: sum(self.windows[at][name] for name in STORE_FIGURES), default=0)
        calls = sum(self.windows[most][name] for name in STORE_FIGURES) / self.days
        yield "calls in the busiest five seconds", f"{calls:.0f}, from second {most}"
        yield "connections opened to backend servers", f"{per_day['opened']:.0f}"
        for name in FIGURES[8:]:
            yield f"of them for: {name.removeprefix('opened_')}", f"{per_day[name]:.0f}"
        sends = per_day["opened"] + per_day["reused"]
        yield "sends over a connection that was open", f"{per_day['reused'] / max(sends, 1):.3f} of {sends:.0f}"
        yield "answers to other hosts", f"{per_day['news_told']:.0f}"
        yield "streams at the busiest tenth of engines, against the mean", f"{self.busiest_tenth():.2f}"
        spread = sorted(self.spreads)
        if spread:
            middle, last = spread[len(spread) // 2], spread[int(len(spread) * 0.9)]
            yield "from the first host that passed a server over to the last, s", \
                f"{middle:.2f} in the middle, {last:.2f} nine tenths, of {len(spread)}"

    def busiest_tenth(self):
        ratios = []
        for counts in self.arrivals:
            tenth = counts[: max(len(counts) // 10, 1)]
            if counts:
                ratios.append((sum(tenth) / len(tenth)) / (sum(counts) / len(counts)))
        return sum(ratios) / max(len(ratios), 1)


def spreads_of(ejected):
    """By trouble that several hosts found out: the seconds from the first of them to the last."""
    spreads = []
    for seen in ejected.values():
        seen.sort()
        episode = [seen[0]]
        for one in [*seen[1:], (float("inf"), "")]:
            if one[0] - episode[-1][0] <= EPISODE_S:
                episode.append(one)
                continue
            first_of = {}
            for at, host in episode:
                first_of.setdefault(host, at)
            if len(first_of) > 1:
                spreads.append(max(first_of.values()) - min(first_of.values()))
            episode = [one]
    return spreads
