"""Members that found, grow, mend and follow exchanged machines by themselves."""

from __future__ import annotations

import random

import pytest
import trio
from core_fleet import SEEDS, SimulatedCore, configure_at, manifest_with_route, read_version
from mesh import start_configured

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import Proposer
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    MemoryDisk,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator import run


class Operator:
    """Makes a change after another. Invariant: accepted holds the versions told, in order."""

    def __init__(self, world, hosts):
        self.world, self.hosts = world, hosts
        self.accepted, self.tried, self.over = [], 0, False

    async def run(self):
        while not self.over:
            self.tried += 1
            host = self.hosts()[self.tried % len(self.hosts())]
            try:
                self.world.core = [host]
                with trio.move_on_after(6):
                    status, planned = await self.world.operate(
                        "POST", "/plan", manifest_with_route(self.tried)
                    )
                    if status == 200 and planned["plan"]:
                        self.world.core = [host]
                        status, told = await self.world.operate(
                            "POST", "/confirm", {"plan": planned["plan"]}
                        )
                        if status == 200:
                            self.accepted.append(told["version"])
            except HttpConnectionFailed:
                pass  # just killed
            await sleep_us(100 * MILLISECOND)


# ---------------------------------------------------------------- founding


@pytest.mark.parametrize("seed", SEEDS)
def test_the_seeds_found_and_all_of_up_to_five_become_voters(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        assert await fleet.bootstrap() <= 4 * SECOND
        assert len(world.trace.events(601)) == 1
        assert await configure_at(world, 1, fleet.hosts[4]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_of_more_than_five_only_as_many_as_the_losses_need_vote(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=7, losses=1)
        await fleet.start()
        await sleep_us(5 * SECOND)
        memberships = list(fleet.memberships().values())
        assert {len(m.voters) for m in memberships} == {3}
        assert all(m == memberships[0] for m in memberships)
        assert not any(world.node("mdconf", h).unready_reasons() for h in fleet.hosts)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_nobody_founds_while_a_founder_is_missing_or_not_founding(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.start(fleet.hosts[:2])
        fleet.may_bootstrap = False
        await fleet.start(fleet.hosts[2:])
        await sleep_us(5 * SECOND)
        assert not any(fleet.memberships().values())
        assert not world.trace.events(601)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_with_differing_seeds_nobody_founds(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=4)
        await fleet.start(fleet.hosts[:3:2])
        fleet.seed_hosts = fleet.hosts[1:4]
        await fleet.start(fleet.hosts[1::2])
        await sleep_us(5 * SECOND)
        assert not any(fleet.memberships().values())

    run(scenario, seed)


@pytest.mark.parametrize("founding", [True, False])
@pytest.mark.parametrize("seed", SEEDS)
def test_all_killed_at_once_come_back_as_they_were(seed, founding):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        membership = fleet.store(fleet.hosts[0]).membership
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        fleet.may_bootstrap = founding
        await sleep_us(SECOND)
        await fleet.start()
        assert await fleet.wait_until_voters(fleet.hosts) <= 2 * SECOND
        assert fleet.store(fleet.hosts[0]).membership == membership
        assert await read_version(world, fleet.hosts[1]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_blank_majority_never_founds_beside_a_record(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        for host in fleet.hosts[:2]:
            world.lose_disk("mdconf", host)
        fleet.may_bootstrap = True
        await fleet.start()
        await sleep_us(6 * SECOND)
        assert len(world.trace.events(601)) == 1
        assert {m.version for m in fleet.memberships().values()} == {1}
        assert all(world.node("mdconf", h).unready_reasons() for h in fleet.hosts)

    run(scenario, seed)


# ---------------------------------------------------------------- exchanged machines


@pytest.mark.parametrize("overlap_us", [-SECOND, 0, 2 * SECOND])
@pytest.mark.parametrize(("core", "losses"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_machines_are_exchanged_one_after_another_under_changes(seed, core, losses, overlap_us):
    async def scenario(world):
        fleet = SimulatedCore(world, core=core, losses=losses)
        await fleet.bootstrap()
        operator = Operator(world, fleet.running_hosts)
        world.nursery.start_soon(operator.run)
        for number, old in enumerate(list(fleet.hosts)):
            new = f"10.0.3.{number + 1}"
            fleet.seed_hosts = fleet.running_hosts()[:3]  # as they were before this exchange
            if overlap_us <= 0:
                world.power_off("mdconf", old)
                fleet.hosts.remove(old)
                await sleep_us(-overlap_us)
            begun = monotonic_us()
            await world.start("mdconf", new)
            fleet.hosts.append(new)
            if overlap_us > 0:
                await sleep_us(overlap_us)
                world.power_off("mdconf", old)
                fleet.hosts.remove(old)
            await world.eventually(
                lambda n=new: not world.node("mdconf", n).unready_reasons(), 3_200 * MILLISECOND
            )
            await sleep_us(begun + 4 * SECOND - monotonic_us())
        operator.over = True
        await sleep_us(SECOND)
        assert len(operator.accepted) >= 5 * core
        assert operator.accepted == sorted(set(operator.accepted))
        assert await read_version(world, fleet.hosts[-1]) >= operator.accepted[-1]
        # as many as the losses to be borne may go now
        for host in fleet.hosts[:losses]:
            world.power_off("mdconf", host)
        assert await read_version(world, fleet.hosts[-1]) >= operator.accepted[-1]

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_voter_that_only_restarts_stays_and_one_gone_for_good_waits_for_a_new_one(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        membership = fleet.store(fleet.hosts[0]).membership
        host = fleet.hosts[seed % 3]
        world.power_off("mdconf", host)
        await sleep_us(1_500 * MILLISECOND)
        await world.start("mdconf", host)
        await sleep_us(3 * SECOND)
        assert all(m == membership for m in fleet.memberships().values())
        world.power_off("mdconf", host)
        fleet.hosts.remove(host)
        await sleep_us(20 * SECOND)
        assert all(m == membership for m in fleet.memberships().values())
        fleet.hosts.append("10.0.3.1")
        await world.start("mdconf", "10.0.3.1")
        assert await fleet.wait_until_voters(fleet.hosts) <= 2_500 * MILLISECOND

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_too_many_of_an_even_number_is_left_out_and_comes_back(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=4)
        await fleet.bootstrap()
        dead = fleet.hosts[seed % 4]
        world.power_off("mdconf", dead)
        left = [h for h in fleet.hosts if h != dead]
        await fleet.wait_until_voters(left, 8 * SECOND)
        world.power_off("mdconf", left[0])  # of three, two go on
        assert await configure_at(world, 1, left[1]) == 1
        await world.start("mdconf", left[0])
        await world.start("mdconf", dead)
        await fleet.wait_until_voters(fleet.hosts, 4 * SECOND)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_machine_whose_disk_moved_to_a_new_address_stays_the_same_voter(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        old = fleet.hosts.pop(seed % 3)
        world.power_off("mdconf", old)
        disk = world.disks["mdconf", "10.0.3.1"] = world.disks.pop(("mdconf", old))
        fleet.hosts.append("10.0.3.1")
        await world.start("mdconf", "10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts)
        assert disk is world.disks["mdconf", "10.0.3.1"]
        world.power_off("mdconf", fleet.hosts[0])
        assert await configure_at(world, 1, fleet.hosts[1]) == 1

    run(scenario, seed)


# ---------------------------------------------------------------- lost disks


@pytest.mark.parametrize("core", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_disk_is_replaced_while_all_others_lose_power(seed, core):
    async def scenario(world):
        fleet = SimulatedCore(world, core=core, losses=core // 2)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        lost = fleet.hosts[seed % core]
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        world.lose_disk("mdconf", lost)
        await fleet.start()
        assert await fleet.wait_until_voters(fleet.hosts) <= 2 * SECOND
        others = [h for h in fleet.hosts if h != lost]
        world.power_off("mdconf", others[0])  # now the new disk's vote may be needed
        assert await read_version(world, lost) == 1
        assert await configure_at(world, 2, lost) == 2

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_lost_disks_of_five_are_replaced(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        for host in fleet.hosts[:2]:
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        await fleet.start(fleet.hosts[:2])
        assert await fleet.wait_until_voters(fleet.hosts) <= 3 * SECOND
        for host in fleet.hosts[3:]:
            world.power_off("mdconf", host)
        assert await configure_at(world, 2, fleet.hosts[0]) == 2

    run(scenario, seed)


def test_a_rotten_record_makes_another_disk():
    """Its older record would let former voters vote, and it would count as blank."""

    async def work(world):
        disk = MemoryDisk()
        store = Store(disk, random.Random(1), lambda *_, **__: None)
        await store.load()
        assert store.is_blank
        former = store.disk
        await store.adopt(MembershipConfiguration(1, {former: "a"}))
        await store.adopt(MembershipConfiguration(2, {"z": "b"}))
        disk.files["members/00000002"] = b"rotten"
        again = Store(disk, random.Random(2), lambda *_, **__: None)
        await again.load()
        assert again.disk != former
        assert again.membership.version == 1
        assert not again.is_blank

    run(work)


def test_a_slower_older_record_does_not_follow_a_newer():
    async def work(world):
        class Slow(MemoryDisk):
            async def write(self, name, data):
                await sleep_us(SECOND if name.endswith("2") else 0)
                await super().write(name, data)

        store = Store(Slow(), random.Random(1), lambda *_, **__: None)
        await store.load()
        async with trio.open_nursery() as nursery:
            for version in (2, 3):
                membership = MembershipConfiguration(version, {"a": "x"})
                nursery.start_soon(store.adopt, membership)
                await sleep_us(10 * MILLISECOND)
        assert store.membership.version == 3

    run(work)


# ---------------------------------------------------------------- changes that were cut


@pytest.mark.parametrize("step", range(1, 60, 4))
def test_a_change_whose_actor_dies_at_any_disk_step_is_ended(step):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        actor = world.disks["mdconf", fleet.hosts[0]]
        await world.start("mdconf", "10.0.3.1")
        actor.lose_at = actor.steps + step
        await sleep_us(3 * SECOND)
        actor.lose_at = None
        if f"mdconf@{fleet.hosts[0]}" in world.processes:
            world.power_off("mdconf", fleet.hosts[0])
        fleet.hosts.append("10.0.3.1")
        await sleep_us(SECOND)
        actor.power_off()
        await world.start("mdconf", fleet.hosts[0])
        await fleet.wait_until_voters(fleet.hosts, 6 * SECOND)
        assert await configure_at(world, 2, "10.0.3.1") == 2

    run(scenario, step)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_is_ended_though_the_one_that_was_to_come_in_lost_its_disk(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        for host in fleet.hosts:  # nobody gets further than the first step
            world.daemon("mdconf", host).transfer_files = forever
        await world.start("mdconf", "10.0.3.1")
        await world.eventually(lambda: fleet.store(fleet.hosts[0]).membership.next_voters)
        world.power_off("mdconf", "10.0.3.1")
        world.lose_disk("mdconf", "10.0.3.1")
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        await fleet.start()
        await world.start("mdconf", "10.0.3.1")
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)

    run(scenario, seed)


async def forever(due):
    await trio.sleep_forever()


@pytest.mark.parametrize("who", range(3))
def test_a_stalled_disk_does_not_hold_up_the_members(who):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        disk = world.disks["mdconf", fleet.hosts[who]]
        disk.stalled = trio.Event()
        await world.start("mdconf", "10.0.3.1")
        new = world.node("mdconf", "10.0.3.1")
        assert await world.eventually(lambda: not new.unready_reasons(), 7 * SECOND)
        assert await configure_at(world, 1, "10.0.3.1") == 1
        disk.stalled.set()
        disk.stalled = None
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)

    run(scenario, who)


def test_a_start_with_a_long_history_on_a_slow_disk_is_quick():
    async def work(world):
        class Slow(MemoryDisk):
            async def read(self, name):
                await sleep_us(10 * MILLISECOND)
                return await super().read(name)

        disk = Slow()
        store = Store(disk, random.Random(1), lambda *_, **__: None)
        await store.load()
        await store.audit_log.put(dict.fromkeys(range(1, 1001), "record"))  # none sealed yet
        begun = monotonic_us()
        again = Store(disk, random.Random(1), lambda *_, **__: None)
        await again.load()
        assert len(again.audit_log.tail) == 1000
        assert monotonic_us() - begun <= SECOND

    run(work)


# ---------------------------------------------------------------- losses to be borne


@pytest.mark.parametrize("seed", SEEDS)
def test_no_configuration_is_taken_before_enough_vote_for_two_losses(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.start(fleet.hosts[:3])
        await world.eventually(lambda: all(fleet.memberships().values()))
        world.core = fleet.hosts[:1]
        status, told = await world.operate("POST", "/plan", manifest_with_route(1))
        assert (status, told["code"]) == (503, "too_few_members")
        assert all(world.node("mdconf", h).unready_reasons() for h in fleet.hosts[:3])
        await fleet.start(fleet.hosts[3:])
        await fleet.wait_until_voters(fleet.hosts, 4 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        for host in fleet.hosts[:2]:
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        assert await read_version(world, fleet.hosts[4]) == 1

    run(scenario, seed)


def test_a_fleet_with_fewer_machines_than_wanted_starts_after_a_while():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3, losses=2)
        await fleet.start()
        await world.eventually(lambda: all(fleet.memberships().values()))
        took = await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)
        assert 3 * SECOND <= took <= 6 * SECOND
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


# ---------------------------------------------------------------- rounds and records


def test_a_promise_of_former_voters_allows_no_write_among_those_that_followed():
    """The voters change between a ballot's prepare and its write."""

    async def work(world):
        groups, versions, written = [["x", "y", "z"]], [1], []

        async def ask(member, method, args, due, version):
            if method == "prepare":
                return "yes", (0, ""), None
            written.append((version, args[2]))
            if version < versions[0]:
                raise TimeoutError  # refused by who knows the newer record
            return "yes", args[1]

        def make(old):
            if versions[0] == 1:
                groups[0], versions[0] = ["p", "q", "r"], 2
                return "old"
            return "new"

        proposer = Proposer(
            "n", lambda: list(groups), ask, random.Random(1), world.nursery, lambda: versions[0]
        )
        assert await proposer.change("k", make, monotonic_us() + 5 * SECOND) == "new"
        assert {v for v, value in written if value == "old"} == {1}

    run(work)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_blank_disk_at_a_voters_address_does_not_count_as_that_voter(seed):
    """Its empty list of keys would hide a key that only one more of a majority holds."""

    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        daemon = world.daemon("mdconf", world.core[1])
        membership = daemon.store.membership
        world.power_off("mdconf", host)
        world.lose_disk("mdconf", host)
        world.daemon("mdconf", world.core[2]).changes_in_progress = daemon.changes_in_progress = (
            1  # they don't mend it
        )
        await world.start("mdconf", host)
        world.daemon("mdconf", host).changes_in_progress = 1
        await world.eventually(lambda: world.daemon("mdconf", host).store.membership)
        told = await daemon.broadcast_to(
            membership.voters,
            "member.keys",
            membership.to_record(),
            monotonic_us() + SECOND,
            lambda answers: False,
        )
        assert set(told) == {d for d, a in membership.voters.items() if a != f"{host}:7421"}

    run(scenario, seed)


def test_a_change_of_another_is_not_ended_before_its_keys_are_carried_over():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        daemon = world.daemon("mdconf", fleet.hosts[0])
        disks = dict(daemon.store.membership.voters)
        daemon.changes_in_progress = 1
        for host in fleet.hosts[1:]:
            world.daemon("mdconf", host).changes_in_progress = 1

        def begin(current):
            return MembershipConfiguration(current.version + 1, current.voters, disks)

        first = await daemon.propose_membership(begin, monotonic_us() + SECOND)

        async def meanwhile(due):
            """The other ends the change, and begins the next."""
            await daemon.propose_membership(
                lambda current: MembershipConfiguration(current.version + 1, disks), due
            )
            await daemon.propose_membership(begin, due)

        daemon.transfer_files = meanwhile
        with pytest.raises(Exception, match="another_change"):
            await daemon.complete_change(first, monotonic_us() + 2 * SECOND)
        assert daemon.store.membership.next_voters == disks
        assert daemon.store.membership.version == first.version + 2

    run(scenario)


def test_many_keys_are_carried_over_in_well_under_a_second():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        daemon = world.daemon("mdconf", fleet.hosts[0])
        for n in range(100):
            await daemon.proposer.change(f"duty/{n}", lambda old, n=n: n, monotonic_us() + SECOND)
        begun = monotonic_us()
        await daemon.transfer_state(monotonic_us() + 5 * SECOND)
        assert monotonic_us() - begun <= 600 * MILLISECOND

    run(scenario)
