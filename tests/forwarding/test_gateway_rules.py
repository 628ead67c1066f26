"""The rules of the request path that go beyond the paper; docs/design.md describes them."""

from __future__ import annotations

import pytest
import trio
from gates import (
    LIMITS,
    SEEDS,
    default_items,
    gated,
    gateway_of,
    send_call,
    set_rho,
    wait_until_done,
)
from gateway_estimates import (
    HIGH,
    LONG,
    LOW,
    hosts,
    set_hold_time,
    suppress_load_reports,
    work_us_by_path,
)
from item_builders import route, service

from meadowdock.forwarding.downstream import KEEP_ALIVE_S, KEEP_ALIVE_US
from meadowdock.forwarding.new_calls import NO_ENDPOINT_WAIT_SHARE
from meadowdock.load_sharing import LoadList, NodeLoad
from meadowdock.runtime import MILLISECOND, SECOND, Address, monotonic_us, sleep_us

RETRY_BUDGET = {"ratio": 1.0, "window_us": SECOND, "reserve": 100}


def address_of(host):
    return f"{host}:7401"


def list_entry(world, host, rho, **facts):
    end = world.ends[host]
    return NodeLoad(address_of(host), rho, end.instance.decode(), False, world.zones[host], **facts)


def set_load_list(world, host, rhos):
    """Give the gateway a new load list of desk, with the loads {host: rho}."""
    gateway = gateway_of(world, host)
    entries = tuple(list_entry(world, other, rho) for other, rho in rhos.items())
    gateway.update_loads(
        LoadList(gateway.loads.latest.epoch, gateway.loads.latest.seq, monotonic_us()),
        {"desk": entries},
    )
    gateway.reactor.end_turn()


def passive_rho(world, host):
    """Return a load at which a node is neither accepting nor offloading."""
    thresholds = gateway_of(world, host).dispatcher.thresholds
    return (thresholds.phi + thresholds.omega) / 2


def hosts_that_ran(world, exchange):
    """Return the hosts that ran a call."""
    host_of = {end.instance: host for host, end in world.ends.items()}
    return [host_of[ran.instance] for ran in world.request_audit.runs(exchange.id)]


async def batch(world, host, count):
    """Send calls one after the other and return the host that ran each of them."""
    calls = [await send_call(world, host) for _ in range(count)]
    assert {exchange.status for exchange in calls} == {200}
    return [hosts_that_ran(world, exchange)[0] for exchange in calls]


