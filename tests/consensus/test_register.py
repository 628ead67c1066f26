"""The register of simulated config stores: power loss, blank disks, minorities, silent members."""

from __future__ import annotations

import random

import trio
from manifests import manifest, manifest_route
from mesh import restart_first_core_with_blank_disk, start_configured

from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.simulator import run


def test_acknowledged_changes_survive_a_power_loss_of_all_members_at_any_moment():
    async def scenario(world):
        await start_configured(world)
        rng = random.Random(5)
        acknowledged = 1

        async def operator(number):
            nonlocal acknowledged
            routes = [manifest_route(f"w{number}", "/balances")]
            status, planned = await world.operate("POST", "/plan", manifest(routes), number % 3)
            if status == 200 and planned["plan"]:
                status, answer = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
                if status == 200:
                    acknowledged = answer["version"]

        for number in range(6):
            with trio.move_on_after(rng.uniform(0.001, 0.06)):
                await operator(number)
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            config_store = world.node("mdconf", world.core[0])
            await world.eventually(lambda node=config_store: not node.unready_reasons())
            status, answer = await world.operate("GET", "/manifest")
            assert status == 200
            assert answer["version"] >= acknowledged
            acknowledged = answer["version"]
        assert acknowledged > 1

    run(scenario)


def test_a_process_with_a_blank_disk_serves_operators_but_does_not_vote_until_it_is_a_member():
    async def scenario(world):
        await start_configured(world)
        host = await restart_first_core_with_blank_disk(world)
        config_store = world.node("mdconf", host)
        await world.eventually(lambda: config_store.daemon.store.membership is not None)
        assert config_store.unready_reasons() == ["this disk is no member, or not fully yet"]
        assert not config_store.daemon.store.is_voter
        status, answer = await world.operate("GET", "/manifest")  # it still serves operators
        assert (status, answer["version"]) == (200, 1)
        assert await world.configure(manifest([manifest_route("new", "/balances")])) == 2
        await world.eventually(lambda: not config_store.unready_reasons(), within=15 * SECOND)
        world.kill(f"mdconf@{world.core[1]}")  # the other two hold all acknowledged changes
        status, answer = await world.operate("GET", "/manifest", core=2)
        assert (status, answer["version"]) == (200, 2)
        assert await world.configure(manifest([manifest_route("again", "/balances")]), core=2) == 3

    run(scenario)


def test_the_minority_side_of_a_partition_refuses_operators():
    async def scenario(world):
        await start_configured(world)
        for other in world.core[1:]:
            world.web.cut(world.core[0], other)
        status, answer = await world.operate(
            "POST", "/plan", manifest([manifest_route("new", "/balances")])
        )
        assert (status, answer["code"]) == (503, "no_majority")
        status, _ = await world.operate("GET", "/manifest")
        assert status == 503
        assert (
            "no majority of the register answers"
            in world.node("mdconf", world.core[0]).unready_reasons()
        )
        assert await world.configure(manifest([manifest_route("new", "/balances")]), core=1) == 2

    run(scenario)


def test_a_silent_member_does_not_delay_the_next_attempt_of_a_change():
    """The first ballot is refused by one of the two members that answer; the third is silent."""

    async def scenario(world):
        await start_configured(world)
        world.web.cut(world.core[0], world.core[1])
        world.web.cut(world.core[0], world.core[2])
        for core in (1, 2):
            await world.daemon("mdconf", world.core[core]).store.acceptor.prepare(
                "manifest/head", (50, "somebody")
            )
        started = monotonic_us()
        assert await world.configure(manifest([manifest_route("new", "/balances")]), core=1) == 2
        assert monotonic_us() - started < SECOND

    run(scenario)
