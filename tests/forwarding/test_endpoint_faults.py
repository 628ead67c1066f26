"""Faulty endpoints and peers: what callers get, which calls are retried, and how long it takes."""

from __future__ import annotations

import pytest
from gates import (
    SEEDS,
    default_items,
    gated,
    gateway_of,
    send_call,
    wait_until_done,
    wait_until_listed,
)
from item_builders import route
from retry_budgets import RETRY_BUDGET, hosts, wait_for_retry_reserve

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin import FAULTS

RETRIED_FAULTS = {  # the response is not usable, so that an idempotent call is retried
    *("reset", "close", "short", "short_head", "garbage", "unstamped", "nameless", "mixed_up"),
    *("encoded", "unframed", "own_503"),
}
COMPLETE_RESPONSE_FAULTS = {"twice", "twice_late", "twice_soon", "spare", "spare_late", "slow"}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("relocated", (False, True))
def test_single_fault_of_an_endpoint(fault, relocated):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        ends = list(world.ends.values())
        host = hosts(world)[-1] if relocated else hosts(world)[0]
        for target in (b"/p/x", b"/once/x"):
            # an endpoint that was taken for another instance registers and is listed again
            await sleep_us(SECOND)
            await wait_until_listed(world)
            for end in ends:
                end.faults.clear()
            id = world.request_audit.new_id()
            fault_once(ends, id, fault)
            exchange = await send_call(
                world, host, target=target, method=b"POST", id=id, due_ms=1500
            )
            ran = len(world.request_audit.runs(id))
            idempotent = target == b"/p/x"
            if fault in COMPLETE_RESPONSE_FAULTS:
                assert (exchange.status, ran) == (200, 1)
            elif fault in RETRIED_FAULTS:
                assert (exchange.status, ran) == ((200, 2) if idempotent else (502, 1))
            elif fault in ("full", "other"):
                assert (exchange.status, ran) == (200, 1)
                assert world.request_audit.arrivals(id) == 2
            elif fault == "silence":
                assert (exchange.status, ran) == (504, 1) and exchange.took < 1700 * MILLISECOND
            else:
                assert (exchange.status, ran) == (500, 1) and exchange.line(b"md-call") == id
            # no later call gets a part of its response
            caller = await world.caller(host)
            if fault.startswith("twice"):
                next_one = caller.ask(b"/once/next")
                await wait_until_done([next_one])
                assert next_one.status == 200
            after = [caller.ask(b"/p/%d" % number) for number in range(6)]
            await wait_until_done(after)
            assert {exchange.status for exchange in after} == {200}

    gated(scenario, application=("desk", "desk", ""), tries=RETRY_BUDGET)


