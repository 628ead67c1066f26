"""The audit log of the simulated core: one signed record for each accepted change."""

from __future__ import annotations

import trio
from manifests import manifest, manifest_route
from mesh import start_configured

from meadowdock import audit
from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def changed_configuration(number):
    return manifest([manifest_route(f"w{number}", "/balances")])


async def fetch_verified_trail(world, core=0):
    """Return the audit trail of a core member, after verifying it."""
    status, content = await world.operate("GET", "/audit", core=core)
    assert status == 200
    faults = audit.verify(content["records"], content["key"], content["version"], content["anchor"])
    assert faults == []
    return content


def test_racing_operators_leave_exactly_one_record_for_each_version():
    async def scenario(world):
        await start_configured(world)
        accepted = {}

        async def change(number):
            core = number % 3
            _, planned = await world.operate("POST", "/plan", changed_configuration(number), core)
            status, response = await world.operate(
                "POST", "/confirm", {"plan": planned["plan"]}, core
            )
            if status == 200:
                accepted[response["version"]] = planned["plan"]

        for round_number in range(5):
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(change, 10 * round_number + number)
        audit_trail = await fetch_verified_trail(world, 1)
        payloads = map(audit.read_payload, audit_trail["records"])
        plans = {payload["version"]: payload["plan"] for payload in payloads}
        assert audit_trail["version"] == max(accepted)
        assert {version: plans[version] for version in accepted} == accepted

    run(scenario)


def test_records_survive_the_loss_of_each_disk():
    """The core machines lose their disks one after the other; finally one of them is killed."""

    async def scenario(world):
        await start_configured(world)
        for number in range(6):
            host = world.core[number % 3]
            await world.configure(changed_configuration(number), number % 3)
            if number < 3:
                world.power_off("mdconf", host)
                world.lose_disk("mdconf", host)
                await world.start("mdconf", host)
                node = world.node("mdconf", host)
                await world.eventually(
                    lambda node=node: not node.unready_reasons(), within=15 * SECOND
                )
        await sleep_us(8 * SECOND)
        for host in world.core:  # each replica was repaired by comparison of digests
            assert world.daemon("mdconf", host).store.audit_log.state().tail == [1, 2, 3, 4, 5, 6]
        world.kill(f"mdconf@{world.core[0]}")
        assert len((await fetch_verified_trail(world, 1))["records"]) == 7

    run(scenario)


def test_state_without_a_trail_is_read_and_the_next_change_begins_one():
    async def scenario(world):
        await start_configured(world)
        daemon = world.daemon("mdconf", world.core[0])
        await daemon.proposer.change(  # as written by the first release, which had no audit trail
            "manifest/head",
            lambda head: {k: v for k, v in head.items() if k != "record"},
            monotonic_us() + SECOND,
        )
        assert await world.configure(changed_configuration(1), 1) == 2
        audit_trail = await fetch_verified_trail(world, 2)
        assert [audit.read_payload(record)["version"] for record in audit_trail["records"]] == [2]

    run(scenario)
