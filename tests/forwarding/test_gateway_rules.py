"""The rules that the traffic path adds to the paper's, as docs/design.md states them."""

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

from meadowdock.forwarding.arrivals import EARLY
from meadowdock.forwarding.downstream import KEEP_ALIVE_S, KEEP_ALIVE_US
from meadowdock.load_sharing import LoadList, NodeLoad
from meadowdock.runtime import MILLISECOND, SECOND, Address, monotonic_us, sleep_us

TRIES = {"ratio": 1.0, "window_us": SECOND, "reserve": 100}


def address_of(host):
    return f"{host}:7401"


def line_of(world, host, rho, **facts):
    end = world.ends[host]
    return NodeLoad(address_of(host), rho, end.instance.decode(), False, world.zones[host], **facts)


def tell(world, host, rhos):
    """The gate's newest list of desk: {host: rho}."""
    gate = gateway_of(world, host)
    told = tuple(line_of(world, other, rho) for other, rho in rhos.items())
    gate.update_loads(
        LoadList(gate.loads.latest.epoch, gate.loads.latest.seq, monotonic_us()), {"desk": told}
    )
    gate.reactor.end_turn()


def between(world, host):
    """An occupation that is neither accepting nor offloading."""
    thresholds = gateway_of(world, host).dispatcher.thresholds
    return (thresholds.phi + thresholds.omega) / 2


def ran_at(world, exchange):
    """The hosts that ran a call."""
    host_of = {end.instance: host for host, end in world.ends.items()}
    return [host_of[ran.instance] for ran in world.request_audit.runs(exchange.id)]


async def batch(world, host, count):
    """Who ran each of so many calls, one after the other."""
    calls = [await send_call(world, host) for _ in range(count)]
    assert {exchange.status for exchange in calls} == {200}
    return [ran_at(world, exchange)[0] for exchange in calls]


async def occupied(world, host, at, count=1):
    """Calls that hold slots of the endpoint at this host."""
    calls = [(await world.caller(host)).ask(b"/long/%d" % n, due_ms=None) for n in range(count)]
    await sleep_us(at)
    return calls


# ---------------------------------------------------------------- zones


@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_without_a_local_endpoint_goes_round_the_accepting_nodes_of_its_zone(seed):
    async def scenario(world):
        guest, *ends = hosts(world)
        told = gateway_of(world, guest).loads.nodes["desk"]
        assert {n.address: n.zone for n in told} == {address_of(h): world.zones[h] for h in ends}
        near = [h for h in ends if world.zones[h] == world.zones[guest]]
        assert len(near) == 2 < len(ends)
        suppress_load_reports(world)
        tell(world, guest, dict.fromkeys(ends, 0.1))
        ran = await batch(world, guest, 6)
        assert set(ran[:2]) == set(near) and ran[:2] == ran[2:4] == ran[4:]
        # one of them accepts no more, then both
        tell(world, guest, dict.fromkeys(ends, 0.1) | {near[0]: between(world, guest)})
        assert await batch(world, guest, 3) == [near[1]] * 3
        tell(world, guest, dict.fromkeys(ends, 0.1) | dict.fromkeys(near, between(world, guest)))
        far = set(ends) - set(near)
        ran = await batch(world, guest, 2 * len(far))
        assert set(ran[: len(far)]) == far and ran[: len(far)] == ran[len(far) :]

    gated(scenario, seed, application=("", *("desk",) * 6))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_with_a_local_endpoint_is_relocated_whatever_the_zone(seed):
    async def scenario(world):
        local, *others = hosts(world)
        assert len({world.zones[h] for h in others}) == 3
        suppress_load_reports(world)
        set_rho(world, local, gateway_of(world, local).dispatcher.thresholds.omega)
        tell(world, local, dict.fromkeys(others, 0.1))
        ran = await batch(world, local, 2 * len(others))
        assert set(ran[: len(others)]) == set(others)
        assert ran[: len(others)] == ran[len(others) :]

    gated(scenario, seed, application=("desk",) * 5)


# ---------------------------------------------------------------- no room at home


