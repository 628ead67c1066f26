"""Endpoints and neighbours that fail: what callers are told, what runs again, how long it takes."""

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

REPEATED = {  # a run whose answer is useless: what may be repeated is
    *("reset", "close", "short", "short_head", "garbage", "unstamped", "nameless", "mixed_up"),
    *("encoded", "unframed", "own_503"),
}
WHOLE = {"twice", "twice_late", "twice_soon", "spare", "spare_late", "slow"}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("spilled", (False, True))
def test_each_fault_of_an_endpoint(fault, spilled):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        ends = list(world.ends.values())
        host = hosts(world)[-1] if spilled else hosts(world)[0]
        for target in (b"/p/x", b"/once/x"):
            await sleep_us(SECOND)  # who was taken for another has beaten again, and is listed
            await wait_until_listed(world)
            for end in ends:  # whichever it comes to first
                end.faults.clear()
            id = world.request_audit.new_id()
            fault_once(ends, id, fault)
            exchange = await send_call(
                world, host, target=target, method=b"POST", id=id, due_ms=1500
            )
            ran = len(world.request_audit.runs(id))
            again = target == b"/p/x"
            if fault in WHOLE:
                assert (exchange.status, ran) == (200, 1)
            elif fault in REPEATED:
                assert (exchange.status, ran) == ((200, 2) if again else (502, 1))
            elif fault in ("full", "other"):
                assert (exchange.status, ran) == (200, 1)
                assert world.request_audit.arrivals(id) == 2
            elif fault == "silence":
                assert (exchange.status, ran) == (504, 1) and exchange.took < 1700 * MILLISECOND
            else:
                assert (exchange.status, ran) == (500, 1) and exchange.line(b"md-call") == id
            # nobody after it gets anything of it
            caller = await world.caller(host)
            if fault.startswith("twice"):
                next_one = caller.ask(b"/once/next")
                await wait_until_done([next_one])
                assert next_one.status == 200
            after = [caller.ask(b"/p/%d" % n) for n in range(6)]
            await wait_until_done(after)
            assert {m.status for m in after} == {200}

    gated(scenario, application=("desk", "desk", ""), tries=RETRY_BUDGET)


