"""A daemon restarts after a server beside it has left, and a status report that was on its way since
before arrives late: do requests reach the server again? See claim.txt."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True
import standins2 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
BUDGET_MS = 5000
LATE_S = 2.0        # how late the report arrives
DOWN_S = 0.3        # from the end of the daemon to its next start
STAYS_S = 6.0       # the server serves on for so long after its acknowledgement
HOST_NAME, PREFIX = "jepu9.example", "/puka111/"
CONTACT_S = s.BOUNDS["contact_ms"] / 1000
DRAIN_S = s.BOUNDS["drain_ms"] / 1000


def work(rng):
    return min(1.5, rng.lognormvariate(-0.8, 0.3))


class Case:
    def __init__(self, record):
        self.record = record
        self.rng = random.Random(SEED)
        self.fleet = s.Fleet(record, self.rng)
        self.sent = {}

    async def client(self, machine, end):
        while self.record.now() < end:
            sent = self.record.now()
            attempt, _, wait = await s.send_attempt(self.record, machine, "POST", HOST_NAME,
                                                    PREFIX + "2f", BUDGET_MS, self.rng, b"token")
            self.sent[attempt] = sent
            await asyncio.sleep(max(wait, 0.05))

    async def late_report(self, backend, body):
        """A report that the server sent while it was ready, held up on its way."""
        await asyncio.sleep(LATE_S)
        try:
            status = await backend.post_beat(body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.record.line(f"late report of {backend.id} answered {status}")

    async def play(self):
        record, fleet = self.record, self.fleet
        await fleet.start()
        try:
            fleet.store.put("keyed.op", "config", s.desired_state(
                7, [("r-redeem", HOST_NAME, PREFIX, "non_idempotent", "redeem", BUDGET_MS, 0)],
                ["wallet", "redeem"]))
            caller = fleet.add("wallet-0", "vn-south-a", "wallet")
            servers = [fleet.add(f"redeem-{i}", f"vn-south-{'abc'[i]}", "redeem") for i in range(3)]
            for machine in [caller] + servers:
                if not await machine.wait_ready():
                    return 2
            await fleet.add_backend(caller, 109, work)
            for machine in servers:
                await fleet.add_backend(machine, 164, work)
            await asyncio.sleep(s.BOUNDS["contact_ms"] / 1000 + 1)
            end = record.now() + 18
            tasks = [asyncio.create_task(self.client(caller, end)) for _ in range(24)]
            await asyncio.sleep(3)
            self.left = leaving = servers[0].backend
            leaving.sequence += 1
            late = leaving.beat_body()   # on its way from here on
            leaving.beats.cancel()
            tasks.append(asyncio.create_task(self.late_report(leaving, late)))
            await asyncio.sleep(0.2)
            if not await leaving.deregister():
                return 2
            self.acknowledged = record.now()
            record.line(f"leaving {leaving.id} acknowledged")
            await asyncio.sleep(0.2)
            if TROUBLE:
                servers[0].signal(signal.SIGKILL)
                await servers[0].exited(2)
                record.line("daemon of redeem-0 killed")
                await asyncio.sleep(DOWN_S)
                self.restarted = record.now()
                servers[0].start()
                record.line("daemon of redeem-0 started")
            await asyncio.sleep(max(0, self.acknowledged + STAYS_S - record.now()))
            leaving.end()
            record.line(f"server {leaving.id} exits")
            await asyncio.gather(*tasks)
            return None
        finally:
            fleet.end()

    def judge(self, record):
        """DRAIN: reached the server later than drain_ms after the acknowledgement, by machines in
        touch. The caller's daemon ran all the while; the restarted one is in touch again contact_ms
        after its start."""
        counted_from = self.acknowledged + DRAIN_S
        if TROUBLE:
            counted_from = max(counted_from, self.restarted + CONTACT_S + 0.5)
        late = [(at, attempt) for at, attempt in self.left.arrivals if at > counted_from]
        out_of_touch = [a for a, _ in self.left.arrivals
                        if self.acknowledged + DRAIN_S < a <= counted_from]
        lost = [a for _, a in late if record.answers.get(a) != 200]
        served = sum(1 for status in record.answers.values() if status == 200)
        for at, attempt in late:
            record.line(f"DRAIN {attempt} reached {self.left.id} "
                        f"{(at - self.acknowledged) * 1000:.0f} ms after the acknowledgement, "
                        f"answered {record.answers.get(attempt)}")
        text = (f"attempts {len(record.answers)}, served {served}, reached the server that had left "
                f"{len(late)} ({len(out_of_touch)} more while its machine was not in touch), "
                f"of these not served {len(lost)}")
        record.line(text)
        print(text)
        if served < 20:
            return 2
        return 1 if late else 0


def main():
    case = None

    async def play(record):
        nonlocal case
        case = Case(record)
        return await case.play()

    return s.run_case(play, lambda record: case.judge(record), HERE / "record.txt")


if __name__ == "__main__":
    sys.exit(main())
