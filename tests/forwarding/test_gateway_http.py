"""The gateway as an HTTP server: framing, limits, slow and idle callers."""

from __future__ import annotations

import pytest
from gates import SEEDS, gated, gateway_of, send_call, wait_until_done
from raw_bytes import hosts, send_raw_bytes

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding.downstream import KEEP_ALIVE_US
from meadowdock.forwarding.http import RequestParser
from meadowdock.forwarding.response_parser import ResponseParser
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

HEAD_LINES = b"Host: h.example\r\nmd-call: raw-1\r\n"


AMBIGUOUS_REQUESTS = {
    "two lengths": b"POST /p/x HTTP/1.1\r\n%sContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "length and chunks": b"POST /p/x HTTP/1.1\r\n%sContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /p/evil HTTP/1.1\r\n\r\n",
    "two encodings": b"POST /p/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n"
    b"Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "odd encoding": b"POST /p/x HTTP/1.1\r\n%sTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "encoding list": b"POST /p/x HTTP/1.1\r\n%sTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "space before colon": b"POST /p/x HTTP/1.1\r\n%sContent-Length : 5\r\n\r\nabcde",
    "signed length": b"POST /p/x HTTP/1.1\r\n%sContent-Length: +5\r\n\r\nabcde",
    "bad chunk size": b"POST /p/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n0x5\r\nabcde\r\n",
    "long chunk": b"POST /p/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n",
    "two hosts": b"GET /p/x HTTP/1.1\r\n%sHost: other.example\r\n\r\n",
    "two ids": b"GET /p/x HTTP/1.1\r\n%sMD-Call: raw-2\r\n\r\n",
    "two deadlines": b"GET /p/x HTTP/1.1\r\n%smd-due: 5\r\nmd-due: 900\r\n\r\n",
    "bare return": b"GET /p/x HTTP/1.1\r\n%sX-A: b\rGET /p/evil HTTP/1.1\r\n\r\n",
    "nul": b"GET /p/x HTTP/1.1\r\n%sX-A: \x00\r\n\r\n",
    "no host": b"GET /p/x HTTP/1.1\r\nmd-call: raw-1\r\nX: %.0s\r\n\r\n",
    "connect": b"CONNECT h.example:80 HTTP/1.1\r\n%s\r\n",
    "no http": b"\x16\x03\x01 %.0s\r\n\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS_REQUESTS)
def test_ambiguous_request_is_rejected(name):
    async def scenario(world):
        data = AMBIGUOUS_REQUESTS[name] % HEAD_LINES
        status, closed, _ = await send_raw_bytes(world, data)
        assert (status, closed) == (400, True)
        assert not world.request_audit.runs()

    gated(scenario, application=("desk",))


def test_only_end_to_end_headers_are_forwarded():
    async def scenario(world):
        lines = [
            (b"Connection", b"x-mine, keep-alive"),
            (b"X-Mine", b"1"),
            (b"X-Other", b"a, b"),
            (b"x-other", b"c"),
            (b"TE", b"trailers"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Proxy-Authorization", b"x"),
            (b"Accept-Encoding", b"identity"),
        ]
        exchange = await send_call(world, hosts(world)[0], lines=lines)
        (ran,) = world.request_audit.runs(exchange.id)
        forwarded = [
            (name, value)
            for name, value in ran.lines
            if name.lower().startswith((b"x-", b"accept"))
        ]
        assert forwarded == [
            (b"X-Other", b"a, b"),
            (b"x-other", b"c"),
            (b"Accept-Encoding", b"identity"),
        ]
        names = {name.lower() for name, _ in ran.lines}
        assert not names & {b"te", b"keep-alive", b"proxy-authorization", b"connection"}

    gated(scenario, application=("desk",))


def test_trailer_does_not_become_a_header():
    async def scenario(world):
        exchange = (await world.caller(hosts(world)[0])).ask(
            b"/p/x", b"POST", body=b"abc", in_chunks=True, send=False
        )
        data = exchange.data[:-2] + b"X-Trail: 1\r\nHost: evil\r\n\r\n"
        world.request_audit.callers[-1].wire.send(data)
        await exchange.done.wait()
        (ran,) = world.request_audit.runs(exchange.id)
        assert exchange.status == 200 and b"X-Trail" not in dict(ran.lines)

    gated(scenario, application=("desk",))


def test_upgrade_request_is_answered_without_an_upgrade():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        exchange = caller.ask(lines=[(b"Connection", b"Upgrade"), (b"Upgrade", b"websocket")])
        await exchange.done.wait()
        await sleep_us(SECOND)
        assert exchange.status == 200 and not caller.strays

    gated(scenario, application=("desk",))


def test_response_to_head_has_no_body():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        calls = [caller.ask(method=method) for method in (b"HEAD", b"GET", b"HEAD", b"GET")]
        await wait_until_done(calls)
        assert [exchange.status for exchange in calls] == [200] * 4
        assert [bool(exchange.answer) for exchange in calls] == [False, True, False, True]

    gated(scenario, application=("desk",))


def test_an_own_response_to_head_has_no_body():
    async def scenario(world):
        head = b"HEAD /nowhere/x HTTP/1.1\r\n%s\r\n" % HEAD_LINES
        status, closed, received = await send_raw_bytes(world, head)
        assert (status, closed) == (404, False)
        assert received.endswith(b"\r\n\r\n")
        assert b"Content-Length: " in received and b"Content-Length: 0\r\n" not in received

    gated(scenario)


@pytest.mark.parametrize("tear", (0, 1000))
def test_limits_on_head_and_body(tear):
    async def scenario(world):
        world.web.tear = tear
        big = [(b"X-Big", b"x" * 5000)]
        many = [(b"X-%d" % number, b"x" * 50) for number in range(100)]
        for lines in (big, many):
            exchange = await send_call(world, hosts(world)[0], lines=lines)
            assert exchange.status == 431
        exchange = await send_call(world, hosts(world)[0], target=b"/p/" + b"x" * 5000)
        assert exchange.status == 431
        for in_chunks in (False, True):
            exchange = await send_call(
                world,
                hosts(world)[0],
                body=b"x" * ((1 << 20) + 1),
                in_chunks=in_chunks,
                method=b"PUT",
            )
            assert exchange.status == 413
        assert not world.request_audit.runs()
        exchange = await send_call(
            world, hosts(world)[0], body=b"x" * (1 << 20), method=b"PUT", due_ms=30_000
        )
        assert exchange.status == 200
        # a header line that never ends
        status, closed, _ = await send_raw_bytes(
            world, b"GET /p/x HTTP/1.1\r\nX-A: 1\r\nX-B: " + b"y" * 600_000
        )
        assert (status, closed) == (431, True)

    gated(scenario, application=("desk",))


def test_large_body_followed_by_a_partial_head_is_not_a_large_head():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        first = caller.ask(b"/p/1", b"PUT", body=b"x" * 100_000, send=False)
        second = caller.ask(b"/p/2", send=False)
        caller.wire.send(first.data + second.data[:10])
        await sleep_us(50 * MILLISECOND)
        caller.wire.send(second.data[10:])
        await wait_until_done([first, second])
        assert (first.status, second.status) == (200, 200)

    gated(scenario, application=("desk",))


def test_slow_head_gets_408_and_idle_connection_is_closed():
    async def scenario(world):
        started_at = monotonic_us()
        status, closed, _ = await send_raw_bytes(world, b"GET /p/x HTTP/1.1\r\nHost: h", 4 * SECOND)
        assert (status, closed) == (408, True)
        caller = await world.caller(hosts(world)[0])
        exchange = caller.ask()
        await exchange.done.wait()
        await sleep_us(4 * SECOND)
        assert not caller.closed_at
        await sleep_us(2 * SECOND)
        assert caller.closed_at and not caller.strays
        assert started_at

    gated(scenario, application=("desk",))


def test_pipelined_requests_that_arrive_in_halves_are_not_a_slow_head():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        calls = [caller.ask(b"/p/%d" % number, send=False) for number in range(60)]
        data = b"".join(exchange.data for exchange in calls)
        size = len(calls[0].data)
        for offset in range(0, len(data), size):
            caller.wire.send(data[max(0, offset - size // 2) : offset + size - size // 2])
            await sleep_us(100 * MILLISECOND)
        caller.wire.send(data[(len(data) - 1) // size * size + size - size // 2 :])
        await sleep_us(SECOND)
        assert [exchange.status for exchange in calls] == [200] * 60

    gated(scenario, application=("desk",))


def test_continue_is_sent_once_and_only_to_a_caller_that_waits_for_it():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        first = caller.ask()
        exchange = caller.ask(
            b"/p/2", b"PUT", body=b"abc", lines=[(b"Expect", b"100-continue")], send=False
        )
        caller.wire.send(exchange.data[:-3])
        await first.done.wait()
        await sleep_us(200 * MILLISECOND)
        assert caller.continues == 1
        caller.wire.send(b"abc")
        await exchange.done.wait()
        sent_at_once = caller.ask(
            b"/p/3", b"PUT", body=b"abc", lines=[(b"Expect", b"100-continue")], send=False
        )
        second_exchange = caller.ask(b"/p/4", send=False)
        caller.wire.send(sent_at_once.data + second_exchange.data[:20])
        await sleep_us(200 * MILLISECOND)
        caller.wire.send(second_exchange.data[20:])
        await wait_until_done([sent_at_once, second_exchange])
        assert [
            exchange.status for exchange in (first, exchange, sent_at_once, second_exchange)
        ] == [200] * 4
        assert caller.continues == 1
        (ran,) = world.request_audit.runs(exchange.id)
        assert b"expect" not in {name.lower() for name, _ in ran.lines}

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("seed", SEEDS)
def test_unread_responses_are_bounded_and_a_blocked_caller_is_disconnected(seed):
    async def scenario(world):
        host = hosts(world)[0]
        world.ends[host].size = 30_000
        caller = await world.caller(host)
        caller.wire.pause()
        gateway = gateway_of(world, host)
        calls, max_unsent = [], 0
        for number in range(400):
            calls.append(caller.ask(b"/p/%d" % number, due_ms=60_000))
            await sleep_us(10 * MILLISECOND)
            (connection,) = gateway.connections or [None]
            if connection is not None:
                max_unsent = max(max_unsent, connection.connection.unsent_size)
        assert 1 << 20 < max_unsent < 3 << 20
        assert len(world.request_audit.runs()) < 150
        await sleep_us(15 * SECOND)
        assert not gateway.connections  # closed, since the caller does not read
        caller.wire.resume()
        await sleep_us(SECOND)

    gated(scenario, seed, application=("desk",))


def test_slow_reader_that_resumes_gets_all_responses():
    async def scenario(world):
        host = hosts(world)[0]
        world.ends[host].size = 30_000
        caller = await world.caller(host)
        caller.wire.pause()
        calls = [caller.ask(b"/p/%d" % number, due_ms=60_000) for number in range(100)]
        await sleep_us(3 * SECOND)
        caller.wire.resume()
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} <= {200, 503}
        assert [exchange.status for exchange in calls].count(200) > 8

    gated(scenario, application=("desk",), endpoint={"slots": 100})


@pytest.mark.parametrize("lines", ((), ((b"Connection", b"close"),)))
def test_a_response_that_is_read_slowly_is_not_cut_off_as_idle(lines):
    async def scenario(world):
        host = hosts(world)[0]
        world.ends[host].size = 900_000
        caller = await world.caller(host)
        caller.wire.pause()
        exchange = caller.ask(lines=lines, due_ms=60_000)
        await sleep_us(KEEP_ALIVE_US + 2 * SECOND)
        caller.wire.resume()
        await wait_until_done([exchange])
        assert exchange.status == 200

    gated(scenario, application=("desk",))


def test_connection_is_closed_after_the_response_for_http_1_0_and_close():
    async def scenario(world):
        data = b"GET /p/x HTTP/1.1\r\n%sConnection: close\r\n\r\n" % HEAD_LINES.replace(
            b"raw-1", b"%s"
        )
        for first in (
            data,
            data.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Connection: close\r\n", b""),
        ):
            exchange = (await world.caller(hosts(world)[0])).ask(send=False)
            behind = b"GET /p/behind HTTP/1.1\r\nHost: h.example\r\nmd-call: never\r\n\r\n"
            status, closed, text = await send_raw_bytes(world, first % exchange.id + behind)
            assert (status, closed) == (200, True) and text.count(b"HTTP/1.1 ") == 1
            assert b"Connection: close" in text

    gated(scenario, application=("desk",))


def test_response_headers_are_not_changed_by_a_trailer():
    parser = ResponseParser(frozenset({b"md-call"}), 1000)
    parser.feed(
        b"HTTP/1.1 200 OK\r\nmd-call: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\nmd-call: b\r\nX: 1\r\n\r\n"
    )
    (response,) = parser.complete
    assert (
        response.mesh_headers == {b"md-call": b"a"}
        and response.lines == [(b"md-call", b"a")]
        and response.body == b"x"
    )


def test_requests_are_parsed_independently_of_how_they_are_split():
    data = (
        b"POST /a?b HTTP/1.1\r\nHost: h\r\nmd-call: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\nmd-call: 2\r\n\r\n"
    )
    names = frozenset({b"md-call"})
    expected = RequestParser(DEFAULT_LIMITS, names)
    expected.feed(data)
    for size in range(1, len(data)):
        split = RequestParser(DEFAULT_LIMITS, names)
        for offset in range(0, len(data), size):
            split.feed(data[offset : offset + size])
        assert split.complete == expected.complete and not split.error_status
    assert [request.target for request in expected.complete] == [b"/a?b", b"/c"]
