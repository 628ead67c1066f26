"""Spilling and coming home, the combined list, its collector, and what happens without them."""

from __future__ import annotations

import trio
from manifests import manifest
from mesh import counts, hosts, request_handler, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.overload import Processors, curve


async def offer(world, host, gap_us, until_us, found, path="/balances/1", **call):
    """Open-loop calls at one host; results go to `found`."""
    client = world.client(host)

    async def one():
        found.append(await client.call("GET", path, **call))

    async with trio.open_nursery() as nursery:
        while monotonic_us() < until_us:
            nursery.start_soon(one)
            await sleep_us(gap_us)


def test_an_overloaded_home_spills_in_turn_and_takes_its_calls_back():
    async def scenario(world):
        journal, found = [], []
        await serving(world, journal, took_us=100 * MILLISECOND, capacity=10)
        busy = hosts(world)[0]
        # 120 calls a second of 100 ms: 12 in flight, capacity 10
        await offer(world, busy, 8333, monotonic_us() + 6 * SECOND, found)
        assert all(is_successful(f) for f in found), {str(f) for f in found}
        spilled = counts(world, busy)["spilled"]
        taken = [counts(world, h).get("taken", 0) for h in hosts(world)[1:]]
        assert spilled > 60
        assert sum(taken) == spilled
        assert max(taken) - min(taken) <= 2  # round-robin over the two that accept
        assert counts(world, busy)["rule.below-omega"] > 100  # home until omega
        await sleep_us(2 * SECOND)
        before = counts(world, busy)["spilled"]
        await offer(world, busy, 50 * MILLISECOND, monotonic_us() + 2 * SECOND, found)
        assert counts(world, busy)["spilled"] == before  # all at home again

    run(scenario, application=("desk", "desk", "desk"))


def test_a_machine_without_an_endpoint_goes_round_over_the_accepting():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        token = None
        world_client = world.client(host, token)
        found = [await world_client.call("GET", "/balances/1") for _ in range(6)]
        assert all(is_successful(f) for f in found), found
        assert [counts(world, h).get("taken", 0) for h in hosts(world)[1:]] == [3, 3]

    run(scenario, application=("paper", "desk", "desk"))


def test_home_gone_and_no_neighbour_with_room_is_answered_at_once():
    async def scenario(world):
        made = await serving(world)
        for endpoint in made:
            await endpoint.deregister()
        begun = monotonic_us()
        client = world.client(hosts(world)[0])
        found = (await client.call("GET", "/balances/1")).failure()
        assert (found.code, found.verdict.value) == ("home_gone", "not-run")
        assert found.retry_after_us == SECOND
        assert monotonic_us() - begun < 50 * MILLISECOND

    run(scenario)


def test_the_collector_sends_one_list_an_interval_under_one_epoch():
    async def scenario(world):
        await serving(world)
        proxies = [world.daemon("mdproxy", h) for h in hosts(world)]
        await sleep_us(3 * SECOND)
        first = [(p.forwarder.load_list.epoch, p.forwarder.load_list.seq) for p in proxies]
        await sleep_us(5 * SECOND)
        then = [(p.forwarder.load_list.epoch, p.forwarder.load_list.seq) for p in proxies]
        assert len({epoch for epoch, _ in first + then}) == 1
        assert all(9 <= b[1] - a[1] <= 11 for a, b in zip(first, then, strict=True))
        holders = [h for h in world.core if world.daemon("mdreg", h).election.epoch is not None]
        assert len(holders) == 1

    run(scenario)


def test_a_dead_collector_is_replaced_under_a_higher_epoch_and_an_old_list_is_refused():
    async def scenario(world):
        await serving(world)
        holder = next(h for h in world.core if world.daemon("mdreg", h).election.epoch is not None)
        old = world.daemon("mdreg", holder).election.epoch
        world.kill(f"mdreg@{holder}")
        proxy = world.daemon("mdproxy", hosts(world)[0])
        took = await world.eventually(lambda: proxy.forwarder.load_list.epoch > old)
        assert took < 6 * SECOND
        other = next(h for h in world.core if h != holder)
        links = world.node("mdreg", other).rpc
        told = {"epoch": old, "seq": 10**6, "nodes": {}}
        got = await links.call_all(
            {0: (f"{hosts(world)[0]}:7401", "load.list", told)}, monotonic_us() + SECOND
        )
        assert got[0].code == "old_epoch"
        assert proxy.forwarder.load_list.seq < 10**6

    run(scenario)


