"""Replacement of members by operators: lost disks and replaced machines, under load."""

from __future__ import annotations

import pytest
import trio
from manifests import manifest, manifest_route
from mesh import hosts, restart_first_core_with_blank_disk, serving, start_configured

from meadowdock.config_store.rescue import rescue
from meadowdock.runtime import SECOND, HttpConnectionFailed, sleep_us
from meadowdock.simulator import run


def changed(number):
    return manifest([manifest_route(f"w{number}", "/balances")])


def test_a_lost_disk_votes_again_after_a_member_change():
    async def scenario(world):
        await start_configured(world)
        host = await restart_first_core_with_blank_disk(world)
        link = f"{host}:7421"
        status, response = await world.operate(
            "POST", "/members", {"old": link, "new": link}, core=1
        )
        assert (status, response["state"]) == (200, "changed"), response
        await world.eventually(lambda: not world.node("mdconf", host).unready_reasons())
        world.kill(f"mdconf@{world.core[1]}")  # the new disk is needed for a majority now
        assert await world.configure(changed(1), core=2) == 2
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 2

    run(scenario)


def test_all_machines_are_replaced_one_after_another_under_changes_of_operators():
    async def scenario(world):
        await serving(world)
        new = [f"10.0.2.{n}" for n in range(1, 4)]
        replaced = trio.Event()
        versions = []

        async def operators():
            number = 0
            while not replaced.is_set():
                number += 1
                core = number % len(world.core)
                try:
                    status, planned = await world.operate("POST", "/plan", changed(number), core)
                    if status == 200 and planned["plan"]:
                        status, response = await world.operate(
                            "POST", "/confirm", {"plan": planned["plan"]}, core
                        )
                        if status == 200:
                            versions.append(response["version"])
                except HttpConnectionFailed:
                    pass  # the member is just being replaced
                await sleep_us(200_000)

        async def replace_machines():
            for index, host in enumerate(new):
                world.zones[host] = "a"
                await world.start("mdconf", host)
                old = world.core[index]
                body = {"old": f"{old}:7421", "new": f"{host}:7421"}
                await world.eventually(lambda h=host: world.daemon("mdconf", h).store.membership)
                status, response = await world.operate("POST", "/members", body, index)
                assert (status, response.get("state")) == (200, "changed"), response
                world.core[index] = host
                world.kill(f"mdconf@{old}")
            await sleep_us(SECOND)
            replaced.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operators)
            await replace_machines()
        assert len(versions) >= 5
        assert versions == sorted(set(versions))
        status, response = await world.operate("GET", "/manifest")
        assert status == 200
        # the last change may have been committed without an answer
        assert response["version"] >= versions[-1]
        await sleep_us(3 * SECOND)
        in_force = {world.daemon("mdproxy", h).delivery.version for h in hosts(world)}
        assert in_force == {response["version"]}

    run(scenario)


@pytest.mark.parametrize("by_operator", [True, False])
def test_an_interrupted_change_is_completed_by_a_repeated_call_or_by_a_member(by_operator):
    async def scenario(world):
        await start_configured(world)
        world.zones["10.0.2.1"] = "a"
        await world.start("mdconf", "10.0.2.1")
        await world.eventually(lambda: world.daemon("mdconf", "10.0.2.1").store.membership)
        daemon = world.daemon("mdconf", world.core[1])
        killed = trio.Event()

        async def die_during_transfer(deadline):
            world.kill(f"mdconf@{world.core[1]}")
            killed.set()
            await trio.sleep_forever()

        daemon.transfer_state = die_during_transfer
        body = {"old": f"{world.core[0]}:7421", "new": "10.0.2.1:7421"}

        async def request_change():
            with trio.move_on_after(5):
                try:
                    await world.operate("POST", "/members", body, 1)
                except Exception:
                    pass

        world.nursery.start_soon(request_change)
        await killed.wait()
        await world.start("mdconf", world.core[1])
        await world.eventually(lambda: world.daemon("mdconf", world.core[1]).store.membership)
        other = {"old": f"{world.core[2]}:7421", "new": "10.0.2.1:7421"}
        status, response = await world.operate("POST", "/members", other, 2)
        assert (status, response["code"]) == (409, "another_change")
        if by_operator:
            status, response = await world.operate("POST", "/members", body, 2)
            assert (status, response.get("state")) == (200, "changed"), response
        new = world.node("mdconf", "10.0.2.1")
        await world.eventually(lambda: not new.unready_reasons(), within=12 * SECOND)
        assert await world.configure(changed(1), core=2) == 2

    run(scenario)


def test_after_the_loss_of_a_majority_an_operator_can_rescue_one_disk():
    async def scenario(world):
        await start_configured(world)
        assert await world.configure(changed(1)) == 2
        await sleep_us(SECOND)
        for host in world.core:
            world.power_off("mdconf", host)
        for host in world.core[1:]:
            world.lose_disk("mdconf", host)
            await world.start("mdconf", host)
        survivor = world.core[0]
        await world.start("mdconf", survivor)
        await sleep_us(3 * SECOND)
        status, response = await world.operate("GET", "/manifest")
        assert (status, response["code"]) == (503, "no_majority")
        world.kill(f"mdconf@{survivor}")
        await rescue(world.disks["mdconf", survivor], f"{survivor}:7421", True)
        await world.start("mdconf", survivor)
        await sleep_us(2 * SECOND)
        links = [f"{h}:7421" for h in world.core]
        status, response = await world.operate("POST", "/members", {"set": links})
        assert (status, response.get("state")) == (200, "changed"), response
        world.kill(f"mdconf@{survivor}")
        status, response = await world.operate("GET", "/manifest", core=1)
        assert (status, response["version"]) == (200, 2)
        assert await world.configure(changed(2), core=2) == 3

    run(scenario)


def test_replacing_a_partitioned_member_by_itself_is_rejected():
    """Replacing a member by another disk at its own address requires that the disk answers.

    Otherwise the old disk stays the voter, and nothing may be reported as changed.
    """

    async def scenario(world):
        await start_configured(world)
        silent = world.core[0]
        for other in (*world.core[1:], *world.application):
            world.web.cut(silent, other)
        body = {"old": f"{silent}:7421", "new": f"{silent}:7421"}
        for delay_us in (0, 4 * SECOND):
            await sleep_us(delay_us)
            status, response = await world.operate("POST", "/members", body, 1)
            assert (status, response["code"], response["absent"]) == (
                409,
                "absent",
                [f"{silent}:7421"],
            )

    run(scenario)


def test_an_absent_process_can_not_become_a_member():
    async def scenario(world):
        await start_configured(world)
        body = {"old": f"{world.core[0]}:7421", "new": "10.0.2.9:7421"}
        status, response = await world.operate("POST", "/members", body, 1)
        assert (status, response["code"], response["absent"]) == (409, "absent", ["10.0.2.9:7421"])
        assert await world.configure(changed(1)) == 2

    run(scenario)
