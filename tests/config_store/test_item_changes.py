"""Changes by items at the core: atomic, applied once, durable, and delivered."""

from __future__ import annotations

import pytest
import trio
from item_builders import limits, removed_item, route, service
from item_changes import apply_change, current_items, send_change, start_core
from manifests import manifest, manifest_route
from mesh import start_configured

from meadowdock import audit
from meadowdock.configuration import items as config_items
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def by_key(*items):
    return {config_items.item_key(item): item for item in items}


def test_items_are_read_back_verbatim_at_every_member():
    async def scenario(world):
        await start_core(world)
        assert (await world.operate("GET", "/items"))[1] == {"version": 0, "items": []}
        unusual = {**service("desk"), "source": '{"b":1,  "a":"\\u00e9é"}'}
        sent_items = [unusual, route("r", aim_us=5, priority=2), limits()]
        assert await apply_change(world, sent_items) == 1
        for core in range(3):
            assert await current_items(world, core) == by_key(*sent_items)
        # only known fields of a spec are kept; the source keeps everything
        assert (
            await apply_change(world, [{**service("x"), "spec": {"health": "/h", "zone": 1}}]) == 2
        )
        assert (await current_items(world, 1))["service", "x"]["spec"] == {"health": "/h"}

    run(scenario)


INVALID = [
    [route("r", 9), route("bad", tries=0)],
    [service("new"), route("bad", 9, ["nowhere"])],
    [removed_item(service("desk"), 9)],
    [service("twin", 3), service("twin", 3, health="/h")],
]


@pytest.mark.parametrize("items", INVALID)
def test_an_invalid_call_changes_nothing(items):
    async def scenario(world):
        await start_core(world)
        good = [service("desk"), route("r", 2)]
        await apply_change(world, good)
        status, response = await send_change(world, items, 1)
        assert (status, response["code"]) == (422, "invalid")
        assert all(error.startswith("items.") for error in response["errors"])
        assert await current_items(world, 2) == by_key(*good)
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1

    run(scenario, application=())


def test_a_malformed_call_is_rejected():
    async def scenario(world):
        await start_core(world)
        assert (await world.operate("POST", "/items", {"things": []}))[0] == 400
        assert (await world.operate("POST", "/items", []))[0] == 400
        assert (await world.operate("POST", "/items", {"items": {}}))[0] == 422

    run(scenario, application=())


def test_lower_versions_have_no_effect_and_drops_are_remembered():
    async def scenario(world):
        await start_core(world)
        first = [service("desk", 3), route("r", 4)]
        version = await apply_change(world, first)
        for core in range(3):
            assert await apply_change(world, first, core) == version
        older = [service("desk", 2, health="/old")]
        # the superseded content is remembered
        assert await apply_change(world, older, 1) == version + 1
        assert await apply_change(world, older, 2) == version + 1
        assert await current_items(world) == by_key(*first)
        await apply_change(world, [removed_item(route("r"), 6)], 1)
        for host in world.core:
            world.power_off("mdconf", host)
        for host in world.core:
            await world.start("mdconf", host)
        await start_core(world)
        await apply_change(
            world, [route("r", 5)], 2
        )  # it arrives after the drop of a newer version
        assert await current_items(world) == by_key(first[0])
        await apply_change(world, [route("r", 7)], 2)
        assert (await current_items(world))["route", "r"]["version"] == 7

    run(scenario, application=())


CONFLICTS = [
    [service("new"), route("r", 4, prefix="/other/")],
    [service("new"), removed_item(route("r"), 4)],
    [service("new"), service("desk", 3, health="/superseded")],
    [service("new"), service("gone", 7)],
]


@pytest.mark.parametrize("items", CONFLICTS)
def test_other_content_under_a_known_version_is_rejected_also_after_restarts(items):
    async def scenario(world):
        await start_core(world)
        accepted_calls = [
            [service("desk", 3), route("r", 4), service("gone", 6)],
            [removed_item(service("gone"), 7)],
            [service("desk", 5)],
        ]
        for core, call in enumerate(accepted_calls):
            await apply_change(world, call, core)
        for host in world.core:
            world.power_off("mdconf", host)
        for host in world.core:
            await world.start("mdconf", host)
        await start_core(world)
        before = await current_items(world)
        for core in range(3):
            status, response = await send_change(world, items, core)
            assert (status, response["code"]) == (409, "version_conflict")
            kind, name = config_items.item_key(items[1])
            listed = {"kind": kind, "name": name, "version": items[1]["version"]}
            assert response["items"] == [listed]
            for call in accepted_calls:
                await apply_change(world, call, core)
        assert await current_items(world, 2) == before

    run(scenario, application=())


