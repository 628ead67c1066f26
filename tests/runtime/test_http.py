"""The HTTP/1.1 server and client of the runtime, on real loopback sockets."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from meadowdock.admin_http import App, Response, RouteTable
from meadowdock.runtime import HttpConnectionFailed, Net, http_connection

HOST = "127.0.0.1"
GET_REQUEST = b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n"
POST_HEAD = b"POST /other HTTP/1.1\r\nHost: x\r\n"
CHUNKED_POST_HEAD = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class ReceivedRequests:
    """What the handlers below received.

    Invariant: requests has the (method, path, query, body) of each request to `other`, in order.
    """

    def __init__(self):
        self.requests = []
        self.reached, self.disconnected = trio.Event(), trio.Event()


table = RouteTable()


@table.on("GET", "/held")
async def wait_for_disconnect(received, request):
    received.reached.set()
    while (await request.receive())["type"] != "http.disconnect":
        pass
    received.disconnected.set()
    return Response(200)


@table.on("POST", "/unread")
async def ignore_body(received, request):
    return Response(200, {})


@table.on("POST", "/small")
async def read_small_body(received, request):
    return Response(200, await request.body(limit=4))


@table.on("GET", "/broken")
async def return_invalid_json(received, request):
    return Response(200, {"no": object()})


@table.set_fallback
async def other(received, request):
    """Respond with the number of the request and its body."""
    body = await request.body()
    received.requests.append((request.method, request.path, request.query, body))
    number = b"%d" % len(received.requests)
    return Response(200, number + b":" + body, [(b"content-type", b"text/plain")])


@asynccontextmanager
async def http_server(app=None):
    """Serve an app on a free port.

    Yields its address, its ReceivedRequests, and the events to stop it and for its end.
    """
    received, stopping, closed = ReceivedRequests(), trio.Event(), trio.Event()
    app = app or App(table, received, None)
    with trio.socket.socket() as free_socket:
        await free_socket.bind((HOST, 0))
        address = f"{HOST}:{free_socket.getsockname()[1]}"

    async def serve(task_status):
        await Net().serve_http(app, address, stopping, 2_000_000, task_status=task_status)
        closed.set()

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            yield address, received, stopping, closed
            nursery.cancel_scope.cancel()


async def open_connection(address):
    host, _, port = address.partition(":")
    return await trio.open_tcp_stream(host, int(port))


async def receive_all(stream):
    return b"".join([data async for data in stream])


async def exchange(address, *pieces):
    """Send these bytes, and return everything that the server sends until it closes."""
    stream = await open_connection(address)
    async with stream:
        for piece in pieces:
            await stream.send_all(piece)
        await stream.send_eof()
        return await receive_all(stream)


def statuses(data):
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


def test_pipelined_requests_are_answered_in_order_one_at_a_time():
    async def main():
        async with http_server() as (address, received, _, _):
            pieces = [
                POST_HEAD + b"Content-Length: %d\r\n\r\n" % len(word) + word
                for word in (b"one", b"two", b"", b"four")
            ]
            data = await exchange(address, b"".join(pieces))
            assert statuses(data) == [200] * 4
            assert [part.rpartition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1 ")[1:]] == [
                b"1:one",
                b"2:two",
                b"3:",
                b"4:four",
            ]
            assert [body for *_, body in received.requests] == [b"one", b"two", b"", b"four"]

    trio.run(main)


def test_a_request_sent_byte_by_byte_with_an_absolute_target_is_served():
    async def main():
        async with http_server() as (address, received, _, _):
            request = b"GET http://x:1/a/b?c=d HTTP/1.1\r\nHost: x:1\r\n\r\n"
            assert statuses(await exchange(address, *(bytes([byte]) for byte in request))) == [200]
            assert received.requests == [("GET", "/a/b", "c=d", b"")]

    trio.run(main)


def test_chunked_bodies_are_read_at_once_or_in_pieces():
    async def main():
        async with http_server() as (address, received, _, _):
            body = b"5;x=y\r\nhello\r\n1\r\n \r\n5\r\nworld\r\n0\r\nTrailer: t\r\n\r\n"
            assert statuses(await exchange(address, CHUNKED_POST_HEAD + body + GET_REQUEST)) == [
                200,
                200,
            ]
            assert statuses(
                await exchange(address, CHUNKED_POST_HEAD, body[:9], body[9:20], body[20:])
            ) == [200]
            bodies = [body for *_, body in received.requests]
            assert bodies == [b"hello world", b"", b"hello world"]

    trio.run(main)


SMUGGLED_REQUEST = b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
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
def test_ambiguous_framing_is_rejected_and_no_handler_runs(name):
    async def main():
        async with http_server() as (address, received, _, _):
            data = await exchange(address, POST_HEAD + AMBIGUOUS[name] + b"\r\n" + SMUGGLED_REQUEST)
            assert statuses(data) == [400]
            assert b"connection: close" in data
            assert received.requests == []

    trio.run(main)


BAD_CHUNKS = (b"0x5\r\nhello\r\n", b"5\nhello\r\n", b"-5\r\nhello\r\n", b"5\r\nhelloXX", b"G\r\n")


@pytest.mark.parametrize("chunks", BAD_CHUNKS)
def test_bad_chunks_are_rejected_and_the_following_bytes_are_no_request(chunks):
    async def main():
        async with http_server() as (address, received, _, _):
            assert statuses(
                await exchange(address, CHUNKED_POST_HEAD + chunks + SMUGGLED_REQUEST)
            ) == [400]
            assert received.requests == []

    trio.run(main)


def test_invalid_requests_are_rejected_and_a_valid_one_before_them_is_served():
    async def main():
        async with http_server() as (address, received, _, _):
            assert statuses(await exchange(address, b"GET / HTTP/1.1\r\n\r\n")) == [400]
            assert statuses(await exchange(address, b"\x16\x03\x01\x02")) == [400]
            assert statuses(await exchange(address, b"GET / HTTP/3.0\r\nHost: x\r\n\r\n")) == [400]
            connect = b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n"
            assert statuses(await exchange(address, connect)) == [400]
            assert received.requests == []
            assert statuses(await exchange(address, GET_REQUEST + b"GET \x80 HTTP/1.1\r\n")) == [
                200,
                400,
            ]

    trio.run(main)


def test_an_upgrade_is_ignored():
    async def main():
        async with http_server() as (address, received, _, _):
            upgrade = GET_REQUEST[:-2] + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            assert statuses(await exchange(address, upgrade + GET_REQUEST)) == [200, 200]
            assert len(received.requests) == 2

    trio.run(main)


@pytest.mark.parametrize(
    "endless",
    [
        POST_HEAD + b"A: " + b"x" * (100 << 10),
        POST_HEAD + b"A: b\r\n" * (20 << 10),
        b"GET /" + b"x" * (100 << 10),
        CHUNKED_POST_HEAD + b"0\r\n" + b"A: b\r\n" * (20 << 10),
    ],
)
def test_a_head_over_the_limit_is_rejected(endless):
    async def main():
        async with http_server() as (address, received, _, _):
            stream = await open_connection(address)
            async with stream:
                await stream.send_all(endless)
                assert statuses(await receive_all(stream)) == [431]
                assert received.requests == []

    trio.run(main)


def test_a_large_head_under_the_limit_is_served():
    async def main():
        async with http_server() as (address, received, _, _):
            request = GET_REQUEST[:-2] + b"A: " + b"x" * (60 << 10) + b"\r\n\r\n"
            assert statuses(await exchange(address, request * 3)) == [200] * 3

    trio.run(main)


def test_100_continue_is_sent_only_if_the_body_is_read():
    async def main():
        async with http_server() as (address, received, _, _):
            head = POST_HEAD + b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
            stream = await open_connection(address)
            async with stream:
                await stream.send_all(head)
                assert await stream.receive_some() == b"HTTP/1.1 100 Continue\r\n\r\n"
                await stream.send_all(b"body")
                assert (await stream.receive_some()).endswith(b"1:body")
            stream = await open_connection(address)
            async with stream:
                await stream.send_all(head.replace(b"/other", b"/unread"))
                data = await receive_all(stream)
                assert statuses(data) == [200]
                assert b"connection: close" in data

    trio.run(main)


def test_a_body_over_its_limit_gets_a_response_without_being_read():
    async def main():
        async with http_server() as (address, _, _, _):
            head = b"POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n"
            data = await exchange(address, head, b"x" * 400_000)
            assert statuses(data) == [413]

    trio.run(main)


def test_a_waiting_handler_learns_of_a_disconnect():
    async def main():
        async with http_server() as (address, received, _, _):
            stream = await open_connection(address)
            await stream.send_all(b"GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
            await received.reached.wait()
            assert not received.disconnected.is_set()
            await stream.aclose()
            await received.disconnected.wait()

    trio.run(main)


def test_a_truncated_body_reaches_no_handler():
    async def main():
        async with http_server() as (address, received, _, _):
            assert await exchange(address, POST_HEAD + b"Content-Length: 9\r\n\r\nhalf") == b""
            assert await exchange(address, CHUNKED_POST_HEAD + b"5\r\nhello\r\n") == b""
            assert received.requests == []

    trio.run(main)


def test_http_1_0_keep_alive_close_and_head_requests():
    async def main():
        async with http_server() as (address, received, _, _):
            http_1_0 = b"GET /other HTTP/1.0\r\n\r\n"
            assert statuses(await exchange(address, http_1_0 + GET_REQUEST)) == [200]
            keep_alive = b"GET /other HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
            data = await exchange(address, keep_alive + keep_alive)
            assert statuses(data) == [200, 200]
            assert data.count(b"connection: keep-alive") == 2
            close = GET_REQUEST[:-2] + b"Connection: close\r\n\r\n"
            assert statuses(await exchange(address, close + GET_REQUEST)) == [200]
            data = await exchange(address, GET_REQUEST.replace(b"GET", b"HEAD") + GET_REQUEST)
            assert statuses(data) == [200, 200]
            assert b"content-length: 2\r\ncontent-type: text/plain\r\n\r\nHTTP/1.1" in data
            assert len(received.requests) == 6

    trio.run(main)


def test_a_response_in_parts_is_sent_chunked():
    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for piece in (b"one ", b"", b"two"):
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        await send({"type": "http.response.body"})

    async def main():
        async with http_server(app) as (address, _, _, _):
            connection = Net(HOST).http_connection(address)
            for _ in range(3):
                status, _, body = await connection.request("GET", "/", [], b"")
                assert (status, body) == (200, b"one two")
                assert not connection.is_stale()
            data = await exchange(address, b"GET / HTTP/1.0\r\n\r\n")
            assert data.endswith(b"connection: close\r\n\r\none two")

    trio.run(main)


def test_a_response_that_json_cannot_represent_is_a_500():
    async def main():
        async with http_server() as (address, _, _, _):
            request = b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n"
            assert statuses(await exchange(address, request + GET_REQUEST)) == [500, 200]

    trio.run(main)


def test_a_closing_server_ends_idle_connections_and_serves_accepted_ones():
    async def main():
        async with http_server() as (address, received, stopping, closed):
            idle, late = await open_connection(address), await open_connection(address)
            await idle.send_all(GET_REQUEST)
            assert statuses(await idle.receive_some()) == [200]
            stopping.set()
            await late.send_all(GET_REQUEST)
            assert statuses(await receive_all(late)) == [200]
            assert await receive_all(idle) == b""
            await closed.wait()
            with pytest.raises(OSError):
                await open_connection(address)
            assert len(received.requests) == 2

    trio.run(main)


@asynccontextmanager
async def endpoint(*responses, close=True):
    """Serve the given responses, one for each read; yield the address and a list of the reads."""
    requests = []

    async def serve(stream):
        async with stream:
            for response in responses:
                data = await stream.receive_some()
                if not data:
                    return
                requests.append(data)
                await stream.send_all(response)
            if not close:
                await trio.sleep_forever()

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
            yield f"{HOST}:{listener.socket.getsockname()[1]}", requests
            nursery.cancel_scope.cancel()


GOOD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FAULTY_RESPONSES = {
    "closed within the head": GOOD_RESPONSE[:20],
    "closed within the body": GOOD_RESPONSE[:-1],
    "closed within a chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "bytes after the response": GOOD_RESPONSE + b"x",
    "a second response": GOOD_RESPONSE + GOOD_RESPONSE,
    "bytes after the last response": GOOD_RESPONSE.replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    + b"x",
    "length and coding": GOOD_RESPONSE.replace(b"Con", b"Transfer-Encoding: chunked\r\nCon"),
    "two lengths": GOOD_RESPONSE.replace(b"Con", b"Content-Length: 2\r\nCon"),
    "another coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "a head over the limit": b"HTTP/1.1 200 OK\r\nA: " + b"x" * (90 << 10) + b"\r\n\r\n",
    "a body over the limit": b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
    "an endless body over the limit": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 101,
    "an upgrade": b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "nothing": b"",
}


@pytest.mark.parametrize("name", FAULTY_RESPONSES)
def test_a_request_with_a_faulty_response_fails_as_sent(name):
    async def main():
        async with endpoint(FAULTY_RESPONSES[name]) as (address, requests):
            connection, started = Net(HOST).http_connection(address, max_response_size=100), []
            with pytest.raises(HttpConnectionFailed) as failure:
                await connection.request("GET", "/", [], b"", lambda: started.append(len(requests)))
            assert failure.value.sent
            assert connection.is_stale()
            assert (started, len(requests)) == ([0], 1)

    trio.run(main)


VALID_RESPONSES = {
    "with its length": (GOOD_RESPONSE, b"ok", True),
    "in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"ok",
        True,
    ),
    "up to the end of the connection": (b"HTTP/1.1 200 OK\r\n\r\nok", b"ok", False),
    "with the connection closed": (
        GOOD_RESPONSE.replace(b"Con", b"Connection: close\r\nCon"),
        b"ok",
        False,
    ),
    "after interim responses": (b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + GOOD_RESPONSE, b"ok", True),
    "without a body": (b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
}


@pytest.mark.parametrize("name", VALID_RESPONSES)
def test_a_valid_response_is_read_and_the_connection_reused_if_possible(name):
    response, body, reusable = VALID_RESPONSES[name]

    async def main():
        async with endpoint(*[response] * (1 + reusable), close=not reusable) as (
            address,
            requests,
        ):
            connection = Net(HOST).http_connection(address)
            assert (await connection.request("PUT", "/", [], b"x"))[2] == body
            assert connection.is_stale() != reusable
            if reusable:
                assert (await connection.request("PUT", "/", [], b"x"))[2] == body
                assert len(requests) == 2
            else:
                with pytest.raises(HttpConnectionFailed) as failure:
                    await connection.request("PUT", "/", [], b"x")
                assert not failure.value.sent

    trio.run(main)


def test_a_connection_is_stale_after_a_close_or_unexpected_bytes():
    async def main():
        for surplus in (b"", b"x"):
            gate = trio.Event()

            async def serve(stream, surplus=surplus, gate=gate):
                await stream.receive_some()
                await stream.send_all(GOOD_RESPONSE)
                await gate.wait()
                await (stream.send_all(surplus) if surplus else stream.send_eof())
                await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                (listener,) = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
                connection = Net(HOST).http_connection(f"{HOST}:{listener.socket.getsockname()[1]}")
                await connection.request("GET", "/", [], b"")
                assert not connection.is_stale()
                gate.set()
                await trio.lowlevel.wait_readable(connection.stream.socket)
                assert connection.is_stale()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_request_fails_as_unsent_only_if_no_byte_was_sent():
    async def main():
        with trio.socket.socket() as free_socket:
            await free_socket.bind((HOST, 0))
            unused_address = f"{HOST}:{free_socket.getsockname()[1]}"
        with pytest.raises(HttpConnectionFailed) as failure:
            await Net(HOST).http_connection(unused_address).request("GET", "/", [], b"")
        assert not failure.value.sent
        async with endpoint(GOOD_RESPONSE) as (address, requests):
            for target, headers in (
                ("/a b", []),
                ("/a\r\nb: c", []),
                ("/", [(b"a", b"b\r\nc: d")]),
                ("/", [(b"a:", b"b")]),
            ):
                with pytest.raises(HttpConnectionFailed) as failure:
                    await Net(HOST).http_connection(address).request("GET", target, headers, b"")
                assert not failure.value.sent
            assert requests == []

    trio.run(main)


def test_a_body_that_makes_no_progress_is_given_up(monkeypatch):
    monkeypatch.setattr(http_connection, "BODY_TIMEOUT_S", 0.05)

    async def main():
        async with http_server() as (address, received, *_):
            stream = await open_connection(address)
            async with stream:
                head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
                await stream.send_all(head + b"x")
                assert statuses(await receive_all(stream)) == [408]
            assert not received.requests

    trio.run(main)
