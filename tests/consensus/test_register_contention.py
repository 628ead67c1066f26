"""Readers and changes of the register at the same time, on slow disks: neither outruns the other."""

from __future__ import annotations

import random

import pytest
import trio
from manifests import manifest, manifest_route
from mesh import start_configured
from three_acceptors import handle_request

from meadowdock.consensus import Acceptor, NoQuorum, OutcomeUnknown, Proposer
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import SimDisk, run

DISK_STEP = 5 * MILLISECOND  # a write takes four steps
SLOWDOWN = 25
ANSWER_LIMIT = 3 * SECOND  # operators wait 4 s


class BusyDisk(SimDisk):
    """Others use it too: now and then a step waits long."""

    async def step(self, shield):
        await sleep_us(self.rng.choice((0, 0, 0, self.step_us, 8 * self.step_us)))
        await super().step(shield)


class Voters:
    """Acceptors on slow disks, and connections that take 1 to 3 ms each way."""

    def __init__(self, nursery, rng, size, make_disk):
        self.nursery, self.rng = nursery, rng
        self.disks = {f"v{n}": make_disk(random.Random(n), DISK_STEP) for n in range(size)}
        self.acceptors = {
            m: Acceptor(disk, lambda *_, **__: None) for m, disk in self.disks.items()
        }
        self.dead, self.ballots, self.lossy = set(), 0, False

    def proposer(self, name):
        return Proposer(name, lambda: [list(self.acceptors)], self.ask, self.rng, self.nursery)

    async def ask(self, member, method, args, deadline):
        self.ballots += method == "prepare"
        await sleep_us(self.rng.randrange(1, 3) * MILLISECOND)
        if member in self.dead:
            await sleep_us(deadline - monotonic_us())
            raise TimeoutError
        answer = await handle_request(self.acceptors[member], method, args)
        if self.lossy and self.rng.random() < 0.1:
            raise TimeoutError
        await sleep_us(self.rng.randrange(1, 3) * MILLISECOND)
        return answer


async def contend(voters, changes=8):
    """A reader without a pause at each member, and one that changes. Gives how long each change
    took, and of the reads how many there were and how many failed; checks what each one gave."""
    took, reads, failed = [], 0, 0
    known = done = 0  # the highest that a change or a read has given

    async def reader(proposer):
        nonlocal reads, failed, known
        while True:
            least, reads = known, reads + 1
            try:
                value = await proposer.read("k", monotonic_us() + 1_200 * MILLISECOND) or 0
                assert value >= least  # what was given before the read began is in it
                known = max(known, value)
            except (NoQuorum, OutcomeUnknown):
                failed += 1
            await sleep_us(voters.rng.randrange(1, 20) * MILLISECOND)

    proposers = [voters.proposer(name) for name in voters.acceptors]
    async with trio.open_nursery() as nursery:
        for proposer in proposers:
            nursery.start_soon(reader, proposer)
        await sleep_us(100 * MILLISECOND)
        for number in range(changes):
            at = monotonic_us()
            proposer = proposers[number % len(proposers)]
            try:
                deadline = monotonic_us() + 5 * SECOND
                known = max(known, await proposer.change("k", lambda old: (old or 0) + 1, deadline))
                done += 1
            except (NoQuorum, OutcomeUnknown):
                pass
            took.append(monotonic_us() - at)
            await sleep_us(150 * MILLISECOND)
        nursery.cancel_scope.cancel()
    assert done == changes
    return took, reads, failed


CASES = {  # disks, how much slower one of them is, dead of 3, of 5
    "busy": (BusyDisk, 1, {}),
    "busy, one slow": (BusyDisk, SLOWDOWN, {}),
    "busy, some dead": (BusyDisk, 1, {3: ["v2"], 5: ["v3", "v4"]}),
    "answers lost": (BusyDisk, 1, {}),
    "the slow one is needed": (SimDisk, SLOWDOWN, {3: ["v2"], 5: ["v3", "v4"]}),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("size", (3, 5))
@pytest.mark.parametrize("seed", range(3))
def test_readers_do_not_outrun_changes(size, seed, case):
    make_disk, slower, dead = CASES[case]

    async def scenario(world):
        voters = Voters(world.nursery, random.Random(seed), size, make_disk)
        voters.disks["v1"].step_us *= slower
        voters.lossy = case == "answers lost"
        voters.dead = set(dead.get(size, ()))
        took, reads, failed = await contend(voters)
        assert max(took) < ANSWER_LIMIT
        assert failed <= reads // 20

    run(scenario, seed)


FAULTS = ("none", "dead", "cut off", "stalled", "slow")


def strike(world, fault, hosts):
    for host in hosts:
        disk = world.disks["mdconf", host]
        if fault == "dead":
            world.kill(f"mdconf@{host}")
        elif fault == "cut off":
            for other in (*world.core, *world.application):
                if other != host:
                    world.web.cut(host, other)
        elif fault == "stalled":
            disk.stalled = trio.Event()
        elif fault == "slow":
            disk.step_us *= SLOWDOWN


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("core", (3, 5))
def test_an_operator_is_answered_while_proxies_ask_and_members_fail(core, fault):
    """Each call is answered well before 4 s, and what was acknowledged is read by the next."""

    async def scenario(world):
        await start_configured(world)
        for (role, _), disk in world.disks.items():
            if role == "mdconf":
                disk.step_us = DISK_STEP
        struck = world.core[(core + 1) // 2 :]
        strike(world, fault, struck)
        took = []

        async def call(*terms):
            at = monotonic_us()
            status, told = await world.operate(*terms)
            took.append(monotonic_us() - at)
            assert status == 200, told
            return told

        version = 1
        for number in range(8):
            door, next_door = number % 2, (number + 1) % 2
            plan = await call(
                "POST", "/plan", manifest([manifest_route(f"w{number}", "/balances")]), door
            )
            told = await call("POST", "/confirm", {"plan": plan["plan"]}, next_door)
            version += 1
            assert told["version"] == version
            assert (await call("GET", "/manifest", None, door))["version"] == version
        assert max(took) < 2 * SECOND
        world.trace.lines.clear()
        await sleep_us(5 * SECOND)
        away = {f"mdconf@{h}" for h in struck} if fault == "cut off" else set()
        assert {line["of"] for _, line in world.trace.events(603)} <= away

    run(scenario, core + len(fault), core=core, application=(None,) * 20)
