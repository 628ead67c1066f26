"""Load sharing between proxies: forwarding, the load list, and its collector or the lack of one."""

from __future__ import annotations

import trio
from manifests import manifest
from mesh import counts, hosts, request_handler, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.overload import Processors, curve


async def offer(world, host, gap_us, until_us, results, path="/balances/1", **call):
    """Send calls to one host at a fixed rate; their results go to `results`."""
    client = world.client(host)

    async def send_call():
        results.append(await client.call("GET", path, **call))

    async with trio.open_nursery() as nursery:
        while monotonic_us() < until_us:
            nursery.start_soon(send_call)
            await sleep_us(gap_us)


def test_overloaded_node_forwards_round_robin_until_the_load_falls():
    async def scenario(world):
        journal, results = [], []
        await serving(world, journal, took_us=100 * MILLISECOND, capacity=10)
        overloaded = hosts(world)[0]
        # 120 calls a second of 100 ms: 12 in flight, capacity 10
        await offer(world, overloaded, 8333, monotonic_us() + 6 * SECOND, results)
        assert all(is_successful(result) for result in results), {str(result) for result in results}
        spilled = counts(world, overloaded)["spilled"]
        taken = [counts(world, h).get("taken", 0) for h in hosts(world)[1:]]
        assert spilled > 60
        assert sum(taken) == spilled
        assert max(taken) - min(taken) <= 2  # round-robin over the two that accept
        assert counts(world, overloaded)["rule.below-omega"] > 100  # local below omega
        await sleep_us(2 * SECOND)
        before = counts(world, overloaded)["spilled"]
        await offer(world, overloaded, 50 * MILLISECOND, monotonic_us() + 2 * SECOND, results)
        assert counts(world, overloaded)["spilled"] == before  # all calls are local again

    run(scenario, application=("desk", "desk", "desk"))


def test_node_without_an_endpoint_forwards_round_robin_to_accepting_nodes():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        token = None
        world_client = world.client(host, token)
        results = [await world_client.call("GET", "/balances/1") for _ in range(6)]
        assert all(is_successful(result) for result in results), results
        assert [counts(world, h).get("taken", 0) for h in hosts(world)[1:]] == [3, 3]

    run(scenario, application=("paper", "desk", "desk"))


def test_call_without_any_endpoint_is_rejected_at_once():
    async def scenario(world):
        endpoints = await serving(world)
        for endpoint in endpoints:
            await endpoint.deregister()
        started_at = monotonic_us()
        client = world.client(hosts(world)[0])
        rejection = (await client.call("GET", "/balances/1")).failure()
        assert (rejection.code, rejection.verdict.value) == ("home_gone", "not-run")
        assert rejection.retry_after_us == SECOND
        assert monotonic_us() - started_at < 50 * MILLISECOND

    run(scenario)


def test_collector_sends_one_list_per_interval_under_one_epoch():
    async def scenario(world):
        await serving(world)
        proxies = [world.daemon("mdproxy", h) for h in hosts(world)]
        await sleep_us(3 * SECOND)
        first = [(p.forwarder.load_list.epoch, p.forwarder.load_list.seq) for p in proxies]
        await sleep_us(5 * SECOND)
        later = [(p.forwarder.load_list.epoch, p.forwarder.load_list.seq) for p in proxies]
        assert len({epoch for epoch, _ in first + later}) == 1
        assert all(9 <= b[1] - a[1] <= 11 for a, b in zip(first, later, strict=True))
        holders = [h for h in world.core if world.daemon("mdreg", h).election.epoch is not None]
        assert len(holders) == 1

    run(scenario)


def test_dead_collector_is_replaced_under_a_higher_epoch_and_an_old_list_is_rejected():
    async def scenario(world):
        await serving(world)
        holder = next(h for h in world.core if world.daemon("mdreg", h).election.epoch is not None)
        old_epoch = world.daemon("mdreg", holder).election.epoch
        world.kill(f"mdreg@{holder}")
        proxy = world.daemon("mdproxy", hosts(world)[0])
        took_us = await world.eventually(lambda: proxy.forwarder.load_list.epoch > old_epoch)
        assert took_us < 6 * SECOND
        other = next(h for h in world.core if h != holder)
        links = world.node("mdreg", other).rpc
        reported = {"epoch": old_epoch, "seq": 10**6, "nodes": {}}
        replies = await links.call_all(
            {0: (f"{hosts(world)[0]}:7401", "load.list", reported)}, monotonic_us() + SECOND
        )
        assert replies[0].code == "old_epoch"
        assert proxy.forwarder.load_list.seq < 10**6

    run(scenario)


