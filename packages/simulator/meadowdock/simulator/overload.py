"""Load beyond the capacity, with processors of limited speed.

Each turn of a proxy's task takes TURN_US of its simulated processor. The result is how many calls
are answered, refused and spilled at each offered load.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

import trio

from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us
from meadowdock.simulator.scenario import manifest
from meadowdock.simulator.world import run

TURN_US = 200  # a call that is served on its own machine takes a proxy about 13 turns
HOST_COUNT = 4
SLOTS, SERVICE_TIME_US = 4, 20 * MILLISECOND  # of each endpoint: 200 calls a second
SPAN_US = 4 * SECOND


class Processors:
    """The processor cores that some processes share.

    Invariants: free_at holds when each core is next free; turns is a heap ordered by the turns'
    end; the turns of one process don't overlap.
    """

    def __init__(self, cores, step_us=TURN_US):
        self.free_at, self.step_us = [0] * cores, step_us
        self.turns, self.turn_ids = [], itertools.count()
        self.turn_added = trio.Event()

    def schedule(self, process, task, outcome):
        core_free_at = heapq.heappop(self.free_at)
        end = max(monotonic_us(), core_free_at, process.busy_until) + self.step_us
        process.busy_until = end
        heapq.heappush(self.free_at, end)
        heapq.heappush(self.turns, (end, next(self.turn_ids), process, task, outcome))
        self.turn_added.set()

    async def run(self):
        try:
            while True:
                self.turn_added = trio.Event()
                self.resume_finished(monotonic_us())
                with deadline_scope(self.turns[0][0]) if self.turns else trio.CancelScope():
                    await self.turn_added.wait()
        finally:
            self.resume_finished(float("inf"))

    def resume_finished(self, now):
        """Resume the tasks whose turns have ended."""
        while self.turns and self.turns[0][0] <= now:
            _, _, process, task, outcome = heapq.heappop(self.turns)
            process.resume(task, outcome)


async def offer_load(world, factor, shared, span):
    """Offer an open-loop load, the same at every machine; return counts of the outcomes."""
    await world.start_all()
    await world.eventually(lambda: not world.node("mdconf", world.core[0]).unready_reasons())
    await world.configure(manifest("m"))
    for host in world.application:
        await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())

        async def work(request):
            await sleep_us(SERVICE_TIME_US)
            return 200, {"path": request.path}

        await world.endpoint(host, "desk", work, capacity=SLOTS)
    await sleep_us(2 * SECOND)
    processors = [
        Processors(HOST_COUNT if shared else 1) for _ in range(1 if shared else HOST_COUNT)
    ]
    for index, host in enumerate(world.application):
        world.processes[f"mdproxy@{host}"].processors = processors[index % len(processors)]
    for each in processors:
        world.nursery.start_soon(each.run)
    counts, latencies = Counter(), []
    gap_us = SERVICE_TIME_US / SLOTS / factor

    async def call(client):
        begun = monotonic_us()
        result = await client.call("GET", "/balances/1")
        if result.value_or(None) is not None:
            counts["answered"] += 1
            latencies.append(monotonic_us() - begun)
        else:
            counts[result.failure().code] += 1

    async def arrivals(host):
        rng = random.Random(f"{world.seed}{host}")
        client = world.client(host)
        end = monotonic_us() + span
        while monotonic_us() < end:
            world.nursery.start_soon(call, client)
            counts["offered"] += 1
            await sleep_us(int(rng.expovariate(1 / gap_us)))

    sent_before = len(world.web.sendings)
    async with trio.open_nursery() as nursery:
        for host in world.application:
            nursery.start_soon(arrivals, host)
    await sleep_us(6 * SECOND)
    counts["spilled"] = sum(kind == "spill" for _, kind, _ in world.web.sendings[sent_before:])
    counts["shed"] = sum(
        count
        for host in world.application
        for name, count in world.daemon("mdproxy", host).forwarder.counts.items()
        if name.startswith("spill.shed.")
    )
    counts["p99_us"] = sorted(latencies)[len(latencies) * 99 // 100] if latencies else 0
    return counts


def curve(factors=(0.5, 0.8, 1.0, 1.5, 2.0, 3.0), shared=False, span=SPAN_US):
    """Return {factor: counts} of offered loads as multiples of the capacity.

    :param shared: whether all proxies share one pool of cores, instead of one core each.
    """
    return {
        factor: run(
            lambda world, f=factor: offer_load(world, f, shared, span),
            1,
            core=3,
            application=("desk",) * HOST_COUNT,
        )
        for factor in factors
    }


def table(counts_by_factor):
    """Format a curve as a Markdown table."""
    lines = [
        "| offered, of capacity | calls | answered | of capacity | refused | hung or lost | spilled "
        "a call | shed a call | p99 ms |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    capacity = HOST_COUNT * SLOTS * SPAN_US // SERVICE_TIME_US  # calls of all endpoints in the span
    for factor, counts in counts_by_factor.items():
        offered, answered = counts["offered"], counts["answered"]
        refused = sum(counts[c] for c in ("busy", "home_gone", "due_passed", "unreachable"))
        lost = offered - answered - refused
        lines.append(
            f"| {factor} | {offered} | {answered} | {answered / capacity:.2f} "
            f"| {refused} | {lost} | {counts['spilled'] / offered:.3f} "
            f"| {counts['shed'] / offered:.3f} | {counts['p99_us'] / MILLISECOND:.0f} |"
        )
    return "\n".join(lines)
