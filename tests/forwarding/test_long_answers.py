"""Answers that are passed on while they arrive: whole or visibly broken off, and never held whole."""

from __future__ import annotations

import pytest
from gates import SEEDS, gated, gateway_of, send_call, set_rho, wait_until_done
from retry_budgets import RETRY_BUDGET, hosts

from meadowdock.forwarding import peer_link
from meadowdock.forwarding.answer_stream import (
    UNSENT_HIGH_BYTES,
    WHOLE_ANSWER_MAX_BYTES,
)
from meadowdock.forwarding.peer_answers import CREDIT_BYTES
from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator.standin import FAULTS

LONG_BYTES = 800_000
UNREAD_BYTES = 3_000_000  # more than is held for an answer that isn't read
READ_BYTES = 65_536  # of one read, at each of the two gateways, beyond a bound
HELD_AT_A_GATEWAY = WHOLE_ANSWER_MAX_BYTES + UNSENT_HIGH_BYTES + CREDIT_BYTES + 3 * READ_BYTES
REFUSED_FAULTS = {"mixed_up", "encoded"}  # known at the head
BROKEN_FAULTS = {"short"}
WHOLE_FAULTS = {None, "twice", "twice_late", "spare", "spare_late", "slow"}


def set_size(world, size, chunks):
    for end in world.ends.values():
        end.size, end.chunks = size, chunks


def host_of(world, relocated):
    return hosts(world)[-1] if relocated else hosts(world)[0]


@pytest.mark.parametrize("fault", [None, *FAULTS])
@pytest.mark.parametrize("relocated", (False, True))
@pytest.mark.parametrize("chunks", (False, True))
def test_long_answer_with_a_fault(fault, relocated, chunks):
    async def scenario(world):
        set_size(world, LONG_BYTES, chunks)
        host = host_of(world, relocated)
        id = world.request_audit.new_id()
        for end in world.ends.values():
            if fault:
                end.faults[id] = fault
        exchange = await send_call(
            world, host, target=b"/once/x", method=b"POST", id=id, due_ms=3000
        )
        assert len(world.request_audit.runs(id)) <= 1
        if fault in WHOLE_FAULTS:
            assert exchange.status == 200 and len(exchange.answer) > LONG_BYTES
        elif fault in BROKEN_FAULTS:
            assert not exchange.status and exchange.ended
        elif fault in REFUSED_FAULTS:
            assert exchange.status == 502
        await sleep_us(SECOND)
        after = await send_call(world, host, target=b"/p/x", due_ms=3000)
        assert after.status == 200
        await sleep_us(100 * MILLISECOND)  # for a peer to report the end

    gated(scenario, application=("desk", ""), tries=RETRY_BUDGET)


@pytest.mark.parametrize("relocated", (False, True))
@pytest.mark.parametrize("chunks", (False, True))
def test_a_long_answer_that_is_not_read_is_not_held(relocated, chunks):
    async def scenario(world):
        set_size(world, UNREAD_BYTES, chunks)
        callers = [await world.caller(host_of(world, relocated)) for _ in range(3)]
        for caller in callers:
            caller.wire.pause()
        exchanges = [caller.ask(due_ms=1_500) for caller in callers]
        peak = 0
        for _ in range(200):  # for longer than their deadline
            await sleep_us(10 * MILLISECOND)
            totals = [gateway_of(world, host).memory.total for host in hosts(world)]
            peak = max(peak, *totals)
        assert 0 < peak <= len(callers) * HELD_AT_A_GATEWAY
        for caller in callers:
            caller.wire.resume()
        await wait_until_done(exchanges)
        # an answer that waits for its reader is not ended by its deadline
        assert [exchange.status for exchange in exchanges] == [200] * len(callers)

    gated(scenario, application=("desk", ""))


@pytest.mark.parametrize("relocated", (False, True))
def test_a_caller_that_leaves_during_a_long_answer(relocated):
    async def scenario(world):
        set_size(world, UNREAD_BYTES, False)
        caller = await world.caller(host_of(world, relocated))
        caller.wire.pause()
        caller.ask(target=b"/once/x", due_ms=60_000)
        await sleep_us(SECOND)
        caller.hang_up()
        await sleep_us(SECOND)
        (end,) = world.ends.values()
        assert not end.conns, "the connection to the endpoint is closed"

    gated(scenario, application=("desk", ""))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("relocated", (False, True))
