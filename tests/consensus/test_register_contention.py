"""Concurrent reads and changes of the register on slow disks: neither starves the other."""

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
SLOWDOWN = 25  # factor
CHANGE_DURATION_LIMIT = 3 * SECOND  # operators wait 4 s


class BusyDisk(SimDisk):
    """A disk shared with other programs: some steps wait for them first."""

    async def step(self, shield):
        await sleep_us(self.rng.choice((0, 0, 0, self.step_us, 8 * self.step_us)))
        await super().step(shield)


class Voters:
    """Acceptors on slow disks, and connections that take 1 to 3 ms each way."""

    def __init__(self, nursery, rng, size, make_disk):
        self.nursery, self.rng = nursery, rng
        self.disks = {
            f"v{number}": make_disk(random.Random(number), DISK_STEP) for number in range(size)
        }
        self.acceptors = {
            m: Acceptor(disk, lambda *_, **__: None) for m, disk in self.disks.items()
        }
        self.dead, self.prepares_sent, self.loses_answers = set(), 0, False

    def proposer(self, name):
        return Proposer(
            name, lambda: [list(self.acceptors)], self.send_request, self.rng, self.nursery
        )

    async def send_request(self, member, method, args, deadline):
        self.prepares_sent += method == "prepare"
        await sleep_us(self.rng.randrange(1, 3) * MILLISECOND)
        if member in self.dead:
            await sleep_us(deadline - monotonic_us())
            raise TimeoutError
        answer = await handle_request(self.acceptors[member], method, args)
        if self.loses_answers and self.rng.random() < 0.1:
            raise TimeoutError
        await sleep_us(self.rng.randrange(1, 3) * MILLISECOND)
        return answer


async def contend(voters, changes=8):
    """Run a reader at each member and one sequence of changes at the same time.

    Checks that no read returns a value older than one returned before the read began.

    :returns: the duration of each change, the number of reads, and the number of failed reads.
    """
    durations, reads, failed_reads = [], 0, 0
    highest_returned = committed = 0  # highest_returned: by any change or read

    async def reader(proposer):
        nonlocal reads, failed_reads, highest_returned
        while True:
            lower_bound, reads = highest_returned, reads + 1
            try:
                value = await proposer.read("k", monotonic_us() + 1_200 * MILLISECOND) or 0
                assert value >= lower_bound
                highest_returned = max(highest_returned, value)
            except (NoQuorum, OutcomeUnknown):
                failed_reads += 1
            await sleep_us(voters.rng.randrange(1, 20) * MILLISECOND)

    proposers = [voters.proposer(name) for name in voters.acceptors]
    async with trio.open_nursery() as nursery:
        for proposer in proposers:
            nursery.start_soon(reader, proposer)
        await sleep_us(100 * MILLISECOND)
        for number in range(changes):
            started = monotonic_us()
            proposer = proposers[number % len(proposers)]
            try:
                deadline = monotonic_us() + 5 * SECOND
                highest_returned = max(
                    highest_returned,
                    await proposer.change("k", lambda value: (value or 0) + 1, deadline),
                )
                committed += 1
            except (NoQuorum, OutcomeUnknown):
                pass
            durations.append(monotonic_us() - started)
            await sleep_us(150 * MILLISECOND)
        nursery.cancel_scope.cancel()
    assert committed == changes
    return durations, reads, failed_reads


CASES = {  # disk class, slowdown of one disk, dead members by cluster size
    "busy": (BusyDisk, 1, {}),
    "busy, one slow": (BusyDisk, SLOWDOWN, {}),
    "busy, some dead": (BusyDisk, 1, {3: ["v2"], 5: ["v3", "v4"]}),
    "answers lost": (BusyDisk, 1, {}),
    "the slow one is needed": (SimDisk, SLOWDOWN, {3: ["v2"], 5: ["v3", "v4"]}),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("size", (3, 5))
@pytest.mark.parametrize("seed", range(3))
def test_readers_do_not_starve_changes(size, seed, case):
    make_disk, slowdown, dead = CASES[case]

    async def scenario(world):
        voters = Voters(world.nursery, random.Random(seed), size, make_disk)
        voters.disks["v1"].step_us *= slowdown
        voters.loses_answers = case == "answers lost"
        voters.dead = set(dead.get(size, ()))
        durations, reads, failed_reads = await contend(voters)
        assert max(durations) < CHANGE_DURATION_LIMIT
        assert failed_reads <= reads // 20

    run(scenario, seed)


FAULTS = ("none", "dead", "cut off", "stalled", "slow")


def inject(world, fault, hosts):
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
def test_operators_are_answered_while_proxies_send_requests_and_members_fail(core, fault):
    """Each call is answered well within 4 s, and the next call reads each acknowledged change."""

    async def scenario(world):
        await start_configured(world)
        for (role, _), disk in world.disks.items():
            if role == "mdconf":
                disk.step_us = DISK_STEP
        faulty_hosts = world.core[(core + 1) // 2 :]
        inject(world, fault, faulty_hosts)
        durations = []

        async def call(*request):
            started = monotonic_us()
            status, answer = await world.operate(*request)
            durations.append(monotonic_us() - started)
            assert status == 200, answer
            return answer

        version = 1
        for number in range(8):
            core_index, other_core_index = number % 2, (number + 1) % 2
            routes = [manifest_route(f"w{number}", "/balances")]
            plan = await call("POST", "/plan", manifest(routes), core_index)
            answer = await call("POST", "/confirm", {"plan": plan["plan"]}, other_core_index)
            version += 1
            assert answer["version"] == version
            assert (await call("GET", "/manifest", None, core_index))["version"] == version
        assert max(durations) < 2 * SECOND
        world.trace.lines.clear()
        await sleep_us(5 * SECOND)
        unreachable = {f"mdconf@{h}" for h in faulty_hosts} if fault == "cut off" else set()
        assert {line["of"] for _, line in world.trace.events(603)} <= unreachable

    run(scenario, core + len(fault), core=core, application=(None,) * 20)
