"""An HTTP/1.1 client on plain streams, with one request at a time on a connection."""

from __future__ import annotations

import select
from collections.abc import Callable
from contextlib import suppress

import httptools
import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.client_memory import ClientMemory, MemoryEntry
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

IP_BIND_ADDRESS_NO_PORT = 24  # a socket option of Linux that the socket module doesn't define

# The exceptions with which a request fails, in addition to HttpConnectionFailed.
REQUEST_ERRORS = (
    *CONNECTION_ERRORS,
    InvalidHttpMessage,
    MemoryError,
    ValueError,
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
)


class HttpConnection:
    """A connection to one address, opened at the first request and closed by any failure."""

    def __init__(
        self,
        address: Address,
        host: str | None,
        max_response_size: int,
        memory: ClientMemory | None = None,
    ) -> None:
        """Prepare a connection.

        :param host: the local IP address to connect from, or None for any.
        :param max_response_size: maximum size of a response's body in bytes.
        :param memory: the account of the process, which has what a response takes until it is complete.
        """
        self.address, self.host, self.max_response_size = address, host, max_response_size
        self.memory = memory or ClientMemory(None)
        self.entry: MemoryEntry | None = None  # of the latest response
        self.stream: trio.SocketStream | None = None
        self.closed = False

    def is_stale(self) -> bool:
        """Return whether no further request can be sent.

        It can't if either side closed the connection, or if the server sent bytes that belong to no
        request.
        """
        if self.closed or self.stream is None:
            return self.closed
        return is_readable(self.stream)

    async def open(self) -> trio.SocketStream:
        """Connect, from the local address `host` if one is set.

        :raises OSError: there is no connection.
        """
        new_socket = trio.socket.socket()
        try:
            if self.host:
                # The port is chosen by connect, not by bind: a port that is in use for another
                # destination can then be used again.
                with suppress(OSError):
                    new_socket.setsockopt(trio.socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                await new_socket.bind((self.host, 0))
            await new_socket.connect((self.address.host, self.address.port))
            self.stream = trio.SocketStream(new_socket)
            return self.stream
        finally:
            if self.stream is None:
                new_socket.close()

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        started: Callable[[], object] | None = None,
    ) -> HttpResponse:
        """Send a request and read the complete response.

        :param started: called immediately before the first byte is sent.
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
            try:
                reusable = await self.exchange(stream, data, reader)
                return reader.response()
            finally:
                reader.discard()
        except REQUEST_ERRORS as cause:
            raise HttpConnectionFailed(sent, cause) from cause
        finally:
            if not reusable:
                await self.close()

    def encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        """Encode a request.

        :raises ValueError: the method, the target or a header is invalid.
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
        """Send a request, read its response to the end, and return whether the connection is reusable.

        :raises REQUEST_ERRORS, HttpConnectionFailed: there was no valid response.
        """
        sent_to_end = await self.send(stream, data)
        closed = await self.receive(stream, reader)
        if reader.has_surplus:
            raise HttpConnectionFailed(True, "unexpected bytes after the end of the response")
        return reader.reusable and sent_to_end and not closed

    async def receive(self, stream: trio.SocketStream, reader: ResponseReader) -> bool:
        """Read a response to its end, and return whether the server closed the connection.

        :raises REQUEST_ERRORS, HttpConnectionFailed: there was no valid response, or the account of
            the process has no memory for it.
        """
        entry = self.entry = self.memory.open(self)
        try:
            while not reader.complete:
                received = await stream.receive_some(RECEIVE_SIZE)
                if received:
                    reader.feed(received)
                    entry.received(len(received), is_complete=False)
                    entry.resize(reader.held_bytes)
                    self.memory.relieve()
                elif reader.end():
                    return True
                else:
                    raise HttpConnectionFailed(
                        True, "connection closed before the end of the response"
                    )
            return False
        finally:
            entry.close()

    def may_be_given_up(self) -> bool:
        """Return whether a response is incomplete; there is an entry in the account only then."""
        return True

    def give_up(self) -> None:
        """Close the connection, as the memory of the response is needed."""
        if self.entry is not None:
            self.entry.close()
        if self.stream is not None:
            self.stream.socket.close()

    async def send(self, stream: trio.SocketStream, data: bytes) -> bool:
        """Send a request, and return whether it was sent to its end.

        False means that sending failed but there is something to read, such as the response of a
        server that rejects a large body early.
        """
        try:
            await stream.send_all(data)
        except CONNECTION_ERRORS:
            if not self.is_stale():
                raise
            return False
        return True

    async def close(self) -> None:
        """Close the connection; further requests fail without being sent."""
        self.closed = True
        if self.stream is not None:
            self.stream.socket.close()


def is_readable(stream: trio.SocketStream) -> bool:
    """Return whether bytes, or the end of the stream, can be received without waiting."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