async def occupied(world, host, wait_us, count=1):
    """Start calls that hold slots of the endpoint at a host."""
    calls = [
        (await world.caller(host)).ask(b"/long/%d" % number, due_ms=None) for number in range(count)
    ]
    await sleep_us(wait_us)
    return calls


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_without_a_local_endpoint_go_round_robin_to_accepting_nodes_of_the_zone(seed):
    async def scenario(world):
        caller_host, *ends = hosts(world)
        listed = gateway_of(world, caller_host).loads.nodes["desk"]
        assert {node.address: node.zone for node in listed} == {
            address_of(host): world.zones[host] for host in ends
        }
        same_zone = [host for host in ends if world.zones[host] == world.zones[caller_host]]
        assert len(same_zone) == 2 < len(ends)
        suppress_load_reports(world)
        set_load_list(world, caller_host, dict.fromkeys(ends, 0.1))
        ran = await batch(world, caller_host, 6)
        assert set(ran[:2]) == set(same_zone) and ran[:2] == ran[2:4] == ran[4:]
        # first one of them stops accepting, then both
        set_load_list(
            world,
            caller_host,
            dict.fromkeys(ends, 0.1) | {same_zone[0]: passive_rho(world, caller_host)},
        )
        assert await batch(world, caller_host, 3) == [same_zone[1]] * 3
        set_load_list(
            world,
            caller_host,
            dict.fromkeys(ends, 0.1) | dict.fromkeys(same_zone, passive_rho(world, caller_host)),
        )
        other_zones = set(ends) - set(same_zone)
        ran = await batch(world, caller_host, 2 * len(other_zones))
        assert (
            set(ran[: len(other_zones)]) == other_zones
            and ran[: len(other_zones)] == ran[len(other_zones) :]
        )

    gated(scenario, seed, application=("", *("desk",) * 6))


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_with_a_local_endpoint_are_relocated_to_any_zone(seed):
    async def scenario(world):
        local, *others = hosts(world)
        assert len({world.zones[host] for host in others}) == 3
        suppress_load_reports(world)
        set_rho(world, local, gateway_of(world, local).dispatcher.thresholds.omega)
        set_load_list(world, local, dict.fromkeys(others, 0.1))
        ran = await batch(world, local, 2 * len(others))
        assert set(ran[: len(others)]) == set(others)
        assert ran[: len(others)] == ran[len(others) :]

    gated(scenario, seed, application=("desk",) * 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_call_of_a_full_endpoint_goes_to_a_peer_with_a_free_slot_if_no_node_accepts(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        occupying = await occupied(world, local, 30 * MILLISECOND)
        gateway = gateway_of(world, local)
        for rho in (passive_rho(world, local), (1 + gateway.dispatcher.thresholds.omega) / 2):
            set_load_list(world, local, {other: rho})
            sent_at = monotonic_us()
            exchange = await send_call(world, local, target=b"/once/x")
            assert exchange.status == 200 and hosts_that_ran(world, exchange) == [other]
            assert world.request_audit.runs(exchange.id)[0].begun - sent_at < 20 * MILLISECOND
        assert gateway.counts["rule.full-any-room"] == 2 and "desk" not in gateway.admission.queues
        # at full load of the peer the call waits at its own node
        set_load_list(world, local, {other: 1.0})
        exchange = (await world.caller(local)).ask(b"/once/y")
        await sleep_us(30 * MILLISECOND)
        assert len(gateway.admission.queues["desk"]) == 1 and not hosts_that_ran(world, exchange)
        await wait_until_done([exchange, *occupying])
        assert exchange.status == 200 and hosts_that_ran(world, exchange) == [local]

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_peer_below_full_load_without_a_free_slot_rejects_and_the_call_waits_locally(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        occupying = [await occupied(world, host, 10 * MILLISECOND) for host in (local, other)]
        set_load_list(world, local, {other: passive_rho(world, local)})
        exchange = (await world.caller(local)).ask(b"/once/y")
        await sleep_us(30 * MILLISECOND)
        gateway = gateway_of(world, local)
        assert (
            gateway.counts["spill.refused.busy"] == 1 and len(gateway.admission.queues["desk"]) == 1
        )
        await wait_until_done([exchange, *occupying[0], *occupying[1]])
        assert exchange.status == 200 and hosts_that_ran(world, exchange) == [local]

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=500)},
    )


@pytest.mark.parametrize(
    ("own", "fleet", "index"),
    [(100, 100, 1.0), (50, 100, 1.0), (150, 100, 2.25), (190, 100, 3.61), (900, 100, 4.0)],
)
def test_slowness_factor_is_the_squared_ratio_up_to_four(own, fleet, index):
    async def scenario(world):
        host = hosts(world)[0]
        suppress_load_reports(world)
        gateway = gateway_of(world, host)
        assert gateway.slowness.factor("paper", monotonic_us()) == 1.0  # nothing is known yet
        set_hold_time(gateway, own * MILLISECOND)
        gateway.slowness.fleet_hold_us["desk"] = fleet * MILLISECOND
        assert gateway.slowness.factor("desk", monotonic_us()) == pytest.approx(index)
        world.ends[host].left = True  # only the test sends heartbeats
        world.heartbeat(host, world.ends[host], 1000, warm_us=300 * MILLISECOND)
        assert gateway.slowness.factor("desk", monotonic_us()) == pytest.approx(max(1.5, index))
        await sleep_us(350 * MILLISECOND)
        assert gateway.slowness.factor("desk", monotonic_us()) == pytest.approx(index)

    gated(scenario, application=("desk",))


