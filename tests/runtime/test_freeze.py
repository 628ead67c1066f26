"""Processes that stand still and go on."""

from __future__ import annotations

import trio
from facts import manifest, way
from mesh import answers, configured, counts, hosts, serving
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_a_woken_proxy_confirms_its_version_before_it_serves():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        process = world.processes[f"mdproxy@{host}"]
        process.freeze()
        await sleep_us(500 * MILLISECOND)
        version = await world.configure(manifest([way("x", "/balances")]))
        await sleep_us(3 * SECOND)
        assert process.node.daemon.delivery.version < version
        found = []

        async def call():
            found.append(await world.http(host, "GET", f"{host}:7400", "/balances/1"))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
            await sleep_us(100 * MILLISECOND)
            process.wake()
        assert {int(lines[b"md-version"]) for _, lines, _ in found} == {version}
        assert {status for status, _, _ in found} == {200}

    run(scenario, application=("desk", "desk"))


def test_a_frozen_collector_is_replaced_and_knows_so_when_it_wakes():
    async def scenario(world):
        await serving(world)
        holder = next(h for h in world.core if world.daemon("mdreg", h).election.epoch is not None)
        process = world.processes[f"mdreg@{holder}"]
        old = process.node.daemon.election.epoch
        process.freeze()
        proxy = world.daemon("mdproxy", hosts(world)[0])
        assert await world.eventually(lambda: proxy.forwarder.load_list.epoch > old) < 6 * SECOND
        process.wake()
        await sleep_us(3 * SECOND)
        assert world.trace.events(702, 705)  # it knows that its lease is over
        holders = {h: world.daemon("mdreg", h).election.epoch for h in world.core}
        assert [e for e in holders.values() if e is not None] == [proxy.forwarder.load_list.epoch]

    run(scenario)


def test_a_call_at_a_frozen_neighbour_is_may_have_run_and_does_not_run_when_it_wakes():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host, other = hosts(world)
        client = world.client(host)
        assert is_successful(await client.call("GET", "/balances/0"))
        process = world.processes[f"mdproxy@{other}"]
        process.freeze()
        found = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert (found.code, found.verdict.value) == ("no_answer", "may-have-run")
        await sleep_us(50 * MILLISECOND)
        process.wake()
        await sleep_us(5 * SECOND)
        assert [got.path for got in journal] == ["/balances/0"]
        assert counts(world, other)["taken"] == 1

    run(scenario, application=("paper", "desk"))


def test_a_frozen_endpoint_is_left_and_its_calls_are_may_have_run():
    async def scenario(world):
        await configured(world)
        ran = []
        for host in hosts(world):
            await world.endpoint(host, "desk", answers(journal=ran))
        host = hosts(world)[0]
        client = world.client(host)
        assert is_successful(await client.call("GET", "/balances/1"))  # leaves a connection
        process = world.processes[f"endpoint@{host}:8000"]
        process.freeze()
        at = monotonic_us()
        found = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert (found.code, found.verdict.value) == ("no_answer", "may-have-run")
        assert monotonic_us() - at < 4 * SECOND
        await sleep_us(SECOND)
        assert is_successful(await client.call("GET", "/balances/2"))  # spilled: home is gone
        process.wake()
        await sleep_us(2 * SECOND)
        assert [g.path for g in ran].count("/withdrawals") <= 1

    run(scenario)