def test_of_several_contents_under_one_version_in_a_batch_one_is_accepted():
    async def scenario(world):
        await start_core(world)
        responses = {}

        async def call(number):
            responses[number] = await send_change(
                world, [service(f"own{number}"), service("desk", health=f"/{number}")]
            )

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(call, number)
        accepted_calls = [number for number, (status, _) in responses.items() if status == 200]
        assert sorted(status for status, _ in responses.values()) == [200] + [409] * 7
        items_in_force = await current_items(world, 1)
        assert items_in_force["service", "desk"]["spec"] == {"health": f"/{accepted_calls[0]}"}
        assert {name for _, name in items_in_force} == {"desk", f"own{accepted_calls[0]}"}

    run(scenario, application=())


@pytest.mark.parametrize("seed", range(4))
def test_racing_operators_at_different_members_reach_the_state_of_a_serial_order(seed):
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        responses = []

        async def operator(core):
            for number in range(6):
                version = 2 + (number * 7 + core * 3) % 11
                own = route(f"own{core}-{number}")
                shared = route("shared", version, prefix=f"/v{version}/")
                responses.append((version, await send_change(world, [own, shared], core)))
                await sleep_us(world.rng.randrange(5) * MILLISECOND)

        async with trio.open_nursery() as nursery:
            for core in range(3):
                nursery.start_soon(operator, core)
        assert [status for _, (status, _) in responses] == [200] * 18, [
            sent for sent in responses if sent[1][0] != 200
        ]
        items_in_force = await current_items(world, 1)
        assert len(items_in_force) == 1 + 18 + 1
        highest = max(version for version, _ in responses)
        assert items_in_force["route", "shared"]["spec"]["prefix"] == f"/v{highest}/"
        _, trail = await world.operate("GET", "/audit")
        assert audit.verify(trail["records"], trail["key"], trail["version"], trail["anchor"]) == []
        assert len(trail["records"]) == trail["version"]

    run(scenario, seed, application=())


def test_concurrent_calls_share_a_batch_and_are_validated_separately():
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        outcomes = {}

        async def call(number):
            items = [route(f"r{number}", services=["nowhere" if number % 5 == 0 else "desk"])]
            outcomes[number] = (await send_change(world, items))[0]

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(call, number)
        assert outcomes == {number: 422 if number % 5 == 0 else 200 for number in range(40)}
        assert len(await current_items(world, 1)) == 1 + 32
        assert (await world.operate("GET", "/manifest"))[1]["version"] < 10

    run(scenario, application=())


def test_an_acknowledged_change_survives_an_immediate_power_loss_everywhere():
    async def scenario(world):
        await start_core(world)
        sent_items = [service("desk"), *(route(f"r{number}") for number in range(200))]
        for turn in range(5):
            sent_items[1] = route("r0", 2 + turn, prefix=f"/{turn}/")
            await apply_change(world, sent_items if turn == 0 else [sent_items[1]], turn % 3)
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            await start_core(world)
            assert await current_items(world, (turn + 1) % 3) == by_key(*sent_items)

    run(scenario, application=())


def test_acknowledged_changes_survive_a_kill_at_any_moment():
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        acknowledged = 0
        for turn in range(1, 12):
            with trio.move_on_after(world.rng.uniform(0.001, 0.04)):
                await apply_change(world, [route("r", turn), route(f"r{turn}")], turn % 3)
                acknowledged = turn
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            await start_core(world)
            items_in_force = await current_items(world, turn % 3)
            version = (
                items_in_force["route", "r"]["version"] if ("route", "r") in items_in_force else 0
            )
            assert version >= acknowledged
            # the call is applied completely or not at all
            assert not version or ("route", f"r{version}") in items_in_force
            acknowledged = version
        assert acknowledged

    run(scenario, application=())


async def timed_change(world, items, core):
    started_at_us = monotonic_us()
    await apply_change(world, items, core)
    return monotonic_us() - started_at_us


@pytest.mark.parametrize("core", [0, 1])
def test_a_stalled_disk_of_one_member_delays_no_change(core):
    """A stalled disk must not delay changes, also not at the member that receives the call.

    The stalled disk keeps only old chunks.
    """

    async def scenario(world):
        await start_core(world)
        await apply_change(
            world, [service("desk"), *(route(f"r{number}") for number in range(300))]
        )
        disk = world.disks["mdconf", world.core[0]]
        disk.stalled = trio.Event()
        for turn in range(4):
            sent_items = [route(f"r{number}", 2 + turn) for number in range(100)]
            assert await timed_change(world, sent_items, core) < SECOND
            assert await timed_change(world, sent_items, 2) < SECOND
            items_in_force = await current_items(world, core)
            assert all(
                items_in_force["route", f"r{number}"]["version"] == 2 + turn
                for number in range(100)
            )
        disk.stalled.set()
        disk.stalled = None
        await sleep_us(5 * SECOND)
        world.power_off("mdconf", world.core[1])  # the others hold all items now
        assert len(await current_items(world, 0)) == 301

    run(scenario, application=())


