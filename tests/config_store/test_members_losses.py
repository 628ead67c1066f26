"""Losses that come while members are few, changed or stopped: what is acknowledged stays."""

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


# ---------------------------------------------------------------- durable quorums


@pytest.mark.parametrize("seed", SEEDS)
def test_an_acknowledged_change_is_on_more_disks_than_may_be_lost(seed):
    """Three voters where two losses are to be borne: two acceptances are no acknowledgement."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3, losses=2)
        await fleet.start()
        await fleet.wait_until_voters(fleet.hosts, 8 * SECOND)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts[seed % 3])
        left = fleet.running_hosts()
        world.core = left[:1]
        status, told = await world.operate("POST", "/plan", manifest_with_route(2))
        assert (status, told["code"]) == (503, "no_majority")
        assert await read_version(world, left[1]) == 1  # what is known is still served

    run(scenario, seed)


def test_a_single_process_acknowledges_nothing_where_a_loss_is_to_be_borne():
    async def scenario(world):
        fleet = SimulatedCore(world, core=1, losses=1)
        await fleet.start()
        await sleep_us(10 * SECOND)
        world.core = fleet.hosts
        status, told = await world.operate("POST", "/plan", manifest_with_route(1))
        assert (status, told["code"]) == (503, "too_few_members")
        assert world.node("mdconf", fleet.hosts[0]).unready_reasons() == [
            "too few members for the losses to be borne"
        ]

    run(scenario)


def test_a_single_process_serves_where_no_loss_is_to_be_borne():
    async def scenario(world):
        fleet = SimulatedCore(world, core=1, losses=0)
        await fleet.start()
        await fleet.wait_until_voters(fleet.hosts)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


def test_zones_count_for_durability_once_all_are_known():
    places = {
        "a": FailureDomain("x", "n"),
        "b": FailureDomain("x", "n"),
        "c": FailureDomain("y", "s"),
    }
    sets = VoterSets.of([["a", "b", "c"]], places, Tolerance(1, zones=1))
    assert not sets.is_durable(["a", "b"])
    assert sets.is_durable(["b", "c"])
    regions = VoterSets.of([["a", "b", "c"]], places, Tolerance(1, regions=1))
    assert not regions.is_durable(["a", "b"])
    unknown = VoterSets.of([["a", "b", "c"]], {"a": FailureDomain("x")}, Tolerance(1, zones=1))
    assert unknown.is_durable(["a", "b"])


# ---------------------------------------------------------------- zones and regions


class ZonedFleet(SimulatedCore):
    """Fleet whose hosts have zones and regions; zone_losses and region_losses are to be borne."""

    def __init__(self, world, zones, losses=1, zone_losses=0, region_losses=0):
        super().__init__(world, len(zones), losses)
        self.zones = dict(zip(self.hosts, zones, strict=True))
        self.zone_losses, self.region_losses = zone_losses, region_losses

    def raw_settings(self, role, host):
        settings = super().raw_settings(role, host)
        settings |= {"hall": self.zones[host], "region": self.zones[host][0]}
        if role == "mdconf":
            settings |= {"zone_losses": self.zone_losses, "region_losses": self.region_losses}
        return settings

    def voting_zones(self):
        membership = self.store(self.running_hosts()[0]).membership
        return sorted(self.zones[a.split(":")[0]] for a in membership.voters.values())

    def steady(self, zones):
        """The voters are in these zones, all agree, and none of them is unready."""
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
def test_voters_are_exchanged_until_a_zone_or_a_region_may_be_lost(seed, kind):
    """The seeds lie in one zone: the loss of it would take all voters."""

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


def test_fewer_vote_where_that_lets_a_zone_be_lost_and_the_others_are_spare():
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


def test_who_takes_a_lost_voters_place_is_of_the_zone_with_the_fewest_voters():
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
def test_a_record_without_places_is_read_and_gains_them(seed):
    """As a former version left it on disk."""

    async def scenario(world):
        fleet = ZonedFleet(world, ["a1", "b1", "c1"], zone_losses=1)
        await fleet.bootstrap()
        for host in fleet.hosts:
            store = fleet.store(host)
            former = MembershipConfiguration(2, store.membership.voters)
            await store.adopt(former)
            assert store.membership == former
            assert "places" not in former.to_record()
        for host in fleet.hosts:
            world.power_off("mdconf", host)
        await fleet.start()
        wanted = {fleet.store(h).disk: FailureDomain(z, z[0]) for h, z in fleet.zones.items()}
        await world.eventually(
            lambda: all(m.places == wanted for m in fleet.memberships().values()), 4 * SECOND
        )
        assert fleet.store(fleet.hosts[0]).membership.voters == former.voters
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario, seed)


# ---------------------------------------------------------------- state transfer


async def change_begun(world, fleet):
    await world.eventually(
        lambda: fleet.store(fleet.hosts[0]).membership.next_voters, 6 * SECOND, MILLISECOND
    )


def holds_everything(world, fleet, newcomer, old):
    """Keys at the newest accepted pairs, chunk files of the head, the audit log."""
    new, former = fleet.store(newcomer), [fleet.store(h) for h in old]
    newest = {}
    for store in former:
        for key in store.acceptor.keys.values():
            newest[key] = max(newest.get(key, (0, "")), store.acceptor.read(key)[0])
    head = max((s.acceptor.read("manifest/head")[1] for s in former), key=lambda h: h["version"])
    return (
        all(
            new.acceptor.read(key)[0] >= ballot
            for key, ballot in newest.items()
            if key != "members"
        )
        and {f"blob/{name}" for name in head["ranges"]} <= set(new.files.disk.files)
        and all(new.audit_log.holds(version) for version in range(1, head["version"]))
    )


@pytest.mark.parametrize("slow", ["write", "put_chunk", "put"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_replacement_ends_once_the_newcomer_itself_holds_everything(seed, slow):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        for number in range(1, 4):
            await configure_at(world, number, fleet.hosts[0])
        gone = fleet.hosts.pop(2)
        world.power_off("mdconf", gone)
        await world.start("mdconf", "10.0.3.1")
        store = fleet.store("10.0.3.1")
        slowed = {"write": store.acceptor, "put_chunk": store, "put": store.audit_log}[slow]
        slow_down(slowed, slow)
        await world.eventually(
            lambda: store.disk in (fleet.store(fleet.hosts[0]).membership.voters),
            9 * SECOND,
            MILLISECOND,
        )
        assert holds_everything(world, fleet, "10.0.3.1", fleet.hosts)
        # the second loss, right after the end: the other that has all loses its disk too
        world.power_off("mdconf", fleet.hosts[seed - 1])
        world.lose_disk("mdconf", fleet.hosts[seed - 1])
        assert await read_version(world, fleet.hosts[2 - seed]) == 3
        assert await configure_at(world, 4, "10.0.3.1") == 4
        await world.start("mdconf", fleet.hosts[seed - 1])
        fleet.hosts.append("10.0.3.1")
        await fleet.wait_until_voters(fleet.hosts, 6 * SECOND)

    run(scenario, seed)


def slow_down(thing, method, by=300 * MILLISECOND):
    original = getattr(thing, method)

    async def slower(*args):
        await sleep_us(by)
        return await original(*args)

    setattr(thing, method, slower)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_is_taken_back_when_its_newcomer_dies_and_another_takes_the_place(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts.pop(2))
        await world.start("mdconf", "10.0.3.1")
        slow_down(fleet.store("10.0.3.1").acceptor, "write", 10 * SECOND)
        await change_begun(world, fleet)
        world.power_off("mdconf", "10.0.3.1")
        await world.start("mdconf", "10.0.3.2")
        fleet.hosts.append("10.0.3.2")
        await fleet.wait_until_voters(fleet.hosts, 15 * SECOND)
        world.power_off("mdconf", fleet.hosts[seed % 2])
        world.lose_disk("mdconf", fleet.hosts[seed % 2])
        assert await read_version(world, "10.0.3.2") == 1
        assert await configure_at(world, 2, "10.0.3.2") == 2

    run(scenario, seed)


def test_a_newcomer_that_answers_and_never_stores_does_not_block_for_ever():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        await world.start("mdconf", "10.0.3.1")
        slow_down(fleet.store("10.0.3.1").acceptor, "write", 3600 * SECOND)
        await change_begun(world, fleet)
        version = fleet.store(fleet.hosts[0]).membership.version
        await world.eventually(
            lambda: fleet.store(fleet.hosts[0]).membership.version > version, 20 * SECOND
        )
        assert len(fleet.store(fleet.hosts[0]).membership.voters) == 3
        assert await configure_at(world, 1, fleet.hosts[0]) == 1

    run(scenario)


def test_what_newcomers_accepted_is_on_the_former_voters_before_a_change_is_taken_back():
    """Three of five; an acknowledgement stands on two of the three and on a newcomer."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.start(fleet.hosts[:3])
        await fleet.wait_until_voters(fleet.hosts[:3], 8 * SECOND)
        await fleet.start(fleet.hosts[3:])
        slow_down(fleet.store(fleet.hosts[4]).acceptor, "write", 3600 * SECOND)
        await change_begun(world, fleet)
        behind = fleet.store(fleet.hosts[2])
        for host in fleet.hosts:
            world.daemon("mdconf", host).repairer.compare = nothing
        repaired = break_off(behind.acceptor, "write")
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts[4])
        await sleep_us(20 * SECOND)
        assert behind.acceptor.read("manifest/head")[1] is None
        assert fleet.store(fleet.hosts[0]).membership.next_voters
        repaired()
        await world.eventually(
            lambda: not fleet.store(fleet.hosts[0]).membership.next_voters, 10 * SECOND, MILLISECOND
        )
        assert behind.acceptor.read("manifest/head")[1]["version"] == 1

    run(scenario)


