"""Frames keep their order, whether written to the socket immediately or queued for the writer."""

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


async def connected_streams():
    client_socket, server_socket = trio.socket.socketpair()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return trio.SocketStream(client_socket), trio.SocketStream(server_socket)


@pytest.mark.parametrize("seed", range(5))
def test_frames_stay_in_order_when_the_socket_accepts_only_part_of_one(seed):
    rng = random.Random(seed)
    bodies = [rng.randbytes(rng.choice((10, 3_000, 90_000))) for _ in range(60)]

    async def main():
        client_stream, server_stream = await connected_streams()
        writer, received, batches = FrameWriter(FrameAuthenticator(KEY, b"out"), 1000), [], 0
        writer.attach(client_stream)

        def count_batch(batch):
            nonlocal batches
            batches += 1
            return batch

        async def read():
            reader, authenticator = FrameReader(server_stream), FrameAuthenticator(KEY, b"out")
            while len(received) < len(bodies):
                received.append(await read_frame(reader, authenticator))
            nursery.cancel_scope.cancel()

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.send_queued, client_stream, count_batch)
                nursery.start_soon(read)
                for body in bodies:
                    writer.put_nowait(body)
                    if rng.random() < 0.5:
                        await trio.lowlevel.checkpoint()
        assert received == bodies
        assert 0 < batches < len(bodies)  # some frames were queued, others written immediately

    trio.run(main)


def test_concurrent_calls_over_sockets_get_their_own_responses():
    handlers = Handlers()

    @handlers.on("echo")
    async def echo(peer, args):
        return args

    async def main():
        class Net:
            async def open_stream(self, address):
                client_stream, server_stream = await connected_streams()
                nursery.start_soon(
                    serve_connection,
                    server_stream,
                    KEY,
                    random.Random(2),
                    "there",
                    handlers,
                    print,
                )
                return client_stream

        async with trio.open_nursery() as nursery:
            client = Peer("here", "10.0.0.8:1")
            pool = ConnectionPool(
                nursery, Net(), KEY, random.Random(3), client, lambda *_, **__: None
            )
            deadline_us = round((trio.current_time() + 20) * 1_000_000)
            sizes = [random.Random(n).choice((1, 2_000, 200_000)) for n in range(80)]
            calls = {n: ("a", "echo", [n, b"x" * size]) for n, size in enumerate(sizes)}
            responses = await pool.call_all(calls, deadline_us)
            assert responses == {n: [n, b"x" * size] for n, size in enumerate(sizes)}
            nursery.cancel_scope.cancel()

    trio.run(main)
