"""The register of the simulated core: power loss, blank disks, minorities, silent members."""

from __future__ import annotations

import random

import trio
from manifests import manifest, manifest_route
from mesh import restart_first_core_with_blank_disk, start_configured

from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.simulator import run


def test_all_killed_at_any_moment_keeps_all_that_was_acknowledged():
    async def scenario(world):
        await start_configured(world)
        rng = random.Random(5)
        acknowledged = 1

        async def operator(number):
            nonlocal acknowledged
            ways = [manifest_route(f"w{number}", "/balances")]
            status, planned = await world.operate("POST", "/plan", manifest(ways), number % 3)
            if status == 200 and planned["plan"]:
                status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
                if status == 200:
                    acknowledged = told["version"]

        for number in range(6):
            with trio.move_on_after(rng.uniform(0.001, 0.06)):
                await operator(number)
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            conf = world.node("mdconf", world.core[0])
            await world.eventually(lambda c=conf: not c.unready_reasons())
            status, told = await world.operate("GET", "/manifest")
            assert status == 200
            assert told["version"] >= acknowledged
            acknowledged = told["version"]
        assert acknowledged > 1

    run(scenario)


def test_a_lost_disk_serves_operators_and_does_not_vote_until_it_is_a_member_again():
    async def scenario(world):
        await start_configured(world)
        host = await restart_first_core_with_blank_disk(world)
        conf = world.node("mdconf", host)
        await world.eventually(lambda: conf.daemon.store.membership is not None)
        assert conf.unready_reasons() == ["this disk is no member, or not fully yet"]
        assert not conf.daemon.store.is_voter
        status, told = await world.operate("GET", "/manifest")  # it still serves operators
        assert (status, told["version"]) == (200, 1)
        assert await world.configure(manifest([manifest_route("new", "/balances")])) == 2
        await world.eventually(lambda: not conf.unready_reasons(), within=15 * SECOND)
        world.kill(f"mdconf@{world.core[1]}")  # what was acknowledged does not need it
        status, told = await world.operate("GET", "/manifest", core=2)
        assert (status, told["version"]) == (200, 2)
        assert await world.configure(manifest([manifest_route("again", "/balances")]), core=2) == 3

    run(scenario)


def test_a_minority_side_refuses_operators():
    async def scenario(world):
        await start_configured(world)
        for other in world.core[1:]:
            world.web.cut(world.core[0], other)
        status, told = await world.operate(
            "POST", "/plan", manifest([manifest_route("new", "/balances")])
        )
        assert (status, told["code"]) == (503, "no_majority")
        status, _ = await world.operate("GET", "/manifest")
        assert status == 503
        assert (
            "no majority of the register answers"
            in world.node("mdconf", world.core[0]).unready_reasons()
        )
        assert await world.configure(manifest([manifest_route("new", "/balances")]), core=1) == 2

    run(scenario)


def test_a_member_that_is_silent_holds_up_no_change_that_has_to_try_again():
    """The first ballot is too low at one of the two that answer; the third never answers."""

    async def scenario(world):
        await start_configured(world)
        world.web.cut(world.core[0], world.core[1])
        world.web.cut(world.core[0], world.core[2])
        for core in (1, 2):
            await world.daemon("mdconf", world.core[core]).store.acceptor.prepare(
                "manifest/head", (50, "somebody")
            )
        at = monotonic_us()
        assert await world.configure(manifest([manifest_route("new", "/balances")]), core=1) == 2
        assert monotonic_us() - at < SECOND

    run(scenario)
