"""Processes that are paused and resumed, as by SIGSTOP or a suspended machine."""

from __future__ import annotations

import trio
from manifests import manifest, manifest_route
from mesh import counts, hosts, request_handler, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_a_resumed_proxy_confirms_its_version_before_it_serves():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        process = world.processes[f"mdproxy@{host}"]
        process.freeze()
        await sleep_us(500 * MILLISECOND)
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        await sleep_us(3 * SECOND)
        assert process.node.daemon.delivery.version < version
        responses = []

        async def call():
            responses.append(await world.http(host, "GET", f"{host}:7400", "/balances/1"))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
            await sleep_us(100 * MILLISECOND)
            process.wake()
        assert {int(headers[b"md-version"]) for _, headers, _ in responses} == {version}
        assert {status for status, _, _ in responses} == {200}

    run(scenario, application=("desk", "desk"))


def test_a_paused_collector_is_replaced_and_drops_its_lease_when_resumed():
    async def scenario(world):
        await serving(world)
        holder = next(
            host for host in world.core if world.daemon("mdreg", host).election.epoch is not None
        )
        process = world.processes[f"mdreg@{holder}"]
        frozen_epoch = process.node.daemon.election.epoch
        process.freeze()
        proxy = world.daemon("mdproxy", hosts(world)[0])
        assert (
            await world.eventually(lambda: proxy.forwarder.load_list.epoch > frozen_epoch)
            < 6 * SECOND
        )
        process.wake()
        await sleep_us(3 * SECOND)
        assert world.trace.events(702, 705)  # it has noticed that its lease ended
        epochs = [world.daemon("mdreg", host).election.epoch for host in world.core]
        assert [epoch for epoch in epochs if epoch is not None] == [proxy.forwarder.load_list.epoch]

    run(scenario)


def test_a_call_relocated_to_a_paused_peer_may_have_run_and_is_not_run_on_resume():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host, peer_host = hosts(world)
        client = world.client(host)
        assert is_successful(await client.call("GET", "/balances/0"))
        process = world.processes[f"mdproxy@{peer_host}"]
        process.freeze()
        rejection = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert (rejection.code, rejection.verdict.value) == ("no_answer", "may-have-run")
        await sleep_us(50 * MILLISECOND)
        process.wake()
        await sleep_us(5 * SECOND)
        assert [request.path for request in journal] == ["/balances/0"]
        assert counts(world, peer_host)["taken"] == 1

    run(scenario, application=("paper", "desk"))


def test_a_paused_endpoint_is_avoided_and_its_calls_may_have_run():
    async def scenario(world):
        await start_configured(world)
        journal = []
        for host in hosts(world):
            await world.endpoint(host, "desk", request_handler(journal=journal))
        host = hosts(world)[0]
        client = world.client(host)
        assert is_successful(await client.call("GET", "/balances/1"))  # leaves an idle connection
        process = world.processes[f"endpoint@{host}:8000"]
        process.freeze()
        begun_us = monotonic_us()
        rejection = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert (rejection.code, rejection.verdict.value) == ("no_answer", "may-have-run")
        assert monotonic_us() - begun_us < 4 * SECOND
        await sleep_us(SECOND)
        # relocated to a peer, since the local endpoint is ejected
        assert is_successful(await client.call("GET", "/balances/2"))
        process.wake()
        await sleep_us(2 * SECOND)
        assert [request.path for request in journal].count("/withdrawals") <= 1

    run(scenario)
