"""Frames that go to the socket at once and those that wait for the writer keep their order."""

from __future__ import annotations

import random
import socket

import pytest
import trio

from meadowdock.rpc import (
    ConnectionPool,
    FrameAuthenticator,
    Handlers,
    Peer,
    read_frame,
    serve_connection,
)
from meadowdock.rpc.frame import FrameReader
from meadowdock.rpc.frame_writer import FrameWriter

KEY = b"k" * 32


async def streams():
    here, there = trio.socket.socketpair()
    here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return trio.SocketStream(here), trio.SocketStream(there)


@pytest.mark.parametrize("seed", range(5))
def test_frames_that_the_socket_takes_in_part_stay_in_order(seed):
    rng = random.Random(seed)
    bodies = [rng.randbytes(rng.choice((10, 3_000, 90_000))) for _ in range(60)]

    async def main():
        here, there = await streams()
        writer, received, batches = FrameWriter(FrameAuthenticator(KEY, b"out"), 1000), [], 0
        writer.attach(here)

        def count(batch):
            nonlocal batches
            batches += 1
            return batch

        async def read():
            reader, into = FrameReader(there), FrameAuthenticator(KEY, b"out")
            while len(received) < len(bodies):
                received.append(await read_frame(reader, into))
            nursery.cancel_scope.cancel()

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.send_queued, here, count)
                nursery.start_soon(read)
                for body in bodies:
                    writer.put(body)
                    if rng.random() < 0.5:
                        await trio.lowlevel.checkpoint()
        assert received == bodies
        assert 0 < batches < len(bodies)  # some frames were queued, others written at once

    trio.run(main)


def test_calls_at_the_same_time_over_sockets_get_their_own_answers():
    handlers = Handlers()

    @handlers.on("echo")
    async def echo(peer, args):
        return args

    async def main():
        class Net:
            async def open_stream(self, address):
                here, there = await streams()
                nursery.start_soon(
                    serve_connection, there, KEY, random.Random(2), "there", handlers, print
                )
                return here

        async with trio.open_nursery() as nursery:
            me = Peer("here", "10.0.0.8:1")
            links = ConnectionPool(nursery, Net(), KEY, random.Random(3), me, lambda *_, **__: None)
            due = round((trio.current_time() + 20) * 1_000_000)
            sizes = [random.Random(n).choice((1, 2_000, 200_000)) for n in range(80)]
            asks = {n: ("a", "echo", [n, b"x" * size]) for n, size in enumerate(sizes)}
            told = await links.call_all(asks, due)
            assert told == {n: [n, b"x" * size] for n, size in enumerate(sizes)}
            nursery.cancel_scope.cancel()

    trio.run(main)