def test_without_any_registry_calls_stay_local_and_a_full_node_still_forwards():
    async def scenario(world):
        journal, results = [], []
        await serving(world, journal, took_us=100 * MILLISECOND, capacity=10)
        for host in world.core:
            world.kill(f"mdreg@{host}")
        await sleep_us(4 * SECOND)
        overloaded = hosts(world)[0]
        await offer(world, overloaded, 7 * MILLISECOND, monotonic_us() + 4 * SECOND, results)
        assert all(is_successful(result) for result in results)
        counters = counts(world, overloaded)
        assert counters["rule.stale"] > 0  # above omega, but the list is stale
        assert counters["rule.full"] == counters["spilled"] > 0
        assert world.trace.events(704)

    run(scenario)


def test_call_rejected_by_a_full_peer_runs_locally_or_is_rejected_as_not_run():
    async def scenario(world):
        journal, results = [], []
        await serving(world, journal, took_us=400 * MILLISECOND, capacity=2)
        for host in hosts(world)[1:]:
            world.nursery.start_soon(
                offer, world, host, 150 * MILLISECOND, monotonic_us() + 4 * SECOND, results
            )
        await offer(world, hosts(world)[0], 100 * MILLISECOND, monotonic_us() + 4 * SECOND, results)
        await sleep_us(4 * SECOND)
        rejections = [result.failure() for result in results if not is_successful(result)]
        assert rejections
        assert {(rejection.code, rejection.verdict.value) for rejection in rejections} == {
            ("busy", "not-run")
        }
        assert len(journal) == len(results) - len(rejections)  # rejected calls did not run

    run(scenario, application=("desk", "desk"))


def test_reported_load_makes_a_node_passive():
    async def scenario(world):
        await start_configured(world, manifest())
        loads = dict.fromkeys(hosts(world), 0.0)
        for host in hosts(world):
            await world.endpoint(host, "desk", request_handler(), load=lambda h=host: loads[h])
        loads[hosts(world)[1]] = 0.85
        await sleep_us(2 * SECOND)
        reported = {
            n.address: n.rho
            for n in world.daemon("mdproxy", hosts(world)[0]).forwarder.nodes_by_service["desk"]
        }
        assert reported[f"{hosts(world)[1]}:7401"] == 0.85
        assert reported[f"{hosts(world)[0]}:7401"] == 0.0

    run(scenario)


def test_throughput_does_not_collapse_under_overload():
    """Processing takes time in this test, and all machines share the processors.

    At a load of 3 times the capacity, throughput fell to 0.07 of the capacity, with 1.1 forwards per
    call, when proxies neither excluded peers without capacity nor rejected calls while overloaded.
    """
    by_load = curve((1.0, 3.0), shared=True, span=SECOND)
    full_load, overload = by_load[1.0], by_load[3.0]
    assert overload["offered"] > 2.8 * full_load["offered"]
    assert overload["answered"] >= 0.75 * full_load["answered"]
    assert overload["spilled"] < 0.1 * overload["offered"]
    rejected = sum(overload[c] for c in ("busy", "home_gone", "due_passed", "unreachable"))
    assert overload["answered"] + rejected == overload["offered"]  # each call has one final outcome


def test_overloaded_proxy_rejects_at_once_with_retry_after():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = hosts(world)[0]
        process = world.processes[f"mdproxy@{host}"]
        process.processors = slow = Processors(1, step_us=30 * MILLISECOND)
        world.nursery.start_soon(slow.run)
        daemon = world.daemon("mdproxy", host)
        await world.eventually(daemon.overloaded)
        status, lines, reported = await world.http(host, "POST", f"{host}:7400", "/withdrawals", {})
        assert (status, reported["code"], lines[b"retry-after"]) == (503, "busy", b"1")
        assert lines[b"md-verdict"] == b"not-run"
        process.processors = None
        await world.eventually(lambda: not daemon.overloaded())
        assert is_successful(await world.client(host).call("GET", "/balances/1"))
        assert [request.path for request in journal] == ["/balances/1"]

    run(scenario)
