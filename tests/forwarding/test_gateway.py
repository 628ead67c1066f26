"""The normal operation of the gateway: routes, responses, load sharing, draining, shutdown."""

from __future__ import annotations

import pytest
from gates import (
    LIMITS,
    SEEDS,
    default_items,
    gated,
    gateway_of,
    send_call,
    set_rho,
    wait_until_done,
    wait_until_listed,
)
from item_builders import route, service

from meadowdock.forwarding.peer_link import OutgoingLink
from meadowdock.load_sharing import NodeLoad
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us


def hosts(world):
    return list(world.application)


@pytest.mark.parametrize("seed", SEEDS)
def test_caller_gets_the_complete_response_of_the_local_endpoint(seed):
    async def scenario(world):
        host = hosts(world)[0]
        exchange = await send_call(
            world, host, target=b"/p/a%20b?x=1&y=%2F", method=b"POST", body=b"\x00b"
        )
        assert exchange.status == 200 and exchange.line(b"X-Kept") == b"as it was"
        assert [ran.id for ran in world.ends[host].journal] == [exchange.id]
        assert exchange.took < 100 * MILLISECOND

    gated(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_bodies_and_paths_are_forwarded_unchanged(seed):
    async def scenario(world):
        world.web.tear = 50
        for index, host in enumerate(hosts(world)):
            caller = await world.caller(host)
            body = bytes(range(256)) * (index + 1)
            calls = [
                caller.ask(b"/p/one?q=%00&r=a/b", b"POST", body=body, in_chunks=chunks)
                for chunks in (True, False)
            ]
            calls += [caller.ask(b"/p/..//x;y", b"PUT", body=b""), caller.ask(b"/p/", b"DELETE")]
            await wait_until_done(calls)
            assert [exchange.status for exchange in calls] == [200] * 4

    gated(scenario, seed)


def test_route_is_found_by_host_and_longest_prefix():
    more = [
        route("inner", prefix="/p/in/", services=("paper",)),
        route("other", host="other.example", prefix="/", services=("paper",)),
    ]

    async def scenario(world):
        host = hosts(world)[0]
        cases = [
            (b"h.example", b"/p/x", "desk"),
            (b"H.Example:80", b"/p/in", "desk"),
            (b"h.example", b"/p/in/", "paper"),
            (b"h.example", b"/p/x?/p/in/", "desk"),
            (b"other.example", b"/p/x", "paper"),
            (b"other.example", b"/", "paper"),
            (b"h.example", b"/", None),
            (b"h.example", b"/p", None),
            (b"none.example", b"/p/x", None),
        ]
        for name, target, expected_service in cases:
            exchange = await send_call(world, host, host=name, target=target)
            assert [run.service for run in world.request_audit.runs(exchange.id)] == (
                [expected_service] if expected_service else []
            )
            assert exchange.status == (200 if expected_service else 404)

    gated(scenario, application=("desk", "paper"), items=default_items(*more))


def test_traffic_split_is_by_weight():
    split = route("split", prefix="/split/")
    split["spec"]["split"] = [["desk", 3], ["paper", 1], ["desk2", 0]]

    async def scenario(world):
        host = hosts(world)[0]
        caller = await world.caller(host)
        calls = [caller.ask(b"/split/%d" % number) for number in range(40)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        ran = [run.service for run in world.request_audit.runs()]
        assert (ran.count("desk"), ran.count("paper")) == (30, 10)
        # the split is smooth: each service gets a call within every five
        order = sorted(
            world.request_audit.runs(), key=lambda run: int(run.target.rpartition(b"/")[2])
        )
        assert all(
            "paper" in [run.service for run in order[number : number + 5]] for number in range(36)
        )

    gated(
        scenario,
        application=("desk", "paper"),
        items=default_items(split, service("desk2")),
        endpoint={"slots": 50},
    )


def test_caller_header_is_set_by_the_gateway_whatever_was_sent():
    async def scenario(world):
        first, second, nameless = hosts(world)
        forged_headers = [
            (b"MD-Caller", b"paper"),
            (b"md-incarnation", b"x"),
            (b"md-not-run", b"1"),
        ]
        for host, name in ((first, b"desk"), (second, b"paper"), (nameless, b"guest")):
            for target in (b"/p/x", b"/paper/x"):  # one runs locally, one at a peer
                exchange = await send_call(world, host, target=target, lines=forged_headers)
                assert exchange.status == 200
                (ran,) = world.request_audit.runs(exchange.id)
                names = [name.lower() for name, _ in ran.lines]
                assert ran.caller == name and names.count(b"md-caller") == 1
                assert names.count(b"md-incarnation") == 1 and b"md-not-run" not in names

    gated(scenario, application=("desk", "paper", ""))


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    async def scenario(world):
        host = hosts(world)[0]
        work_us_by_target = {
            b"/p/0": 300 * MILLISECOND,
            b"/p/1": 100 * MILLISECOND,
            b"/p/2": 10 * MILLISECOND,
        }
        world.ends[host].work_us = lambda job: work_us_by_target[job.target]
        caller = await world.caller(host)
        calls = [caller.ask(b"/p/%d" % number) for number in range(3)]
        await wait_until_done(calls)
        assert [exchange.status for exchange in calls] == [200] * 3
        begun = [ran.begun for ran in world.ends[host].journal]
        assert max(begun) - min(begun) < 10 * MILLISECOND
        assert all(exchange.took < 330 * MILLISECOND for exchange in calls)

    gated(scenario)


def test_the_maintenance_goes_on_while_a_connection_is_not_read():
    """A connection with many pipelined requests is not read until some of them are answered."""

    async def scenario(world):
        host = hosts(world)[0]
        world.ends[host].work_us = lambda job: 50 * MILLISECOND
        caller = await world.caller(host)
        calls = [caller.ask(b"/p/%d" % number) for number in range(200)]
        await wait_until_done(calls)
        assert all(exchange.status for exchange in calls)
        assert not world.trace.events(log_events.TASK_FAILED)

    gated(scenario)


def test_a_caller_that_repeats_an_id_does_not_fill_the_proxy_with_idle_connections():
    """No connection that has answered an id is used for that id again."""

    async def scenario(world):
        host = hosts(world)[0]
        caller = await world.caller(host)
        calls = [caller.ask(id=b"same") for _ in range(50)]
        await wait_until_done(calls)
        assert [exchange.status for exchange in calls] == [200] * 50
        gateway = gateway_of(world, host)
        (endpoint,) = world.daemon("mdproxy", host).endpoints.by_address.values()
        open_connections = sum(
            len(pool.connections) for pool in gateway.dispatcher.local_calls.pools.values()
        )
        assert 0 < open_connections <= endpoint.capacity

    gated(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_endpoint_calls_through_its_own_gateway(seed):
    async def scenario(world):
        first, second = hosts(world)
        caller = await world.caller(second)
        world.ends[first].inner = lambda job: None
        inner_calls = []

        def inner(job):
            exchange = caller.ask(b"/paper/inner", due_ms=(job.due - monotonic_us()) // MILLISECOND)
            inner_calls.append(exchange)
            return exchange

        world.ends[first].inner = inner
        exchange = await send_call(world, first)
        assert exchange.status == 200 and [exchange.status for exchange in inner_calls] == [200]
        assert len(world.request_audit.runs(inner_calls[0].id)) == 1
        world.ends[second].faults["*"] = ["close"] * 3
        exchange = await send_call(world, first)
        assert exchange.status == 500  # the endpoint's own response, with its call id
        assert exchange.line(b"md-call") == exchange.id

    gated(scenario, seed, application=("desk", "paper"))


def nodes_of(world, rhos):
    by_host = {host: world.ends[host].instance.decode() for host in rhos}
    return tuple(NodeLoad(f"{host}:7401", rho, by_host[host], False) for host, rho in rhos.items())


async def batch(world, host, rho, rhos, count=6):
    """Send calls at once to a gateway and return the hosts that ran them, in order.

    :param rho: the load of the gateway's own node
    :param rhos: the load of each host on its load list
    """
    gateway = gateway_of(world, host)
    if rho is not None:
        set_rho(world, host, rho)
    gateway.update_loads(
        type(gateway.loads.latest)(
            gateway.loads.latest.epoch, gateway.loads.latest.seq, monotonic_us()
        ),
        {"desk": nodes_of(world, rhos)},
    )
    caller = await world.caller(host)
    calls = [caller.ask(b"/p/%d" % number) for number in range(count)]
    await wait_until_done(calls)
    assert {exchange.status for exchange in calls} == {200}
    ran = {run.id: run.instance for run in world.request_audit.runs()}
    host_of = {end.instance: host for host, end in world.ends.items()}
    return [host_of[ran[exchange.id]] for exchange in calls]


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_stay_local_below_omega_and_are_relocated_round_robin_from_omega_on(seed):
    async def scenario(world):
        local, peer_b, peer_c, peer_d = hosts(world)
        gateway = gateway_of(world, local)
        for host in hosts(world):  # only the test sets loads and lists
            world.daemon("mdproxy", host).endpoints.measure_load = lambda at, share: {}
        world.daemon("mdproxy", local).use_load_list = lambda load_list, nodes: None
        omega, phi = gateway.dispatcher.thresholds.omega, gateway.dispatcher.thresholds.phi
        low, mid = phi / 2, (phi + omega) / 2
        assert await batch(world, local, low, {peer_b: low, peer_c: low}) == [local] * 6
        assert await batch(world, local, mid, {peer_b: low, peer_c: low}) == [local] * 6
        ran = await batch(world, local, omega, {peer_b: low, peer_c: low, peer_d: low})
        assert ran[:3] == ran[3:] and set(ran) == {peer_b, peer_c, peer_d}
        # only accepting nodes
        ran = await batch(world, local, omega, {peer_b: low, peer_c: mid, peer_d: low})
        assert ran[:2] == ran[2:4] == ran[4:] and set(ran) == {peer_b, peer_d}
        # no node accepts, so the calls stay local
        assert (
            await batch(world, local, omega, {peer_b: mid, peer_c: omega, peer_d: mid})
            == [local] * 6
        )
        # without a local endpoint
        world.daemon("mdproxy", local).endpoints.remove(
            world.daemon("mdproxy", local).endpoints.by_address[f"{local}:8000"], "test"
        )
        world.ends[local].left = True
        ran = await batch(world, local, None, {peer_b: low, peer_c: low, peer_d: mid})
        assert ran[:2] == ran[2:4] == ran[4:] and set(ran) == {peer_b, peer_c}
        ran = await batch(world, local, None, {peer_b: mid, peer_c: omega, peer_d: mid})
        assert set(ran) == {peer_b, peer_d}

    gated(scenario, seed, application=("desk",) * 4, endpoint={"slots": 50})


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_without_a_free_slot_wait_and_are_then_rejected_as_not_run(seed):
    async def scenario(world):
        host = hosts(world)[0]
        caller = await world.caller(host)
        # with this call the hold time is known
        await wait_until_done([caller.ask(b"/once/first", b"POST", due_ms=1000)])
        callers = [await world.caller(host) for _ in range(12)]
        calls = [
            caller.ask(b"/once/%d" % number, b"POST", due_ms=1000)
            for number, caller in enumerate(callers)
        ]
        await wait_until_done(calls)
        statuses = [exchange.status for exchange in calls]
        assert statuses.count(200) == 4 and statuses.count(503) == 8
        assert all(
            float(exchange.line(b"Retry-After")) * SECOND < SECOND - exchange.took
            for exchange in calls
            if exchange.status == 503
        )
        # calls that can't be served in time are rejected at once, or as soon as it is certain
        assert (
            max(exchange.took for exchange in calls if exchange.status == 503) < 450 * MILLISECOND
        )
        assert len(world.request_audit.runs()) == 5
        assert not world.ends[host].turned

    gated(
        scenario, seed, application=("desk",), endpoint={"slots": 4, "work_us": 600 * MILLISECOND}
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_waiting_calls_start_as_slots_become_free_by_priority(seed):
    low_route = route("low", prefix="/low/", priority=3)

    async def scenario(world):
        host = hosts(world)[0]
        callers = [await world.caller(host) for _ in range(5)]
        first = callers[0].ask(b"/p/0")
        await sleep_us(20 * MILLISECOND)
        later, targets = [], [b"/low/0", b"/low/1", b"/p/1", b"/p/2"]
        for target, caller in zip(targets, callers[1:], strict=True):
            later.append(caller.ask(target))
            await sleep_us(5 * MILLISECOND)
        await wait_until_done([first, *later])
        assert {exchange.status for exchange in [first, *later]} == {200}
        order = [ran.target for ran in world.ends[host].journal]
        assert order == [b"/p/0", b"/p/1", b"/p/2", b"/low/0", b"/low/1"]
        begun = [ran.begun for ran in world.ends[host].journal]
        assert all(
            later - earlier < 110 * MILLISECOND
            for earlier, later in zip(begun, begun[1:], strict=False)
        )

    gated(
        scenario,
        seed,
        application=("desk",),
        items=default_items(low_route),
        endpoint={"slots": 1, "work_us": 100 * MILLISECOND},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_call_of_a_disconnected_caller_leaves_the_queue(seed):
    async def scenario(world):
        host = hosts(world)[0]
        running, waiting, third = [await world.caller(host) for _ in range(3)]
        first = running.ask()
        await sleep_us(20 * MILLISECOND)
        second, last = waiting.ask(b"/once/x"), third.ask()
        await sleep_us(20 * MILLISECOND)
        waiting.hang_up()
        await wait_until_done([first, last])
        assert (first.status, last.status) == (200, 200)
        assert not world.request_audit.runs(second.id)

    gated(
        scenario,
        seed,
        application=("desk",),
        endpoint={"slots": 1, "work_us": 100 * MILLISECOND},
    )


def test_slot_is_released_after_a_caller_disconnects_during_its_call():
    async def scenario(world):
        host = hosts(world)[0]
        for target in (b"/p/x", b"/paper/x"):
            caller = await world.caller(host)
            exchange = caller.ask(target)
            await sleep_us(30 * MILLISECOND)
            caller.hang_up()
            await sleep_us(SECOND)
            assert len(world.request_audit.runs(exchange.id)) == 1

    gated(scenario, application=("desk", "paper"), endpoint={"work_us": 200 * MILLISECOND})


@pytest.mark.parametrize("seed", SEEDS)
def test_draining_endpoint_gets_no_calls_and_waiting_ones_are_relocated(seed):
    async def scenario(world):
        local, other = hosts(world)
        endpoints = world.ends
        callers = [await world.caller(local) for _ in range(12)]
        calls = [caller.ask(b"/p/%d" % number) for number, caller in enumerate(callers)]
        await sleep_us(30 * MILLISECOND)
        endpoints[local].draining = True
        world.heartbeat(local, endpoints[local], 1000)
        heartbeat_at = monotonic_us()
        calls += [caller.ask(b"/p/late%d" % number) for number, caller in enumerate(callers)]
        await wait_until_done(calls)
        # calls that were already sent may still arrive
        assert [
            id for at, id in endpoints[local].came_at if at > heartbeat_at + 20 * MILLISECOND
        ] == []
        assert {exchange.status for exchange in calls} <= {200, 503}
        assert len(endpoints[other].journal) >= 4

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        endpoint={"slots": 4, "work_us": 100 * MILLISECOND},
    )


def test_call_is_not_sent_if_its_endpoint_drains_while_connecting():
    async def scenario(world):
        local, other = hosts(world)
        world.web.slow[local] = (20 * MILLISECOND, 21 * MILLISECOND)
        exchange = (await world.caller(local)).ask(b"/once/x")
        await sleep_us(70 * MILLISECOND)
        assert gateway_of(world, local).dispatcher.calls and not world.ends[local].came_at
        world.ends[local].draining = True
        world.heartbeat(local, world.ends[local], 1000)
        await exchange.done.wait()
        assert exchange.status == 200 and not world.ends[local].came_at

    gated(scenario, application=("desk", "desk"))


def test_waiting_call_is_relocated_as_soon_as_a_peer_is_listed():
    async def scenario(world):
        local, other = hosts(world)
        gateway = gateway_of(world, local)
        known = dict(gateway.loads.nodes)
        gateway.update_loads(gateway.loads.latest, {})
        first, second = [(await world.caller(local)).ask(b"/p/%d" % number) for number in range(2)]
        await sleep_us(10 * MILLISECOND)
        assert len(gateway.admission.queues["desk"]) == 1
        gateway.update_loads(gateway.loads.latest, known)
        gateway.reactor.end_turn()
        at = monotonic_us()
        await wait_until_done([first, second])
        (ran,) = world.ends[other].journal
        assert (first.status, second.status) == (200, 200) and ran.begun - at < 20 * MILLISECOND

    gated(
        scenario, application=("desk", "desk"), endpoint={"slots": 1, "work_us": 300 * MILLISECOND}
    )


@pytest.mark.parametrize("reads_bodies", (True, False))
def test_call_larger_than_a_frame_does_not_break_the_link(monkeypatch, reads_bodies):
    """A peer of the previous version reads no calls in parts, so that it gets no such call."""
    if not reads_bodies:
        on_capability = OutgoingLink.on_capability
        monkeypatch.setattr(
            OutgoingLink, "on_capability", lambda link, _: on_capability(link, False)
        )
    big = {**LIMITS, "version": 2, "spec": {**LIMITS["spec"], "body_bytes": 64 << 20}}

    async def scenario(world):
        local, other = hosts(world)
        second = (await world.caller(local)).ask(b"/once/beside", b"POST", due_ms=10_000)
        exchange = (await world.caller(local)).ask(
            b"/p/x", b"PUT", body=bytes(33 << 20), due_ms=10_000
        )
        await wait_until_done([second, exchange])
        assert (second.status, exchange.status) == (200, 200 if reads_bodies else 503)

    routes = [
        route("once", 2, prefix="/once/", repeat="once", timeout_us=20 * SECOND),
        route("p", 2, prefix="/p/", timeout_us=20 * SECOND),
    ]
    gated(
        scenario,
        application=("", "desk"),
        items=[service("desk"), *routes, big],
        endpoint={"work_us": 8 * SECOND},
    )


def test_endpoint_that_registers_while_draining_gets_no_calls():
    async def scenario(world):
        local = hosts(world)[0]
        caller = await world.caller(local)
        world.ends[local].left = True  # it sends no more heartbeats itself
        endpoints = world.daemon("mdproxy", local).endpoints
        endpoints.remove(endpoints.by_address[f"{local}:8000"], "test")
        exchange = caller.ask()  # it waits, as there is no endpoint
        await sleep_us(20 * MILLISECOND)
        world.heartbeat(local, world.ends[local], 1000, draining=True)
        await exchange.done.wait()
        assert exchange.status == 503 and not world.request_audit.runs()

    gated(scenario, application=("desk",))


def test_late_heartbeat_of_a_former_instance_is_ignored():
    async def scenario(world):
        local = hosts(world)[0]
        old = world.ends[local]
        new_instance = {"instance": "i-new"}
        world.heartbeat(local, old, 50, **new_instance)
        endpoints = world.daemon("mdproxy", local).endpoints
        assert endpoints.by_address[old.address].incarnation == "i-new"
        world.heartbeat(local, old, 60)
        assert endpoints.by_address[old.address].incarnation == "i-new"

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("seed", SEEDS)
def test_shutdown_loses_no_call(seed):
    async def scenario(world):
        local, other = hosts(world)
        calls, stopped = [], []

        async def send_calls(number):
            caller = await world.caller(local)
            while not stopped:
                if caller.wire is None:
                    return
                exchange = caller.ask(
                    b"/p/%d" % number if number % 2 else b"/once/%d" % number, b"POST"
                )
                calls.append((monotonic_us(), exchange))
                await exchange.done.wait()
                if caller.wire.closed or exchange.line(b"Connection") == b"close":
                    caller = await world.caller(local)

        for number in range(6):
            world.nursery.start_soon(send_calls, number)
        await sleep_us(300 * MILLISECOND)
        await world.stop(f"mdproxy@{local}")
        stopped.append(True)
        assert len(calls) > 100
        await sleep_us(SECOND)
        unread = [exchange for _, exchange in calls if exchange.status == 0]
        assert {exchange.status for _, exchange in calls} <= {200, 0}
        # requests that arrived while the connection was closed were not read
        assert len(unread) <= 6 and all(exchange.done.is_set() for exchange in unread)
        assert not any(world.request_audit.runs(exchange.id) for exchange in unread)

    gated(scenario, seed, application=("desk", "desk"), endpoint={"slots": 8})


@pytest.mark.parametrize("seed", SEEDS)
def test_retries_stay_within_the_fleets_budget(seed):
    terms = {"ratio": 0.2, "window_us": 2 * SECOND, "reserve": 12}

    async def scenario(world):
        await sleep_us(3 * SECOND)  # longer than a window, so that the reserve is available
        rng = world.rng
        for end in world.ends.values():
            end.fault_of = lambda id: rng.choice(["reset", "full", "close", None])

        async def send_calls(host):
            for _ in range(60):
                caller = await world.caller(host)
                exchange = caller.ask(due_ms=1500)
                await exchange.done.wait()
                await sleep_us(50 * MILLISECOND)

        async with _nursery() as nursery:
            for host in hosts(world):
                for _ in range(2):
                    nursery.start_soon(send_calls, host)
        arrivals_seen = sorted((at, id) for end in world.ends.values() for at, id in end.came_at)
        seen, retry_times = set(), []
        for at, id in arrivals_seen:
            if id in seen:
                retry_times.append(at)
            seen.add(id)
        begun = [exchange.at for exchange in world.request_audit.asked]
        assert len(retry_times) > 20
        for start in retry_times:
            window = range(start, start + terms["window_us"])
            retries = sum(at in window for at in retry_times)
            requests = sum(at in window for at in begun)
            assert retries <= terms["ratio"] * requests + terms["reserve"]
        assert all(
            world.request_audit.arrivals(exchange.id) <= 2 for exchange in world.request_audit.asked
        )

    gated(scenario, seed, tries=terms, endpoint={"slots": 8})


def _nursery():
    import trio

    return trio.open_nursery()


@pytest.mark.parametrize("seed", SEEDS)
def test_new_configuration_applies_to_new_calls(seed):
    async def scenario(world):
        host = hosts(world)[0]
        await world.set_items([route("new", 2, ("paper",), prefix="/new/"), deleted_route_p()])
        await sleep_us(2 * SECOND)
        assert (await send_call(world, host, target=b"/new/x")).status == 200
        assert (await send_call(world, host, target=b"/p/x")).status == 404

    gated(scenario, seed, application=("desk", "paper"))


def deleted_route_p():
    return {**route("p", 2, prefix="/p/"), "spec": None}


__all__ = ["wait_until_listed"]
