"""Losses while members are few, changing or stopping: what was acknowledged is kept."""

from __future__ import annotations

import random

import pytest
import trio
from core_fleet import SEEDS, SimulatedCore, configure_at, manifest_with_route, read_version

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import FailureDomain, Tolerance, VoterSets
from meadowdock.runtime import MILLISECOND, SECOND, MemoryDisk, sleep_us
from meadowdock.simulator import run


def log_nothing(*_, **__):
    pass


@pytest.mark.parametrize("seed", SEEDS)
def test_an_acknowledged_change_is_on_more_disks_than_may_be_lost(seed):
    """With three voters and two tolerated losses, two voters are not enough to acknowledge."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3, losses=2)
        await fleet.start()
        await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts[seed % 3])
        remaining = fleet.running_hosts()
        world.core = remaining[:1]
        status, response = await world.operate("POST", "/plan", manifest_with_route(2))
        assert (status, response["code"]) == (503, "no_majority")
        # the committed configuration is still served
        assert await read_version(world, remaining[1]) == 1

    run(scenario, seed)


def test_a_single_process_acknowledges_nothing_if_a_loss_must_be_tolerated():
    async def scenario(world):
        fleet = SimulatedCore(world, core=1, losses=1)
        await fleet.start()
        await sleep_us(10 * SECOND)
        world.core = fleet.hosts
        status, response = await world.operate("POST", "/plan", manifest_with_route(1))
        assert (status, response["code"]) == (503, "too_few_members")
        assert world.node("mdconf", fleet.hosts[0]).unready_reasons() == [
            "too few members for the losses to be borne"
        ]

    run(scenario)


def test_a_single_process_serves_if_no_loss_must_be_tolerated():
    async def scenario(world):
        fleet = SimulatedCore(world, core=1, losses=0)
        await fleet.start()
        await fleet.wait_until_voters(fleet.hosts)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


def test_zones_count_for_durability_once_all_are_known():
    domains = {
        "a": FailureDomain("x", "n"),
        "b": FailureDomain("x", "n"),
        "c": FailureDomain("y", "s"),
    }
    sets = VoterSets.from_sets([["a", "b", "c"]], domains, Tolerance(1, zones=1))
    assert not sets.is_durable(["a", "b"])
    assert sets.is_durable(["b", "c"])
    regions = VoterSets.from_sets([["a", "b", "c"]], domains, Tolerance(1, regions=1))
    assert not regions.is_durable(["a", "b"])
    unknown = VoterSets.from_sets(
        [["a", "b", "c"]], {"a": FailureDomain("x")}, Tolerance(1, zones=1)
    )
    assert unknown.is_durable(["a", "b"])


class ZonedFleet(SimulatedCore):
    """A fleet whose hosts have zones and regions; zone_losses and region_losses are tolerated."""

    def __init__(self, world, zones, losses=1, zone_losses=0, region_losses=0):
        super().__init__(world, len(zones), losses)
        self.zones = dict(zip(self.hosts, zones, strict=True))
        self.zone_losses, self.region_losses = zone_losses, region_losses

    def raw_settings(self, role, host):
        facts = super().raw_settings(role, host)
        facts |= {"hall": self.zones[host], "region": self.zones[host][0]}
        if role == "mdconf":
            facts |= {"zone_losses": self.zone_losses, "region_losses": self.region_losses}
        return facts

    def voting_zones(self):
        membership = self.store(self.running_hosts()[0]).membership
        return sorted(self.zones[a.split(":")[0]] for a in membership.voters.values())

    def steady(self, zones):
        """Whether the voters are in these zones, all members agree, and none of them is unready."""
        memberships = list(self.memberships().values())
        return (
            all(m and m.next_voters is None and m == memberships[0] for m in memberships)
            and self.voting_zones() == zones
            and not any(
                self.world.node("mdconf", h).unready_reasons() for h in self.running_hosts()
            )
        )


@pytest.mark.parametrize("kind", ["zone_losses", "region_losses"])
@pytest.mark.parametrize("seed", [1, 2])
def test_voters_are_exchanged_until_the_loss_of_a_zone_or_region_is_tolerated(seed, kind):
    """All seeds are in one zone, whose loss would take all voters."""

    async def scenario(world):
        fleet = ZonedFleet(world, ["a1", "a1", "a1", "b1", "b1", "c1", "c1"], **{kind: 1})
        await fleet.start()
        await world.eventually(lambda: fleet.steady(["a1", "b1", "c1"]), 12 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        for host in fleet.hosts[:3]:
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        assert await read_version(world, fleet.hosts[4]) == 1
        assert await configure_at(world, 2, fleet.hosts[5]) == 2

    run(scenario, seed)


def test_fewer_members_vote_if_that_tolerates_the_loss_of_a_zone():
    async def scenario(world):
        fleet = ZonedFleet(world, ["a1", "b1", "c1", "a1", "a1"], zone_losses=1)
        await fleet.start()
        await sleep_us(6 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        await world.eventually(lambda: fleet.steady(fleet.voting_zones()), 3 * SECOND)
        membership = fleet.store(fleet.hosts[0]).membership
        await sleep_us(10 * SECOND)
        assert fleet.memberships()[fleet.hosts[4]] == membership
        for host in (fleet.hosts[0], *fleet.hosts[3:]):
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        assert await configure_at(world, 2, fleet.hosts[1]) == 2

    run(scenario)


def test_a_lost_voter_is_replaced_from_the_zone_with_the_fewest_voters():
    async def scenario(world):
        zones = ["a1", "b1", "c1", "a1", "b1", "c1", "c1"]
        fleet = ZonedFleet(world, zones)
        await fleet.start()
        await sleep_us(5 * SECOND)
        assert fleet.voting_zones() == ["a1", "b1", "c1"]
        world.power_off("mdconf", fleet.hosts[2])
        await world.eventually(
            lambda: fleet.store(fleet.hosts[0]).membership.version >= 3, 8 * SECOND
        )
        assert fleet.voting_zones() == ["a1", "b1", "c1"]

    run(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_configuration_without_failure_domains_is_read_and_gains_them(seed):
    """An older release left such a configuration on disk."""

    async def scenario(world):
        fleet = ZonedFleet(world, ["a1", "b1", "c1"], zone_losses=1)
        await fleet.bootstrap()
        for host in fleet.hosts:
            store = fleet.store(host)
            old_configuration = MembershipConfiguration(2, store.membership.voters)
            await store.adopt(old_configuration)
            assert store.membership == old_configuration
            assert "places" not in old_configuration.to_record()
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        await fleet.start()
        expected = {fleet.store(h).disk_id: FailureDomain(z, z[0]) for h, z in fleet.zones.items()}
        await world.eventually(
            lambda: all(m.failure_domains == expected for m in fleet.memberships().values()),
            4 * SECOND,
        )
        assert fleet.store(fleet.hosts[0]).membership.voters == old_configuration.voters
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario, seed)


async def wait_for_change(world, fleet):
    await world.eventually(
        lambda: fleet.store(fleet.hosts[0]).membership.next_voters, 6 * SECOND, MILLISECOND
    )


def holds_everything(world, fleet, newcomer, old):
    """Whether the newcomer has all state that the old members have.

    These are all keys with the newest accepted ballots, the chunk files of the current revision,
    and the audit log.
    """
    new_store, old_stores = fleet.store(newcomer), [fleet.store(h) for h in old]
    newest = {}
    for store in old_stores:
        for key in store.acceptor.keys.values():
            newest[key] = max(newest.get(key, (0, "")), store.acceptor.read(key)[0])
    head = max(
        (s.acceptor.read("manifest/head")[1] for s in old_stores), key=lambda h: h["version"]
    )
    return (
        all(
            new_store.acceptor.read(key)[0] >= ballot
            for key, ballot in newest.items()
            if key != "members"
        )
        and {f"blob/{name}" for name in head["ranges"]} <= set(new_store.disk.disk.files)
        and all(new_store.audit_log.holds(version) for version in range(1, head["version"]))
    )


@pytest.mark.parametrize("slow", ["write", "put_chunk", "put"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_replacement_ends_only_when_the_newcomer_holds_everything(seed, slow):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        for number in range(1, 4):
            await configure_at(world, number, fleet.hosts[0])
        lost_host = fleet.hosts.pop(2)
        world.power_off("mdconf", lost_host)
        await world.start("mdconf", "10.0.3.1")
        store = fleet.store("10.0.3.1")
        delayed_target = {"write": store.acceptor, "put_chunk": store, "put": store.audit_log}[slow]
        delay_method(delayed_target, slow)
        await world.eventually(
            lambda: store.disk_id in (fleet.store(fleet.hosts[0]).membership.voters),
            9 * SECOND,
            MILLISECOND,
        )
        assert holds_everything(world, fleet, "10.0.3.1", fleet.hosts)
        # Right after the replacement, a second member that holds everything loses its disk.
        world.power_off("mdconf", fleet.hosts[seed - 1])
        world.lose_disk("mdconf", fleet.hosts[seed - 1])
        assert await read_version(world, fleet.hosts[2 - seed]) == 3
        assert await configure_at(world, 4, "10.0.3.1") == 4
        await world.start("mdconf", fleet.hosts[seed - 1])
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 6 * SECOND)

    run(scenario, seed)


def delay_method(target, method, delay_us=300 * MILLISECOND):
    original = getattr(target, method)

    async def delayed(*args):
        await sleep_us(delay_us)
        return await original(*args)

    setattr(target, method, delayed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_is_reverted_if_its_newcomer_dies_and_another_one_replaces_it(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts.pop(2))
        await world.start("mdconf", "10.0.3.1")
        delay_method(fleet.store("10.0.3.1").acceptor, "write", 10 * SECOND)
        await wait_for_change(world, fleet)
        world.power_off("mdconf", "10.0.3.1")
        await world.start("mdconf", "10.0.3.2")
        fleet.hosts.append("10.0.3.2")
        await fleet.wait_until_voters(fleet.hosts, 15 * SECOND)
        world.power_off("mdconf", fleet.hosts[seed % 2])
        world.lose_disk("mdconf", fleet.hosts[seed % 2])
        assert await read_version(world, "10.0.3.2") == 1
        assert await configure_at(world, 2, "10.0.3.2") == 2

    run(scenario, seed)


def test_a_newcomer_that_answers_but_never_stores_does_not_block_the_membership():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        await world.start("mdconf", "10.0.3.1")
        delay_method(fleet.store("10.0.3.1").acceptor, "write", 3600 * SECOND)
        await wait_for_change(world, fleet)
        version = fleet.store(fleet.hosts[0]).membership.version
        await world.eventually(
            lambda: fleet.store(fleet.hosts[0]).membership.version > version, 20 * SECOND
        )
        assert len(fleet.store(fleet.hosts[0]).membership.voters) == 3
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


def test_what_newcomers_accepted_is_on_the_old_voters_before_a_change_is_reverted():
    """A reverted change must not lose what newcomers have accepted.

    Three of five members vote; an acknowledged change is on two of the three and on a newcomer.
    """

    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.start(fleet.hosts[:3])
        await fleet.wait_until_voters(fleet.hosts[:3], 8 * SECOND)
        await fleet.start(fleet.hosts[3:])
        delay_method(fleet.store(fleet.hosts[4]).acceptor, "write", 3600 * SECOND)
        await wait_for_change(world, fleet)
        lagging = fleet.store(fleet.hosts[2])
        for host in fleet.hosts:
            world.daemon("mdconf", host).repairer.compare = do_nothing
        repair = break_method(lagging.acceptor, "write")
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts[4])
        await sleep_us(20 * SECOND)
        assert lagging.acceptor.read("manifest/head")[1] is None
        assert fleet.store(fleet.hosts[0]).membership.next_voters
        repair()
        await world.eventually(
            lambda: not fleet.store(fleet.hosts[0]).membership.next_voters, 10 * SECOND, MILLISECOND
        )
        assert lagging.acceptor.read("manifest/head")[1]["version"] == 1

    run(scenario)


@pytest.mark.parametrize("delay_us", range(0, 400 * MILLISECOND, 40 * MILLISECOND))
def test_five_members_tolerate_a_second_loss_at_any_moment_of_a_replacement(delay_us):
    """The second loss is the member that drives the change."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts.pop())
        await world.start("mdconf", "10.0.3.1")
        await wait_for_change(world, fleet)
        await sleep_us(delay_us)
        world.power_off("mdconf", fleet.hosts[0])
        world.lose_disk("mdconf", fleet.hosts[0])
        assert await configure_at(world, 2, fleet.hosts[1]) == 2
        await world.start("mdconf", fleet.hosts[0])
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 12 * SECOND)
        for host in fleet.hosts[1:3]:
            world.power_off("mdconf", host)
            world.lose_disk("mdconf", host)
        assert await read_version(world, "10.0.3.1") == 2

    run(scenario, delay_us // MILLISECOND)


def voters(world, fleet):
    return {
        a.split(":")[0] for a in fleet.store(fleet.running_hosts()[0]).membership.voters.values()
    }


def steady(fleet):
    memberships = list(fleet.memberships().values())
    return all(m == memberships[0] and m.next_voters is None for m in memberships)


async def start_with_spares(world, core=7):
    fleet = SimulatedCore(world, core=core)
    fleet.extra_settings = {"linger_us": 100 * MILLISECOND}
    await fleet.start()
    await sleep_us(5 * SECOND)
    assert len(voters(world, fleet)) == 3
    assert await configure_at(world, 1, fleet.hosts[0]) == 1
    return fleet


@pytest.mark.parametrize("which", range(3))
def test_a_spare_replaces_a_stopping_voter_before_it_exits(which):
    async def scenario(world):
        fleet = await start_with_spares(world)
        host = sorted(voters(world, fleet))[which]
        assert await world.stop(f"mdconf@{host}") <= 5 * SECOND
        assert len(voters(world, fleet)) == 3
        assert host not in voters(world, fleet)
        assert fleet.store(fleet.running_hosts()[0]).membership.next_voters is None
        # the next loss is tolerated already
        lost = sorted(voters(world, fleet))[which]
        world.power_off("mdconf", lost)
        world.lose_disk("mdconf", lost)
        assert await read_version(world, fleet.running_hosts()[0]) == 1
        assert await configure_at(world, 2, fleet.running_hosts()[0]) == 2

    run(scenario, which + 1)


@pytest.mark.parametrize("apart_us", [0, 100 * MILLISECOND, 600 * MILLISECOND, 1_200 * MILLISECOND])
def test_two_voters_that_stop_in_turn_are_both_replaced(apart_us):
    async def scenario(world):
        fleet = await start_with_spares(world)
        first, second, _ = sorted(voters(world, fleet))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.stop, f"mdconf@{first}")
            await sleep_us(apart_us)
            nursery.start_soon(world.stop, f"mdconf@{second}")
        await world.eventually(lambda: steady(fleet), 3 * SECOND)
        assert not {first, second} & voters(world, fleet)
        assert await read_version(world, fleet.running_hosts()[-1]) == 1

    run(scenario)