def test_pipelined_long_and_short_answers_keep_their_order(seed, relocated):
    async def scenario(world):
        world.web.tear = 20_000
        caller = await world.caller(host_of(world, relocated))
        set_size(world, LONG_BYTES, bool(seed % 2))
        (end,) = world.ends.values()
        original = end.complete_response

        def sized(execution, status):
            end.size = LONG_BYTES if b"long" in execution.target else 10
            return original(execution, status)

        end.complete_response = sized
        targets = [world.rng.choice((b"/p/long", b"/p/short")) for _ in range(8)]
        exchanges = [caller.ask(target, due_ms=20_000) for target in targets]
        await wait_until_done(exchanges)
        assert [exchange.status for exchange in exchanges] == [200] * 8

    gated(scenario, seed, application=("desk", ""))


def test_a_long_answer_in_chunks_for_http_1_0_has_a_length():
    async def scenario(world):
        set_size(world, LONG_BYTES, True)
        caller = await world.caller(hosts(world)[0])
        exchange = caller.ask(send=False, due_ms=5000)
        caller.wire.send(exchange.data.replace(b"HTTP/1.1", b"HTTP/1.0"))
        await wait_until_done([exchange])
        assert exchange.status == 200 and exchange.line(b"content-length")

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("chunks", (False, True))
def test_a_peer_of_the_previous_version_gets_a_long_answer_whole(chunks, monkeypatch):
    """It does not announce that it reads parts, so the answer is collected for it."""
    monkeypatch.setattr(peer_link, "READS_PARTS", 99)  # a kind that nobody knows

    async def scenario(world):
        set_size(world, LONG_BYTES, chunks)
        exchange = await send_call(world, hosts(world)[-1], due_ms=5000)
        assert exchange.status == 200 and len(exchange.answer) > LONG_BYTES
        await sleep_us(100 * MILLISECOND)

    gated(scenario, application=("desk", ""))


@pytest.mark.parametrize("how", ("kill", "reset"))
def test_a_peer_that_goes_during_a_long_answer(how):
    async def scenario(world):
        set_size(world, UNREAD_BYTES, False)
        near, far = hosts(world)
        caller = await world.caller(far)
        caller.wire.pause()
        exchange = caller.ask(due_ms=60_000)
        await sleep_us(SECOND)
        if how == "kill":
            world.kill(f"mdproxy@{near}")
        else:
            gateway_of(world, near).network.reset()
        caller.wire.resume()
        await wait_until_done([exchange])
        assert not exchange.status and exchange.ended

    gated(scenario, application=("desk", ""))


@pytest.mark.parametrize("relocated", (False, True))
def test_a_stop_waits_for_long_answers(relocated):
    async def scenario(world):
        set_size(world, UNREAD_BYTES, False)
        near, far = hosts(world)
        caller = await world.caller(far if relocated else near)
        caller.wire.pause()
        exchange = caller.ask(due_ms=60_000)
        await sleep_us(SECOND)
        world.nursery.start_soon(world.stop, f"mdproxy@{near}")
        await sleep_us(SECOND)
        caller.wire.resume()
        await wait_until_done([exchange])
        assert exchange.status == 200

    gated(scenario, application=("desk", ""))


def test_long_answers_under_load_leave_room_for_short_ones():
    async def scenario(world):
        (end,) = world.ends.values()
        end.size = LONG_BYTES
        readers = [await world.caller(hosts(world)[0]) for _ in range(3)]
        for reader in readers:
            reader.wire.pause()
        held = [reader.ask(due_ms=1_000) for reader in readers]
        await sleep_us(100 * MILLISECOND)
        end.size = 0
        set_rho(world, hosts(world)[0], 0.0)
        short = await send_call(world, hosts(world)[0], due_ms=1000)
        assert short.status == 200
        for reader in readers:
            reader.hang_up()
        await wait_until_done(held)

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("relocated", (False, True))
def test_a_reader_that_takes_next_to_nothing_does_not_hold_an_endpoint_for_ever(relocated):
    async def scenario(world):
        set_size(world, UNREAD_BYTES, False)
        caller = await world.caller(host_of(world, relocated))
        caller.wire.pause()
        exchange = caller.ask(due_ms=1_000)
        for _ in range(3):  # a little now and then, so that no time-out of a blocked write ends it
            await sleep_us(9 * SECOND)
            caller.wire.resume()
            await sleep_us(MILLISECOND)
            caller.wire.pause()
        (end,) = world.ends.values()
        assert not end.conns, "the connection to the endpoint is closed"
        caller.wire.resume()
        await wait_until_done([exchange])
        assert not exchange.status and exchange.ended, "not taken for a complete answer"

    gated(scenario, application=("desk", ""))