def test_a_disk_whose_reads_stall_is_bypassed():
    async def scenario(world):
        await start_core(world)
        await apply_change(
            world, [service("desk"), *(route(f"r{number}") for number in range(300))], 1
        )
        for host in world.core:  # clears the chunks in memory
            world.power_off("mdconf", host)
        for host in world.core:
            await world.start("mdconf", host)
        await start_core(world)
        world.disks["mdconf", world.core[0]].read = lambda name: trio.sleep_forever()
        assert await timed_change(world, [route("new")], 0) < SECOND
        assert len(await current_items(world, 0)) == 302

    run(scenario, application=())


@pytest.mark.parametrize("fault", ["killed", "cut", "frozen"])
def test_an_absent_member_delays_no_change(fault):
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        absent = world.core[2]
        if fault == "killed":
            world.power_off("mdconf", absent)
        elif fault == "cut":
            for host in world.core[:2]:
                world.web.cut(absent, host)
        else:
            world.processes[f"mdconf@{absent}"].freeze()
        for turn in range(4):
            assert await timed_change(world, [route("r", 1 + turn)], turn % 2) < SECOND
            await sleep_us(300 * MILLISECOND)

    run(scenario, application=())


def test_a_minority_rejects_changes_quickly_and_applies_nothing():
    async def scenario(world):
        await start_core(world)
        for other in world.core[1:]:
            world.web.cut(world.core[0], other)
        started_at_us = monotonic_us()
        status, response = await send_change(world, [service("desk")])
        assert (status, response["code"]) == (503, "no_majority")
        # time for the read in flight, and the next one
        assert monotonic_us() - started_at_us < 2 * SECOND
        assert (await world.operate("GET", "/items"))[0] == 503
        assert await current_items(world, 1) == {}

    run(scenario, application=())


def test_configurations_and_items_do_not_affect_each_other():
    async def scenario(world):
        await start_configured(world)
        items = [service("desk"), route("r")]
        assert await apply_change(world, items) == 2
        _, before = await world.operate("GET", "/manifest")
        assert (
            before["manifest"] == (await world.operate("GET", "/manifest", core=1))[1]["manifest"]
        )
        assert "items" not in before["manifest"]
        assert by_key(*before["items"]) == by_key(*items)
        # the same configuration again is no change; another one keeps the items
        _, planned = await world.operate("POST", "/plan", before["manifest"])
        assert planned["plan"] is None
        assert await world.configure(manifest([manifest_route("new", "/balances")]), core=1) == 3
        assert await current_items(world, 2) == by_key(*items)
        assert await apply_change(world, [route("r", 2)], 2) == 4
        _, after = await world.operate("GET", "/manifest")
        assert [w["name"] for w in after["manifest"]["ways"]] == ["new"]
        for host in world.application:
            await world.eventually(
                lambda h=host: world.daemon("mdproxy", h).delivery.version == 4, within=2 * SECOND
            )
            routing_table = world.daemon("mdproxy", host).delivery.active.routing_table
            assert routing_table.find_route("guest", "GET", "/balances")[0].name == "new"
            assert routing_table.items.find_route(b"h.example", b"/p/x").version == 2

    run(scenario)


def test_a_plan_from_before_a_change_by_items_is_outdated():
    async def scenario(world):
        await start_configured(world)
        _, planned = await world.operate(
            "POST", "/plan", manifest([manifest_route("new", "/balances")])
        )
        await apply_change(world, [service("desk")])
        status, response = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
        assert (status, response["code"]) == (409, "outdated")

    run(scenario)


def test_items_without_a_configuration_reach_every_proxy_within_two_seconds():
    """Operators never set a configuration in this test."""

    async def scenario(world):
        await start_core(world)
        proxies = [world.daemon("mdproxy", host) for host in world.application]
        sent_items = [
            service("desk"),
            *(route(f"r{number}", prefix=f"/{number}/") for number in range(500)),
            limits(),
        ]
        for turn in range(3):
            sent_items[1] = route("r0", 2 + turn, prefix=f"/turn{turn}/")
            version = await apply_change(world, sent_items if turn == 0 else [sent_items[1]], turn)
            await world.eventually(
                lambda v=version: all(p.delivery.version == v for p in proxies), within=2 * SECOND
            )
            for proxy in proxies:
                table = proxy.delivery.active.routing_table.items
                assert table.version == version
                assert table.find_route(b"h.example", f"/turn{turn}/x".encode()).name == "r0"
                assert table.find_route(b"h.example", b"/499/").name == "r499"
                assert table.limits.header_bytes == 9
        for host in world.application:
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())

    run(scenario)
