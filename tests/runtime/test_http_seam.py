"""The seam's own HTTP/1.1 on real loopback sockets: doors, and connections to endpoints."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from meadowdock.admin_http import App, Response, RouteTable
from meadowdock.runtime import HttpConnectionFailed, Net

HOST = "127.0.0.1"
ASKED = b"GET /told HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /told HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class Owner:
    """What the handlers saw. Invariant: told holds (method, path, query, body) in order."""

    def __init__(self):
        self.told = []
        self.reached, self.hung_up = trio.Event(), trio.Event()


table = RouteTable()


@table.on("GET", "/held")
async def held(owner, request):
    owner.reached.set()
    while (await request.receive())["type"] != "http.disconnect":
        pass
    owner.hung_up.set()
    return Response(200)


@table.on("POST", "/unread")
async def unread(owner, request):
    return Response(200, {})


@table.on("POST", "/small")
async def small(owner, request):
    return Response(200, await request.body(limit=4))


@table.on("GET", "/broken")
async def broken(owner, request):
    return Response(200, {"no": object()})


@table.otherwise
async def told(owner, request):
    body = await request.body()
    owner.told.append((request.method, request.path, request.query, body))
    return Response(200, b"%d" % len(owner.told) + b":" + body, [(b"content-type", b"text/plain")])


@asynccontextmanager
async def door(app=None):
    """A door on a free port: (address, owner, stopping, over)."""
    owner, stopping, over = Owner(), trio.Event(), trio.Event()
    app = app or App(table, owner, None)
    with trio.socket.socket() as free:
        await free.bind((HOST, 0))
        address = f"{HOST}:{free.getsockname()[1]}"

    async def serve(task_status):
        await Net().serve_http(app, address, stopping, 2_000_000, task_status=task_status)
        over.set()

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            yield address, owner, stopping, over
            nursery.cancel_scope.cancel()


async def connected(address):
    host, _, port = address.partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def all_of(stream):
    return b"".join([data async for data in stream])


async def spoken(address, *pieces):
    """Everything that a door says to these bytes until it closes."""
    stream = await connected(address)
    async with stream:
        for piece in pieces:
            await stream.send_all(piece)
        await stream.send_eof()
        return await all_of(stream)


def statuses(data):
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


def test_requests_sent_ahead_are_answered_in_order_one_at_a_time():
    async def main():
        async with door() as (address, owner, _, _):
            pieces = [
                POST + b"Content-Length: %d\r\n\r\n" % len(word) + word
                for word in (b"one", b"two", b"", b"four")
            ]
            data = await spoken(address, b"".join(pieces))
            assert statuses(data) == [200] * 4
            assert [part.rpartition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 ")[1:]] == [
                b"1:one",
                b"2:two",
                b"3:",
                b"4:four",
            ]
            assert [body for *_, body in owner.told] == [b"one", b"two", b"", b"four"]

    trio.run(main)


def test_a_request_in_single_bytes_and_an_absolute_target():
    async def main():
        async with door() as (address, owner, _, _):
            asked = b"GET http://x:1/a/b?c=d HTTP/1.1\r\nHost: x:1\r\n\r\n"
            assert statuses(await spoken(address, *(bytes([c]) for c in asked))) == [200]
            assert owner.told == [("GET", "/a/b", "c=d", b"")]

    trio.run(main)


def test_chunked_bodies_whole_and_in_pieces_then_the_next_request():
    async def main():
        async with door() as (address, owner, _, _):
            body = b"5;x=y\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\nTrailer: t\r\n\r\n"
            assert statuses(await spoken(address, CHUNKED + body + ASKED)) == [200, 200]
            assert statuses(await spoken(address, CHUNKED, body[:9], body[9:20], body[20:])) == [
                200
            ]
            bodies = [body for *_, body in owner.told]
            assert bodies == [b"hello world", b"", b"hello world"]

    trio.run(main)


SMUGGLED = b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
AMBIGUOUS = {
    "length and coding": b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "coding and length": b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "two lengths": b"Content-Length: 5\r\nContent-Length: 0\r\n",
    "two equal lengths": b"Content-Length: 5\r\nContent-Length: 5\r\n",
    "a list of lengths": b"Content-Length: 5, 5\r\n",
    "a signed length": b"Content-Length: +5\r\n",
    "two codings": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "another coding": b"Transfer-Encoding: xchunked\r\n",
    "a coding inside": b"Transfer-Encoding: gzip, chunked\r\n",
    "a blank before the colon": b"Content-Length : 5\r\n",
    "a name that is none": b"Content Length: 5\r\n",
    "no name": b": 5\r\n",
    "a folded line": b"A: b\r\n Content-Length: 5\r\n",
    "a bare line feed": b"A: b\nContent-Length: 5\r\n",
    "a bare carriage return": b"A: b\rContent-Length: 5\r\n",
    "a zero byte": b"A: b\x00\r\n",
    "two hosts": b"Host: y\r\n",
    "an upgrade with a body": b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 5\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_framing_that_can_be_read_in_two_ways_is_refused_and_nothing_runs(name):
    async def main():
        async with door() as (address, owner, _, _):
            data = await spoken(address, POST + AMBIGUOUS[name] + b"\r\n" + SMUGGLED)
            assert statuses(data) == [400]
            assert b"connection: close" in data
            assert owner.told == []

    trio.run(main)


BAD_CHUNKS = (b"0x5\r\nhello\r\n", b"5\nhello\r\n", b"-5\r\nhello\r\n", b"5\r\nhelloXX", b"G\r\n")


@pytest.mark.parametrize("chunks", BAD_CHUNKS)
def test_bad_chunks_are_refused_and_what_follows_is_no_request(chunks):
    async def main():
        async with door() as (address, owner, _, _):
            assert statuses(await spoken(address, CHUNKED + chunks + SMUGGLED)) == [400]
            assert owner.told == []

    trio.run(main)


def test_no_host_no_http_and_a_good_one_before_a_bad_one():
    async def main():
        async with door() as (address, owner, _, _):
            assert statuses(await spoken(address, b"GET / HTTP/1.1\r\n\r\n")) == [400]
            assert statuses(await spoken(address, b"\x16\x03\x01\x02")) == [400]
            assert statuses(await spoken(address, b"GET / HTTP/3.0\r\nHost: x\r\n\r\n")) == [400]
            connect = b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"
            assert statuses(await spoken(address, connect)) == [400]
            assert owner.told == []
            assert statuses(await spoken(address, ASKED + b"GET \x80 HTTP/1.1\r\n")) == [200, 400]

    trio.run(main)


def test_an_upgrade_that_nobody_needs_is_passed_over():
    async def main():
        async with door() as (address, owner, _, _):
            asked = ASKED[:-2] + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            assert statuses(await spoken(address, asked + ASKED)) == [200, 200]
            assert len(owner.told) == 2

    trio.run(main)


@pytest.mark.parametrize(
    "endless",
    [
        POST + b"A: " + b"x" * (100 << 10),
        POST + b"A: b\r\n" * (20 << 10),
        b"GET /" + b"x" * (100 << 10),
        CHUNKED + b"0\r\n" + b"A: b\r\n" * (20 << 10),
    ],
)
def test_a_head_over_the_limit_is_refused(endless):
    async def main():
        async with door() as (address, owner, _, _):
            stream = await connected(address)
            async with stream:
                await stream.send_all(endless)
                assert statuses(await all_of(stream)) == [431]
                assert owner.told == []

    trio.run(main)


def test_a_large_head_under_the_limit_is_served():
    async def main():
        async with door() as (address, owner, _, _):
            asked = ASKED[:-2] + b"A: " + b"x" * (60 << 10) + b"\r\n\r\n"
            assert statuses(await spoken(address, asked * 3)) == [200] * 3

    trio.run(main)


def test_a_caller_that_waits_for_100_continue_gets_it_only_if_its_body_is_wanted():
    async def main():
        async with door() as (address, owner, _, _):
            head = POST + b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
            stream = await connected(address)
            async with stream:
                await stream.send_all(head)
                assert await stream.receive_some() == b"HTTP/1.1 100 Continue\r\n\r\n"
                await stream.send_all(b"body")
                assert (await stream.receive_some()).endswith(b"1:body")
            stream = await connected(address)
            async with stream:
                await stream.send_all(head.replace(b"/told", b"/unread"))
                data = await all_of(stream)
                assert statuses(data) == [200]
                assert b"connection: close" in data

    trio.run(main)


def test_a_body_over_its_limit_is_answered_though_it_was_never_read():
    async def main():
        async with door() as (address, _, _, _):
            asked = b"POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n"
            data = await spoken(address, asked, b"x" * 400_000)
            assert statuses(data) == [413]

    trio.run(main)


def test_a_hang_up_is_told_to_a_handler_that_waits():
    async def main():
        async with door() as (address, owner, _, _):
            stream = await connected(address)
            await stream.send_all(b"GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
            await owner.reached.wait()
            assert not owner.hung_up.is_set()
            await stream.aclose()
            await owner.hung_up.wait()

    trio.run(main)


def test_a_hang_up_within_a_body_reaches_no_handler_as_whole():
    async def main():
        async with door() as (address, owner, _, _):
            assert await spoken(address, POST + b"Content-Length: 9\r\n\r\nhalf") == b""
            assert await spoken(address, CHUNKED + b"5\r\nhello\r\n") == b""
            assert owner.told == []

    trio.run(main)


def test_old_callers_head_requests_and_close():
    async def main():
        async with door() as (address, owner, _, _):
            old = b"GET /told HTTP/1.0\r\n\r\n"
            assert statuses(await spoken(address, old + ASKED)) == [200]
            kept = b"GET /told HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
            data = await spoken(address, kept + kept)
            assert statuses(data) == [200, 200]
            assert data.count(b"connection: keep-alive") == 2
            close = ASKED[:-2] + b"Connection: close\r\n\r\n"
            assert statuses(await spoken(address, close + ASKED)) == [200]
            data = await spoken(address, ASKED.replace(b"GET", b"HEAD") + ASKED)
            assert statuses(data) == [200, 200]
            assert b"content-length: 2\r\ncontent-type: text/plain\r\n\r\nHTTP/1.1" in data
            assert len(owner.told) == 6

    trio.run(main)


def test_an_answer_in_pieces_is_chunked_and_read_back_whole():
    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for piece in (b"one ", b"", b"two"):
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        await send({"type": "http.response.body"})

    async def main():
        async with door(app) as (address, _, _, _):
            connection = Net(HOST).http(address)
            for _ in range(3):
                status, _, body = await connection.request("GET", "/", [], b"")
                assert (status, body) == (200, b"one two")
                assert not connection.stale()
            old = await spoken(address, b"GET / HTTP/1.0\r\n\r\n")
            assert old.endswith(b"connection: close\r\n\r\none two")

    trio.run(main)


def test_a_handler_whose_answer_is_no_json_breaks_nothing_else():
    async def main():
        async with door() as (address, _, _, _):
            asked = b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n"
            assert statuses(await spoken(address, asked + ASKED)) == [500, 200]

    trio.run(main)


def test_a_closing_door_ends_idle_connections_and_serves_who_came_before():
    async def main():
        async with door() as (address, owner, stopping, over):
            idle, late = await connected(address), await connected(address)
            await idle.send_all(ASKED)
            assert statuses(await idle.receive_some()) == [200]
            stopping.set()
            await late.send_all(ASKED)
            assert statuses(await all_of(late)) == [200]
            assert await all_of(idle) == b""
            await over.wait()
            with pytest.raises(OSError):
                await connected(address)
            assert len(owner.told) == 2

    trio.run(main)


@asynccontextmanager
async def endpoint(*answers, close=True):
    """Says the given bytes, one after each request; counts what it read: (address, asked)."""
    asked = []

    async def serve(stream):
        async with stream:
            for answer in answers:
                data = await stream.receive_some()
                if not data:
                    return
                asked.append(data)
                await stream.send_all(answer)
            if not close:
                await trio.sleep_forever()

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
            yield f"{HOST}:{listener.socket.getsockname()[1]}", asked
            nursery.cancel_scope.cancel()


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LOST = {
    "closed within the head": GOOD[:20],
    "closed within the body": GOOD[:-1],
    "closed within a chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "bytes behind": GOOD + b"x",
    "an answer behind": GOOD + GOOD,
    "bytes behind a last one": GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + b"x",
    "length and coding": GOOD.replace(b"Con", b"Transfer-Encoding: chunked\r\nCon"),
    "two lengths": GOOD.replace(b"Con", b"Content-Length: 2\r\nCon"),
    "another coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "a head over the limit": b"HTTP/1.1 200 OK\r\nA: " + b"x" * (90 << 10) + b"\r\n\r\n",
    "a body over the limit": b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
    "an endless body over the limit": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 101,
    "an upgrade": b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "nothing": b"",
}


@pytest.mark.parametrize("name", LOST)
def test_an_answer_that_is_not_whole_breaks_down_as_sent(name):
    async def main():
        async with endpoint(LOST[name]) as (address, asked):
            connection, started = Net(HOST).http(address, limit=100), []
            with pytest.raises(HttpConnectionFailed) as broken:
                await connection.request("GET", "/", [], b"", lambda: started.append(len(asked)))
            assert broken.value.sent
            assert connection.stale()
            assert (started, len(asked)) == ([0], 1)

    trio.run(main)


WHOLE = {
    "with its length": (GOOD, b"ok", True),
    "in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"ok",
        True,
    ),
    "up to the close": (b"HTTP/1.1 200 OK\r\n\r\nok", b"ok", False),
    "the last one": (GOOD.replace(b"Con", b"Connection: close\r\nCon"), b"ok", False),
    "behind interim ones": (b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + GOOD, b"ok", True),
    "without a body": (b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
}


@pytest.mark.parametrize("name", WHOLE)
def test_a_whole_answer_and_whether_its_connection_serves_again(name):
    answer, body, again = WHOLE[name]

    async def main():
        async with endpoint(*[answer] * (1 + again), close=not again) as (address, asked):
            connection = Net(HOST).http(address)
            assert (await connection.request("PUT", "/", [], b"x"))[2] == body
            assert connection.stale() != again
            if again:
                assert (await connection.request("PUT", "/", [], b"x"))[2] == body
                assert len(asked) == 2
            else:
                with pytest.raises(HttpConnectionFailed) as broken:
                    await connection.request("PUT", "/", [], b"x")
                assert not broken.value.sent

    trio.run(main)


def test_a_connection_that_the_other_side_closed_or_spoke_on_is_stale():
    async def main():
        for behind in (b"", b"x"):
            gate = trio.Event()

            async def serve(stream, behind=behind, gate=gate):
                await stream.receive_some()
                await stream.send_all(GOOD)
                await gate.wait()
                await (stream.send_all(behind) if behind else stream.send_eof())
                await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                (listener,) = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
                connection = Net(HOST).http(f"{HOST}:{listener.socket.getsockname()[1]}")
                await connection.request("GET", "/", [], b"")
                assert not connection.stale()
                gate.set()
                await trio.lowlevel.wait_readable(connection.stream.socket)
                assert connection.stale()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_unsent_is_said_only_when_no_byte_left():
    async def main():
        with trio.socket.socket() as free:
            await free.bind((HOST, 0))
            nobody = f"{HOST}:{free.getsockname()[1]}"
        with pytest.raises(HttpConnectionFailed) as broken:
            await Net(HOST).http(nobody).request("GET", "/", [], b"")
        assert not broken.value.sent
        async with endpoint(GOOD) as (address, asked):
            for target, headers in (
                ("/a b", []),
                ("/a\r\nb: c", []),
                ("/", [(b"a", b"b\r\nc: d")]),
                ("/", [(b"a:", b"b")]),
            ):
                with pytest.raises(HttpConnectionFailed) as broken:
                    await Net(HOST).http(address).request("GET", target, headers, b"")
                assert not broken.value.sent
            assert asked == []

    trio.run(main)
