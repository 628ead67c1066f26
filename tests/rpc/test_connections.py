"""Connections: fleet key, altered frames, late responses, and whether a failed call was sent."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

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


async def client_and_server(world, key=KEY, spoil=None):
    handlers = Handlers()
    executed = []

    @handlers.on("echo")
    async def echo(peer, args):
        executed.append(args)
        await sleep_us(args[0])
        if args[1] == "reject":
            raise Rejected("busy", n=1)
        return [peer.name, args[1]]

    async def serve(process, nursery):
        async def on_connection(stream):
            await serve_connection(
                stream, KEY, random.Random(2), "there", handlers, lambda *_, **__: None
            )

        await nursery.start(process.net.serve_streams, "10.0.0.9:1", on_connection)
        process.up.set()

    server_process = world.launch("there", "10.0.0.9", serve)
    await server_process.up.wait()
    net = SimNet(world.web, "10.0.0.8")
    client = Peer("here", "10.0.0.8:1")
    pool = ConnectionPool(world.nursery, net, key, random.Random(3), client, lambda *_, **__: None)
    return pool, executed, server_process


def test_responses_rejections_and_late_responses():
    async def scenario(world):
        pool, executed, _ = await client_and_server(world)
        call = pool.call
        response = await call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        assert response == ["here", "a"]
        with pytest.raises(Rejected, match="busy"):
            await call("10.0.0.9:1", "echo", [0, "reject"], monotonic_us() + SECOND)
        with pytest.raises(ConnectionFailed) as timed_out:
            await call(
                "10.0.0.9:1",
                "echo",
                [300 * MILLISECOND, "late"],
                monotonic_us() + 100 * MILLISECOND,
            )
        assert timed_out.value.sent
        # the next call that uses the same slot doesn't get the late response
        response = await call(
            "10.0.0.9:1", "echo", [400 * MILLISECOND, "next"], monotonic_us() + SECOND
        )
        assert response == ["here", "next"]

    run(scenario)


def test_an_abandoned_call_leaves_no_pending_call_and_an_intact_connection():
    async def scenario(world):
        pool, executed, _ = await client_and_server(world)
        with trio.move_on_after(0.1):
            await pool.call("10.0.0.9:1", "echo", [10 * SECOND, "x"], monotonic_us() + 20 * SECOND)
        assert len(executed) == 1
        connection = pool.connections["10.0.0.9:1"]
        assert len(connection.pending) == 0
        assert connection.failure is None

    run(scenario)


def test_a_client_with_a_wrong_fleet_key_is_refused_before_anything_is_executed():
    async def scenario(world):
        pool, executed, _ = await client_and_server(world, key=b"x" * 32)
        with pytest.raises(ConnectionFailed) as refused:
            await pool.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        assert not refused.value.sent
        assert executed == []

    run(scenario)


def test_an_altered_frame_ends_the_connection():
    async def scenario(world):
        pool, executed, server_process = await client_and_server(world)
        await pool.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        half = next(iter(server_process.net.halves))
        half.arrive(b"\x00\x00\x00\x05" + b"s" * 16 + b"hello")
        await sleep_us(SECOND)
        assert pool.connections["10.0.0.9:1"].failure is not None
        assert await pool.call("10.0.0.9:1", "echo", [0, "b"], monotonic_us() + SECOND) == [
            "here",
            "b",
        ]

    run(scenario)


def test_a_failed_call_tells_whether_its_request_was_sent():
    async def scenario(world):
        pool, _, server_process = await client_and_server(world)
        with pytest.raises(ConnectionFailed) as refused:
            await pool.call("10.0.0.9:2", "echo", [0, "a"], monotonic_us() + SECOND)
        assert not refused.value.sent

        async def kill():
            await sleep_us(100 * MILLISECOND)
            server_process.kill()

        world.nursery.start_soon(kill)
        with pytest.raises(ConnectionFailed) as broken:
            await pool.call("10.0.0.9:1", "echo", [5 * SECOND, "a"], monotonic_us() + 10 * SECOND)
        assert broken.value.sent

    run(scenario)


def test_a_request_that_arrives_after_its_deadline_is_dropped_even_without_a_cancel(monkeypatch):
    monkeypatch.setattr("meadowdock.rpc.client.ClientConnection.cancel", lambda *_: None)

    async def scenario(world):
        pool, executed, _ = await client_and_server(world)
        await pool.call("10.0.0.9:1", "echo", [0, "a"], monotonic_us() + SECOND)
        world.web.cut("10.0.0.8", "10.0.0.9")
        with pytest.raises(ConnectionFailed):
            await pool.call("10.0.0.9:1", "echo", [0, "b"], monotonic_us() + 300 * MILLISECOND)
        await sleep_us(100 * MILLISECOND)
        world.web.heal()
        await sleep_us(SECOND)
        assert [args[1] for args in executed] == ["a"]

    run(scenario)


def test_frame_of_the_handshake_that_a_server_would_wait_for_whole():
    """What has proved nothing may not fill the buffer of a connection."""

    async def main():
        client, server = trio.testing.memory_stream_pair()
        await client.send_all((1 << 20).to_bytes(4, "big"))
        events = []

        def log(number, **fields):
            events.append(fields["cause"])

        await serve_connection(server, KEY, random.Random(1), "server", Handlers(), log)
        assert len(events) == 1
        assert "1048576 bytes" in events[0]

    trio.run(main)
