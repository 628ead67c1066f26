"""The bootstrap of a core whose processes end, and come back, before it."""

from __future__ import annotations

import random

import pytest
import trio
from core_fleet import SEEDS, SimulatedCore, configure_at

from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.disk import SimDisk

START_US = 300 * MILLISECOND  # enough for a process to read its disk and open its listeners
WATCHED_US = 8 * SECOND


async def first_start(world, fleet, hosts):
    """Start processes with permission to bootstrap; those that start later have none."""
    await fleet.start(hosts)
    await sleep_us(START_US)
    assert not world.trace.events(601)
    fleet.may_bootstrap = False


def kill(world, hosts):
    """Kill the processes of these hosts; what they have not synced is lost as well."""
    for host in hosts:
        world.power_off("mdconf", host)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_core_killed_before_its_bootstrap_bootstraps_when_it_comes_back(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await first_start(world, fleet, fleet.hosts[:2])
        kill(world, fleet.hosts[:2])
        await sleep_us(500 * MILLISECOND)
        await fleet.start()
        assert await fleet.wait_until_voters(fleet.hosts) <= 4 * SECOND
        assert len(world.trace.events(601)) == 1
        assert await configure_at(world, 1, fleet.hosts[2]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", (0, 2))
def test_one_member_that_lost_its_permission_does_not_prevent_the_bootstrap(seed, lost):
    """It was killed before anything was on its disk, and came back without the permission."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        others = [host for number, host in enumerate(fleet.hosts) if number != lost]
        await first_start(world, fleet, others)
        await fleet.start([fleet.hosts[lost]])
        assert await fleet.wait_until_voters(fleet.hosts) <= 4 * SECOND
        assert len(world.trace.events(601)) == 1
        assert await configure_at(world, 1, fleet.hosts[lost]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_members_that_come_back_with_other_seeds_bootstrap_with_those_of_their_first_start(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=4)
        first_seeds = fleet.seed_hosts
        await first_start(world, fleet, first_seeds[:2])
        kill(world, first_seeds[:2])
        fleet.seed_hosts = fleet.hosts[1:4]
        await fleet.start()
        await world.eventually(lambda: fleet.memberships()[first_seeds[0]] is not None)
        (_, bootstrapped), *others = world.trace.events(601)
        assert bootstrapped["members"] == [f"{host}:7421" for host in first_seeds]
        assert not others

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_bootstrap_while_a_majority_has_no_permission(seed):
    """Two blank disks may be two lost ones, which held all that was acknowledged."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await first_start(world, fleet, fleet.hosts[:1])
        await fleet.start(fleet.hosts[1:])
        await sleep_us(WATCHED_US)
        assert not any(fleet.memberships().values())
        assert not world.trace.events(601)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_second_bootstrap_after_members_lost_their_disks(seed):
    """The permission of the first start is on the lost disks, and void on the others."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await fleet.bootstrap()
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        kill(world, fleet.hosts)
        for host in fleet.hosts[:2]:
            world.lose_disk("mdconf", host)
        await fleet.start(fleet.hosts[:2])
        await sleep_us(WATCHED_US)
        assert not any(fleet.memberships().values())
        await fleet.start(fleet.hosts[2:])
        await sleep_us(WATCHED_US)
        assert len(world.trace.events(601)) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_process_whose_disk_can_not_be_written_at_its_start_starts_once_it_can(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        host = fleet.hosts[1]
        disk = world.disks["mdconf", host] = SimDisk(random.Random(seed))
        disk.full = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.start)
            await sleep_us(2 * SECOND)
            assert [line["of"] for _, line in world.trace.events(112)] == [f"mdconf@{host}"]
            disk.full = False
        assert await fleet.wait_until_voters(fleet.hosts) <= 4 * SECOND

    run(scenario, seed)


async def start_with_proxies(world, fleet, first_start):
    """Start two proxies, then a core whose disks are blank and without permission."""
    boot = fleet.raw_settings
    fleet.raw_settings = lambda role, host: {
        **boot(role, host),
        "first_start": first_start and role == "mdproxy",
    }
    for number in (1, 2):
        await world.start("mdproxy", f"10.0.1.{number}")
    fleet.may_bootstrap = False
    await fleet.start()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_core_killed_before_it_wrote_anything_bootstraps_while_proxies_of_its_first_start_run(
    seed,
):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await start_with_proxies(world, fleet, first_start=True)
        assert await fleet.wait_until_voters(fleet.hosts) <= 4 * SECOND
        assert len(world.trace.events(601)) == 1
        assert await configure_at(world, 1, fleet.hosts[2]) == 1

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_proxies_that_started_later_do_not_testify_a_first_start(seed):
    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await start_with_proxies(world, fleet, first_start=False)
        await sleep_us(WATCHED_US)
        assert not world.trace.events(601)

    run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_proxies_that_know_a_configuration_do_not_testify_a_first_start(seed):
    """All disks are lost, which no deployment tolerates; its operators decide what to do."""

    async def scenario(world):
        fleet = SimulatedCore(world, core=3)
        await start_with_proxies(world, fleet, first_start=True)
        await fleet.wait_until_voters(fleet.hosts)
        assert await configure_at(world, 1, fleet.hosts[0]) == 1
        proxy = world.node("mdproxy", "10.0.1.1")
        await world.eventually(lambda: proxy.membership.newest_version == 1)
        kill(world, fleet.hosts)
        for host in fleet.hosts:
            world.lose_disk("mdconf", host)
        world.kill("mdproxy@10.0.1.2")
        await fleet.start()
        await sleep_us(WATCHED_US)
        assert len(world.trace.events(601)) == 1

    run(scenario, seed)
