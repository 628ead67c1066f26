"""The audit log of the simulated core: one signed record for each accepted change."""

from __future__ import annotations

import trio
from facts import manifest, way
from mesh import configured

from meadowdock import audit
from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def changed(number):
    return manifest([way(f"w{number}", "/balances")])


async def trail(world, core=0):
    status, told = await world.operate("GET", "/audit", core=core)
    assert status == 200
    assert audit.verify(told["records"], told["key"], told["version"], told["anchor"]) == []
    return told


def test_racing_operators_leave_one_record_for_each_version_and_no_more():
    async def scenario(world):
        await configured(world)
        accepted = {}

        async def change(number):
            core = number % 3
            status, planned = await world.operate("POST", "/plan", changed(number), core)
            status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
            if status == 200:
                accepted[told["version"]] = planned["plan"]

        for turn in range(5):
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(change, 10 * turn + number)
        told = await trail(world, 1)
        plans = {f["version"]: f["plan"] for f in map(audit.read_payload, told["records"])}
        assert told["version"] == max(accepted)
        assert {v: plans[v] for v in accepted} == accepted

    run(scenario)


def test_records_survive_the_machines_that_took_them():
    """One core machine after the other loses its disk; at last one more is taken away."""

    async def scenario(world):
        await configured(world)
        for number in range(6):
            host = world.core[number % 3]
            await world.configure(changed(number), number % 3)
            if number < 3:
                world.power_off("mdconf", host)
                world.lose_disk("mdconf", host)
                await world.start("mdconf", host)
                conf = world.node("mdconf", host)
                await world.eventually(lambda c=conf: not c.unready_reasons(), within=15 * SECOND)
        await sleep_us(8 * SECOND)
        for host in world.core:  # and each replica is complete by itself, repaired by digests
            assert world.daemon("mdconf", host).store.audit_log.state().tail == [1, 2, 3, 4, 5, 6]
        world.kill(f"mdconf@{world.core[0]}")
        assert len((await trail(world, 1))["records"]) == 7

    run(scenario)


def test_state_from_before_the_trail_is_read_and_begins_it_with_its_next_change():
    async def scenario(world):
        await configured(world)
        daemon = world.daemon("mdconf", world.core[0])
        await daemon.proposer.change(  # as the first landing wrote it
            "manifest/head",
            lambda head: {k: v for k, v in head.items() if k != "record"},
            monotonic_us() + SECOND,
        )
        assert await world.configure(changed(1), 1) == 2
        told = await trail(world, 2)
        assert [audit.read_payload(r)["version"] for r in told["records"]] == [2]

    run(scenario)
