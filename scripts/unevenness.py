#!/usr/bin/env python3
"""Sums up how uneven the load was, from the slot-sample events (E204) of all daemons.

  scripts/unevenness.py LOG...        the logs, one a daemon or all in one; `logLevel: debug`

Unevenness is the share of the arrivals that were queued or refused at a full server although
another server of the service had a free slot during the whole sample. Requests that were handed
back arrived nowhere. A server that is cut off counts as one that others could reach.
"""

import collections
import datetime
import re
import sys

BIN = 0.05  # seconds; a sample covers two or three
LONGEST = 1.0  # seconds; longer samples cover a start or a stall

SAMPLE = re.compile(
    r"(\d{4}-\d\d-\d\dT[\d:.]+) DEBUG (\S+) E204 slot-sample service=(\S+) ms=(\d+)"
    r" started=(\d+) queued=(\d+) refused=(\d+) handedBack=(\d+) free=(\d+)")

Sample = collections.namedtuple("Sample", "daemon bins started queued refused handed_back free")


def read_samples(lines):
    """Samples by service."""
    samples = collections.defaultdict(list)
    for line in lines:
        match = SAMPLE.search(line)
        if not match:
            continue
        time, daemon, service, millis, *counts = match.groups()
        end = datetime.datetime.fromisoformat(time).timestamp()
        length = int(millis) / 1000
        if length <= LONGEST:
            bins = range(int((end - length) / BIN), int(end / BIN) + 1)
            samples[service].append(Sample(daemon, bins, *map(int, counts)))
    return samples


def free_daemons(samples):
    """The daemons whose servers had a free slot during each whole bin."""
    seen = collections.defaultdict(set)
    full = collections.defaultdict(set)
    for sample in samples:
        for position in sample.bins:
            (seen if sample.free else full)[position].add(sample.daemon)
    return {position: daemons - full[position] for position, daemons in seen.items()}


def summarise(samples):
    """Arrivals, those queued, refused and handed back, and those of the first two that were
    uneven."""
    free = free_daemons(samples)
    totals = collections.Counter()
    for sample in samples:
        arrivals = sample.started + sample.queued + sample.refused
        totals.update(arrivals=arrivals, queued=sample.queued, refused=sample.refused,
                      handed_back=sample.handed_back)
        if sample.queued + sample.refused > 0:
            others = set.intersection(*(free.get(position, set()) for position in sample.bins))
            if others - {sample.daemon}:
                totals["uneven"] += sample.queued + sample.refused
    return totals


def row(name, totals):
    share = totals["uneven"] / max(1, totals["arrivals"])
    return (f"{name:16} {totals['arrivals']:>9} {totals['queued']:>8} {totals['refused']:>8}"
            f" {totals['handed_back']:>11} {totals['uneven']:>8} {share:>10.4f}")


def main(paths):
    def lines():
        for path in paths:
            with open(path, encoding="utf-8", errors="replace") as log:
                yield from log

    print(f"{'service':16} {'arrivals':>9} {'queued':>8} {'refused':>8} {'handed back':>11}"
          f" {'uneven':>8} {'unevenness':>10}")
    total = collections.Counter()
    for service, samples in sorted(read_samples(lines()).items()):
        totals = summarise(samples)
        total += totals
        print(row(service, totals))
    print(row("all", total))


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1:])