async def report_load(world, reported, stopped):
    """Make each endpoint report the load in `reported[0]` until the event is set."""
    while not stopped.is_set():
        for host in hosts(world):
            for endpoint in world.daemon("mdproxy", host).endpoints.by_address.values():
                endpoint.reported_load, endpoint.reported_load_at = reported[0], monotonic_us()
        await sleep_us(50 * MILLISECOND)


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_node_relocates_calls_at_a_load_at_which_others_keep_them(seed):
    async def scenario(world):
        slow, *others = hosts(world)
        for end in world.ends.values():
            end.reports_load = False
        reported, stopped = [0.1], trio.Event()
        world.nursery.start_soon(report_load, world, reported, stopped)

        async def rounds(count):
            for _ in range(count):
                for host in hosts(world):
                    await send_call(world, host)

        async def local_count(host):
            ran = await batch(world, host, 4)
            return ran.count(host)

        await rounds(30)
        reported[0] = 0.5
        await sleep_us(SECOND)
        assert [await local_count(host) for host in hosts(world)] == [4, 4, 4]
        reported[0] = 0.1
        world.ends[slow].work_us = 100 * MILLISECOND
        await rounds(30)
        reported[0] = 0.5
        await sleep_us(SECOND)
        rho_of = {
            node.address: node.rho for node in gateway_of(world, others[0]).loads.nodes["desk"]
        }
        assert rho_of[address_of(slow)] > 0.8
        assert all(rho_of[address_of(host)] == pytest.approx(0.5) for host in others)
        assert [await local_count(host) for host in hosts(world)] == [0, 4, 4]
        # the endpoint is fast again
        reported[0] = 0.1
        world.ends[slow].work_us = 50 * MILLISECOND
        await rounds(40)
        reported[0] = 0.5
        await sleep_us(SECOND)
        assert [await local_count(host) for host in hosts(world)] == [4, 4, 4]
        stopped.set()

    gated(scenario, seed, endpoint={"work_us": 50 * MILLISECOND})


@pytest.mark.parametrize("seed", SEEDS)
def test_node_relocates_calls_while_its_endpoint_is_warming_up(seed):
    async def scenario(world):
        warming_up, *others = hosts(world)
        for end in world.ends.values():
            end.reports_load = False
        reported, stopped = [0.6], trio.Event()
        world.nursery.start_soon(report_load, world, reported, stopped)
        end, until_warm = world.ends[warming_up], monotonic_us() + 2 * SECOND
        end.left = True  # only the test sends heartbeats

        async def send_heartbeats():
            sequence = 1000
            while not stopped.is_set():
                sequence += 1
                world.heartbeat(
                    warming_up, end, sequence, warm_us=max(0, until_warm - monotonic_us())
                )
                await sleep_us(300 * MILLISECOND)

        world.nursery.start_soon(send_heartbeats)
        await sleep_us(SECOND)
        ran = await batch(world, warming_up, 4)
        assert warming_up not in ran
        await sleep_us(until_warm - monotonic_us() + SECOND)
        assert await batch(world, warming_up, 4) == [warming_up] * 4
        stopped.set()

    gated(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_queue_at_a_peer_is_ordered_by_priority(seed):
    async def scenario(world):
        caller_host, endpoint_host = hosts(world)
        first, *callers = [await world.caller(caller_host) for _ in range(5)]
        calls = [first.ask(b"/p/0")]
        await sleep_us(20 * MILLISECOND)
        for target, caller in zip((b"/low/0", b"/low/1", b"/p/1", b"/p/2"), callers, strict=True):
            calls.append(caller.ask(target))
            await sleep_us(8 * MILLISECOND)
        assert len(gateway_of(world, endpoint_host).admission.queues["desk"]) == 4
        assert not gateway_of(world, caller_host).admission.queues.get("desk")
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        order = [ran.target for ran in world.ends[endpoint_host].journal]
        assert order == [b"/p/0", b"/p/1", b"/p/2", b"/low/0", b"/low/1"]

    gated(
        scenario,
        seed,
        application=("", "desk"),
        items=default_items(route("low", prefix="/low/", priority=3)),
        endpoint={"slots": 1, "work_us": 100 * MILLISECOND},
    )


@pytest.mark.parametrize("relocated", (False, True))
@pytest.mark.parametrize(
    ("mean_ms", "low", "high"), [(290, 200, 200), (310, 503, 200), (490, 503, 200), (510, 503, 503)]
)
def test_call_joins_a_queue_only_if_it_will_likely_be_served_in_time(mean_ms, low, high, relocated):
    """The expected wait must be short enough, and the call must end within its latency target.

    The wait may be 0.3 of the target of 1 s at the lowest priority and 0.6 above. Here the wait is
    as long as the hold time, so that the call ends in time up to 500 ms. Otherwise it is rejected at
    once.
    """

    async def scenario(world):
        caller_host, endpoint_host = hosts(world)
        gateway = gateway_of(world, endpoint_host)
        for target, expected in ((b"/low/x", low), (b"/high/x", high)):
            occupying = await occupied(world, endpoint_host, 50 * MILLISECOND)
            set_hold_time(gateway, mean_ms * MILLISECOND)
            exchange = await send_call(
                world, caller_host if relocated else endpoint_host, target=target
            )
            assert exchange.status == expected
            if expected == 503:
                assert not hosts_that_ran(world, exchange)
                # without a local endpoint it may wait a little for a new list, but in no queue
                assert exchange.took < (
                    NO_ENDPOINT_WAIT_SHARE * SECOND + 10 * MILLISECOND
                    if relocated
                    else 20 * MILLISECOND
                )
                assert (
                    not relocated
                    or gateway_of(world, caller_host).counts["spill.refused.busy"] >= 1
                )
                retry_after_s = float(exchange.line(b"Retry-After"))
                assert retry_after_s == pytest.approx(min(mean_ms / 1000, 0.44), abs=0.07)
            await wait_until_done(occupying)

    gated(
        scenario,
        application=("", "desk"),
        items=default_items(LOW, HIGH, LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=300)},
    )