@pytest.mark.parametrize("seed", SEEDS)
def test_a_full_endpoint_with_nobody_accepting_gives_a_call_to_a_peer_with_a_free_slot(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        occupying = await occupied(world, local, 30 * MILLISECOND)
        gate = gateway_of(world, local)
        for rho in (between(world, local), (1 + gate.dispatcher.thresholds.omega) / 2):
            tell(world, local, {other: rho})
            at = monotonic_us()
            exchange = await send_call(world, local, target=b"/once/x")
            assert exchange.status == 200 and ran_at(world, exchange) == [other]
            assert world.request_audit.runs(exchange.id)[0].begun - at < 20 * MILLISECOND
        assert gate.counts["rule.full-any-room"] == 2 and "desk" not in gate.admission.queues
        # below 1 no more: it waits at home
        tell(world, local, {other: 1.0})
        exchange = (await world.caller(local)).ask(b"/once/y")
        await sleep_us(30 * MILLISECOND)
        assert len(gate.admission.queues["desk"]) == 1 and not ran_at(world, exchange)
        await wait_until_done([exchange, *occupying])
        assert exchange.status == 200 and ran_at(world, exchange) == [local]

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_peer_below_1_without_a_free_slot_rejects_and_the_call_waits_at_its_node(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        occupying = [await occupied(world, host, 10 * MILLISECOND) for host in (local, other)]
        tell(world, local, {other: between(world, local)})
        exchange = (await world.caller(local)).ask(b"/once/y")
        await sleep_us(30 * MILLISECOND)
        gate = gateway_of(world, local)
        assert gate.counts["spill.refused.busy"] == 1 and len(gate.admission.queues["desk"]) == 1
        await wait_until_done([exchange, *occupying[0], *occupying[1]])
        assert exchange.status == 200 and ran_at(world, exchange) == [local]

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=500)},
    )


# ---------------------------------------------------------------- slowness


@pytest.mark.parametrize(
    ("own", "fleet", "index"),
    [(100, 100, 1.0), (50, 100, 1.0), (150, 100, 2.25), (190, 100, 3.61), (900, 100, 4.0)],
)
def test_the_index_grows_with_the_square_of_the_slowness_up_to_four(own, fleet, index):
    async def scenario(world):
        host = hosts(world)[0]
        suppress_load_reports(world)
        gate = gateway_of(world, host)
        assert gate.slowness.factor("paper", monotonic_us()) == 1.0  # nobody knows anything
        set_hold_time(gate, own * MILLISECOND)
        gate.slowness.fleet_hold_us["desk"] = fleet * MILLISECOND
        assert gate.slowness.factor("desk", monotonic_us()) == pytest.approx(index)
        world.ends[host].left = True  # no beats but the test's own
        world.heartbeat(host, world.ends[host], 1000, warm_us=300 * MILLISECOND)
        assert gate.slowness.factor("desk", monotonic_us()) == pytest.approx(max(1.5, index))
        await sleep_us(350 * MILLISECOND)
        assert gate.slowness.factor("desk", monotonic_us()) == pytest.approx(index)

    gated(scenario, application=("desk",))


