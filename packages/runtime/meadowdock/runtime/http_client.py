"""An HTTP/1.1 client on plain streams. One request at a time on a connection."""

from __future__ import annotations

import select
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import httptools
import trio

from meadowdock.runtime.http_messages import (
    CONNECTION_ERRORS,
    NAME,
    READ,
    TARGET,
    VALUE,
    Head,
    Headers,
    Refused,
    named,
    tokens,
)

BIND_NO_PORT = 24  # Linux's IP_BIND_ADDRESS_NO_PORT


class HttpConnectionFailed(Exception):
    """A request got no response. Invariant: sent is False only if no byte of it left this
    process."""

    def __init__(self, sent: bool, cause: object) -> None:
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause!r}")
        self.sent = sent


class ResponseReader(Head):
    """One response out of bytes.
    Invariants: complete is set at its end; spare if more came behind."""

    def __init__(self, method: str, limit: int) -> None:
        super().__init__()
        self.method, self.limit = method, limit
        self.status, self.length = 0, 0
        self.chunks: list[bytes] = []
        self.headed = self.complete = self.spare = self.reusable = False
        self.cut = False  # the request was not sent to its end
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Read bytes; raises Refused or one of httptools' errors for no good response."""
        within = self.open
        try:
            self.parser.feed_data(data)
            self.read(len(data), within)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise
            self.spare = True

    def end(self) -> bool:
        """The other side closed: complete, if the response's end wasn't told otherwise."""
        framed = {b"content-length", b"transfer-encoding"} & {name for name, _ in self.headers}
        self.complete = self.complete or (self.headed and not framed)
        return self.complete

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.complete:
            self.spare = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, was read."""
        if not self.complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """The head was read; that of an interim response is passed over."""
        self.open = False
        status = self.parser.get_status_code()
        if self.complete or 100 <= status < 200:
            return
        self.status, self.headed = status, True
        codings = named(self.headers, b"transfer-encoding")
        if codings and (len(codings) > 1 or codings[0].lower() != b"chunked"):
            raise Refused(502)
        if self.method == "HEAD":
            self.complete = True
        else:
            self.reusable = self.parser.should_keep_alive() and b"close" not in tokens(
                self.headers, b"connection"
            )

    def on_body(self, data: bytes) -> None:
        """A part of the body was read."""
        if not self.complete:
            self.length += len(data)
            if self.length > self.limit:
                raise Refused(502)
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """The response was read to its end."""
        self.complete = self.complete or self.headed


class HttpConnection:
    """One connection, one request at a time. Any failure closes it."""

    def __init__(self, address: Any, host: str | None, limit: int) -> None:
        self.address, self.host, self.limit = address, host, limit
        self.stream: trio.SocketStream | None = None
        self.closed = False

    def stale(self) -> bool:
        """Closed by either side, or bytes came that nobody asked for."""
        if self.closed or self.stream is None:
            return self.closed
        look = select.poll()
        look.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(look.poll(0))

    async def open(self) -> None:
        """Connect, from this node's own address if it has one."""
        opened = trio.socket.socket()
        try:
            if self.host:
                with suppress(OSError):  # the port is chosen at the connect: more of them
                    opened.setsockopt(trio.socket.IPPROTO_IP, BIND_NO_PORT, 1)
                await opened.bind((self.host, 0))
            await opened.connect((self.address.host, self.address.port))
            self.stream = trio.SocketStream(opened)
        finally:
            if self.stream is None:
                opened.close()

    def encoded(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """The bytes of a request; ValueError for what has no place in one."""
        lines = [
            (b"host", self.address.encode()),
            *headers,
            (b"content-length", b"%d" % len(body)),
        ]
        method, target = method.encode("ascii"), target.encode("ascii")
        if not (NAME(method) and TARGET(target)):
            raise ValueError("no request line")
        if not all(NAME(name) and VALUE(value) for name, value in lines):
            raise ValueError("no header")
        head = b"".join(b"%b: %b\r\n" % line for line in lines)
        return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, head) + body

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        started: Callable[[], object] | None = None,
    ) -> tuple[int, Headers, bytes]:
        """The whole answer: (status, headers with names in lower case, body). `started` is called
        just before the first byte leaves. Raises HttpConnectionFailed."""
        sent = reusable = False
        try:
            if self.closed:
                raise HttpConnectionFailed(False, "closed")
            data = self.encoded(method, target, headers, body)
            if self.stream is None:
                await self.open()
            sent = True
            if started:
                started()
            response = ResponseReader(method, self.limit)
            await self.exchange(data, response)
            reusable = response.reusable and not response.cut
            return response.status, response.headers, b"".join(response.chunks)
        except (
            *CONNECTION_ERRORS,
            Refused,
            ValueError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as cause:
            raise HttpConnectionFailed(sent, cause) from cause
        finally:
            if not reusable:
                await self.close()

    async def exchange(self, data: bytes, response: ResponseReader) -> None:
        """Send a request and read its response to the end."""
        try:
            await self.stream.send_all(data)
        except CONNECTION_ERRORS:
            # an answer may have come before the request was read to its end
            if not self.stale():
                raise
            response.cut = True
        while not response.complete:
            got = await self.stream.receive_some(READ)
            if not got:
                if not response.end():
                    raise HttpConnectionFailed(True, "closed within the answer")
                response.reusable = False
            else:
                response.feed(got)
        if response.spare:
            raise HttpConnectionFailed(True, "bytes behind the answer's end")

    async def close(self) -> None:
        """Close; the next request fails unsent."""
        self.closed = True
        if self.stream is not None:
            self.stream.socket.close()
