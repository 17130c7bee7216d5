#!/usr/bin/env python3
"""Recomputes the tables of docs/CAPACITY.md from docs/measurements/slopes.yaml.

  scripts/capacity.py            prints the tables
  scripts/capacity.py --check    fails when the tables in docs/CAPACITY.md differ
  scripts/capacity.py --write    replaces the tables in docs/CAPACITY.md
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "measurements" / "slopes.yaml"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- tables: scripts/capacity.py --write -->"
END = "<!-- end of tables -->"
MISSING = "not measured yet"

DAEMONS = 2100
SERVICES = 54
CALLS_PER_SECOND = 250_000
SECONDS_PER_DAY = 86_400
NOTES_PER_DAY = 5_100
RESTARTS_PER_DAY = 350
FAILURES_PER_DAY = 12
CHANGES_PER_RESTART = 6  # draining, left, joined, ready, and two more changes of slots or state
CHANGES_PER_FAILURE = 2
KEY_LIFETIME_SECONDS = 300  # an answer is kept for the lifetime of its key
RECORD_LIMIT = 65_536
RELAYS = 3
STATE_ANSWERS_PER_SECOND = 8
PUBLISH_INTERVAL_SECONDS = 5
SEEDS_PER_DATA_CENTRE = 2

CORE_TARGET = 41.0  # ms/s, 4.1% of a core
MEMORY_TARGET = 32e6
BYTES_TARGET = 20e3


def read_slopes(path):
    """Reads a YAML list of flat maps; a slope that is not measured yet is None."""
    slopes = {}
    name = None
    for number, line in enumerate(path.read_text().splitlines(), 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        key, separator, value = text.removeprefix("- ").partition(": ")
        if not separator:
            sys.exit(f"{path}:{number}: no 'key: value'")
        if key == "name":
            name = value
            slopes[name] = None
        elif key == "value":
            slopes[name] = None if value == MISSING else float(value)
    return slopes


class Figures:
    """Evaluates formulas over slopes; a formula with an unmeasured slope gives None."""

    def __init__(self, slopes):
        self.slopes = slopes

    def of(self, formula):
        try:
            return formula(lambda name: self.slope(name))
        except LookupError:
            return None

    def slope(self, name):
        if name not in self.slopes:
            sys.exit(f"{SLOPES}: no slope '{name}'")
        if self.slopes[name] is None:
            raise LookupError(name)
        return self.slopes[name]


def show(value, unit, divisor=1.0, digits=1):
    if value is None:
        return MISSING
    return f"{value / divisor:,.{digits}f} {unit}"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def changes_per_second():
    day = RESTARTS_PER_DAY * CHANGES_PER_RESTART + FAILURES_PER_DAY * CHANGES_PER_FAILURE
    return day / SECONDS_PER_DAY


def notes_per_second():
    return NOTES_PER_DAY / SECONDS_PER_DAY


def membership_bytes_per_second(get):
    return (get("membership.bytes_steady")
            + get("membership.bytes_per_note") * notes_per_second()
            + get("membership.bytes_per_change") * changes_per_second())


def data_path_rows(f):
    calls = CALLS_PER_SECOND / DAEMONS
    decisions = f.of(lambda get: calls * (get("routing.ns_per_call") + get("admission.ns_per_call")
                                          + get("retry.ns_per_call")) / 1e6)
    whole = f.of(lambda get: calls * get("path.cpu_us_per_call") / 1e3)
    change = f.of(lambda get: changes_per_second() * get("routing.us_per_member_change") / 1e3)
    return [
        ["calls through one daemon", f"{calls:,.0f} calls/s as entry, as many as executor",
         f"{CALLS_PER_SECOND:,} / {DAEMONS:,}"],
        ["decisions", show(decisions, "ms/s", digits=2), "routing, admission, retry of one call"],
        ["whole path with sockets", show(whole, "ms/s"), "both daemons of a call"],
        ["routing after member changes", show(change, "ms/s", digits=3),
         f"{changes_per_second():.4f} changes/s"],
    ]


def once_rows(f):
    rows = []
    for share in (0.01, 0.05, 0.2):
        rate = CALLS_PER_SECOND / DAEMONS * share
        kept = min(rate * KEY_LIFETIME_SECONDS, RECORD_LIMIT)
        memory = f.of(lambda get: kept * get("once.bytes_per_answer"))
        processor = f.of(lambda get: rate * (get("once.ns_at_home") + get("once.ns_at_executor"))
                         / 1e6)
        rows.append([f"{share:.0%}", f"{rate:.1f} /s", f"{kept:,.0f}", show(memory, "MB", 1e6),
                     show(processor, "ms/s", digits=3)])
    return rows


def control_rows(f, data_centres, suffix):
    others = data_centres - 1
    size = DAEMONS // data_centres
    memory = f.of(lambda get: DAEMONS * get("membership.bytes_memory_per_member")
                  + get("membership.bytes_memory_fixed"))
    cpu = f.of(lambda get: get("membership.cpu_with_sockets"))
    sent = f.of(membership_bytes_per_second)
    relayed = f.of(lambda get: get("relay.bytes" + suffix))
    return [
        ["membership", f"{DAEMONS:,} records", show(sent, "KB/s", 1e3, 2),
         show(cpu, "ms/s", digits=2), show(memory, "MB", 1e6)],
        [f"relay ({RELAYS} of {size})", f"updates for {others} others",
         show(relayed, "KB/s", 1e3, 2), show(cpu, "ms/s", digits=2), "as a member"],
        ["log reader", "the fold", show(f.of(lambda get: get("log.bytes_per_reader")), "KB/s", 1e3),
         show(f.of(lambda get: get("log.cpu_per_reader")), "ms/s", digits=2),
         show(f.of(lambda get: get("notes.bytes_memory_fold")), "MB", 1e6)],
        ["snapshot writer", "one snapshot", show(f.of(lambda get: get("snapshot.bytes")), "KB", 1e3),
         show(f.of(lambda get: get("snapshot.cpu_ms")), "ms each"), "as log reader"],
        ["note propagation", f"{notes_per_second():.3f} notes/s",
         show(f.of(lambda get: get("notes.bytes_per_note") * notes_per_second()), "KB/s", 1e3),
         show(f.of(lambda get: get("notes.cpu_ms_per_note") * notes_per_second()), "ms/s", digits=2),
         "as log reader"],
        ["whole daemon when idle, all tasks", "with 100 members", "",
         show(f.of(lambda get: get("daemon.cpu_idle")), "ms/s"),
         show(f.of(lambda get: get("daemon.bytes_resident_at_100")
                   + (DAEMONS - 100) * get("membership.bytes_memory_per_member")), "MB", 1e6)],
        ["target for all together", "", show(BYTES_TARGET, "KB/s", 1e3),
         show(CORE_TARGET, "ms/s"), show(MEMORY_TARGET, "MB", 1e6)],
    ]


def time_rows(f, suffix):
    entries = [
        ("a leaving instance gets no new work", "membership.seconds_drain", "3 s"),
        ("a crash is known", "membership.seconds_crash", "none stated"),
        ("a note is in force everywhere", "notes.seconds_in_force", "17 s, aim 5 s"),
    ]
    return [[what, show(f.of(lambda get: get(name + suffix)), "s"), target]
            for what, name, target in entries]


def event_rows(f, data_centres, suffix):
    size = DAEMONS // data_centres
    state = f.of(lambda get: DAEMONS * get("membership.bytes_wire_per_member"))
    seeds = SEEDS_PER_DATA_CENTRE * (data_centres - 1)
    seed_rate = None if state is None else state * STATE_ANSWERS_PER_SECOND
    join = size / (seeds * STATE_ANSWERS_PER_SECOND)
    rack = f.of(lambda get: 40 * CHANGES_PER_RESTART * get("membership.bytes_per_change"))
    burst = f.of(lambda get: size * 3 * get("membership.bytes_per_change"))
    limit = 16 * 1024
    seconds = None if burst is None else burst / limit
    heal = f.of(lambda get: size * (data_centres // 2) * get("membership.bytes_wire_per_member"))
    return [
        ["rack of 40 restarted", "updates sent by each daemon", show(rack, "KB", 1e3)],
        [f"data centre of {size} restarted", "updates sent by each daemon", show(burst, "KB", 1e3)],
        ["", "time at the bound of 16 KB/s after a burst of 256 KB",
         show(None if seconds is None else max(0.0, (burst - 256 * 1024) / limit), "s")],
        ["", f"full states served by each of {seeds} seeds elsewhere, up to {STATE_ANSWERS_PER_SECOND}/s",
         show(seed_rate, "KB/s", 1e3)],
        ["", "least time until all have joined", f"{join:.1f} s"],
        ["", "busiest second of a daemon, mean, 1,000 daemons",
         show(f.of(lambda get: get("membership.bytes_restart_peak" + suffix)), "KB/s", 1e3)],
        ["regions meet again, all changed meanwhile", "fetched by each daemon at most",
         show(heal, "KB", 1e3)],
    ]


def log_rows(f):
    bound = DAEMONS / PUBLISH_INTERVAL_SECONDS
    rows = [
        ["notes", f"{notes_per_second():.3f} appends/s", f"{NOTES_PER_DAY:,} a day"],
        ["publishing at every daemon without end", f"{bound:,.0f} appends/s",
         f"each daemon at most one in {PUBLISH_INTERVAL_SECONDS} s"],
    ]
    for count in (5, 10):
        reads = f.of(lambda get: count * get("log.reads_per_data_centre"))
        rows.append([f"idle, {count} data centres", show(reads, "reads/s"), "readers only"])
    restart = f.of(lambda get: get("log.reads_mass_restart"))
    rows.append(["restart of all at once", show(restart, "reads", digits=0), "in 17 s, no append"])
    return rows


def tables(f):
    parts = ["### Data path, one daemon", table(["what", "figure", "from"], data_path_rows(f)),
             "### Once-only records, one daemon, by share of calls that are not idempotent",
             table(["share", "requests", "answers kept", "memory", "processor"], once_rows(f))]
    for count, reading in ((5, "five in all"), (10, "five in each region")):
        suffix = "" if count == 5 else "_10"
        parts += [f"### Control, {count} data centres ({reading}), {DAEMONS // count} daemons in each",
                  table(["role", "state", "sent", "processor", "memory"], control_rows(f, count, suffix)),
                  table(["time until known everywhere, most of the runs", "measured", "target"],
                        time_rows(f, suffix)),
                  table(["event", "cost", "figure"], event_rows(f, count, suffix))]
    parts += ["### Log service, from all daemons", table(["what", "rate", "remark"], log_rows(f))]
    return "\n\n".join(parts)


def main():
    text = tables(Figures(read_slopes(SLOPES)))
    mode = sys.argv[1] if len(sys.argv) > 1 else "--print"
    if mode == "--print":
        print(text)
        return
    page = PAGE.read_text()
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    wanted = f"{head}{BEGIN}\n\n{text}\n\n{END}{tail}"
    if mode == "--write":
        PAGE.write_text(wanted)
    elif page != wanted:
        sys.exit(f"{PAGE}: tables differ from the slopes; run scripts/capacity.py --write")


if __name__ == "__main__":
    main()
