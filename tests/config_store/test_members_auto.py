"""Members that bootstrap, grow, replace failures and follow replaced machines automatically."""

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
    """Makes one change after the other.

    Invariant: accepted holds the acknowledged versions, in order.
    """

    def __init__(self, world, hosts):
        self.world, self.hosts = world, hosts
        self.accepted, self.attempts, self.stopped = [], 0, False

    async def run(self):
        while not self.stopped:
            self.attempts += 1
            host = self.hosts()[self.attempts % len(self.hosts())]
            try:
                self.world.core = [host]
                with trio.move_on_after(6):
                    status, planned = await self.world.operate(
                        "POST", "/plan", manifest_with_route(self.attempts)
                    )
                    if status == 200 and planned["plan"]:
                        self.world.core = [host]
                        status, response = await self.world.operate(
                            "POST", "/confirm", {"plan": planned["plan"]}
                        )
                        if status == 200:
                            self.accepted.append(response["version"])
            except HttpConnectionFailed:
                pass  # the member has just been killed
            await sleep_us(100 * MILLISECOND)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_seeds_bootstrap_and_all_of_up_to_five_become_voters(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        assert await fleet.bootstrap() <= 4 * SECOND
        assert len(world.trace.events(601)) == 1
        assert await configure_at(world, 1, fleet.hosts[4]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_of_more_than_five_only_as_many_vote_as_the_tolerated_losses_require(seed):
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
def test_no_bootstrap_while_a_seed_is_missing(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.start(fleet.hosts[:2])
        await sleep_us(5 * SECOND)
        assert not any(fleet.memberships().values())
        assert not world.trace.events(601)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_bootstrap_with_differing_seeds(seed):
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
def test_all_members_killed_at_once_restart_with_the_same_membership(seed, founding):
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
def test_a_blank_majority_does_not_bootstrap_if_a_member_has_a_configuration(seed):
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


@pytest.mark.parametrize("overlap_us", [-SECOND, 0, 2 * SECOND])
@pytest.mark.parametrize(("core", "losses"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_machines_are_replaced_one_after_another_under_changes(seed, core, losses, overlap_us):
    async def scenario(world):
        fleet = SimulatedCore(world, core=core, losses=losses)
        await fleet.bootstrap()
        operator = Operator(world, fleet.running_hosts)
        world.nursery.start_soon(operator.run)
        for number, old in enumerate(list(fleet.hosts)):
            new = f"10.0.3.{number + 1}"
            fleet.seed_hosts = fleet.running_hosts()[:3]  # the members before this replacement
            if overlap_us <= 0:
                world.power_off("mdconf", old)
                fleet.hosts.remove(old)
                await sleep_us(-overlap_us)
            begun_at_us = monotonic_us()
            await world.start("mdconf", new)
            fleet.hosts.append(new)
            if overlap_us > 0:
                await sleep_us(overlap_us)
                world.power_off("mdconf", old)
                fleet.hosts.remove(old)
            await world.eventually(
                lambda n=new: not world.node("mdconf", n).unready_reasons(), 3_200 * MILLISECOND
            )
            await sleep_us(begun_at_us + 4 * SECOND - monotonic_us())
        operator.stopped = True
        await sleep_us(SECOND)
        assert len(operator.accepted) >= 5 * core
        assert operator.accepted == sorted(set(operator.accepted))
        assert await read_version(world, fleet.hosts[-1]) >= operator.accepted[-1]
        # now as many members may be lost as are tolerated
        for host in fleet.hosts[:losses]:
            world.power_off("mdconf", host)
        assert await read_version(world, fleet.hosts[-1]) >= operator.accepted[-1]

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_voter_stays_and_a_lost_one_is_replaced_once_a_candidate_exists(seed):
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
def test_a_failed_voter_of_an_even_number_is_removed_and_added_again(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=4)
        await fleet.bootstrap()
        dead_host = fleet.hosts[seed % 4]
        world.power_off("mdconf", dead_host)
        remaining = [h for h in fleet.hosts if h != dead_host]
        await fleet.wait_until_voters(remaining, 8 * SECOND)
        world.power_off("mdconf", remaining[0])  # two of three are still a majority
        assert await configure_at(world, 1, remaining[1]) == 1
        await world.start("mdconf", remaining[0])
        await world.start("mdconf", dead_host)
        await fleet.wait_until_voters(fleet.hosts, 4 * SECOND)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_disk_moved_to_a_new_address_stays_the_same_voter(seed):
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


@pytest.mark.parametrize("core", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_disk_is_replaced_while_all_others_lose_power(seed, core):
    async def scenario(world):
        fleet = SimulatedCore(world, core=core, losses=core // 2)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        lost_host = fleet.hosts[seed % core]
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        world.lose_disk("mdconf", lost_host)
        await fleet.start()
        assert await fleet.wait_until_voters(fleet.hosts) <= 2 * SECOND
        others = [h for h in fleet.hosts if h != lost_host]
        world.power_off("mdconf", others[0])  # now the vote of the new disk is needed
        assert await read_version(world, lost_host) == 1
        assert await configure_at(world, 2, lost_host) == 2

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


def test_a_damaged_membership_configuration_gives_the_disk_a_new_id():
    """A damaged membership configuration makes the disk count as lost.

    With the older configuration, replaced voters could vote, and without any the disk would count
    as blank.
    """

    async def work(world):
        disk = MemoryDisk()
        store = Store(disk, random.Random(1), lambda *_, **__: None)
        await store.load()
        assert store.is_blank
        old_disk_id = store.disk_id
        await store.adopt(MembershipConfiguration(1, {old_disk_id: "a"}))
        await store.adopt(MembershipConfiguration(2, {"z": "b"}))
        disk.files["members/00000002"] = b"rotten"
        reopened = Store(disk, random.Random(2), lambda *_, **__: None)
        await reopened.load()
        assert reopened.disk_id != old_disk_id
        assert reopened.membership.version == 1
        assert not reopened.is_blank

    run(work)


def test_a_slowly_written_older_configuration_does_not_replace_a_newer_one():
    async def work(world):
        class SlowDisk(MemoryDisk):
            async def write(self, name, data):
                await sleep_us(SECOND if name.endswith("2") else 0)
                await super().write(name, data)

        store = Store(SlowDisk(), random.Random(1), lambda *_, **__: None)
        await store.load()
        async with trio.open_nursery() as nursery:
            for version in (2, 3):
                membership = MembershipConfiguration(version, {"a": "x"})
                nursery.start_soon(store.adopt, membership)
                await sleep_us(10 * MILLISECOND)
        assert store.membership.version == 3

    run(work)


@pytest.mark.parametrize("step", range(1, 60, 4))
def test_a_change_is_completed_if_its_driver_dies_at_any_disk_step(step):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        actor_disk = world.disks["mdconf", fleet.hosts[0]]
        await world.start("mdconf", "10.0.3.1")
        actor_disk.lose_at = actor_disk.steps + step
        await sleep_us(3 * SECOND)
        actor_disk.lose_at = None
        if f"mdconf@{fleet.hosts[0]}" in world.processes:
            world.power_off("mdconf", fleet.hosts[0])
        fleet.hosts.append("10.0.3.1")
        await sleep_us(SECOND)
        actor_disk.power_off()
        await world.start("mdconf", fleet.hosts[0])
        await fleet.wait_until_voters(fleet.hosts, 6 * SECOND)
        assert await configure_at(world, 2, "10.0.3.1") == 2

    run(scenario, step)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_is_resolved_after_its_newcomer_lost_its_disk(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        for host in fleet.hosts:  # no change gets beyond its first step
            world.daemon("mdconf", host).transfer_files = sleep_forever
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


async def sleep_forever(deadline):
    await trio.sleep_forever()


@pytest.mark.parametrize("index", range(3))
def test_a_member_with_a_stalled_disk_does_not_block_the_others(index):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        disk = world.disks["mdconf", fleet.hosts[index]]
        disk.stalled = trio.Event()
        await world.start("mdconf", "10.0.3.1")
        new = world.node("mdconf", "10.0.3.1")
        assert await world.eventually(lambda: not new.unready_reasons(), 7 * SECOND)
        assert await configure_at(world, 1, "10.0.3.1") == 1
        disk.stalled.set()
        disk.stalled = None
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)

    run(scenario, index)


def test_a_start_with_a_long_history_on_a_slow_disk_takes_at_most_a_second():
    async def work(world):
        class SlowDisk(MemoryDisk):
            async def read(self, name):
                await sleep_us(10 * MILLISECOND)
                return await super().read(name)

        disk = SlowDisk()
        store = Store(disk, random.Random(1), lambda *_, **__: None)
        await store.load()
        await store.audit_log.put(dict.fromkeys(range(1, 1001), "record"))  # none is sealed yet
        begun_at_us = monotonic_us()
        reopened = Store(disk, random.Random(1), lambda *_, **__: None)
        await reopened.load()
        assert len(reopened.audit_log.tail) == 1000
        assert monotonic_us() - begun_at_us <= SECOND

    run(work)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_configuration_is_accepted_before_enough_members_vote_for_two_losses(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.start(fleet.hosts[:3])
        await world.eventually(lambda: all(fleet.memberships().values()))
        world.core = fleet.hosts[:1]
        status, response = await world.operate("POST", "/plan", manifest_with_route(1))
        assert (status, response["code"]) == (503, "too_few_members")
        assert all(world.node("mdconf", h).unready_reasons() for h in fleet.hosts[:3])
        await fleet.start(fleet.hosts[3:])
        await fleet.wait_until_voters(fleet.hosts, 4 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        for host in fleet.hosts[:2]:
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        assert await read_version(world, fleet.hosts[4]) == 1

    run(scenario, seed)


def test_a_fleet_with_fewer_machines_than_wanted_starts_after_bootstrap_wait():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3, losses=2)
        await fleet.start()
        await world.eventually(lambda: all(fleet.memberships().values()))
        elapsed_us = await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)
        assert 3 * SECOND <= elapsed_us <= 6 * SECOND
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


def test_a_promise_of_the_old_voters_allows_no_write_to_the_new_voters():
    """The voters change between the prepare and the write of a ballot."""

    async def work(world):
        voter_sets, versions, written = [["x", "y", "z"]], [1], []

        async def send_request(member, method, args, deadline, version):
            if method == "prepare":
                return "yes", (0, ""), None
            written.append((version, args[2]))
            if version < versions[0]:
                raise TimeoutError  # rejected by members that know the newer configuration
            return "yes", args[1]

        def update(old):
            if versions[0] == 1:
                voter_sets[0], versions[0] = ["p", "q", "r"], 2
                return "old"
            return "new"

        proposer = Proposer(
            "n",
            lambda: list(voter_sets),
            send_request,
            random.Random(1),
            world.nursery,
            lambda: versions[0],
        )
        assert await proposer.change("k", update, monotonic_us() + 5 * SECOND) == "new"
        assert {v for v, value in written if value == "old"} == {1}

    run(work)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_blank_disk_at_a_voters_address_does_not_count_as_that_voter(seed):
    """A blank disk at a voter's address must not answer for the lost disk.

    Its empty list of keys would hide a key that only one other member of the majority holds.
    """

    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        daemon = world.daemon("mdconf", world.core[1])
        membership = daemon.store.membership
        world.power_off("mdconf", host)
        world.lose_disk("mdconf", host)
        world.daemon("mdconf", world.core[2]).changes_in_progress = daemon.changes_in_progress = (
            1  # so they don't replace it
        )
        await world.start("mdconf", host)
        world.daemon("mdconf", host).changes_in_progress = 1
        await world.eventually(lambda: world.daemon("mdconf", host).store.membership)
        answers = await daemon.broadcast_to(
            membership.voters,
            "member.keys",
            membership.to_record(),
            monotonic_us() + SECOND,
            lambda answers: False,
        )
        assert set(answers) == {d for d, a in membership.voters.items() if a != f"{host}:7421"}

    run(scenario, seed)


def test_the_change_of_another_member_is_not_completed_before_its_keys_are_transferred():
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

        async def complete_and_begin_next(deadline):
            """Complete the change as another member, and begin the next one."""
            await daemon.propose_membership(
                lambda current: MembershipConfiguration(current.version + 1, disks), deadline
            )
            await daemon.propose_membership(begin, deadline)

        daemon.transfer_files = complete_and_begin_next
        with pytest.raises(Exception, match="another_change"):
            await daemon.complete_change(first, monotonic_us() + 2 * SECOND)
        assert daemon.store.membership.next_voters == disks
        assert daemon.store.membership.version == first.version + 2

    run(scenario)


def test_100_keys_are_transferred_within_600_ms():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        daemon = world.daemon("mdconf", fleet.hosts[0])
        for n in range(100):
            await daemon.proposer.change(f"duty/{n}", lambda old, n=n: n, monotonic_us() + SECOND)
        begun_at_us = monotonic_us()
        await daemon.transfer_state(monotonic_us() + 5 * SECOND)
        assert monotonic_us() - begun_at_us <= 600 * MILLISECOND

    run(scenario)


def test_a_member_that_waits_for_the_bootstrap_says_once_why():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.start(fleet.hosts[:1])
        fleet.may_bootstrap = False
        await fleet.start(fleet.hosts[1:2])
        await sleep_us(10 * SECOND)
        first, second, third = (f"{host}:7421" for host in fleet.hosts)
        not_permitted = "without permission to bootstrap"
        told = {line["of"]: line["why"] for _, line in world.trace.events(608)}
        assert told == dict.fromkeys(
            [f"mdconf@{host}" for host in fleet.hosts[:2]],
            {second: not_permitted, third: "no answer"},
        )
        assert len(world.trace.events(608)) == 2

    run(scenario, 1)