@pytest.mark.parametrize("after_us", [0, 1_900 * MILLISECOND, 2_200 * MILLISECOND])
def test_a_voter_that_stops_while_a_lost_one_is_replaced_is_replaced_too(after_us):
    async def scenario(world):
        fleet = await start_with_spares(world)
        lost, stopped, _ = sorted(voters(world, fleet))
        world.power_off("mdconf", lost)
        world.lose_disk("mdconf", lost)
        await sleep_us(after_us)
        await world.stop(f"mdconf@{stopped}")
        await world.eventually(
            lambda: steady(fleet) and not {lost, stopped} & voters(world, fleet), 3 * SECOND
        )
        assert await read_version(world, fleet.running_hosts()[-1]) == 1

    run(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stopping_voter_leaves_its_latest_state_on_the_others(seed):
    """The third voter missed the last change, and gets it during the shutdown.

    There is no spare that could replace the stopping voter.
    """

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        stopped, other, lagging = fleet.hosts
        assert await configure_at(world, 1, stopped) == 1
        store = fleet.store(lagging)
        world.daemon("mdconf", lagging).revisions.fetch_missing_chunks = sleep_forever
        for host in fleet.hosts:
            world.daemon("mdconf", host).repairer.compare = do_nothing
        repairs = [break_method(store.acceptor, "write"), break_method(store, "put_chunk")]
        assert await configure_at(world, 2, stopped) == 2
        assert store.acceptor.read("manifest/head")[1]["version"] == 1
        for repair in repairs:
            repair()
        assert await world.stop(f"mdconf@{stopped}") <= 5 * SECOND
        head = store.acceptor.read("manifest/head")[1]
        assert head["version"] == 2
        assert {f"blob/{name}" for name in head["ranges"]} <= set(store.disk.disk.files)
        assert other in fleet.running_hosts()

    run(scenario, seed)


async def sleep_forever(*_):
    await trio.sleep_forever()


async def do_nothing():
    pass


def break_method(target, method):
    """Make the method fail as with a broken disk; return a function that repairs it."""

    async def broken(*_):
        raise OSError(5, "input/output error")

    setattr(target, method, broken)
    return lambda: delattr(target, method)


def test_a_voter_that_stops_without_a_spare_remains_a_voter():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        membership = fleet.store(fleet.hosts[0]).membership
        elapsed_us = await world.stop(f"mdconf@{fleet.hosts[1]}")
        assert elapsed_us <= 2 * SECOND
        await world.start("mdconf", fleet.hosts[1])
        await sleep_us(3 * SECOND)
        assert all(m == membership for m in fleet.memberships().values())

    run(scenario)


def test_old_configurations_are_removed_once_newer_ones_are_durable():
    async def work(world):
        disk = MemoryDisk()
        store = Store(disk, random.Random(1), log_nothing)
        await store.load()
        for version in range(1, 40):
            await store.adopt(MembershipConfiguration(version, {"a": "x"}))
        assert await disk.list_folder("members") == ["00000038", "00000039"]

    run(work)
