"""A service that is asked for more than its endpoints can do, for as long as a test wants."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

RETRY_PART = 3  # a caller waits for Retry-After up to this part of the time that it has left


@dataclass(frozen=True)
class Demand:
    """One kind of request. Times in microseconds; mean and spread are of the work's time."""

    prefix: bytes
    per_s: float
    mean_us: int
    spread: float
    aim_us: int
    due_us: int
    priority: int
    retries: int = 1

    def work_us(self, rng):
        """The work of one request: log-normal, of this mean."""
        return int(self.mean_us * rng.lognormvariate(-self.spread * self.spread / 2, self.spread))


@dataclass
class Tally:
    """What callers saw of one kind of request."""

    asked: int = 0
    in_aim: int = 0
    in_aim_by_retry: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    took_us: list = field(default_factory=list)

    def worth(self, late_worth=0.3):
        """The share of the full worth that was earned: a retry within the aim earns the mean."""
        first_try = self.in_aim - self.in_aim_by_retry
        retried = self.in_aim_by_retry * (1 + late_worth) / 2
        return (first_try + retried + late_worth * self.late) / max(1, self.asked)


async def one_request(world, host, demand, number, tally):
    """A request with its further tries, as a caller that obeys Retry-After makes them."""
    begun = monotonic_us()
    tally.asked += 1
    for tried in range(demand.retries + 1):
        left = begun + demand.due_us - monotonic_us()
        caller = await world.caller(host)
        made = caller.ask(demand.prefix + b"%d" % number, due_ms=max(1, left // MILLISECOND))
        await made.done.wait()
        caller.hang_up()
        if made.status == 200:
            in_aim = monotonic_us() - begun <= demand.aim_us
            tally.in_aim += in_aim
            tally.in_aim_by_retry += in_aim and tried > 0
            tally.late += not in_aim
            tally.took_us.append(monotonic_us() - begun)
            return
        again = made.line(b"Retry-After")
        left = begun + demand.due_us - monotonic_us()
        if made.status != 503 or again is None or left <= 0:
            break
        if tried < demand.retries:
            await sleep_us(min(int(float(again) * SECOND), left // RETRY_PART))
    tally.refused += made.status == 503
    tally.failed += made.status != 503


async def offer(world, hosts, demands, span_us, seed=1):
    """Open-loop callers, in turn at each of the hosts; gives a tally for each demand."""
    tallies = {demand.prefix: Tally() for demand in demands}
    end = monotonic_us() + span_us

    async def arrivals(demand):
        rng = random.Random(f"{seed}{demand.prefix}")
        number = 0
        while monotonic_us() < end:
            number += 1
            host = hosts[number % len(hosts)]
            nursery.start_soon(one_request, world, host, demand, number, tallies[demand.prefix])
            await sleep_us(int(rng.expovariate(demand.per_s) * SECOND))

    async with trio.open_nursery() as nursery:
        for demand in demands:
            nursery.start_soon(arrivals, demand)
    return tallies


def worker(demands, seed=1, slower_when_full=0.0):
    """The work of a stand-in endpoint: by its request's prefix."""
    rng = random.Random(f"work{seed}")

    def work_us(job):
        demand = next(d for d in demands if job.target.startswith(d.prefix))
        return demand.work_us(rng)

    return work_us


def most_in_aim(demands, slots):
    """{prefix: share} that any policy could serve in aim: higher ranks first, by their work alone."""
    room, shares = float(slots), {}
    for demand in sorted(demands, key=lambda d: d.priority):
        wanted = demand.per_s * demand.mean_us / SECOND
        shares[demand.prefix] = min(1.0, room / wanted)
        room = max(0.0, room - wanted)
    return shares
