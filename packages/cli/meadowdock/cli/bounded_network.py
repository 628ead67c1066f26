"""Bounds on what the command line reads of an answer, in bytes and in time."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

import httpcore

HEAD_MAX_BYTES = 256 << 10  # of the head, with all interim answers before it
ANSWER_MAX_BYTES = 256 << 20  # as sent, with the lines between chunks
BODY_MAX_BYTES = 128 << 20
ANSWER_MAX_S = 120  # from the connection to the end of the answer


class AnswerBounds:
    """What was received of one answer, and when it must have ended.

    :ivar in_head: the head has not ended.
    """

    def __init__(self) -> None:
        self.in_head = True
        self.received = 0
        self.ends_at = time.monotonic() + ANSWER_MAX_S

    def count(self, size: int) -> None:
        """Count received bytes.

        :raises httpcore.ReadError: they are more than an answer may have, or it takes too long.
        """
        self.received += size
        maximum = HEAD_MAX_BYTES if self.in_head else ANSWER_MAX_BYTES
        if self.received > maximum:
            part = "head" if self.in_head else "answer"
            raise httpcore.ReadError(f"the {part} has more than {maximum} bytes")
        if time.monotonic() > self.ends_at:
            raise httpcore.ReadError(f"the answer has no end after {ANSWER_MAX_S} s")


class BoundedStream(httpcore.NetworkStream):
    """A stream whose input is bounded."""

    def __init__(self, stream: httpcore.NetworkStream, bounds: AnswerBounds) -> None:
        self.stream, self.bounds = stream, bounds

    def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, once they are counted."""
        data = self.stream.read(max_bytes, timeout)
        self.bounds.count(len(data))
        return data

    def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        self.stream.write(buffer, timeout)

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()

    def get_extra_info(self, info: str) -> Any:
        """Return what the stream tells of itself."""
        return self.stream.get_extra_info(info)


class BoundedNetwork(httpcore.NetworkBackend):
    """A network for one request."""

    def __init__(self, bounds: AnswerBounds) -> None:
        self.network, self.bounds = httpcore.SyncBackend(), bounds

    def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.NetworkStream:
        """Open a connection."""
        stream = self.network.connect_tcp(host, port, timeout, local_address, socket_options)
        return BoundedStream(stream, self.bounds)


def read_body(parts: Iterable[bytes]) -> bytes:
    """Return a body.

    :raises httpcore.ReadError: it is larger than BODY_MAX_BYTES.
    """
    body = bytearray()  # the parts may be small, and an object for each would take more
    for part in parts:
        body += part
        if len(body) > BODY_MAX_BYTES:
            raise httpcore.ReadError(f"the body has more than {BODY_MAX_BYTES} bytes")
    return bytes(body)
