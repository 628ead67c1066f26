"""An HTTP/1.1 client on plain streams: one request at a time on a connection."""

from __future__ import annotations

import select
from collections.abc import Callable
from contextlib import suppress

import httptools
import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.exceptions import HttpConnectionFailed, InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    CONNECTION_ERRORS,
    RECEIVE_SIZE,
    VALID_NAME,
    VALID_TARGET,
    VALID_VALUE,
    Headers,
    HttpResponse,
)
from meadowdock.runtime.http_response_reader import ResponseReader

IP_BIND_ADDRESS_NO_PORT = 24  # of Linux; the socket module doesn't define it

# What makes a request fail, beside the connection's own end
REQUEST_ERRORS = (
    *CONNECTION_ERRORS,
    InvalidHttpMessage,
    ValueError,
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
)


class HttpConnection:
    """A connection to one address, opened at the first request. Any failure closes it."""

    def __init__(self, address: Address, host: str | None, max_response_size: int) -> None:
        """
        :param host: this machine's own IP address to connect from, or None for any.
        :param max_response_size: bytes of a response's body at most.
        """
        self.address, self.host, self.max_response_size = address, host, max_response_size
        self.stream: trio.SocketStream | None = None
        self.closed = False

    def stale(self) -> bool:
        """Whether no further request can be sent: it was closed by either side, or bytes came that
        belong to no request."""
        if self.closed or self.stream is None:
            return self.closed
        return is_readable(self.stream)

    async def open(self) -> trio.SocketStream:
        """Connect, from this node's own address if it has one. Raises OSError."""
        connecting = trio.socket.socket()
        try:
            if self.host:
                with suppress(OSError):  # choose the port at the connect: more of them are free
                    connecting.setsockopt(trio.socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                await connecting.bind((self.host, 0))
            await connecting.connect((self.address.host, self.address.port))
            self.stream = trio.SocketStream(connecting)
            return self.stream
        finally:
            if self.stream is None:
                connecting.close()

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        started: Callable[[], object] | None = None,
    ) -> HttpResponse:
        """Send a request and read the complete response.

        :param started: called just before the first byte leaves.
        :raises HttpConnectionFailed: there was no valid response.
        """
        sent = reusable = False
        try:
            if self.closed:
                raise HttpConnectionFailed(False, "closed")
            data = self.encode(method, target, headers, body)
            stream = self.stream or await self.open()
            sent = True
            if started:
                started()
            reader = ResponseReader(method, self.max_response_size)
            reusable = await self.exchange(stream, data, reader)
            return reader.response()
        except REQUEST_ERRORS as cause:
            raise HttpConnectionFailed(sent, cause) from cause
        finally:
            if not reusable:
                await self.close()

    def encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """The bytes of a request.

        :raises ValueError: the method, the target or a header isn't valid.
        """
        lines = [
            (b"host", self.address.encode()),
            *headers,
            (b"content-length", b"%d" % len(body)),
        ]
        method_bytes, target_bytes = method.encode("ascii"), target.encode("ascii")
        if not (VALID_NAME(method_bytes) and VALID_TARGET(target_bytes)):
            raise ValueError(f"invalid request line: {method!r} {target!r}")
        if not all(VALID_NAME(name) and VALID_VALUE(value) for name, value in lines):
            raise ValueError("invalid header")
        head = b"".join(b"%b: %b\r\n" % line for line in lines)
        return b"%b %b HTTP/1.1\r\n%b\r\n" % (method_bytes, target_bytes, head) + body

    async def exchange(
        self, stream: trio.SocketStream, data: bytes, reader: ResponseReader
    ) -> bool:
        """Send a request and read its response to the end. Whether the connection can be used for a
        further one.

        :raises REQUEST_ERRORS, HttpConnectionFailed: there was no valid response.
        """
        sent_to_end = await self.send(stream, data)
        closed = False
        while not reader.complete:
            received = await stream.receive_some(RECEIVE_SIZE)
            if received:
                reader.feed(received)
                continue
            closed = True
            if not reader.end():
                raise HttpConnectionFailed(True, "closed within the response")
        if reader.has_surplus:
            raise HttpConnectionFailed(True, "bytes behind the response's end")
        return reader.reusable and sent_to_end and not closed

    async def send(self, stream: trio.SocketStream, data: bytes) -> bool:
        """Send a request. False if it couldn't be sent to its end, but a response came already, as
        from a server that refuses a large body early."""
        try:
            await stream.send_all(data)
        except CONNECTION_ERRORS:
            if not self.stale():
                raise
            return False
        return True

    async def close(self) -> None:
        """Close; any further request fails unsent."""
        self.closed = True
        if self.stream is not None:
            self.stream.socket.close()


def is_readable(stream: trio.SocketStream) -> bool:
    """Whether bytes, or the end of the stream, can be received without waiting."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