@pytest.mark.parametrize("delay_us", range(0, 400 * MILLISECOND, 40 * MILLISECOND))
def test_five_bear_a_second_loss_at_any_moment_of_a_replacement(delay_us):
    """The one that drives the change, just after it began."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=5, losses=2)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        world.power_off("mdconf", fleet.hosts.pop())
        await world.start("mdconf", "10.0.3.1")
        await change_begun(world, fleet)
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


# ---------------------------------------------------------------- voters that stop


def voters(world, fleet):
    return {
        a.split(":")[0] for a in fleet.store(fleet.running_hosts()[0]).membership.voters.values()
    }


def steady(fleet):
    memberships = list(fleet.memberships().values())
    return all(m == memberships[0] and m.next_voters is None for m in memberships)


async def with_spares(world, core=7):
    fleet = SimulatedCore(world, core=core)
    fleet.extra_settings = {"linger_us": 100 * MILLISECOND}
    await fleet.start()
    await sleep_us(5 * SECOND)
    assert len(voters(world, fleet)) == 3
    assert await configure_at(world, 1, fleet.hosts[0]) == 1
    return fleet


@pytest.mark.parametrize("which", range(3))
def test_a_spare_takes_a_stopping_voters_place_before_it_goes(which):
    async def scenario(world):
        fleet = await with_spares(world)
        host = sorted(voters(world, fleet))[which]
        assert await world.stop(f"mdconf@{host}") <= 5 * SECOND
        assert len(voters(world, fleet)) == 3
        assert host not in voters(world, fleet)
        assert fleet.store(fleet.running_hosts()[0]).membership.next_voters is None
        # so a loss right after it can be borne
        lost = sorted(voters(world, fleet))[which]
        world.power_off("mdconf", lost)
        world.lose_disk("mdconf", lost)
        assert await read_version(world, fleet.running_hosts()[0]) == 1
        assert await configure_at(world, 2, fleet.running_hosts()[0]) == 2

    run(scenario, which + 1)


@pytest.mark.parametrize("apart_us", [0, 100 * MILLISECOND, 600 * MILLISECOND, 1_200 * MILLISECOND])
def test_two_voters_that_stop_in_turn_are_both_replaced(apart_us):
    async def scenario(world):
        fleet = await with_spares(world)
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
        fleet = await with_spares(world)
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
def test_a_stopping_voter_does_not_hold_the_only_fresh_copy(seed):
    """There is no spare: the third voter missed the last change, and gets it at the stop."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        stopped, other, behind = fleet.hosts
        assert await configure_at(world, 1, stopped) == 1
        store = fleet.store(behind)
        world.daemon("mdconf", behind).revisions.fetch_missing_chunks = forever
        for host in fleet.hosts:
            world.daemon("mdconf", host).repairer.compare = nothing
        undo = [break_off(store.acceptor, "write"), break_off(store, "put_chunk")]
        assert await configure_at(world, 2, stopped) == 2
        assert store.acceptor.read("manifest/head")[1]["version"] == 1
        for repaired in undo:
            repaired()
        assert await world.stop(f"mdconf@{stopped}") <= 5 * SECOND
        head = store.acceptor.read("manifest/head")[1]
        assert head["version"] == 2
        assert {f"blob/{name}" for name in head["ranges"]} <= set(store.files.disk.files)
        assert other in fleet.running_hosts()

    run(scenario, seed)


async def forever(*_):
    await trio.sleep_forever()


async def nothing():
    pass


def break_off(thing, method):
    """The method fails as of a broken disk; gives what mends it."""

    async def broken(*_):
        raise OSError(5, "input/output error")

    setattr(thing, method, broken)
    return lambda: delattr(thing, method)


def test_a_voter_that_stops_without_a_spare_stays_one():
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        membership = fleet.store(fleet.hosts[0]).membership
        took = await world.stop(f"mdconf@{fleet.hosts[1]}")
        assert took <= 2 * SECOND
        await world.start("mdconf", fleet.hosts[1])
        await sleep_us(3 * SECOND)
        assert all(m == membership for m in fleet.memberships().values())

    run(scenario)


# ---------------------------------------------------------------- the record on disk


def test_old_records_are_removed_once_newer_ones_are_durable():
    async def work(world):
        disk = MemoryDisk()
        store = Store(disk, random.Random(1), log_nothing)
        await store.load()
        for version in range(1, 40):
            await store.adopt(MembershipConfiguration(version, {"a": "x"}))
        assert await disk.names("members") == ["00000038", "00000039"]

    run(work)
