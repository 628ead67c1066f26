"""Bodies that the limits allow take no process over its memory."""

from __future__ import annotations

import random
import socket
import sys

import pytest
import trio
import trio.testing
from gates import gated, gateway_of, wait_until_done

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.forwarding.http import RequestParser
from meadowdock.forwarding.peer_frames import FrameReader
from meadowdock.rpc.frame import FrameAuthenticator
from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.runtime.client_memory import FRESH_US, MEGABYTE, ClientMemory

MEMORY_MB = 3  # of which bodies may take a third
BODY = 700_000  # bytes; two of them are too much
LENGTH_LINE = b"Content-Length: %d\r\n\r\n" % BODY
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


class ParsedClient:
    """A client whose requests are only parsed, and accounted for.

    Invariant: a request that is complete is held until `answer`.
    """

    def __init__(self, memory):
        self.entry = memory.open(self)
        self.parser = RequestParser(DEFAULT_LIMITS, (), self.entry)

    def send(self, data):
        self.parser.feed(data)
        if self.parser.error_status:
            self.parser.discard()
        self.entry.received(len(data), bool(self.parser.complete))
        complete = sum(len(request.body) for request in self.parser.complete)
        self.entry.resize(self.parser.held_bytes + complete)
        self.entry.memory.relieve()

    def answer(self):
        self.parser.complete.clear()
        self.entry.resize(self.parser.held_bytes)

    def may_be_given_up(self):
        return self.parser.in_progress

    def give_up(self):
        self.parser.error_status = 503
        self.parser.discard()
        self.entry.resize(0)

    @property
    def status(self):
        return self.parser.error_status


@pytest.fixture
def clock(monkeypatch):
    """Return a list with the time in microseconds, which tests change."""
    now = [10**9]
    monkeypatch.setattr("meadowdock.runtime.client_memory.monotonic_us", lambda: now[0])
    return now


@pytest.fixture
def memory(clock):
    return ClientMemory(MEMORY_MB)


def test_a_body_for_which_there_is_no_memory_is_refused_at_its_head(memory):
    first, second, third = (ParsedClient(memory) for _ in range(3))
    first.send(HEAD + LENGTH_LINE)
    second.send(HEAD + LENGTH_LINE)
    assert (first.status, second.status) == (0, 503)
    first.send(bytes(BODY))
    (request,) = first.parser.complete
    assert len(request.body) == BODY and memory.total == BODY
    third.send(HEAD + LENGTH_LINE)
    assert third.status == 503
    first.answer()
    assert memory.total == 0
    fourth = ParsedClient(memory)
    fourth.send(HEAD + LENGTH_LINE)
    assert fourth.status == 0


