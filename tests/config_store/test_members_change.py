"""Members of the register that are swapped: disks lost, machines replaced, under load."""

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
        status, told = await world.operate("POST", "/members", {"old": link, "new": link}, core=1)
        assert (status, told["state"]) == (200, "changed"), told
        await world.eventually(lambda: not world.node("mdconf", host).unready_reasons())
        world.kill(f"mdconf@{world.core[1]}")  # the new disk is needed for a majority now
        assert await world.configure(changed(1), core=2) == 2
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 2

    run(scenario)


def test_all_machines_swapped_one_after_another_while_operators_go_on():
    async def scenario(world):
        await serving(world)
        new = [f"10.0.2.{n}" for n in range(1, 4)]
        done = trio.Event()
        versions = []

        async def operators():
            number = 0
            while not done.is_set():
                number += 1
                core = number % len(world.core)
                try:
                    status, planned = await world.operate("POST", "/plan", changed(number), core)
                    if status == 200 and planned["plan"]:
                        status, told = await world.operate(
                            "POST", "/confirm", {"plan": planned["plan"]}, core
                        )
                        if status == 200:
                            versions.append(told["version"])
                except HttpConnectionFailed:
                    pass  # asked one that is just swapped
                await sleep_us(200_000)

        async def swap():
            for index, host in enumerate(new):
                world.zones[host] = "a"
                await world.start("mdconf", host)
                old = world.core[index]
                facts = {"old": f"{old}:7421", "new": f"{host}:7421"}
                await world.eventually(lambda h=host: world.daemon("mdconf", h).store.membership)
                status, told = await world.operate("POST", "/members", facts, index)
                assert (status, told.get("state")) == (200, "changed"), told
                world.core[index] = host
                world.kill(f"mdconf@{old}")
            await sleep_us(SECOND)
            done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operators)
            await swap()
        assert len(versions) >= 5
        assert versions == sorted(set(versions))
        status, told = await world.operate("GET", "/manifest")
        assert status == 200
        assert told["version"] >= versions[-1]  # one whose answer was lost may have been the last
        await sleep_us(3 * SECOND)
        in_force = {world.daemon("mdproxy", h).delivery.version for h in hosts(world)}
        assert in_force == {told["version"]}

    run(scenario)


@pytest.mark.parametrize("by_hand", [True, False])
def test_a_member_change_that_was_broken_off_is_ended_by_the_same_call_or_by_a_member(by_hand):
    async def scenario(world):
        await start_configured(world)
        world.zones["10.0.2.1"] = "a"
        await world.start("mdconf", "10.0.2.1")
        await world.eventually(lambda: world.daemon("mdconf", "10.0.2.1").store.membership)
        daemon = world.daemon("mdconf", world.core[1])
        killed = trio.Event()

        async def die(due):
            world.kill(f"mdconf@{world.core[1]}")
            killed.set()
            await trio.sleep_forever()

        daemon.transfer_state = die
        facts = {"old": f"{world.core[0]}:7421", "new": "10.0.2.1:7421"}

        async def first():
            with trio.move_on_after(5):
                try:
                    await world.operate("POST", "/members", facts, 1)
                except Exception:
                    pass

        world.nursery.start_soon(first)
        await killed.wait()
        await world.start("mdconf", world.core[1])
        await world.eventually(lambda: world.daemon("mdconf", world.core[1]).store.membership)
        other = {"old": f"{world.core[2]}:7421", "new": "10.0.2.1:7421"}
        status, told = await world.operate("POST", "/members", other, 2)
        assert (status, told["code"]) == (409, "another_change")
        if by_hand:
            status, told = await world.operate("POST", "/members", facts, 2)
            assert (status, told.get("state")) == (200, "changed"), told
        new = world.node("mdconf", "10.0.2.1")
        await world.eventually(lambda: not new.unready_reasons(), within=12 * SECOND)
        assert await world.configure(changed(1), core=2) == 2

    run(scenario)


def test_a_lost_majority_is_refused_and_goes_on_from_one_disk_by_the_operators_word():
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
        status, told = await world.operate("GET", "/manifest")
        assert (status, told["code"]) == (503, "no_majority")
        world.kill(f"mdconf@{survivor}")
        await rescue(world.disks["mdconf", survivor], f"{survivor}:7421", True)
        await world.start("mdconf", survivor)
        await sleep_us(2 * SECOND)
        links = [f"{h}:7421" for h in world.core]
        status, told = await world.operate("POST", "/members", {"set": links})
        assert (status, told.get("state")) == (200, "changed"), told
        world.kill(f"mdconf@{survivor}")
        status, told = await world.operate("GET", "/manifest", core=1)
        assert (status, told["version"]) == (200, 2)
        assert await world.configure(changed(2), core=2) == 3

    run(scenario)


def test_a_member_that_is_cut_off_is_not_told_as_replaced_by_itself():
    """Its disk would stay the voter: nothing changes, so nothing may be told as changed."""

    async def scenario(world):
        await start_configured(world)
        silent = world.core[0]
        for other in (*world.core[1:], *world.application):
            world.web.cut(silent, other)
        facts = {"old": f"{silent}:7421", "new": f"{silent}:7421"}
        for wait in (0, 4 * SECOND):
            await sleep_us(wait)
            status, told = await world.operate("POST", "/members", facts, 1)
            assert (status, told["code"], told["absent"]) == (409, "absent", [f"{silent}:7421"])

    run(scenario)


def test_who_is_not_there_can_not_come_in():
    async def scenario(world):
        await start_configured(world)
        facts = {"old": f"{world.core[0]}:7421", "new": "10.0.2.9:7421"}
        status, told = await world.operate("POST", "/members", facts, 1)
        assert (status, told["code"], told["absent"]) == (409, "absent", ["10.0.2.9:7421"])
        assert await world.configure(changed(1)) == 2

    run(scenario)