def test_without_any_mdreg_calls_stay_home_and_a_full_home_still_spills():
    async def scenario(world):
        journal, found = [], []
        await serving(world, journal, took_us=100 * MILLISECOND, capacity=10)
        for host in world.core:
            world.kill(f"mdreg@{host}")
        await sleep_us(4 * SECOND)
        busy = hosts(world)[0]
        await offer(world, busy, 7 * MILLISECOND, monotonic_us() + 4 * SECOND, found)
        assert all(is_successful(f) for f in found)
        seen = counts(world, busy)
        assert seen["rule.stale"] > 0  # above omega by its own measure, yet at home
        assert seen["rule.full"] == seen["spilled"] > 0
        assert world.trace.events(704)

    run(scenario)


def test_a_full_neighbour_sheds_and_the_call_is_kept_or_refused_as_not_run():
    async def scenario(world):
        journal, found = [], []
        await serving(world, journal, took_us=400 * MILLISECOND, capacity=2)
        for host in hosts(world)[1:]:
            world.nursery.start_soon(
                offer, world, host, 150 * MILLISECOND, monotonic_us() + 4 * SECOND, found
            )
        await offer(world, hosts(world)[0], 100 * MILLISECOND, monotonic_us() + 4 * SECOND, found)
        await sleep_us(4 * SECOND)
        refused = [f.failure() for f in found if not is_successful(f)]
        assert refused
        assert {(r.code, r.verdict.value) for r in refused} == {("busy", "not-run")}
        assert len(journal) == len(found) - len(refused)  # not-run means not run

    run(scenario, application=("desk", "desk"))


def test_told_load_makes_a_node_passive_for_others():
    async def scenario(world):
        await start_configured(world, manifest())
        loads = dict.fromkeys(hosts(world), 0.0)
        for host in hosts(world):
            await world.endpoint(host, "desk", request_handler(), load=lambda h=host: loads[h])
        loads[hosts(world)[1]] = 0.85
        await sleep_us(2 * SECOND)
        told = {
            n.address: n.rho
            for n in world.daemon("mdproxy", hosts(world)[0]).forwarder.nodes_by_service["desk"]
        }
        assert told[f"{hosts(world)[1]}:7401"] == 0.85
        assert told[f"{hosts(world)[0]}:7401"] == 0.0

    run(scenario)


def test_work_done_does_not_collapse_when_far_more_is_offered_than_can_be_done():
    """Processors cost time here, and all machines share them. Without leaving out who had no room
    and refusing when behind, 3 times the capacity gave 0.07 of it, each call spilled 1.1 times."""
    found = curve((1.0, 3.0), shared=True, span=SECOND)
    once, thrice = found[1.0], found[3.0]
    assert thrice["offered"] > 2.8 * once["offered"]
    assert thrice["answered"] >= 0.75 * once["answered"]
    assert thrice["spilled"] < 0.1 * thrice["offered"]
    refused = sum(thrice[c] for c in ("busy", "home_gone", "due_passed", "unreachable"))
    assert thrice["answered"] + refused == thrice["offered"]  # each its final answer


def test_a_proxy_that_is_behind_refuses_at_once_and_says_when_to_come_again():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = hosts(world)[0]
        process = world.processes[f"mdproxy@{host}"]
        process.processors = slow = Processors(1, step_us=30 * MILLISECOND)
        world.nursery.start_soon(slow.run)
        daemon = world.daemon("mdproxy", host)
        await world.eventually(daemon.overloaded)
        status, lines, told = await world.http(host, "POST", f"{host}:7400", "/withdrawals", {})
        assert (status, told["code"], lines[b"retry-after"]) == (503, "busy", b"1")
        assert lines[b"md-verdict"] == b"not-run"
        process.processors = None
        await world.eventually(lambda: not daemon.overloaded())
        assert is_successful(await world.client(host).call("GET", "/balances/1"))
        assert [got.path for got in journal] == ["/balances/1"]

    run(scenario)
