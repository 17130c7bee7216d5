#!/usr/bin/env python3
"""Writes the synthetic traces of traces/ (format: docs/trace-format.md). Same seed, same traces."""
import math
import random
from pathlib import Path

TRACES = Path(__file__).resolve().parent.parent / "traces"


def arrivals(rng, phases):
    """Poisson arrival times in ms; each phase is (length in ms, factor on the rate)."""
    def times(per_second):
        start = 0.0
        for length, factor in phases:
            at = start + rng.expovariate(per_second * factor) * 1000
            while at < start + length:
                yield at
                at += rng.expovariate(per_second * factor) * 1000
            start += length
    return times


def work_ms(rng, means):
    """Log-normal service times in ms with a coefficient of variation of 0.5; means by service."""
    sigma = math.sqrt(math.log(1.25))
    return ",".join(
        f"{service}:{max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))}"
        for service, mean in sorted(means.items()))


def write(name, comment, lines):
    lines.sort(key=lambda line: line[0])
    text = "".join(f"{round(at)} {rest}\n" for at, rest in lines)
    (TRACES / f"{name}.trace").write_text(f"# {comment}\n# Made by scripts/make-traces.py.\n{text}")


def prize_day():
    rng = random.Random(1)
    times = arrivals(rng, [(2000, 1), (4000, 4), (2000, 1)])
    lines = [(at, f"POST redeem /redemptions redemption north-schools 2000 k{n} "
                  + work_ms(rng, {"redeem": 40, "wallet": 60}))
             for n, at in enumerate(times(8))]
    lines += [(at, "GET redeem /balance balance south-schools 1000 - "
                   + work_ms(rng, {"redeem": 40, "wallet": 60})) for at in times(40)]
    write("prize-day-surge", "Load for 2 s, four times the load for 4 s, and 2 s more.", lines)


def timed_sale():
    rng = random.Random(2)
    times = arrivals(rng, [(2000, 1), (4000, 2), (2000, 1)])

    def saleroom(at):
        return 120 if 3000 <= at < 6000 else 60

    lines = [(at, f"POST bidding /bids bid furniture-makers 1500 k{n} "
                  + work_ms(rng, {"bidding": 30, "saleroom": saleroom(at)}))
             for n, at in enumerate(times(10))]
    lines += [(at, "GET bidding /prices prices furniture-makers 1000 - "
                   + work_ms(rng, {"bidding": 30, "saleroom": saleroom(at)})) for at in times(40)]
    write("timed-sale-slow-service",
          "Twice the load from 2 s to 6 s; the saleroom takes twice its time from 3 s to 6 s.", lines)


def retry_flood():
    rng = random.Random(3)
    times = arrivals(rng, [(8000, 1)])
    lines = []
    for n, at in enumerate(times(12)):
        rest = (f"POST redeem /redemptions redemption north-schools 2000 k{n} "
                + work_ms(rng, {"redeem": 40, "wallet": 60}))
        lines += [(at + 100 * attempt, rest) for attempt in range(5)]
    for at in times(30):
        rest = ("GET redeem /balance balance south-schools 1000 - "
                + work_ms(rng, {"redeem": 40, "wallet": 60}))
        lines += [(at + 100 * attempt, rest) for attempt in range(5)]
    write("client-retry-flood",
          "Callers send every request five times, 100 ms apart, without waiting for answers.", lines)


prize_day()
timed_sale()
retry_flood()
