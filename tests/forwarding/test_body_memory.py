"""Bodies that the limits allow take no process over its memory."""

from __future__ import annotations

import random
import socket

import pytest
import trio
import trio.testing

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.forwarding.body_budget import MEGABYTE, BodyBudget
from meadowdock.forwarding.http import RequestParser
from meadowdock.forwarding.peer_frames import FrameReader
from meadowdock.rpc.frame import FrameAuthenticator

MEMORY_MB = 3  # of which bodies may take a third
BODY = 700_000  # bytes; two of them are too much
LENGTH_LINE = b"Content-Length: %d\r\n\r\n" % BODY
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


def new_parser(budget):
    return RequestParser(DEFAULT_LIMITS, (), budget)


def test_a_body_for_which_there_is_no_memory_is_refused_at_its_head():
    budget = BodyBudget(MEMORY_MB)
    first, second = new_parser(budget), new_parser(budget)
    first.feed(HEAD + LENGTH_LINE)
    second.feed(HEAD + LENGTH_LINE)
    assert (first.error_status, second.error_status) == (0, 503)
    second.release()
    assert budget.held == BODY
    first.feed(bytes(BODY))
    (request,) = first.complete
    assert len(request.body) == BODY and first.reserved == 0 and budget.held == BODY
    budget.release(len(request.body))
    third = new_parser(budget)
    third.feed(HEAD + LENGTH_LINE)
    assert third.error_status == 0


def test_a_body_without_a_length_is_refused_once_there_is_no_memory():
    budget = BodyBudget(MEMORY_MB)
    first, second = new_parser(budget), new_parser(budget)
    for parser in (first, second):
        parser.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (100_000, bytes(100_000))
    for _ in range(BODY // 100_000):
        first.feed(chunk)
        second.feed(chunk)
    assert (first.error_status, second.error_status) in ((0, 503), (503, 503))
    first.release()
    second.release()
    assert budget.held == 0


def test_a_single_body_may_be_larger_than_the_budget():
    budget = BodyBudget(1)
    parser = new_parser(budget)
    parser.feed(HEAD + LENGTH_LINE + bytes(BODY))
    assert parser.error_status == 0 and len(parser.complete) == 1
    assert budget.limit < MEGABYTE // 2


def test_without_a_memory_limit_no_body_is_refused():
    budget = BodyBudget(None)
    for _ in range(100):
        parser = new_parser(budget)
        parser.feed(HEAD + LENGTH_LINE)
        assert parser.error_status == 0


@pytest.mark.parametrize("seed", range(5))
def test_unsent_output_arrives_whole_and_in_order(seed):
    """Large parts are kept as views of the sender's data, small ones are joined."""
    rng = random.Random(seed)
    parts = [rng.randbytes(rng.choice([10, 3_000, 300_000])) for _ in range(30)]
    received = bytearray()

    async def main():
        near, far = socket.socketpair()
        async with trio.open_nursery() as nursery:
            network = SocketNetwork("", nursery, Reactor())
            near.setblocking(False)
            connection = network.connection_type(near, network)
            for part in parts:
                connection.send(part)
            size = sum(map(len, parts))
            with far:
                far.setblocking(False)
                while len(received) < size:
                    await trio.lowlevel.wait_readable(far)
                    received.extend(far.recv(rng.choice([1_000, 100_000])))
                await trio.testing.wait_all_tasks_blocked()
                assert connection.unsent_size == 0
                connection.close()

    trio.run(main)
    assert bytes(received) == b"".join(parts)


@pytest.mark.parametrize("read_size", (7, 1_000, 16_384, 1_000_000))
def test_frames_are_read_in_parts_of_any_size(read_size):
    sealer = FrameAuthenticator(b"k" * 32, b"a")
    reader = FrameReader(FrameAuthenticator(b"k" * 32, b"a"))
    frames = [b"\xc4\x01x" if n % 2 else b"\xc5\xff\xff" + bytes(65_535) for n in range(4)]
    data = b"".join(sealer.seal(frame) for frame in frames)
    read = [
        frame
        for start in range(0, len(data), read_size)
        for frame in reader.feed(data[start : start + read_size])
    ]
    assert read == [bytes(65_535), b"x"] * 2


def test_a_connection_that_is_closed_while_its_output_waits_ends_without_an_error(monkeypatch):
    """The close comes after the socket has become writable, and before the task goes on."""

    async def main():
        near, far = socket.socketpair()
        near.setblocking(False)
        network = SocketNetwork("", None, Reactor())
        connection = network.connection_type(near, network)

        async def close_meanwhile(sock):
            connection.close()

        monkeypatch.setattr("meadowdock.forwarding.sockets.wait_writable", close_meanwhile)
        connection.writing = True  # the task below drains
        connection.send(bytes(10_000_000))
        assert connection.unsent_size > 0
        with far:
            await connection.drain()
        assert connection.unsent_size == 0

    trio.run(main)