async def level(world, told, over):
    """Each endpoint says that it is so full, until over is set."""
    while not over.is_set():
        for host in hosts(world):
            for endpoint in world.daemon("mdproxy", host).endpoints.by_address.values():
                endpoint.reported_load, endpoint.reported_load_at = told[0], monotonic_us()
        await sleep_us(50 * MILLISECOND)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_node_sheds_its_calls_at_a_level_at_which_others_keep_them(seed):
    async def scenario(world):
        slow, *others = hosts(world)
        for end in world.ends.values():
            end.reports_load = False
        told, over = [0.1], trio.Event()
        world.nursery.start_soon(level, world, told, over)

        async def rounds(count):
            for _ in range(count):
                for host in hosts(world):
                    await send_call(world, host)

        async def kept(host):
            ran = await batch(world, host, 4)
            return ran.count(host)

        await rounds(30)
        told[0] = 0.5
        await sleep_us(SECOND)
        assert [await kept(host) for host in hosts(world)] == [4, 4, 4]
        told[0] = 0.1
        world.ends[slow].work_us = 100 * MILLISECOND
        await rounds(30)
        told[0] = 0.5
        await sleep_us(SECOND)
        rho_of = {n.address: n.rho for n in gateway_of(world, others[0]).loads.nodes["desk"]}
        assert rho_of[address_of(slow)] > 0.8
        assert all(rho_of[address_of(h)] == pytest.approx(0.5) for h in others)
        assert [await kept(host) for host in hosts(world)] == [0, 4, 4]
        # fast again
        told[0] = 0.1
        world.ends[slow].work_us = 50 * MILLISECOND
        await rounds(40)
        told[0] = 0.5
        await sleep_us(SECOND)
        assert [await kept(host) for host in hosts(world)] == [4, 4, 4]
        over.set()

    gated(scenario, seed, endpoint={"work_us": 50 * MILLISECOND})


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cold_node_sheds_its_calls_until_it_is_warm(seed):
    async def scenario(world):
        cold, *others = hosts(world)
        for end in world.ends.values():
            end.reports_load = False
        told, over = [0.6], trio.Event()
        world.nursery.start_soon(level, world, told, over)
        end, until_warm = world.ends[cold], monotonic_us() + 2 * SECOND
        end.left = True  # no beats but the test's own

        async def beats():
            sequence = 1000
            while not over.is_set():
                sequence += 1
                world.heartbeat(cold, end, sequence, warm_us=max(0, until_warm - monotonic_us()))
                await sleep_us(300 * MILLISECOND)

        world.nursery.start_soon(beats)
        await sleep_us(SECOND)
        ran = await batch(world, cold, 4)
        assert cold not in ran
        await sleep_us(until_warm - monotonic_us() + SECOND)
        assert await batch(world, cold, 4) == [cold] * 4
        over.set()

    gated(scenario, seed)


# ---------------------------------------------------------------- the line


@pytest.mark.parametrize("seed", SEEDS)
def test_a_queue_at_a_peer_is_ordered_by_priority(seed):
    async def scenario(world):
        guest, there = hosts(world)
        first, *callers = [await world.caller(guest) for _ in range(5)]
        calls = [first.ask(b"/p/0")]
        await sleep_us(20 * MILLISECOND)
        for target, caller in zip((b"/low/0", b"/low/1", b"/p/1", b"/p/2"), callers, strict=True):
            calls.append(caller.ask(target))
            await sleep_us(8 * MILLISECOND)
        assert len(gateway_of(world, there).admission.queues["desk"]) == 4
        assert not gateway_of(world, guest).admission.queues.get("desk")
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        order = [ran.target for ran in world.ends[there].journal]
        assert order == [b"/p/0", b"/p/1", b"/p/2", b"/low/0", b"/low/1"]

    gated(
        scenario,
        seed,
        application=("", "desk"),
        items=default_items(route("low", prefix="/low/", priority=3)),
        endpoint={"slots": 1, "work_us": 100 * MILLISECOND},
    )


@pytest.mark.parametrize("away", (False, True))
@pytest.mark.parametrize(
    ("mean_ms", "low", "high"), [(290, 200, 200), (310, 503, 200), (490, 503, 200), (510, 503, 503)]
)
def test_a_call_joins_a_queue_only_if_it_will_likely_be_served_early(mean_ms, low, high, away):
    """Within 0.3 of the aim (1 s) at the lowest rank, 0.6 above, and if it will end in its aim,
    which here it does up to 500 ms of waiting and as much of work; else it is told at once."""

    async def scenario(world):
        guest, there = hosts(world)
        gate = gateway_of(world, there)
        for target, wanted in ((b"/low/x", low), (b"/high/x", high)):
            occupying = await occupied(world, there, 50 * MILLISECOND)
            set_hold_time(gate, mean_ms * MILLISECOND)
            exchange = await send_call(world, guest if away else there, target=target)
            assert exchange.status == wanted
            if wanted == 503:
                assert not ran_at(world, exchange)
                # without a home it may wait a little for better news, but is in no line there
                assert exchange.took < (
                    EARLY * SECOND + 10 * MILLISECOND if away else 20 * MILLISECOND
                )
                assert not away or gateway_of(world, guest).counts["spill.refused.busy"] >= 1
                again = float(exchange.line(b"Retry-After"))
                assert again == pytest.approx(min(mean_ms / 1000, 0.44), abs=0.07)
            await wait_until_done(occupying)

    gated(
        scenario,
        application=("", "desk"),
        items=default_items(LOW, HIGH, LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=300)},
    )