def test_a_body_without_a_length_is_refused_once_there_is_no_memory(memory):
    clients = [ParsedClient(memory) for _ in range(2)]
    for client in clients:
        client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (100_000, bytes(100_000))
    for _ in range(BODY // 100_000):
        for client in clients:
            if not client.status:
                client.send(chunk)
            assert memory.total <= memory.limit
    assert sorted(client.status for client in clients) == [0, 503]
    for client in clients:
        client.give_up()
    assert memory.total == 0


def test_a_body_that_makes_no_progress_is_given_up_for_one_that_does(memory, clock):
    stalled = [ParsedClient(memory) for _ in range(4)]
    for client in stalled:
        client.send(HEAD + LENGTH_LINE if client is stalled[0] else HEAD)
        client.send(bytes(300_000))
    clock[0] += FRESH_US + 1
    ordinary = ParsedClient(memory)
    ordinary.send(HEAD + LENGTH_LINE)
    for _ in range(BODY // 100_000):
        ordinary.send(bytes(100_000))
    assert (ordinary.status, len(ordinary.parser.complete)) == (0, 1)
    assert any(client.status == 503 for client in stalled)
    assert memory.total <= memory.limit


def test_what_is_declared_and_not_sent_leaves_room_for_others(memory, clock):
    for _ in range(100):
        ParsedClient(memory).send(HEAD + LENGTH_LINE)
    small = ParsedClient(memory)
    small.send(HEAD + b"Content-Length: 1000\r\n\r\n" + bytes(1000))
    assert small.status == 0
    clock[0] += FRESH_US + 1
    large = ParsedClient(memory)
    large.send(HEAD + LENGTH_LINE + bytes(BODY))
    assert large.status == 0


def test_a_request_is_not_older_than_its_beginning_on_a_connection_that_rested():
    async def scenario(world):
        host = next(iter(world.application))
        caller = await world.caller(host)
        await wait_until_done([caller.ask()])
        (downstream,) = gateway_of(world, host).connections
        await sleep_us(2 * SECOND)
        began_at = monotonic_us()
        caller.wire.send(b"GET /p/x HT")
        await sleep_us(SECOND)
        assert downstream.requests.in_progress
        assert downstream.memory.progress_at >= began_at
        caller.wire.close()
        await sleep_us(SECOND)

    gated(scenario)


def test_small_parts_are_held_at_their_size(memory):
    client = ParsedClient(memory)
    client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    client.send(b"2\r\nxx\r\n" * 10_000)
    buffer = client.parser.body
    held = sys.getsizeof(buffer.first) + sys.getsizeof(buffer.joined)
    assert held < 2 * buffer.size == 40_000


def test_a_single_body_may_be_larger_than_the_limit(clock):
    memory = ClientMemory(1)
    client = ParsedClient(memory)
    client.send(HEAD + LENGTH_LINE)
    client.send(bytes(BODY))
    assert client.status == 0 and len(client.parser.complete) == 1
    assert memory.limit < MEGABYTE // 2


def test_without_a_memory_limit_no_body_is_refused(clock):
    memory = ClientMemory(None)
    for _ in range(100):
        client = ParsedClient(memory)
        client.send(HEAD + LENGTH_LINE)
        assert client.status == 0


@pytest.mark.parametrize(
    "data",
    (
        b"\r\n",  # empty lines before a request
        HEAD + b"X: ",  # a line without end
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",  # a chunk extension
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",  # a trailer line
    ),
)
def test_what_has_no_end_is_refused_within_the_size_of_a_head(memory, data):
    client = ParsedClient(memory)
    client.send(data)
    more = b"\r\n" if data == b"\r\n" else b"xx"
    sent = 0
    while not client.status:
        client.send(more * 500)
        sent += 1000
        assert sent <= DEFAULT_LIMITS.header_bytes + 2000
        assert memory.total <= DEFAULT_LIMITS.header_bytes + 4000
    assert client.status in (400, 431)


def test_trailers_are_limited_like_heads(memory):
    client = ParsedClient(memory)
    client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
    client.send(b"x: y\r\n" * (DEFAULT_LIMITS.header_bytes // 6 + 2))
    assert client.status == 431


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


def test_a_body_over_the_default_limits_before_a_configuration_is_not_refused_for_good():
    """Seen: 413 just after a restart for legal bodies of 30 MB (#50)."""
    parser = RequestParser(DEFAULT_LIMITS, ())
    parser.are_limits_known = False
    parser.feed(HEAD + b"Content-Length: %d\r\n\r\n" % (DEFAULT_LIMITS.body_bytes + 1))
    assert parser.error_status == 503


@pytest.mark.parametrize("callback", ("on_url", "on_header", "on_body"))
def test_memory_that_runs_out_while_parsing_is_no_fault_of_the_request(monkeypatch, callback):
    """Seen: legal requests got 400 under a limit of address space (#50)."""

    def fail(*_):
        raise MemoryError

    monkeypatch.setattr(RequestParser, callback, fail)
    parser = RequestParser(DEFAULT_LIMITS, ())
    parser.feed(HEAD + b"Content-Length: 3\r\n\r\nabc")
    assert parser.error_status == 503
