"""Offered more than all capacity: what is answered, and what each call costs, with processors that
are no faster than they are. Each turn of a task of a proxy takes STEP of its processor."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

import trio

from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us
from meadowdock.simulator.scenario import manifest
from meadowdock.simulator.world import run

STEP = 200  # us; a call served at home takes a proxy about 13 turns
HOSTS, SLOTS, TOOK = 4, 4, 20 * MILLISECOND  # each endpoint can do 200 calls a second
SPAN = 4 * SECOND


class Processors:
    """Invariants: free holds when each core is free next; turns wait in order of their end; a
    process' own turns follow one another."""

    def __init__(self, cores, step_us=STEP):
        self.free, self.step_us = [0] * cores, step_us
        self.turns, self.order = [], itertools.count()
        self.sooner = trio.Event()

    def take(self, process, task, outcome):
        core = heapq.heappop(self.free)
        end = max(monotonic_us(), core, process.busy_until) + self.step_us
        process.busy_until = end
        heapq.heappush(self.free, end)
        heapq.heappush(self.turns, (end, next(self.order), process, task, outcome))
        self.sooner.set()

    async def run(self):
        try:
            while True:
                self.sooner = trio.Event()
                self.give(monotonic_us())
                with deadline_scope(self.turns[0][0]) if self.turns else trio.CancelScope():
                    await self.sooner.wait()
        finally:
            self.give(float("inf"))

    def give(self, at):
        while self.turns and self.turns[0][0] <= at:
            _, _, process, task, outcome = heapq.heappop(self.turns)
            process.resume(task, outcome)


async def offered(world, factor, shared, span):
    """Open loop at every machine alike; gives counts."""
    await world.start_all()
    await world.eventually(lambda: not world.node("mdconf", world.core[0]).unready_reasons())
    await world.configure(manifest("m"))
    for host in world.application:
        await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())

        async def work(got):
            await sleep_us(TOOK)
            return 200, {"path": got.path}

        await world.endpoint(host, "desk", work, capacity=SLOTS)
    await sleep_us(2 * SECOND)
    processors = [Processors(HOSTS if shared else 1) for _ in range(1 if shared else HOSTS)]
    for index, host in enumerate(world.application):
        world.processes[f"mdproxy@{host}"].processors = processors[index % len(processors)]
    for each in processors:
        world.nursery.start_soon(each.run)
    found, took = Counter(), []
    gap = TOOK / SLOTS / factor

    async def call(client):
        begun = monotonic_us()
        result = await client.call("GET", "/balances/1")
        if result.value_or(None) is not None:
            found["answered"] += 1
            took.append(monotonic_us() - begun)
        else:
            found[result.failure().code] += 1

    async def arrivals(host):
        rng = random.Random(f"{world.seed}{host}")
        client = world.client(host)
        end = monotonic_us() + span
        while monotonic_us() < end:
            world.nursery.start_soon(call, client)
            found["offered"] += 1
            await sleep_us(int(rng.expovariate(1 / gap)))

    sent = len(world.web.sendings)
    async with trio.open_nursery() as nursery:
        for host in world.application:
            nursery.start_soon(arrivals, host)
    await sleep_us(6 * SECOND)
    found["spilled"] = sum(kind == "spill" for _, kind, _ in world.web.sendings[sent:])
    found["shed"] = sum(
        n
        for h in world.application
        for name, n in world.daemon("mdproxy", h).forwarder.counts.items()
        if name.startswith("spill.shed.")
    )
    found["p99_us"] = sorted(took)[len(took) * 99 // 100] if took else 0
    return found


def curve(factors=(0.5, 0.8, 1.0, 1.5, 2.0, 3.0), shared=False, span=SPAN):
    """{factor: counts}, the same for the same code."""
    return {
        factor: run(
            lambda world, f=factor: offered(world, f, shared, span),
            1,
            core=3,
            application=("desk",) * HOSTS,
        )
        for factor in factors
    }


def table(found):
    lines = [
        "| offered, of capacity | calls | answered | of capacity | refused | hung or lost | spilled "
        "a call | shed a call | p99 ms |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    capacity = HOSTS * SLOTS * SPAN // TOOK  # of all endpoints, over the span
    for factor, got in found.items():
        refused = sum(got[c] for c in ("busy", "home_gone", "due_passed", "unreachable"))
        rest_of = got["offered"] - got["answered"] - refused
        lines.append(
            f"| {factor} | {got['offered']} | {got['answered']} | {got['answered'] / capacity:.2f} "
            f"| {refused} | {rest_of} | {got['spilled'] / got['offered']:.3f} "
            f"| {got['shed'] / got['offered']:.3f} | {got['p99_us'] / MILLISECOND:.0f} |"
        )
    return "\n".join(lines)
