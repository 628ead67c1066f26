"""Open-loop callers that offer a service more load than its endpoints can serve."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

# A caller waits for Retry-After, but at most a third of the time until its deadline.
MAX_WAIT_DIVISOR = 3


@dataclass(frozen=True)
class Demand:
    """One kind of request.

    mean_us and spread describe the log-normal distribution of its service time; aim_us is its
    latency target and due_us its deadline.
    """

    prefix: bytes
    per_s: float
    mean_us: int
    spread: float
    aim_us: int
    due_us: int
    priority: int
    retries: int = 1

    def work_us(self, rng):
        """Draw the service time of one request."""
        return int(self.mean_us * rng.lognormvariate(-self.spread * self.spread / 2, self.spread))


@dataclass
class Tally:
    """Outcomes of one kind of request, as its callers saw them."""

    asked: int = 0
    in_aim: int = 0
    in_aim_by_retry: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    took_us: list = field(default_factory=list)

    def worth(self, late_worth=0.3):
        """Return the score as a share of the maximum.

        A response within the latency target counts 1, a late one late_worth, and one within the
        target that needed a retry the mean of both.
        """
        first_attempts = self.in_aim - self.in_aim_by_retry
        retried = self.in_aim_by_retry * (1 + late_worth) / 2
        return (first_attempts + retried + late_worth * self.late) / max(1, self.asked)


async def one_request(world, host, demand, number, tally):
    """Send a request with its retries, as a caller that observes Retry-After does."""
    started_us = monotonic_us()
    tally.asked += 1
    for attempt in range(demand.retries + 1):
        remaining_us = started_us + demand.due_us - monotonic_us()
        caller = await world.caller(host)
        exchange = caller.ask(
            demand.prefix + b"%d" % number, due_ms=max(1, remaining_us // MILLISECOND)
        )
        await exchange.done.wait()
        caller.hang_up()
        if exchange.status == 200:
            in_aim = monotonic_us() - started_us <= demand.aim_us
            tally.in_aim += in_aim
            tally.in_aim_by_retry += in_aim and attempt > 0
            tally.late += not in_aim
            tally.took_us.append(monotonic_us() - started_us)
            return
        retry_after_s = exchange.line(b"Retry-After")
        remaining_us = started_us + demand.due_us - monotonic_us()
        if exchange.status != 503 or retry_after_s is None or remaining_us <= 0:
            break
        if attempt < demand.retries:
            await sleep_us(
                min(int(float(retry_after_s) * SECOND), remaining_us // MAX_WAIT_DIVISOR)
            )
    tally.refused += exchange.status == 503
    tally.failed += exchange.status != 503


async def offer(world, hosts, demands, span_us, seed=1):
    """Send requests of all demands at random intervals, to each host in turn.

    Return the tally of each demand, by its prefix.
    """
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
    """Return a function from a request to its service time, for stand-in endpoints."""
    rng = random.Random(f"work{seed}")

    def work_us(job):
        demand = next(d for d in demands if job.target.startswith(d.prefix))
        return demand.work_us(rng)

    return work_us


def most_in_aim(demands, slots):
    """Return {prefix: share} of the requests that any policy could serve within the target.

    It gives the slots to the demands by priority and counts nothing but their service times.
    """
    free_slots, shares = float(slots), {}
    for demand in sorted(demands, key=lambda demand: demand.priority):
        needed_slots = demand.per_s * demand.mean_us / SECOND
        shares[demand.prefix] = min(1.0, free_slots / needed_slots)
        free_slots = max(0.0, free_slots - needed_slots)
    return shares
