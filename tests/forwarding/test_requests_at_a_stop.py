"""Requests that are in progress, or still arrive, while a proxy with a gateway is stopped."""

from __future__ import annotations

import pytest
import trio
from gates import SEEDS, default_items, gated
from item_builders import route

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

LONG_US = 20 * SECOND
WORK_US = 60 * MILLISECOND
LONG = route("long", prefix="/long/", timeout_us=LONG_US)


def work_us(job):
    return LONG_US // 2 if job.target.startswith(b"/long/") else WORK_US


def executed_ids(world):
    return {run.id for endpoint in world.ends.values() for run in endpoint.journal}


def unanswered(world, calls):
    """Return the requests that ran and got no answer, or a 5xx other than 503."""
    executed = executed_ids(world)
    return [
        (call.target, call.status, str(call.ended))
        for call in calls
        if call.id in executed and call.status not in (200, 503)
    ]


async def keep_pipelining(world, caller, calls, depth=3):
    """Keep `depth` requests under way on one connection until it is closed."""
    while not caller.closed_at:
        while len(caller.asked) < depth:
            calls.append(caller.ask(b"/p/x"))
        await sleep_us(MILLISECOND)


# The users' LOST: a pipelined connection is never idle, so it was used until the process was gone.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("application", (("desk",), ("", "desk")))
def test_a_stop_answers_all_it_takes_from_a_connection_that_never_rests(seed, application):
    async def scenario(world):
        host = next(iter(world.application))
        calls = []
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                caller = await world.caller(host)
                nursery.start_soon(keep_pipelining, world, caller, calls)
            await sleep_us(SECOND)
            await world.stop(f"mdproxy@{host}")
        assert len(calls) > 50
        assert unanswered(world, calls) == []

    gated(scenario, seed, application=application, endpoint={"work_us": work_us, "slots": 16})


# LOST with a 502: the peer that ran the call ended first, in a stop of its own.
@pytest.mark.parametrize("interval_ms", (5, 40, 90))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_stop_lets_no_call_of_a_peer_begin_that_it_will_not_answer(seed, interval_ms):
    async def scenario(world):
        host, endpoint_host = world.application
        calls, stopped = [], trio.Event()

        async def call_continuously():
            while not stopped.is_set():
                caller = await world.caller(host)
                calls.append(caller.ask(b"/once/x"))
                await sleep_us(interval_ms * MILLISECOND)

        async def stop():
            await world.stop(f"mdproxy@{endpoint_host}")
            stopped.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_continuously)
            await sleep_us(SECOND)
            nursery.start_soon(stop)
            await sleep_us(SECOND)
            # no load list comes any more, so the last one goes on naming the stopping node
            world.kill(f"mdreg@{world.core[0]}")
        for call in calls:
            await call.done.wait()
        assert sum(call.status == 200 for call in calls) > 20
        assert unanswered(world, calls) == []

    gated(
        scenario,
        seed,
        application=("", "desk"),
        endpoint={"work_us": work_us, "slots": 30},
    )


# LOST of an answer that was there: the end of the process cut it off behind a request that ran on.
def test_a_stop_sends_the_answers_that_wait_behind_a_request_that_does_not_end():
    async def scenario(world):
        host = next(iter(world.application))
        caller = await world.caller(host)
        first = caller.ask(b"/long/x", due_ms=LONG_US // MILLISECOND)
        second = caller.ask(b"/p/x")
        await sleep_us(100 * MILLISECOND)
        await world.stop(f"mdproxy@{host}")
        await second.done.wait()
        assert second.status == 200
        assert first.status == 502  # it may have run

    gated(scenario, items=default_items(LONG), endpoint={"work_us": work_us})


def test_a_stop_answers_a_call_that_still_waits_as_not_run():
    async def scenario(world):
        host = next(iter(world.application))
        running = (await world.caller(host)).ask(b"/long/x", due_ms=LONG_US // MILLISECOND)
        await sleep_us(50 * MILLISECOND)
        waiting = (await world.caller(host)).ask(b"/long/y", due_ms=LONG_US // MILLISECOND)
        await sleep_us(50 * MILLISECOND)
        stopped_at = monotonic_us()
        await world.stop(f"mdproxy@{host}")
        await waiting.done.wait()
        await running.done.wait()
        assert waiting.at + waiting.took < stopped_at + 6 * SECOND
        assert waiting.status == 503 and waiting.id not in executed_ids(world)
        assert running.status == 502

    gated(
        scenario,
        application=("desk",),
        items=default_items(LONG),
        endpoint={"work_us": work_us, "slots": 1},
    )


def test_a_second_signal_answers_what_is_in_progress():
    async def scenario(world):
        host = next(iter(world.application))
        running = (await world.caller(host)).ask(b"/long/x", due_ms=LONG_US // MILLISECOND)
        await sleep_us(50 * MILLISECOND)
        world.node("mdproxy", host).shutdown.abort_requested.set()
        await world.stop(f"mdproxy@{host}")
        await running.done.wait()
        assert running.status == 502

    gated(scenario, application=("desk",), items=default_items(LONG), endpoint={"work_us": work_us})


def test_a_request_behind_the_last_answer_of_a_connection_does_not_run():
    async def scenario(world):
        host = next(iter(world.application))
        caller = await world.caller(host)
        world.daemon("mdproxy", host).gateway.closing = True  # as from the signal on
        unknown = caller.ask(b"/unknown/x", send=False)
        behind = caller.ask(b"/once/x", send=False)
        caller.wire.send(unknown.data + behind.data)
        await behind.done.wait()
        assert (unknown.status, unknown.line(b"Connection")) == (404, b"close")
        assert behind.status == 0 and behind.id not in executed_ids(world)

    gated(scenario, application=("desk",), endpoint={"work_us": work_us})


@pytest.mark.parametrize("size", (100_000, 900_000))
def test_a_stop_waits_until_the_last_answer_of_a_connection_is_read(size):
    async def scenario(world):
        host = next(iter(world.application))
        world.ends[host].size = size
        caller = await world.caller(host)
        call = caller.ask(b"/p/x")
        caller.wire.pause()  # the caller reads nothing for a second
        world.nursery.start_soon(world.stop, f"mdproxy@{host}")
        await sleep_us(2 * SECOND)
        caller.wire.resume()
        await call.done.wait()
        assert call.status == 200 and len(call.answer) > size

    gated(scenario, application=("desk",), endpoint={"work_us": work_us})
