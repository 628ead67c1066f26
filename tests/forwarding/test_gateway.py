"""The gate's ordinary work: routes, answers, policy, spills, drains, stops."""

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

from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us


def hosts(world):
    return list(world.application)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_gets_the_complete_answer_of_the_local_endpoint(seed):
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
def test_bodies_and_paths_arrive_unchanged_however_they_are_sent_and_torn(seed):
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


def test_a_route_is_found_by_host_and_the_longest_prefix():
    more = [
        route("inner", prefix="/p/in/", services=("paper",)),
        route("other", host="other.example", prefix="/", services=("paper",)),
    ]

    async def scenario(world):
        host = hosts(world)[0]
        wanted = [
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
        for name, target, ran_by in wanted:
            exchange = await send_call(world, host, host=name, target=target)
            assert [r.service for r in world.request_audit.runs(exchange.id)] == (
                [ran_by] if ran_by else []
            )
            assert exchange.status == (200 if ran_by else 404)

    gated(scenario, application=("desk", "paper"), items=default_items(*more))


def test_a_split_goes_by_weight():
    split = route("split", prefix="/split/")
    split["spec"]["split"] = [["desk", 3], ["paper", 1], ["desk2", 0]]

    async def scenario(world):
        host = hosts(world)[0]
        caller = await world.caller(host)
        calls = [caller.ask(b"/split/%d" % n) for n in range(40)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        ran = [r.service for r in world.request_audit.runs()]
        assert (ran.count("desk"), ran.count("paper")) == (30, 10)
        # smooth: no service waits long for its turn
        order = sorted(world.request_audit.runs(), key=lambda r: int(r.target.rpartition(b"/")[2]))
        assert all("paper" in [r.service for r in order[n : n + 5]] for n in range(36))

    gated(
        scenario,
        application=("desk", "paper"),
        items=default_items(split, service("desk2")),
        endpoint={"slots": 50},
    )


def test_the_callers_name_is_the_machines_whatever_was_sent():
    async def scenario(world):
        first, second, nameless = hosts(world)
        lie = [(b"MD-Caller", b"paper"), (b"md-incarnation", b"x"), (b"md-not-run", b"1")]
        for host, name in ((first, b"desk"), (second, b"paper"), (nameless, b"guest")):
            for target in (b"/p/x", b"/paper/x"):  # one at home, one over a neighbour
                exchange = await send_call(world, host, target=target, lines=lie)
                assert exchange.status == 200
                (ran,) = world.request_audit.runs(exchange.id)
                names = [n.lower() for n, _ in ran.lines]
                assert ran.caller == name and names.count(b"md-caller") == 1
                assert names.count(b"md-incarnation") == 1 and b"md-not-run" not in names

    gated(scenario, application=("desk", "paper", ""))


def test_pipelined_requests_run_at_once_and_are_answered_in_order():
    async def scenario(world):
        host = hosts(world)[0]
        took = {b"/p/0": 300 * MILLISECOND, b"/p/1": 100 * MILLISECOND, b"/p/2": 10 * MILLISECOND}
        world.ends[host].work_us = lambda job: took[job.target]
        caller = await world.caller(host)
        calls = [caller.ask(b"/p/%d" % n) for n in range(3)]
        await wait_until_done(calls)
        assert [exchange.status for exchange in calls] == [200] * 3
        begun = [ran.begun for ran in world.ends[host].journal]
        assert max(begun) - min(begun) < 10 * MILLISECOND
        assert all(exchange.took < 330 * MILLISECOND for exchange in calls)

    gated(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_endpoint_calls_through_its_own_gate(seed):
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
        assert exchange.status == 200 and [c.status for c in inner_calls] == [200]
        assert len(world.request_audit.runs(inner_calls[0].id)) == 1
        world.ends[second].faults["*"] = ["close"] * 3
        exchange = await send_call(world, first)
        assert exchange.status == 500  # the endpoint's own, with its id
        assert exchange.line(b"md-call") == exchange.id

    gated(scenario, seed, application=("desk", "paper"))


# ---------------------------------------------------------------- the policy


def nodes_of(world, rhos):
    by_host = {host: world.ends[host].instance.decode() for host in rhos}
    return tuple(NodeLoad(f"{h}:7401", rho, by_host[h], False) for h, rho in rhos.items())


async def batch(world, host, rho, rhos, count=6):
    """count calls at once at a gate whose home has occupation rho and whose list says rhos; gives
    who ran them, in order."""
    gate = gateway_of(world, host)
    if rho is not None:
        set_rho(world, host, rho)
    gate.update_loads(
        type(gate.loads.latest)(gate.loads.latest.epoch, gate.loads.latest.seq, monotonic_us()),
        {"desk": nodes_of(world, rhos)},
    )
    caller = await world.caller(host)
    calls = [caller.ask(b"/p/%d" % n) for n in range(count)]
    await wait_until_done(calls)
    assert {exchange.status for exchange in calls} == {200}
    ran = {r.id: r.instance for r in world.request_audit.runs()}
    host_of = {e.instance: h for h, e in world.ends.items()}
    return [host_of[ran[exchange.id]] for exchange in calls]


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_stay_local_below_omega_and_offloading_relocates_round_robin(seed):
    async def scenario(world):
        local, b, c, d = hosts(world)
        gate = gateway_of(world, local)
        for host in hosts(world):  # no news but the test's own
            world.daemon("mdproxy", host).endpoints.measure_load = lambda at, share: {}
        world.daemon("mdproxy", local).use_load_list = lambda load_list, nodes: None
        omega, phi = gate.dispatcher.thresholds.omega, gate.dispatcher.thresholds.phi
        low, mid = phi / 2, (phi + omega) / 2
        assert await batch(world, local, low, {b: low, c: low}) == [local] * 6
        assert await batch(world, local, mid, {b: low, c: low}) == [local] * 6
        ran = await batch(world, local, omega, {b: low, c: low, d: low})
        assert ran[:3] == ran[3:] and set(ran) == {b, c, d}
        # only those that accept
        ran = await batch(world, local, omega, {b: low, c: mid, d: low})
        assert ran[:2] == ran[2:4] == ran[4:] and set(ran) == {b, d}
        # none accepts: home keeps
        assert await batch(world, local, omega, {b: mid, c: omega, d: mid}) == [local] * 6
        # no home
        world.daemon("mdproxy", local).endpoints.remove(
            world.daemon("mdproxy", local).endpoints.by_address[f"{local}:8000"], "test"
        )
        world.ends[local].left = True
        ran = await batch(world, local, None, {b: low, c: low, d: mid})
        assert ran[:2] == ran[2:4] == ran[4:] and set(ran) == {b, c}
        ran = await batch(world, local, None, {b: mid, c: omega, d: mid})
        assert set(ran) == {b, d}

    gated(scenario, seed, application=("desk",) * 4, endpoint={"slots": 50})


# ---------------------------------------------------------------- room


@pytest.mark.parametrize("seed", SEEDS)
def test_what_no_slot_is_free_for_waits_and_is_then_rejected_as_not_run(seed):
    async def scenario(world):
        host = hosts(world)[0]
        caller = await world.caller(host)
        # how long a call holds a slot is known by then
        await wait_until_done([caller.ask(b"/once/first", b"POST", due_ms=1000)])
        callers = [await world.caller(host) for _ in range(12)]
        calls = [
            caller.ask(b"/once/%d" % n, b"POST", due_ms=1000) for n, caller in enumerate(callers)
        ]
        await wait_until_done(calls)
        answers = [exchange.status for exchange in calls]
        assert answers.count(200) == 4 and answers.count(503) == 8
        assert all(
            float(m.line(b"Retry-After")) * SECOND < SECOND - m.took
            for m in calls
            if m.status == 503
        )
        # who would not be served in time is told at once, who waited as soon as that is certain
        assert max(m.took for m in calls if m.status == 503) < 450 * MILLISECOND
        assert len(world.request_audit.runs()) == 5
        assert not world.ends[host].turned

    gated(
        scenario, seed, application=("desk",), endpoint={"slots": 4, "work_us": 600 * MILLISECOND}
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_waiting_call_starts_as_soon_as_a_slot_is_free_the_higher_priority_first(seed):
    ranked = route("low", prefix="/low/", priority=3)

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
        assert all(b - a < 110 * MILLISECOND for a, b in zip(begun, begun[1:], strict=False))

    gated(
        scenario,
        seed,
        application=("desk",),
        items=default_items(ranked),
        endpoint={"slots": 1, "work_us": 100 * MILLISECOND},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_caller_that_hangs_up_frees_its_position_in_the_queue(seed):
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


def test_a_caller_that_hangs_up_mid_run_leaves_no_slot_in_use():
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


# ---------------------------------------------------------------- leaving


@pytest.mark.parametrize("seed", SEEDS)
def test_no_call_reaches_an_endpoint_that_drains_and_waiting_ones_go_elsewhere(seed):
    async def scenario(world):
        local, other = hosts(world)
        ends = world.ends
        callers = [await world.caller(local) for _ in range(12)]
        calls = [c.ask(b"/p/%d" % n) for n, c in enumerate(callers)]
        await sleep_us(30 * MILLISECOND)
        ends[local].draining = True
        world.heartbeat(local, ends[local], 1000)
        told_at = monotonic_us()
        calls += [c.ask(b"/p/late%d" % n) for n, c in enumerate(callers)]
        await wait_until_done(calls)
        # what was on its way for a moment may still come
        assert [id for at, id in ends[local].came_at if at > told_at + 20 * MILLISECOND] == []
        assert {exchange.status for exchange in calls} <= {200, 503}
        assert len(ends[other].journal) >= 4

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        endpoint={"slots": 4, "work_us": 100 * MILLISECOND},
    )


def test_a_call_whose_connection_is_being_made_does_not_reach_an_endpoint_that_drains_by_then():
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


def test_a_waiting_call_goes_to_a_peer_as_soon_as_one_is_known():
    async def scenario(world):
        local, other = hosts(world)
        gate = gateway_of(world, local)
        known = dict(gate.loads.nodes)
        gate.update_loads(gate.loads.latest, {})
        first, second = [(await world.caller(local)).ask(b"/p/%d" % n) for n in range(2)]
        await sleep_us(10 * MILLISECOND)
        assert len(gate.admission.queues["desk"]) == 1
        gate.update_loads(gate.loads.latest, known)
        gate.reactor.end_turn()
        at = monotonic_us()
        await wait_until_done([first, second])
        (ran,) = world.ends[other].journal
        assert (first.status, second.status) == (200, 200) and ran.begun - at < 20 * MILLISECOND

    gated(
        scenario, application=("desk", "desk"), endpoint={"slots": 1, "work_us": 300 * MILLISECOND}
    )


def test_what_is_longer_than_a_frame_breaks_no_link():
    big = {**LIMITS, "version": 2, "spec": {**LIMITS["spec"], "body_bytes": 64 << 20}}

    async def scenario(world):
        local, other = hosts(world)
        beside = (await world.caller(local)).ask(b"/once/beside", b"POST", due_ms=10_000)
        exchange = (await world.caller(local)).ask(
            b"/p/x", b"PUT", body=bytes(33 << 20), due_ms=10_000
        )
        await wait_until_done([beside, exchange])
        assert (beside.status, exchange.status) == (200, 503)

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


def test_an_endpoint_first_heard_of_while_it_drains_gets_nothing():
    async def scenario(world):
        local = hosts(world)[0]
        caller = await world.caller(local)
        world.ends[local].left = True  # no beats of its own any more
        book = world.daemon("mdproxy", local).endpoints
        book.remove(book.by_address[f"{local}:8000"], "test")
        exchange = caller.ask()  # waits: nobody is there
        await sleep_us(20 * MILLISECOND)
        world.heartbeat(local, world.ends[local], 1000, draining=True)
        await exchange.done.wait()
        assert exchange.status == 503 and not world.request_audit.runs()

    gated(scenario, application=("desk",))


def test_a_late_beat_of_the_endpoint_before_changes_nothing():
    async def scenario(world):
        local = hosts(world)[0]
        old = world.ends[local]
        new_life = {"instance": "i-new"}
        world.heartbeat(local, old, 50, **new_life)
        book = world.daemon("mdproxy", local).endpoints
        assert book.by_address[old.address].incarnation == "i-new"
        world.heartbeat(local, old, 60)
        assert book.by_address[old.address].incarnation == "i-new"

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stop_drops_nothing(seed):
    async def scenario(world):
        local, other = hosts(world)
        calls, over = [], []

        async def one(n):
            caller = await world.caller(local)
            while not over:
                if caller.wire is None:
                    return
                exchange = caller.ask(b"/p/%d" % n if n % 2 else b"/once/%d" % n, b"POST")
                calls.append((monotonic_us(), exchange))
                await exchange.done.wait()
                if caller.wire.closed or exchange.line(b"Connection") == b"close":
                    caller = await world.caller(local)

        for n in range(6):
            world.nursery.start_soon(one, n)
        await sleep_us(300 * MILLISECOND)
        await world.stop(f"mdproxy@{local}")
        over.append(True)
        assert len(calls) > 100
        await sleep_us(SECOND)
        unread = [exchange for _, exchange in calls if exchange.status == 0]
        assert {exchange.status for _, exchange in calls} <= {200, 0}
        # what came as the connection was closed was not read
        assert len(unread) <= 6 and all(exchange.done.is_set() for exchange in unread)
        assert not any(world.request_audit.runs(exchange.id) for exchange in unread)

    gated(scenario, seed, application=("desk", "desk"), endpoint={"slots": 8})


@pytest.mark.parametrize("seed", SEEDS)
def test_retries_stay_within_the_fleets_budget(seed):
    terms = {"ratio": 0.2, "window_us": 2 * SECOND, "reserve": 12}

    async def scenario(world):
        await sleep_us(3 * SECOND)  # older than a window: the reserve is there
        rng = world.rng
        for end in world.ends.values():
            end.fault_of = lambda id: rng.choice(["reset", "full", "close", None])

        async def one(host):
            for _ in range(60):
                caller = await world.caller(host)
                exchange = caller.ask(due_ms=1500)
                await exchange.done.wait()
                await sleep_us(50 * MILLISECOND)

        async with _nursery() as nursery:
            for host in hosts(world):
                for _ in range(2):
                    nursery.start_soon(one, host)
        came = sorted((at, id) for end in world.ends.values() for at, id in end.came_at)
        seen, again = set(), []
        for at, id in came:
            if id in seen:
                again.append(at)
            seen.add(id)
        begun = [exchange.at for exchange in world.request_audit.asked]
        assert len(again) > 20
        for start in again:
            window = range(start, start + terms["window_us"])
            tries = sum(at in window for at in again)
            requests = sum(at in window for at in begun)
            assert tries <= terms["ratio"] * requests + terms["reserve"]
        assert all(
            world.request_audit.arrivals(exchange.id) <= 2 for exchange in world.request_audit.asked
        )

    gated(scenario, seed, tries=terms, endpoint={"slots": 8})


def _nursery():
    import trio

    return trio.open_nursery()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_configuration_holds_for_new_calls(seed):
    async def scenario(world):
        host = hosts(world)[0]
        await world.set_items([route("new", 2, ("paper",), prefix="/new/"), dropped_p()])
        await sleep_us(2 * SECOND)
        assert (await send_call(world, host, target=b"/new/x")).status == 200
        assert (await send_call(world, host, target=b"/p/x")).status == 404

    gated(scenario, seed, application=("desk", "paper"))


def dropped_p():
    return {**route("p", 2, prefix="/p/"), "spec": None}


__all__ = ["wait_until_listed"]
