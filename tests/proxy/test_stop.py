"""The polite stop: within 5 s, nothing in flight lost, nobody told to come to a closed door."""

from __future__ import annotations

import trio
from facts import manifest, way
from mesh import configured, hosts, serving
from returns.pipeline import is_successful

from meadowdock.admin_http import Response, RouteTable
from meadowdock.registry.server import RegistryServer
from meadowdock.runtime import MILLISECOND, SECOND, HttpConnectionFailed, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_a_proxy_restarted_under_load_loses_no_call():
    async def scenario(world):
        journal, found = [], []
        await serving(world, journal, took_us=300 * MILLISECOND, capacity=8)
        host, other = hosts(world)[:2]
        stopped = []

        async def stop():
            await sleep_us(SECOND)
            stopped.append(await world.stop(f"mdproxy@{host}"))

        async def call(client):
            found.append(await client.call("GET", "/balances/1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            while not stopped:
                # callers go where the probe says ready, as the platform would send them
                status = 0
                if f"mdproxy@{host}" in world.processes:
                    status, _, _ = await world.http(host, "GET", f"{host}:7400", "/ready")
                nursery.start_soon(call, world.client(host if status == 200 else other))
                await sleep_us(20 * MILLISECOND)
        assert stopped[0] < 5 * SECOND
        assert len(found) > 80
        assert all(is_successful(f) for f in found), [f for f in found if not is_successful(f)][:3]
        assert len(journal) == len(found)

    run(scenario, application=("desk", "desk", "desk"))


def test_a_stop_waits_for_a_long_call_and_a_second_signal_does_not():
    async def scenario(world):
        await serving(world, took_us=1_900 * MILLISECOND)
        found = []
        for host, hurry in zip(hosts(world), (False, True), strict=True):

            async def call(host=host):
                found.append(await world.client(host).call("GET", "/balances/1"))

            world.nursery.start_soon(call)
            await sleep_us(100 * MILLISECOND)
            begun = monotonic_us()
            if hurry:
                world.node("mdproxy", host).shutdown.abort_requested.set()
            took = await world.stop(f"mdproxy@{host}")
            assert took == monotonic_us() - begun
            assert (took < 500 * MILLISECOND) == hurry
            if not hurry:  # its answer left before the process ended: it may still be on its way
                await world.eventually(lambda: found, within=5 * MILLISECOND, every=MILLISECOND)
                assert is_successful(found[0])

    run(scenario)


def test_core_processes_restarted_one_after_another_are_not_felt():
    async def scenario(world):
        await serving(world)
        found = []

        async def load():
            client = world.client(hosts(world)[0])
            while True:
                found.append(await client.call("GET", "/balances/1"))
                await sleep_us(20 * MILLISECOND)

        world.nursery.start_soon(load)
        for host in world.core:
            for role in ("mdreg", "mdconf"):
                assert await world.stop(f"{role}@{host}") < 5 * SECOND
                await world.start(role, host)
                await world.eventually(
                    lambda r=role, h=host: not world.node(r, h).unready_reasons()
                )
        await sleep_us(5 * SECOND)
        assert len(found) > 100
        assert all(is_successful(f) for f in found)
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1

    run(scenario)


def test_a_confirm_under_way_is_answered_when_its_mdconf_is_stopped():
    async def scenario(world):
        await configured(world)
        for number, wait in enumerate((1, 3, 5, 8)):
            facts = manifest([way(f"w{number}", "/balances")])
            _, planned = await world.operate("POST", "/plan", facts)
            told = []

            async def confirm(plan=planned["plan"], told=told):
                told.append(await world.operate("POST", "/confirm", {"plan": plan}))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(confirm)
                await sleep_us(wait * MILLISECOND)
                await world.stop(f"mdconf@{world.core[0]}")
            status, answer = told[0]
            assert (status, answer["version"]) == (200, number + 2)
            read = (await world.operate("GET", "/manifest", core=1))[1]
            assert read["version"] == number + 2
            await world.start("mdconf", world.core[0])
            await world.eventually(
                lambda: not world.node("mdconf", world.core[0]).unready_reasons()
            )

    run(scenario, application=("desk",))


def test_a_further_door_is_served_and_stopped_with_the_first(monkeypatch):
    further = RouteTable()

    @further.on("POST", "/slow")
    async def slow(daemon, request):
        await sleep_us(700 * MILLISECOND)
        return Response(
            200, {"of": daemon.node.settings.name, "got": (await request.body()).decode()}
        )

    monkeypatch.setattr(
        RegistryServer, "listeners", lambda daemon: {f"{daemon.node.settings.host}:7419": further}
    )

    async def scenario(world):
        await world.start_all()
        host = world.core[0]
        door, found = f"{host}:7419", []

        async def call():
            found.append(await world.http(host, "POST", door, "/slow", {"a": 1}))

        status, lines, _ = await world.http(host, "POST", door, "/slow", {})
        assert status == 200 and b"connection" not in lines
        assert (await world.http(host, "GET", door, "/ready"))[0] == 404  # its own table alone
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await sleep_us(10 * MILLISECOND)
            assert await world.stop(f"mdreg@{host}") < 5 * SECOND
        status, lines, told = found[0]
        assert (status, told) == (200, {"of": f"mdreg@{host}", "got": '{"a": 1}'})
        assert lines[b"connection"] == b"close"
        for address in (door, f"{host}:7410"):
            try:
                await world.http(world.core[1], "GET", address, "/live")
            except HttpConnectionFailed as broken:
                assert not broken.sent
            else:
                raise AssertionError("a door is open still")

    run(scenario)
