"""Graceful shutdown of the daemons.

It takes at most 5 s, loses no call in flight, and sends no caller to a closed listener.
"""

from __future__ import annotations

import trio
from manifests import manifest, manifest_route
from mesh import hosts, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.admin_http import Response, RouteTable
from meadowdock.registry.server import RegistryServer
from meadowdock.runtime import MILLISECOND, SECOND, HttpConnectionFailed, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_a_proxy_stopped_under_load_loses_no_call():
    async def scenario(world):
        executed, outcomes = [], []
        await serving(world, executed, took_us=300 * MILLISECOND, capacity=8)
        host, other = hosts(world)[:2]
        stop_durations_us = []

        async def stop():
            await sleep_us(SECOND)
            stop_durations_us.append(await world.stop(f"mdproxy@{host}"))

        async def call(client):
            outcomes.append(await client.call("GET", "/balances/1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            while not stop_durations_us:
                # Calls go to a proxy whose readiness probe succeeds, as the platform's would.
                status = 0
                if f"mdproxy@{host}" in world.processes:
                    status, _, _ = await world.http(host, "GET", f"{host}:7400", "/ready")
                nursery.start_soon(call, world.client(host if status == 200 else other))
                await sleep_us(20 * MILLISECOND)
        assert stop_durations_us[0] < 5 * SECOND
        assert len(outcomes) > 80
        assert all(is_successful(outcome) for outcome in outcomes), [
            outcome for outcome in outcomes if not is_successful(outcome)
        ][:3]
        assert len(executed) == len(outcomes)

    run(scenario, application=("desk", "desk", "desk"))


def test_a_stop_waits_for_a_long_call_and_a_second_signal_does_not():
    async def scenario(world):
        await serving(world, took_us=1_900 * MILLISECOND)
        outcomes = []
        for host, abort in zip(hosts(world), (False, True), strict=True):

            async def call(host=host):
                outcomes.append(await world.client(host).call("GET", "/balances/1"))

            world.nursery.start_soon(call)
            await sleep_us(100 * MILLISECOND)
            started_at = monotonic_us()
            if abort:
                world.node("mdproxy", host).shutdown.abort_requested.set()
            elapsed_us = await world.stop(f"mdproxy@{host}")
            assert elapsed_us == monotonic_us() - started_at
            assert (elapsed_us < 500 * MILLISECOND) == abort
            if not abort:
                # The response was sent before the process ended, but may not have arrived yet.
                await world.eventually(lambda: outcomes, within=5 * MILLISECOND, every=MILLISECOND)
                assert is_successful(outcomes[0])

    run(scenario)


def test_no_call_fails_while_core_processes_are_restarted_one_after_another():
    async def scenario(world):
        await serving(world)
        outcomes = []

        async def call_continuously():
            client = world.client(hosts(world)[0])
            while True:
                outcomes.append(await client.call("GET", "/balances/1"))
                await sleep_us(20 * MILLISECOND)

        world.nursery.start_soon(call_continuously)
        for host in world.core:
            for role in ("mdreg", "mdconf"):
                assert await world.stop(f"{role}@{host}") < 5 * SECOND
                await world.start(role, host)
                await world.eventually(
                    lambda r=role, h=host: not world.node(r, h).unready_reasons()
                )
        await sleep_us(5 * SECOND)
        assert len(outcomes) > 100
        assert all(is_successful(outcome) for outcome in outcomes)
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1

    run(scenario)


def test_a_confirm_in_flight_is_answered_when_its_mdconf_is_stopped():
    async def scenario(world):
        await start_configured(world)
        for round_index, stop_after_ms in enumerate((1, 3, 5, 8)):
            configuration = manifest([manifest_route(f"w{round_index}", "/balances")])
            _, planned = await world.operate("POST", "/plan", configuration)
            responses = []

            async def confirm(plan=planned["plan"], responses=responses):
                responses.append(await world.operate("POST", "/confirm", {"plan": plan}))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(confirm)
                await sleep_us(stop_after_ms * MILLISECOND)
                await world.stop(f"mdconf@{world.core[0]}")
            status, content = responses[0]
            assert (status, content["version"]) == (200, round_index + 2)
            stored = (await world.operate("GET", "/manifest", core=1))[1]
            assert stored["version"] == round_index + 2
            await world.start("mdconf", world.core[0])
            await world.eventually(
                lambda: not world.node("mdconf", world.core[0]).unready_reasons()
            )

    run(scenario, application=("desk",))


def test_a_second_listener_is_served_and_stopped_with_the_first(monkeypatch):
    second_table = RouteTable()

    @second_table.on("POST", "/slow")
    async def slow(daemon, request):
        await sleep_us(700 * MILLISECOND)
        return Response(
            200, {"of": daemon.node.settings.node_name, "got": (await request.body()).decode()}
        )

    monkeypatch.setattr(
        RegistryServer,
        "listeners",
        lambda daemon: {f"{daemon.node.settings.host}:7419": second_table},
    )

    async def scenario(world):
        await world.start_all()
        host = world.core[0]
        second_address, responses = f"{host}:7419", []

        async def call():
            responses.append(await world.http(host, "POST", second_address, "/slow", {"a": 1}))

        status, headers, _ = await world.http(host, "POST", second_address, "/slow", {})
        assert status == 200 and b"connection" not in headers
        # It serves only the routes of its own table.
        assert (await world.http(host, "GET", second_address, "/ready"))[0] == 404
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await sleep_us(10 * MILLISECOND)
            assert await world.stop(f"mdreg@{host}") < 5 * SECOND
        status, headers, content = responses[0]
        assert (status, content) == (200, {"of": f"mdreg@{host}", "got": '{"a": 1}'})
        assert headers[b"connection"] == b"close"
        for address in (second_address, f"{host}:7410"):
            try:
                await world.http(world.core[1], "GET", address, "/live")
            except HttpConnectionFailed as failure:
                assert not failure.sent
            else:
                raise AssertionError(f"{address} still accepts connections")

    run(scenario)


def test_a_stop_answers_all_of_a_stream_in_which_a_request_is_always_in_flight(monkeypatch):
    table = RouteTable()

    @table.on("POST", "/slow")
    async def slow(daemon, request):
        await sleep_us(700 * MILLISECOND)
        return Response(200, {})

    monkeypatch.setattr(
        RegistryServer, "listeners", lambda daemon: {f"{daemon.node.settings.host}:7419": table}
    )

    async def scenario(world):
        await world.start_all()
        host = world.core[0]
        statuses, failures, stopped = [], [], trio.Event()

        async def call():
            try:
                statuses.append((await world.http(host, "POST", f"{host}:7419", "/slow", {}))[0])
            except HttpConnectionFailed as failure:
                failures.append(failure)

        async def call_continuously(nursery):
            while not stopped.is_set():
                nursery.start_soon(call)
                await sleep_us(100 * MILLISECOND)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_continuously, nursery)
            await sleep_us(SECOND)
            assert await world.stop(f"mdreg@{host}") < 4 * SECOND
            stopped.set()
        assert len(statuses) > 20 and set(statuses) == {200}
        assert not any(failure.sent for failure in failures)

    run(scenario)
