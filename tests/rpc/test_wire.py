"""Links: the fleet key, altered frames, late answers, and what a breakdown claims."""

from __future__ import annotations

import random

import pytest
import trio

from meadowdock.rpc import (
    ConnectionFailed,
    ConnectionPool,
    Handlers,
    Peer,
    Rejected,
    serve_connection,
)
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import SimNet, run

KEY = b"k" * 32


async def pair(world, key=KEY, spoil=None):
    handlers = Handlers()
    ran = []

    @handlers.on("echo")
    async def echo(peer, args):
        ran.append(args)
        await sleep_us(args[0])
        if args[1] == "shed":
            raise Rejected("busy", n=1)
        return [peer.name, args[1]]

    async def work(process, nursery):
        async def answer(stream):
            await serve_connection(
                stream, KEY, random.Random(2), "there", handlers, lambda *_, **__: None
            )

        await nursery.start(process.net.serve_streams, "10.0.0.9:1", answer)
        process.up.set()

    process = world.launch("there", "10.0.0.9", work)
    await process.up.wait()
    net = SimNet(world.web, "10.0.0.8")
    me = Peer("here", "10.0.0.8:1")
    links = ConnectionPool(world.nursery, net, key, random.Random(3), me, lambda *_, **__: None)
    return links, ran, process


def test_calls_sheds_and_late_answers():
    async def scenario(world):
        links, ran, _ = await pair(world)
        call = links.call
        assert await call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND) == ["here", "a"]
        with pytest.raises(Rejected, match="busy"):
            await call("10.0.0.9:1", "echo", [0, "shed"], monotonic_us() + SECOND)
        with pytest.raises(ConnectionFailed) as late:
            await call(
                "10.0.0.9:1",
                "echo",
                [300 * MILLISECOND, "late"],
                monotonic_us() + 100 * MILLISECOND,
            )
        assert late.value.sent
        # the slot's next tenant doesn't get the late answer
        told = await call(
            "10.0.0.9:1", "echo", [400 * MILLISECOND, "next"], monotonic_us() + SECOND
        )
        assert told == ["here", "next"]

    run(scenario)


def test_a_call_given_up_is_cancelled_at_the_other_side():
    async def scenario(world):
        links, ran, process = await pair(world)
        with trio.move_on_after(0.1):
            await links.call("10.0.0.9:1", "echo", [10 * SECOND, "x"], monotonic_us() + 20 * SECOND)
        assert len(ran) == 1
        link = links.connections["10.0.0.9:1"]
        assert len(link.pending) == 0
        assert link.failure is None

    run(scenario)


def test_a_wrong_fleet_key_is_refused_before_anything_runs():
    async def scenario(world):
        links, ran, _ = await pair(world, key=b"x" * 32)
        with pytest.raises(ConnectionFailed) as broken:
            await links.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        assert not broken.value.sent
        assert ran == []

    run(scenario)


def test_an_altered_frame_ends_the_link():
    async def scenario(world):
        links, ran, process = await pair(world)
        await links.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        half = next(iter(process.net.halves))
        half.arrive(b"\x00\x00\x00\x05" + b"s" * 16 + b"hello")
        await sleep_us(SECOND)
        assert links.connections["10.0.0.9:1"].failure is not None
        assert await links.call("10.0.0.9:1", "echo", [0, "b"], monotonic_us() + SECOND) == [
            "here",
            "b",
        ]

    run(scenario)


def test_unsent_and_sent_breakdowns():
    async def scenario(world):
        links, _, process = await pair(world)
        with pytest.raises(ConnectionFailed) as refused:
            await links.call("10.0.0.9:2", "echo", [0, "a"], monotonic_us() + SECOND)
        assert not refused.value.sent

        async def kill():
            await sleep_us(100 * MILLISECOND)
            process.kill()

        world.nursery.start_soon(kill)
        with pytest.raises(ConnectionFailed) as lost:
            await links.call("10.0.0.9:1", "echo", [5 * SECOND, "a"], monotonic_us() + 10 * SECOND)
        assert lost.value.sent

    run(scenario)


def test_a_call_that_came_after_its_due_is_not_handled_even_if_its_cancel_was_lost(monkeypatch):
    monkeypatch.setattr("meadowdock.rpc.client.ClientConnection.cancel", lambda *_: None)

    async def scenario(world):
        links, ran, _ = await pair(world)
        await links.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        world.web.cut("10.0.0.8", "10.0.0.9")
        with pytest.raises(ConnectionFailed):
            await links.call("10.0.0.9:1", "echo", [0, "b"], monotonic_us() + 300 * MILLISECOND)
        await sleep_us(100 * MILLISECOND)
        world.web.heal()
        await sleep_us(SECOND)
        assert [args[1] for args in ran] == ["a"]

    run(scenario)