def fault_once(ends, id, fault):
    """The first endpoint that the call comes to fails it, no other does."""
    left = [fault]
    for end in ends:
        usual = type(end).fault_of
        end.fault_of = lambda got, end=end, usual=usual: (
            left.pop() if got == id and left else usual(end, got)
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_all_faults_at_random_over_all_gates(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        rng = world.rng
        kinds = [*FAULTS, *([None] * 30)]
        kinds.remove("silence")
        world.web.tear = 300
        for end in world.ends.values():
            end.fault_of = lambda id: rng.choice(kinds)
            end.work_us = lambda job: rng.randrange(1, 40) * MILLISECOND
            end.chunks = rng.random() < 0.5
            end.cap = 12
        calls = []

        async def one(host):
            caller = await world.caller(host)
            for n in range(25):
                if caller.closed_at or caller.wire.closed:
                    caller = await world.caller(host)
                target = rng.choice([b"/p/%d", b"/once/%d", b"/paper/%d"]) % n
                many = rng.randrange(1, 4) if not target.startswith(b"/once") else 1
                batch = [
                    caller.ask(target, b"PUT", body=rng.randbytes(rng.randrange(2000)), due_ms=1000)
                    for _ in range(many)
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
                    nursery.start_soon(one, host)
        for end in world.ends.values():
            del end.fault_of
        await sleep_us(3 * SECOND)
        told = [exchange.status for exchange in calls]
        assert told.count(200) > len(told) / 2
        assert {504, 502} & set(told)
        assert all(exchange.took < 1200 * MILLISECOND for exchange in calls)
        for host in hosts(world):  # nothing went round and round
            counts = gateway_of(world, host).counts
            assert sum(n for name, n in counts.items() if name.startswith("rule.")) < 4000
        assert all(world.request_audit.arrivals(exchange.id) <= 2 for exchange in calls)

    gated(scenario, seed, application=("desk", "desk", "paper", "paper", ""), tries=RETRY_BUDGET)


@pytest.mark.parametrize("seed", SEEDS)
def test_idle_connections_that_endpoints_close_lose_no_call(seed):
    async def scenario(world):
        host = hosts(world)[0]
        end = world.ends[host]
        end.idle_us, end.alive_s = 2 * SECOND, 2
        caller = await world.caller(host)
        for n in range(60):
            exchange = caller.ask(b"/once/%d" % n, b"POST")
            await exchange.done.wait()
            assert exchange.status == 200
            await sleep_us(world.rng.choice([100, 1200, *range(1995, 2025)]) * MILLISECOND)

    gated(scenario, seed, application=("desk",))


@pytest.mark.parametrize("seed", SEEDS)
def test_an_address_that_went_to_another_service_runs_nothing_of_the_old_one(seed):
    async def scenario(world):
        first, second = hosts(world)
        world.processes.pop(f"endpoint@{first}:8000").kill()
        # nobody has told the gate yet, and it beats nowhere
        taken = await world.stand_in(first, "paper", sends_heartbeats=False)
        for target in (b"/p/x", b"/once/x"):
            exchange = await send_call(world, first, target=target)
            assert exchange.status == 200
            assert [r.service for r in world.request_audit.runs(exchange.id)] == ["desk"]
        assert not taken.journal and taken.turned

    gated(scenario, seed, application=("desk", "desk"), tries=RETRY_BUDGET)


def test_an_endpoint_that_was_silent_and_beats_again_is_used_again():
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
def test_an_endpoint_that_crashes_mid_run(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        first, second = hosts(world)
        callers = [await world.caller(first) for _ in range(2)]
        again, once = callers[0].ask(b"/p/x"), callers[1].ask(b"/once/x")
        await sleep_us(50 * MILLISECOND)
        world.processes.pop(f"endpoint@{first}:8000").kill()
        await wait_until_done([again, once])
        assert (again.status, once.status) == (200, 502)
        # nobody listens there: not sent, so it goes elsewhere even if it must run once only
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
def test_an_endpoint_respects_what_is_left_of_the_time(seed):
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


# ---------------------------------------------------------------- neighbours


def killed(world, host):
    world.kill(f"mdproxy@{host}")


def frozen(world, host):
    world.processes[f"mdproxy@{host}"].freeze()


def cut(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)


def cut_in(world, host):
    """It hears nobody, and is heard."""
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(other, host, both=False)


def cut_out(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other, both=False)


def reset(world, host):
    world.processes[f"mdproxy@{host}"].net.reset()


TROUBLES = [killed, frozen, cut, cut_in, cut_out, reset]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_faulty_peer(trouble, seed):
    """What may be repeated goes on elsewhere within a second, the rest is told that nobody knows."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, bad, good = hosts(world)
        callers = [await world.caller(local) for _ in range(8)]
        calls = [
            c.ask(b"/once/%d" % n if n % 2 else b"/p/%d" % n, due_ms=4000)
            for n, c in enumerate(callers)
        ]
        await sleep_us(100 * MILLISECOND)
        there = {ran.id for ran in world.ends[bad].journal}
        assert 2 <= len(there) <= 6
        trouble(world, bad)
        began = monotonic_us()
        later = []
        for n in range(20):
            later.append((await world.caller(local)).ask(b"/p/l%d" % n, due_ms=4000))
            await sleep_us(100 * MILLISECOND)
        await wait_until_done([*calls, *later])
        for exchange in [*calls, *later]:
            if exchange.id in there and exchange.target.startswith(b"/once/"):
                # who is only deaf still says its answer
                assert exchange.status == 502 or (trouble is cut_in and exchange.status == 200)
                assert exchange.at + exchange.took < began + 1200 * MILLISECOND
            else:
                assert exchange.status == 200
                last = max(ran.begun for ran in world.request_audit.runs(exchange.id))
                assert last - max(exchange.at, began) < SECOND
        await sleep_us(2 * SECOND)
        world.web.heal()
        if trouble is frozen:
            world.processes[f"mdproxy@{bad}"].wake()
        await sleep_us(6 * SECOND)
        if trouble is not killed:  # it is used again
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
def test_a_gateway_that_was_paused_blames_no_peer(seed):
    async def scenario(world):
        local, there = hosts(world)
        exchange = (await world.caller(local)).ask(b"/once/x", due_ms=5000)
        await sleep_us(100 * MILLISECOND)
        world.processes[f"mdproxy@{local}"].freeze()
        await sleep_us(1500 * MILLISECOND)
        world.processes[f"mdproxy@{local}"].wake()
        await exchange.done.wait()
        assert exchange.status == 200

    gated(scenario, seed, application=("", "desk"), endpoint={"work_us": 1800 * MILLISECOND})


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_that_waited_for_a_link_which_never_came_go_elsewhere(seed):
    """No byte of them left, so even those that must run once go on."""

    async def scenario(world):
        local, bad, good = hosts(world)
        cut(world, bad)
        callers = [await world.caller(local) for _ in range(6)]
        calls = [c.ask(b"/once/%d" % n) for n, c in enumerate(callers)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}
        assert all(exchange.took < SECOND for exchange in calls)
        world.web.heal()
        await sleep_us(2 * SECOND)

    gated(scenario, seed, application=("", "desk", "desk"), endpoint={"slots": 20})


def test_hundreds_of_peers_that_answer_nothing_are_passed_over_in_one_turn():
    from meadowdock.load_sharing import LoadList, NodeLoad

    async def scenario(world):
        local, good = hosts(world)
        gate = gateway_of(world, local)
        nodes = [NodeLoad(f"10.9.{n // 100}.{n % 100}:7401", 0.1, "i", False) for n in range(600)]
        real = gate.loads.nodes["desk"]
        gate.update_loads(
            LoadList(gate.loads.latest.epoch, gate.loads.latest.seq, monotonic_us()),
            {"desk": (*nodes, *real)},
        )
        gate.peers.quiet_until = {
            gate.peers.link_address(n.address): monotonic_us() + SECOND for n in nodes
        }
        exchange = await send_call(world, local)
        assert exchange.status == 200

    gated(scenario, application=("", "desk"))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_peers_endpoint_that_rejects_calls_counts_as_an_attempt(seed):
    async def scenario(world):
        local = hosts(world)[0]
        for end in world.ends.values():
            end.fault_of = lambda id: "full"
        calls = [await send_call(world, local) for _ in range(20)]
        assert {exchange.status for exchange in calls} == {503}
        again = sum(world.request_audit.arrivals(exchange.id) - 1 for exchange in calls)
        assert again == 0  # a ratio of nothing, and no reserve before a window has passed

    terms = {"ratio": 0.0, "window_us": 600 * SECOND, "reserve": 0}
    gated(scenario, seed, application=("", "desk", "desk", "desk"), tries=terms)