@pytest.mark.parametrize("away", (False, True))
def test_a_call_leaves_the_queue_when_it_cannot_be_served_in_time_any_more(away):
    async def scenario(world):
        guest, there = hosts(world)
        occupying = await occupied(world, there, 50 * MILLISECOND)
        gate = gateway_of(world, there)
        set_hold_time(gate, 490 * MILLISECOND)
        exchange = (await world.caller(guest if away else there)).ask(b"/high/x", due_ms=1000)
        await sleep_us(100 * MILLISECOND)
        assert len(gate.admission.queues["desk"]) == 1
        await exchange.done.wait()
        assert exchange.status == 503 and exchange.line(b"Retry-After")
        assert 460 * MILLISECOND < exchange.took < 520 * MILLISECOND
        assert not len(gate.admission.queues["desk"])
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
        guest, *ends = hosts(world)
        occupying = []
        for host in ends:
            occupying += await occupied(world, host, 10 * MILLISECOND)
            set_hold_time(gateway_of(world, host), 1100 * MILLISECOND)
        gate, sent = gateway_of(world, guest), []
        suppress_load_reports(world)  # a new list is a new turn
        tell(world, guest, dict.fromkeys(ends, 1.0))
        relocate = gate.dispatcher.peer_calls.relocate

        def noted(call, node, may_queue=False):
            sent.append((node.address, may_queue))
            return relocate(call, node, may_queue)

        gate.dispatcher.peer_calls.relocate = noted
        exchange = await send_call(world, guest, target=b"/once/x")
        assert exchange.status == 503 and exchange.line(b"Retry-After")
        assert exchange.took < EARLY * 2 * SECOND + 20 * MILLISECOND
        waits = [address for address, may_wait in sent if may_wait]
        assert len(waits) == len(set(waits)) == 2 == len(sent)
        await wait_until_done(occupying)

    gated(
        scenario,
        seed,
        application=("", *("desk",) * 5),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_peers_queued_call_is_not_relocated_again_and_not_run_when_its_endpoint_leaves(seed):
    async def scenario(world):
        guest, full, free = hosts(world)
        suppress_load_reports(world)
        occupying = await occupied(world, full, 50 * MILLISECOND)
        tell(world, guest, {full: 0.1})
        tell(world, full, {free: 1.0})
        exchange = (await world.caller(guest)).ask(b"/once/x")
        await sleep_us(50 * MILLISECOND)
        there = gateway_of(world, full)
        assert len(there.admission.queues["desk"]) == 1
        tell(world, full, {free: 0.1})  # its own calls would go there
        await sleep_us(50 * MILLISECOND)
        assert len(there.admission.queues["desk"]) == 1 and not ran_at(world, exchange)
        tell(world, guest, {full: 0.1, free: 0.1})
        world.ends[full].left = True
        daemon, at = world.daemon("mdproxy", full), monotonic_us()
        daemon.deregister_endpoint(world.ends[full].instance.decode())
        await exchange.done.wait()
        assert exchange.status == 200 and ran_at(world, exchange) == [free]
        assert monotonic_us() - at < 50 * MILLISECOND
        assert "spilled" not in there.counts
        assert gateway_of(world, guest).counts["spill.refused.gone"] == 1
        await wait_until_done(occupying)

    gated(
        scenario,
        seed,
        application=("", "desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1500)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_of_two_that_are_placed_anew_in_one_turn_one_may_make_room_for_the_other(seed):
    async def scenario(world):
        local, other = hosts(world)
        suppress_load_reports(world)
        tell(world, local, {other: 1.0})
        occupying = await occupied(world, local, 50 * MILLISECOND)
        calls = []
        for n in range(2):
            calls.append((await world.caller(local)).ask(b"/once/%d" % n))
        await sleep_us(20 * MILLISECOND)
        gate, book = gateway_of(world, local), world.daemon("mdproxy", local).endpoints
        line, endpoint = gate.admission.queues["desk"], book.local_endpoint("desk")
        assert len(line) == 2
        place = gate.dispatcher.place

        def making_room(call):
            place(call)
            if endpoint.capacity == 1:
                endpoint.capacity = 2
                book.notify_waiters("desk")

        gate.dispatcher.place = making_room
        tell(world, local, {other: 0.1})
        gate.dispatcher.place = place
        assert len(line) == 0 and endpoint.in_flight == 2
        await wait_until_done([*calls, *occupying])
        assert [exchange.status for exchange in calls] == [200, 200]
        assert [ran_at(world, exchange) for exchange in calls] == [[other], [local]]
        assert len(line) == 0 and endpoint.in_flight == 0

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 1, "work_us": work_us_by_path(long=1000)},
    )


# ---------------------------------------------------------------- a start


def health(world, host, status, slots=b"0,0,4"):
    """The endpoint's answer to a health call, in its process."""
    end = world.ends[host]
    lines = [(b"md-incarnation", end.instance)] + ([(b"md-load", slots)] if slots else [])

    async def app(scope, receive, send):
        assert scope["path"] == "/health"
        await send({"type": "http.response.start", "status": status, "headers": lines})
        await send({"type": "http.response.body", "body": b"{}"})

    world.web.apps[Address(end.address)] = (app, end.process.net)


BESIDE = {
    "application": ("desk",),
    "items": [service("desk", health="/health"), *default_items()[1:]],
    "app": "10.0.1.1:8000",
    "beat_us": 2 * SECOND,
}


async def begun_anew(world, host):
    world.ends[host].left = True  # no beats but the test's own
    world.kill(f"mdproxy@{host}")
    await sleep_us(100 * MILLISECOND)
    await world.start("mdproxy", host)
    return world.daemon("mdproxy", host)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_node_that_restarts_asks_the_endpoint_beside_and_serves_before_its_next_beat(seed):
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        health(world, host, 200)
        daemon = await begun_anew(world, host)
        began = monotonic_us()
        await world.eventually(lambda: daemon.endpoints.by_address, within=500 * MILLISECOND)
        endpoint = daemon.endpoints.by_address[end.address]
        assert (endpoint.incarnation, endpoint.capacity) == (end.instance.decode(), 4)
        exchange = await send_call(world, host, target=b"/once/x")
        assert exchange.status == 200
        pool = gateway_of(world, host).dispatcher.local_calls.pools[id(endpoint)]
        await sleep_us(SECOND - (monotonic_us() - began))
        enrolled = len(world.trace.events(401))
        world.heartbeat(host, end, 1000, capacity=3)
        assert daemon.endpoints.by_address[end.address] is endpoint and endpoint.capacity == 3
        assert len(world.trace.events(401)) == enrolled
        exchange = await send_call(world, host, target=b"/once/y")
        assert exchange.status == 200 and gateway_of(world, host).dispatcher.local_calls.pools == {
            id(endpoint): pool
        }

    gated(scenario, seed, **BESIDE)


@pytest.mark.parametrize("case", ("unwell", "left", "no slots", "none", "no number"))
def test_who_is_not_well_has_left_or_tells_no_slots_is_not_used(case):
    async def scenario(world):
        host = hosts(world)[0]
        slots = {"no slots": b"", "none": b"0,0,0", "no number": b"0,0,many"}.get(case, b"0,0,4")
        health(world, host, 503 if case == "unwell" else 200, slots)
        daemon = await begun_anew(world, host)
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
        assert exchange.status == 503 and not ran_at(world, exchange)

    gated(scenario, **BESIDE)


def test_without_a_list_a_fresh_node_knows_the_others_from_beats_until_the_first_list():
    async def scenario(world):
        guest, *ends = hosts(world)
        reg = world.daemon("mdreg", world.core[0])
        collect = reg.collector.collect

        async def nothing():
            await trio.lowlevel.checkpoint()

        reg.collector.collect = nothing
        world.kill(f"mdproxy@{guest}")
        await sleep_us(100 * MILLISECOND)
        began = monotonic_us()
        await world.start("mdproxy", guest)
        forwarder, gate = world.daemon("mdproxy", guest).forwarder, gateway_of(world, guest)
        wanted = {address_of(h) for h in ends}
        await world.eventually(
            lambda: {n.address for n in gate.loads.nodes.get("desk", ())} == wanted
        )
        assert monotonic_us() - began < 500 * MILLISECOND and forwarder.load_list.seq == 0
        assert forwarder.load_list.stale(monotonic_us(), 1 << 60)
        await world.eventually(lambda: not world.node("mdproxy", guest).unready_reasons())
        assert forwarder.load_list.seq == 0
        assert set(await batch(world, guest, 4)) <= set(ends)
        # what it knows is not told again, the epoch alone; what is more, is
        assert reg.provisional_list(len(ends)).to_wire() == {"epoch": reg.election.highest_epoch}
        assert reg.provisional_list(None).to_wire() == {}
        assert set(reg.provisional_list(0).to_wire()["nodes"]) == wanted
        # a real list replaces it
        reg.collector.collect = collect
        await world.eventually(lambda: forwarder.load_list.seq)
        real = gate.loads.nodes
        assert {n.address for n in real["desk"]} == wanted
        # and none comes after one
        daemon = world.daemon("mdproxy", guest)
        daemon.heartbeats.use_provisional_list(
            [{"10.9.9.9:7401": {"desk": [0.0, "x", False, "b"]}}] * 3
        )
        assert gate.loads.nodes is real

    gated(scenario, application=("", "desk", "desk"))


# ---------------------------------------------------------------- links


async def steady(world, host, calls, over, every=20 * MILLISECOND):
    """A call each 20 ms, each on a connection of its own."""
    while not over.is_set():
        caller = await world.caller(host)
        calls.append(caller.ask(b"/p/x"))
        await sleep_us(every)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("how", ("cut", "killed"))
def test_no_call_waits_for_a_link_and_it_is_used_again_within_a_second(seed, how):
    async def scenario(world):
        await sleep_us(2 * TRIES["window_us"])  # the reserve of second tries is there
        guest, bad, good = hosts(world)
        gate, calls, over = gateway_of(world, guest), [], trio.Event()
        link = gate.peers.link_address(address_of(bad))
        world.nursery.start_soon(steady, world, guest, calls, over)
        await sleep_us(300 * MILLISECOND)
        if how == "cut":
            world.web.cut(guest, bad)
        else:
            world.kill(f"mdproxy@{bad}")
        await world.eventually(lambda: link in gate.peers.quiet_until)
        broke = monotonic_us()
        dialled = []

        async def watch():
            while not over.is_set():
                dialled.append(link in gate.peers.outgoing)
                await sleep_us(10 * MILLISECOND)

        world.nursery.start_soon(watch)
        await sleep_us(2500 * MILLISECOND)
        if how == "cut":
            world.web.heal()
        else:
            await world.start("mdproxy", bad)
            await world.eventually(lambda: world.daemon("mdproxy", bad).endpoints.by_address)
            await world.eventually(
                lambda: address_of(bad) in {n.address for n in gate.loads.nodes["desk"]}
            )
        back = monotonic_us()
        await sleep_us(1500 * MILLISECOND)
        over.set()
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        later = [exchange for exchange in calls if exchange.at > broke]
        assert len(later) > 150 and max(exchange.took for exchange in later) < 60 * MILLISECOND
        assert {ran_at(world, exchange)[0] for exchange in later if exchange.at < back} >= {good}
        assert how != "cut" or any(dialled)  # proved by itself, though no call went there
        again = [ran.begun for ran in world.ends[bad].journal if ran.begun > back]
        assert again and again[0] - back < SECOND

    gated(
        scenario,
        seed,
        application=("", "desk", "desk"),
        tries=TRIES,
        endpoint={"slots": 20},
    )


# ---------------------------------------------------------------- stops


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stopping_node_stays_on_the_list_while_its_doors_are_open(seed):
    async def scenario(world):
        guest, local = hosts(world)
        occupying = await occupied(world, local, 50 * MILLISECOND)
        daemon, reg = world.daemon("mdproxy", local), world.daemon("mdreg", world.core[0])
        seen, ended = [], trio.Event()

        async def watch():
            while not ended.is_set():
                listed = address_of(local) in {
                    n.address for n in gateway_of(world, guest).loads.nodes.get("desk", ())
                }
                on_roster = address_of(local) in reg.proxies
                seen.append((daemon.node.stopping, daemon.closing.is_set(), on_roster, listed))
                await sleep_us(5 * MILLISECOND)

        async def doors():
            await daemon.closing.wait()
            at_close.append(address_of(local) in reg.proxies)

        world.nursery.start_soon(watch)
        world.nursery.start_soon(doors)
        exchange, at_close = [], []

        async def calls():
            for _ in range(10):
                exchange.append(await send_call(world, guest, target=b"/once/x"))
                await sleep_us(20 * MILLISECOND)

        world.nursery.start_soon(calls)
        await world.stop(f"mdproxy@{local}")
        ended.set()
        await sleep_us(2 * SECOND)
        stopping = [(listed, roster) for s, shut, roster, listed in seen if s and not shut]
        assert len(stopping) > 50 and set(stopping[:-3]) == {(True, True)}
        assert at_close == [False]  # told just before
        assert not any(roster for _, shut, roster, _ in seen if shut)
        assert occupying[0].status == 200
        assert {m.status for m in exchange} <= {200, 503} and exchange[0].status == 200

    gated(
        scenario,
        seed,
        application=("", "desk"),
        items=default_items(LONG),
        endpoint={"slots": 4, "work_us": work_us_by_path(long=3000)},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_roll_of_all_nodes_loses_no_call_and_runs_none_twice(seed):
    async def scenario(world):
        calls, over = [], trio.Event()

        async def one(host, n):
            caller = None
            while not over.is_set():
                if caller is None or caller.failed or caller.wire.closed or caller.closed_at:
                    caller = await world.caller(host)
                    if caller.failed:
                        await sleep_us(30 * MILLISECOND)
                        continue
                target = (b"/once/%d", b"/p/%d")[n % 2] % len(calls)
                exchange = caller.ask(target, b"POST")
                calls.append(exchange)
                await exchange.done.wait()
                if exchange.line(b"Connection") == b"close":
                    caller = None
                await sleep_us(50 * MILLISECOND)

        for host in hosts(world):
            for n in range(2):
                world.nursery.start_soon(one, host, n)
        await sleep_us(300 * MILLISECOND)
        for host in hosts(world):
            await world.stop(f"mdproxy@{host}")
            await world.start("mdproxy", host)
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
            await sleep_us(SECOND)
        over.set()
        await sleep_us(3 * SECOND)
        assert all(exchange.done.is_set() for exchange in calls) and len(calls) > 300
        told = {status: [m for m in calls if m.status == status] for status in {200, 503, 0}}
        assert sum(map(len, told.values())) == len(calls), {m.status for m in calls}
        assert not any(world.request_audit.runs(m.id) for m in told[503] + told[0])
        assert len(told[503]) + len(told[0]) < len(calls) / 50
        assert all(len(world.request_audit.runs(m.id)) == 1 for m in told[200])

    gated(
        scenario,
        seed,
        application=("", "desk", "desk", "desk"),
        endpoint={"slots": 20, "work_us": 150 * MILLISECOND},
    )


# ---------------------------------------------------------------- idle connections


def test_the_announced_keep_alive_is_kept_and_no_connection_with_a_call_is_closed():
    patient = {**LIMITS, "spec": {**LIMITS["spec"], "idle_us": 60 * SECOND}}

    async def scenario(world):
        host = hosts(world)[0]
        used, never, long = [await world.caller(host) for _ in range(3)]
        first = long.ask()
        await first.done.wait()
        assert first.line(b"Keep-Alive")
        under_way = long.ask(b"/long/x", due_ms=None)
        for target, status in ((b"/p/x", 200), (b"/p/x", 200), (b"/none", 404)):
            exchange = used.ask(target)
            await exchange.done.wait()
            assert exchange.status == status
            assert exchange.line(b"Keep-Alive") == b"timeout=%d" % KEEP_ALIVE_S
        # used again within what was told, it stays
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
        assert not under_way.done.is_set() and not never.closed_at
        await under_way.done.wait()
        assert under_way.status == 200 and not long.closed_at
        assert under_way.took > 2 * KEEP_ALIVE_US

    gated(
        scenario,
        application=("desk",),
        items=[*(i for i in default_items(LONG) if i["kind"] != "limits"), patient],
        endpoint={"work_us": work_us_by_path(long=16_000)},
    )