@pytest.mark.parametrize("relocated", (False, True))
def test_call_leaves_the_queue_when_it_can_no_longer_be_served_in_time(relocated):
    async def scenario(world):
        caller_host, endpoint_host = hosts(world)
        occupying = await occupied(world, endpoint_host, 50 * MILLISECOND)
        gateway = gateway_of(world, endpoint_host)
        set_hold_time(gateway, 490 * MILLISECOND)
        exchange = (await world.caller(caller_host if relocated else endpoint_host)).ask(
            b"/high/x", due_ms=1000
        )
        await sleep_us(100 * MILLISECOND)
        assert len(gateway.admission.queues["desk"]) == 1
        await exchange.done.wait()
        assert exchange.status == 503 and exchange.line(b"Retry-After")
        assert 460 * MILLISECOND < exchange.took < 520 * MILLISECOND
        assert not len(gateway.admission.queues["desk"])
        await wait_until_done(occupying)

    gated(
        scenario,
        application=("", "desk"),
        items=default_items(LOW, HIGH, LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=3000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_at_most_two_peers_are_asked_to_queue_a_call(seed):
    async def scenario(world):
        caller_host, *ends = hosts(world)
        occupying = []
        for host in ends:
            occupying += await occupied(world, host, 10 * MILLISECOND)
            set_hold_time(gateway_of(world, host), 1100 * MILLISECOND)
        gateway, relocations = gateway_of(world, caller_host), []
        suppress_load_reports(world)  # with a new load list the peers would be asked again
        set_load_list(world, caller_host, dict.fromkeys(ends, 1.0))
        relocate = gateway.dispatcher.peer_calls.relocate

        def recording_relocate(call, node, may_queue=False):
            relocations.append((node.address, may_queue))
            return relocate(call, node, may_queue)

        gateway.dispatcher.peer_calls.relocate = recording_relocate
        exchange = await send_call(world, caller_host, target=b"/once/x")
        assert exchange.status == 503 and exchange.line(b"Retry-After")
        assert exchange.took < NO_ENDPOINT_WAIT_SHARE * 2 * SECOND + 20 * MILLISECOND
        queueing_peers = [address for address, may_wait in relocations if may_wait]
        assert len(queueing_peers) == len(set(queueing_peers)) == 2 == len(relocations)
        await wait_until_done(occupying)

    gated(
        scenario,
        seed,
        application=("", *("desk",) * 5),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_queued_call_of_a_peer_is_not_relocated_again_and_is_rejected_without_an_endpoint(seed):
    async def scenario(world):
        caller_host, full, free = hosts(world)
        suppress_load_reports(world)
        occupying = await occupied(world, full, 50 * MILLISECOND)
        set_load_list(world, caller_host, {full: 0.1})
        set_load_list(world, full, {free: 1.0})
        exchange = (await world.caller(caller_host)).ask(b"/once/x")
        await sleep_us(50 * MILLISECOND)
        full_gateway = gateway_of(world, full)
        assert len(full_gateway.admission.queues["desk"]) == 1
        set_load_list(world, full, {free: 0.1})  # local calls would be relocated there
        await sleep_us(50 * MILLISECOND)
        assert len(full_gateway.admission.queues["desk"]) == 1 and not hosts_that_ran(
            world, exchange
        )
        set_load_list(world, caller_host, {full: 0.1, free: 0.1})
        world.ends[full].left = True
        daemon, deregistered_at = world.daemon("mdproxy", full), monotonic_us()
        daemon.deregister_endpoint(world.ends[full].instance.decode())
        await exchange.done.wait()
        assert exchange.status == 200 and hosts_that_ran(world, exchange) == [free]
        assert monotonic_us() - deregistered_at < 50 * MILLISECOND
        assert "spilled" not in full_gateway.counts
        assert gateway_of(world, caller_host).counts["spill.refused.gone"] == 1
        await wait_until_done(occupying)

    gated(
        scenario,
        seed,
        application=("", "desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1500)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_relocating_a_queued_call_may_start_the_next_one_locally(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        set_load_list(world, local, {other: 1.0})
        occupying = await occupied(world, local, 50 * MILLISECOND)
        calls = []
        for number in range(2):
            calls.append((await world.caller(local)).ask(b"/once/%d" % number))
        await sleep_us(20 * MILLISECOND)
        gateway, endpoints = gateway_of(world, local), world.daemon("mdproxy", local).endpoints
        queue, endpoint = gateway.admission.queues["desk"], endpoints.local_endpoint("desk")
        assert len(queue) == 2
        place = gateway.dispatcher.place

        def placing_and_freeing_slot(call):
            place(call)
            if endpoint.capacity == 1:
                endpoint.capacity = 2
                endpoints.notify_waiters("desk")

        gateway.dispatcher.place = placing_and_freeing_slot
        set_load_list(world, local, {other: 0.1})
        gateway.dispatcher.place = place
        assert len(queue) == 0 and endpoint.in_flight == 2
        await wait_until_done([*calls, *occupying])
        assert [exchange.status for exchange in calls] == [200, 200]
        assert [hosts_that_ran(world, exchange) for exchange in calls] == [[other], [local]]
        assert len(queue) == 0 and endpoint.in_flight == 0

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


def serve_health(world, host, status, slots=b"0,0,4"):
    """Let the endpoint's process answer health checks."""
    end = world.ends[host]
    lines = [(b"md-incarnation", end.instance)] + ([(b"md-load", slots)] if slots else [])

    async def app(scope, receive, send):
        assert scope["path"] == "/health"
        await send({"type": "http.response.start", "status": status, "headers": lines})
        await send({"type": "http.response.body", "body": b"{}"})

    world.web.apps[Address(end.address)] = (app, end.process.net)


LOCAL_ENDPOINT = {
    "application": ("desk",),
    "items": [service("desk", health="/health"), *default_items()[1:]],
    "app": "10.0.1.1:8000",
    "beat_us": 2 * SECOND,
}


async def restart_proxy(world, host):
    world.ends[host].left = True  # only the test sends heartbeats
    world.kill(f"mdproxy@{host}")
    await sleep_us(100 * MILLISECOND)
    await world.start("mdproxy", host)
    return world.daemon("mdproxy", host)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_node_discovers_its_endpoint_before_the_next_heartbeat(seed):
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        serve_health(world, host, 200)
        daemon = await restart_proxy(world, host)
        started_at = monotonic_us()
        await world.eventually(lambda: daemon.endpoints.by_address, within=500 * MILLISECOND)
        endpoint = daemon.endpoints.by_address[end.address]
        assert (endpoint.incarnation, endpoint.capacity) == (end.instance.decode(), 4)
        exchange = await send_call(world, host, target=b"/once/x")
        assert exchange.status == 200
        pool = gateway_of(world, host).dispatcher.local_calls.pools[id(endpoint)]
        await sleep_us(SECOND - (monotonic_us() - started_at))
        registrations = len(world.trace.events(401))
        world.heartbeat(host, end, 1000, capacity=3)
        assert daemon.endpoints.by_address[end.address] is endpoint and endpoint.capacity == 3
        assert len(world.trace.events(401)) == registrations
        exchange = await send_call(world, host, target=b"/once/y")
        assert exchange.status == 200 and gateway_of(world, host).dispatcher.local_calls.pools == {
            id(endpoint): pool
        }

    gated(scenario, seed, **LOCAL_ENDPOINT)


@pytest.mark.parametrize("case", ("unwell", "left", "no slots", "none", "no number"))
def test_unhealthy_departed_or_slotless_endpoint_is_not_used(case):
    async def scenario(world):
        host = hosts(world)[0]
        slots = {"no slots": b"", "none": b"0,0,0", "no number": b"0,0,many"}.get(case, b"0,0,4")
        serve_health(world, host, 503 if case == "unwell" else 200, slots)
        daemon = await restart_proxy(world, host)
        if case == "left":
            daemon.deregister_endpoint(world.ends[host].instance.decode())
        discovery, answers = daemon.gateway_endpoints, []
        on_health_response = discovery.on_health_response
        discovery.on_health_response = lambda *response: (
            answers.append(response),
            on_health_response(*response),
        )
        await world.eventually(lambda: not daemon.unready_reasons())
        await sleep_us(SECOND)
        assert answers and not daemon.endpoints.by_address
        exchange = await send_call(world, host)
        assert exchange.status == 503 and not hosts_that_ran(world, exchange)

    gated(scenario, **LOCAL_ENDPOINT)


def test_new_node_uses_a_provisional_list_until_the_first_load_list():
    async def scenario(world):
        caller_host, *ends = hosts(world)
        reg = world.daemon("mdreg", world.core[0])
        collect = reg.collector.collect

        async def nothing():
            await trio.lowlevel.checkpoint()

        reg.collector.collect = nothing
        world.kill(f"mdproxy@{caller_host}")
        await sleep_us(100 * MILLISECOND)
        started_at = monotonic_us()
        await world.start("mdproxy", caller_host)
        forwarder, gateway = (
            world.daemon("mdproxy", caller_host).forwarder,
            gateway_of(world, caller_host),
        )
        expected = {address_of(host) for host in ends}
        await world.eventually(
            lambda: {node.address for node in gateway.loads.nodes.get("desk", ())} == expected
        )
        assert monotonic_us() - started_at < 500 * MILLISECOND and forwarder.load_list.seq == 0
        assert forwarder.load_list.stale(monotonic_us(), 1 << 60)
        await world.eventually(lambda: not world.node("mdproxy", caller_host).unready_reasons())
        assert forwarder.load_list.seq == 0
        assert set(await batch(world, caller_host, 4)) <= set(ends)
        # a list without more entries than known is not sent again, except for its epoch
        assert reg.provisional_list(len(ends)).to_wire() == {"epoch": reg.election.highest_epoch}
        assert reg.provisional_list(None).to_wire() == {}
        assert set(reg.provisional_list(0).to_wire()["nodes"]) == expected
        # a real list replaces it
        reg.collector.collect = collect
        await world.eventually(lambda: forwarder.load_list.seq)
        listed = gateway.loads.nodes
        assert {node.address for node in listed["desk"]} == expected
        # no provisional list is used after it
        daemon = world.daemon("mdproxy", caller_host)
        daemon.heartbeats.use_provisional_list(
            [{"10.9.9.9:7401": {"desk": [0.0, "x", False, "b"]}}] * 3
        )
        assert gateway.loads.nodes is listed

    gated(scenario, application=("", "desk", "desk"))


async def send_steadily(world, host, calls, stopped, every=20 * MILLISECOND):
    """Send calls at a fixed interval, each on its own connection."""
    while not stopped.is_set():
        caller = await world.caller(host)
        calls.append(caller.ask(b"/p/x"))
        await sleep_us(every)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("how", ("cut", "killed"))
def test_no_call_waits_for_a_broken_link_and_it_is_used_again_within_a_second(seed, how):
    async def scenario(world):
        await sleep_us(2 * RETRY_BUDGET["window_us"])  # until the reserve of retries is available
        caller_host, bad, good = hosts(world)
        gateway, calls, stopped = gateway_of(world, caller_host), [], trio.Event()
        link = gateway.peers.link_address(address_of(bad))
        world.nursery.start_soon(send_steadily, world, caller_host, calls, stopped)
        await sleep_us(300 * MILLISECOND)
        if how == "cut":
            world.web.cut(caller_host, bad)
        else:
            world.kill(f"mdproxy@{bad}")
        await world.eventually(lambda: link in gateway.peers.backoff_until)
        broken_at = monotonic_us()
        dialled = []

        async def watch():
            while not stopped.is_set():
                dialled.append(link in gateway.peers.outgoing)
                await sleep_us(10 * MILLISECOND)

        world.nursery.start_soon(watch)
        await sleep_us(2500 * MILLISECOND)
        if how == "cut":
            world.web.heal()
        else:
            await world.start("mdproxy", bad)
            await world.eventually(lambda: world.daemon("mdproxy", bad).endpoints.by_address)
            await world.eventually(
                lambda: address_of(bad) in {node.address for node in gateway.loads.nodes["desk"]}
            )
        recovered_at = monotonic_us()
        await sleep_us(1500 * MILLISECOND)
        stopped.set()
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        later = [exchange for exchange in calls if exchange.at > broken_at]
        assert len(later) > 150 and max(exchange.took for exchange in later) < 60 * MILLISECOND
        assert {
            hosts_that_ran(world, exchange)[0] for exchange in later if exchange.at < recovered_at
        } >= {good}
        assert how != "cut" or any(dialled)  # the link is reopened without a call for it
        later_starts = [ran.begun for ran in world.ends[bad].journal if ran.begun > recovered_at]
        assert later_starts and later_starts[0] - recovered_at < SECOND

    gated(
        scenario,
        seed,
        application=("", "desk", "desk"),
        tries=RETRY_BUDGET,
        endpoint={"slots": 20},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_stopping_node_stays_listed_until_its_listeners_are_closed(seed):
    async def scenario(world):
        caller_host, local = hosts(world)
        occupying = await occupied(world, local, 50 * MILLISECOND)
        daemon, reg = world.daemon("mdproxy", local), world.daemon("mdreg", world.core[0])
        observations, watch_ended = [], trio.Event()

        async def watch():
            while not watch_ended.is_set():
                listed = address_of(local) in {
                    node.address
                    for node in gateway_of(world, caller_host).loads.nodes.get("desk", ())
                }
                on_roster = address_of(local) in reg.proxies
                observations.append(
                    (daemon.node.stopping, daemon.closing.is_set(), on_roster, listed)
                )
                await sleep_us(5 * MILLISECOND)

        async def watch_listeners():
            await daemon.closing.wait()
            at_close.append(address_of(local) in reg.proxies)

        world.nursery.start_soon(watch)
        world.nursery.start_soon(watch_listeners)
        exchanges, at_close = [], []

        async def send_calls():
            for _ in range(10):
                exchanges.append(await send_call(world, caller_host, target=b"/once/x"))
                await sleep_us(20 * MILLISECOND)

        world.nursery.start_soon(send_calls)
        await world.stop(f"mdproxy@{local}")
        watch_ended.set()
        await sleep_us(2 * SECOND)
        stopping = [
            (listed, on_roster)
            for is_stopping, closed, on_roster, listed in observations
            if is_stopping and not closed
        ]
        assert len(stopping) > 50 and set(stopping[:-3]) == {(True, True)}
        assert at_close == [False]  # the registry was notified just before
        assert not any(on_roster for _, closed, on_roster, _ in observations if closed)
        assert occupying[0].status == 200
        assert {exchange.status for exchange in exchanges} <= {200, 503} and exchanges[
            0
        ].status == 200

    gated(
        scenario,
        seed,
        application=("", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 4, "work_us": work_us_by_path(long=3000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_rolling_restart_loses_no_call_and_runs_none_twice(seed):
    async def scenario(world):
        calls, stopped = [], trio.Event()

        async def send_calls(host, number):
            caller = None
            while not stopped.is_set():
                if caller is None or caller.failed or caller.wire.closed or caller.closed_at:
                    caller = await world.caller(host)
                    if caller.failed:
                        await sleep_us(30 * MILLISECOND)
                        continue
                target = (b"/once/%d", b"/p/%d")[number % 2] % len(calls)
                exchange = caller.ask(target, b"POST")
                calls.append(exchange)
                await exchange.done.wait()
                if exchange.line(b"Connection") == b"close":
                    caller = None
                await sleep_us(50 * MILLISECOND)

        for host in hosts(world):
            for number in range(2):
                world.nursery.start_soon(send_calls, host, number)
        await sleep_us(300 * MILLISECOND)
        for host in hosts(world):
            await world.stop(f"mdproxy@{host}")
            await world.start("mdproxy", host)
            await world.eventually(
                lambda host=host: not world.node("mdproxy", host).unready_reasons()
            )
            await sleep_us(SECOND)
        stopped.set()
        await sleep_us(3 * SECOND)
        assert all(exchange.done.is_set() for exchange in calls) and len(calls) > 300
        by_status = {
            status: [exchange for exchange in calls if exchange.status == status]
            for status in {200, 503, 0}
        }
        assert sum(map(len, by_status.values())) == len(calls), {
            exchange.status for exchange in calls
        }
        assert not any(
            world.request_audit.runs(exchange.id) for exchange in by_status[503] + by_status[0]
        )
        assert len(by_status[503]) + len(by_status[0]) < len(calls) / 50
        assert all(len(world.request_audit.runs(exchange.id)) == 1 for exchange in by_status[200])

    gated(
        scenario,
        seed,
        application=("", "desk", "desk", "desk"),
        endpoint={"slots": 20, "work_us": 150 * MILLISECOND},
    )


def test_idle_timeout_is_as_announced_and_connections_with_a_call_stay_open():
    long_idle_limits = {**LIMITS, "spec": {**LIMITS["spec"], "idle_us": 60 * SECOND}}

    async def scenario(world):
        host = hosts(world)[0]
        used, unused, long = [await world.caller(host) for _ in range(3)]
        first = long.ask()
        await first.done.wait()
        assert first.line(b"Keep-Alive")
        under_way = long.ask(b"/long/x", due_ms=None)
        for target, status in ((b"/p/x", 200), (b"/p/x", 200), (b"/none", 404)):
            exchange = used.ask(target)
            await exchange.done.wait()
            assert exchange.status == status
            assert exchange.line(b"Keep-Alive") == b"timeout=%d" % KEEP_ALIVE_S
        # a connection that is used again within the announced time stays open
        for _ in range(3):
            await sleep_us(KEEP_ALIVE_S * SECOND - 10 * MILLISECOND)
            exchange = used.ask()
            await exchange.done.wait()
            assert exchange.status == 200
        last = monotonic_us()
        await sleep_us(KEEP_ALIVE_S * SECOND)
        assert not used.closed_at
        await sleep_us(KEEP_ALIVE_US - KEEP_ALIVE_S * SECOND + 300 * MILLISECOND)
        assert KEEP_ALIVE_US <= used.closed_at - last < KEEP_ALIVE_US + 300 * MILLISECOND
        assert not under_way.done.is_set() and not unused.closed_at
        await under_way.done.wait()
        assert under_way.status == 200 and not long.closed_at
        assert under_way.took > 2 * KEEP_ALIVE_US

    gated(
        scenario,
        application=("desk",),
        items=[*(i for i in default_items(LONG) if i["kind"] != "limits"), long_idle_limits],
        endpoint={"work_us": work_us_by_path(long=16_000)},
    )