def fault_once(ends, id, fault):
    """Make only the first endpoint that the call reaches fail."""
    left = [fault]
    for end in ends:
        original = type(end).fault_of
        end.fault_of = lambda call_id, end=end, original=original: (
            left.pop() if call_id == id and left else original(end, call_id)
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_of_all_endpoints(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        rng = world.rng
        faults = [*FAULTS, *([None] * 30)]
        faults.remove("silence")
        world.web.tear = 300
        for end in world.ends.values():
            end.fault_of = lambda id: rng.choice(faults)
            end.work_us = lambda job: rng.randrange(1, 40) * MILLISECOND
            end.chunks = rng.random() < 0.5
            end.cap = 12
        calls = []

        async def send_calls(host):
            caller = await world.caller(host)
            for number in range(25):
                if caller.closed_at or caller.wire.closed:
                    caller = await world.caller(host)
                target = rng.choice([b"/p/%d", b"/once/%d", b"/paper/%d"]) % number
                batch_size = rng.randrange(1, 4) if not target.startswith(b"/once") else 1
                batch = [
                    caller.ask(target, b"PUT", body=rng.randbytes(rng.randrange(2000)), due_ms=1000)
                    for _ in range(batch_size)
                ]
                calls.extend(batch)
                if rng.random() < 0.1:
                    await sleep_us(rng.randrange(20) * MILLISECOND)
                    caller.hang_up()
                await wait_until_done(batch)

        import trio

        async with trio.open_nursery() as nursery:
            for host in hosts(world):
                for _ in range(4):
                    nursery.start_soon(send_calls, host)
        for end in world.ends.values():
            del end.fault_of
        await sleep_us(3 * SECOND)
        statuses = [exchange.status for exchange in calls]
        assert statuses.count(200) > len(statuses) / 2
        assert {504, 502} & set(statuses)
        assert all(exchange.took < 1200 * MILLISECOND for exchange in calls)
        for host in hosts(world):  # no call was placed in an endless loop
            counts = gateway_of(world, host).counts
            assert sum(number for name, number in counts.items() if name.startswith("rule.")) < 4000
        assert all(world.request_audit.arrivals(exchange.id) <= 2 for exchange in calls)

    gated(scenario, seed, application=("desk", "desk", "paper", "paper", ""), tries=RETRY_BUDGET)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_call_is_lost_when_endpoints_close_idle_connections(seed):
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        end.idle_us, end.alive_s = 2 * SECOND, 2
        caller = await world.caller(host)
        for number in range(60):
            exchange = caller.ask(b"/once/%d" % number, b"POST")
            await exchange.done.wait()
            assert exchange.status == 200
            await sleep_us(world.rng.choice([100, 1200, *range(1995, 2025)]) * MILLISECOND)

    gated(scenario, seed, application=("desk",))


@pytest.mark.parametrize("seed", SEEDS)
def test_address_taken_over_by_another_service_runs_no_call_of_the_old_one(seed):
    async def scenario(world):
        first, second = hosts(world)
        world.processes.pop(f"endpoint@{first}:8000").kill()
        # the gateway does not know it, since it sends no heartbeats
        new_endpoint = await world.stand_in(first, "paper", sends_heartbeats=False)
        for target in (b"/p/x", b"/once/x"):
            exchange = await send_call(world, first, target=target)
            assert exchange.status == 200
            assert [run.service for run in world.request_audit.runs(exchange.id)] == ["desk"]
        assert not new_endpoint.journal and new_endpoint.turned

    gated(scenario, seed, application=("desk", "desk"), tries=RETRY_BUDGET)


def test_endpoint_is_used_again_after_its_heartbeats_resume():
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        assert (await send_call(world, host)).status == 200
        long = (await world.caller(host)).ask(b"/long/x", due_ms=10_000)
        await sleep_us(100 * MILLISECOND)
        end.process.freeze()
        await world.eventually(lambda: not world.daemon("mdproxy", host).endpoints.by_address)
        end.process.wake()
        await world.eventually(lambda: world.daemon("mdproxy", host).endpoints.by_address)
        for _ in range(3):
            assert (await send_call(world, host)).status == 200
        await long.done.wait()
        assert long.status == 200

    long = route("long", prefix="/long/", timeout_us=10 * SECOND)
    work = {"work_us": lambda job: (5000 if job.target == b"/long/x" else 10) * MILLISECOND}
    gated(scenario, application=("desk",), items=default_items(long), endpoint=work)


@pytest.mark.parametrize("seed", SEEDS)
def test_endpoint_that_crashes_while_running_calls(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        first, second = hosts(world)
        callers = [await world.caller(first) for _ in range(2)]
        idempotent, once = callers[0].ask(b"/p/x"), callers[1].ask(b"/once/x")
        await sleep_us(50 * MILLISECOND)
        world.processes.pop(f"endpoint@{first}:8000").kill()
        await wait_until_done([idempotent, once])
        assert (idempotent.status, once.status) == (200, 502)
        # the connection is refused, so even a call that must run at most once goes to another endpoint
        for _ in range(3):
            assert (await send_call(world, first, target=b"/once/x")).status == 200

    gated(
        scenario,
        seed,
        application=("desk", "desk"),
        tries=RETRY_BUDGET,
        endpoint={"work_us": 300 * MILLISECOND},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_endpoint_gets_the_remaining_time(seed):
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        end.work_us = 3 * SECOND
        exchange = await send_call(world, host, due_ms=300)
        assert exchange.status == 504 and 290 * MILLISECOND < exchange.took < 330 * MILLISECOND
        left = int(dict(world.request_audit.runs(exchange.id)[0].lines)[b"md-due"])
        assert 290 <= left <= 300
        exchange = await send_call(world, host, target=b"/short/x", due_ms=5000)
        assert exchange.status == 504 and exchange.took < 430 * MILLISECOND
        assert not end.overdue

    short = route("short", prefix="/short/", timeout_us=400 * MILLISECOND)
    gated(scenario, seed, application=("desk",), items=default_items(short))


def killed(world, host):
    world.kill(f"mdproxy@{host}")


def frozen(world, host):
    world.processes[f"mdproxy@{host}"].freeze()


def cut(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)


def cut_incoming(world, host):
    """Cut the incoming packets of a host only."""
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(other, host, both=False)


def cut_outgoing(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other, both=False)


def reset(world, host):
    world.processes[f"mdproxy@{host}"].net.reset()


PEER_FAULTS = [killed, frozen, cut, cut_incoming, cut_outgoing, reset]


@pytest.mark.parametrize("fault_of_peer", PEER_FAULTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_faulty_peer(fault_of_peer, seed):
    """Idempotent calls are retried at another peer within a second; others get an unknown outcome."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, bad, good = hosts(world)
        callers = [await world.caller(local) for _ in range(8)]
        calls = [
            caller.ask(b"/once/%d" % number if number % 2 else b"/p/%d" % number, due_ms=4000)
            for number, caller in enumerate(callers)
        ]
        await sleep_us(100 * MILLISECOND)
        ids_at_bad = {ran.id for ran in world.ends[bad].journal}
        assert 2 <= len(ids_at_bad) <= 6
        fault_of_peer(world, bad)
        began = monotonic_us()
        later = []
        for number in range(20):
            later.append((await world.caller(local)).ask(b"/p/l%d" % number, due_ms=4000))
            await sleep_us(100 * MILLISECOND)
        await wait_until_done([*calls, *later])
        for exchange in [*calls, *later]:
            if exchange.id in ids_at_bad and exchange.target.startswith(b"/once/"):
                # a peer without incoming packets can still send its response
                assert exchange.status == 502 or (
                    fault_of_peer is cut_incoming and exchange.status == 200
                )
                assert exchange.at + exchange.took < began + 1200 * MILLISECOND
            else:
                assert exchange.status == 200
                last = max(ran.begun for ran in world.request_audit.runs(exchange.id))
                assert last - max(exchange.at, began) < SECOND
        await sleep_us(2 * SECOND)
        world.web.heal()
        if fault_of_peer is frozen:
            world.processes[f"mdproxy@{bad}"].wake()
        await sleep_us(6 * SECOND)
        if fault_of_peer is not killed:  # the peer is used again
            before = len(world.ends[bad].journal)
            after = [await send_call(world, local) for _ in range(6)]
            assert {exchange.status for exchange in after} == {200}
            assert len(world.ends[bad].journal) > before

    gated(
        scenario,
        seed,
        application=("", "desk", "desk"),
        tries=RETRY_BUDGET,
        endpoint={"work_us": 300 * MILLISECOND, "slots": 20},
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_paused_gateway_does_not_close_links_as_silent(seed):
    async def scenario(world):
        local, _ = hosts(world)
        exchange = (await world.caller(local)).ask(b"/once/x", due_ms=5000)
        await sleep_us(100 * MILLISECOND)
        world.processes[f"mdproxy@{local}"].freeze()
        await sleep_us(1500 * MILLISECOND)
        world.processes[f"mdproxy@{local}"].wake()
        await exchange.done.wait()
        assert exchange.status == 200

    gated(scenario, seed, application=("", "desk"), endpoint={"work_us": 1800 * MILLISECOND})


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_go_to_another_peer_when_a_link_cannot_be_opened(seed):
    """No byte of them was sent, so even calls that must run at most once go to another peer."""

    async def scenario(world):
        local, bad, good = hosts(world)
        cut(world, bad)
        callers = [await world.caller(local) for _ in range(6)]
        calls = [caller.ask(b"/once/%d" % number) for number, caller in enumerate(callers)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        assert all(exchange.took < SECOND for exchange in calls)
        world.web.heal()
        await sleep_us(2 * SECOND)

    gated(scenario, seed, application=("", "desk", "desk"), endpoint={"slots": 20})


def test_hundreds_of_unreachable_peers_are_skipped_in_one_turn():
    from meadowdock.load_sharing import LoadList, NodeLoad

    async def scenario(world):
        local, good = hosts(world)
        gateway = gateway_of(world, local)
        nodes = [
            NodeLoad(f"10.9.{number // 100}.{number % 100}:7401", 0.1, "i", False)
            for number in range(600)
        ]
        real = gateway.loads.nodes["desk"]
        gateway.update_loads(
            LoadList(gateway.loads.latest.epoch, gateway.loads.latest.seq, monotonic_us()),
            {"desk": (*nodes, *real)},
        )
        gateway.peers.backoff_until = {
            gateway.peers.link_address(node.address): monotonic_us() + SECOND for node in nodes
        }
        exchange = await send_call(world, local)
        assert exchange.status == 200

    gated(scenario, application=("", "desk"))


@pytest.mark.parametrize("seed", SEEDS)
def test_rejection_by_a_peers_endpoint_counts_as_an_attempt(seed):
    async def scenario(world):
        local = hosts(world)[0]
        for end in world.ends.values():
            end.fault_of = lambda id: "full"
        calls = [await send_call(world, local) for _ in range(20)]
        assert {exchange.status for exchange in calls} == {503}
        retries = sum(world.request_audit.arrivals(exchange.id) - 1 for exchange in calls)
        assert retries == 0  # the ratio is 0, and there is no reserve before a window has passed

    terms = {"ratio": 0.0, "window_us": 600 * SECOND, "reserve": 0}
    gated(scenario, seed, application=("", "desk", "desk", "desk"), tries=terms)
