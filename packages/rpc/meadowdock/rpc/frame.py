"""Authenticated frames on a byte stream: length (4 bytes), authentication tag (16 bytes), body.

>>> sender = FrameAuthenticator(b"k" * 32, b"a")
>>> receiver = FrameAuthenticator(b"k" * 32, b"a")
>>> receiver.open(sender.seal(b"body")[LENGTH_SIZE:])
b'body'
>>> receiver.open(sender.seal(b"body")[LENGTH_SIZE:-1] + b"!") is None
True
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

import trio

from meadowdock.rpc.exceptions import AuthenticationFailed, ProtocolError

LENGTH_SIZE = 4  # bytes
TAG_SIZE = 16  # bytes
MAX_FRAME_SIZE = 32 << 20  # bytes of a body
HANDSHAKE_MAX_FRAME_SIZE = 4096  # bytes of a body, before the other side has proved anything
RECEIVE_SIZE = 65_536  # maximum of bytes received from the stream by one call
COUNTER_SIZE = 8  # bytes of the frame counter, which is covered by the tag


def derive_key(key: bytes, *context: bytes) -> bytes:
    """Derive a key (32 bytes) from another by HMAC-SHA256 over the context."""
    return hmac.digest(key, b"\x00".join(context), hashlib.sha256)


class FrameAuthenticator:
    """Seals, or opens, the frames of one direction of a connection with keyed BLAKE2b (RFC 7693).

    Invariant: the counter increases by one with each frame and is covered by the tag, so that a
    frame can't be omitted, replayed, reordered or moved to another connection without detection.
    """

    def __init__(self, key: bytes, direction: bytes) -> None:
        self.key = derive_key(key, direction)
        self.count = 0

    def tag(self, body: bytes) -> bytes:
        """Return the authentication tag of the next frame, and advance the counter."""
        digest = hashlib.blake2b(
            self.count.to_bytes(COUNTER_SIZE, "big"), key=self.key, digest_size=TAG_SIZE
        )
        digest.update(body)
        self.count += 1
        return digest.digest()

    def seal(self, body: bytes) -> bytes:
        """Return the next frame: length, tag and body."""
        return len(body).to_bytes(LENGTH_SIZE, "big") + self.tag(body) + body

    def open(self, sealed: bytes | memoryview) -> bytes | None:
        """Return the body of the next frame (tag and body), or None if its tag is wrong."""
        tag, body = sealed[:TAG_SIZE], bytes(sealed[TAG_SIZE:])
        return body if hmac.compare_digest(tag, self.tag(body)) else None


class FrameReader:
    """Reads complete frames from a stream.

    Invariant: after `next_frame` has returned, the buffer contains frames that were not requested
    yet and at most one partial frame.

    :ivar max_size: maximum size of a frame's body in bytes.
    :ivar on_partial: called with the number of bytes received for a frame that is incomplete, and
        of those that are held of it; and with zeros once it is complete.
    """

    def __init__(self, stream: trio.abc.ReceiveStream, max_size: int = MAX_FRAME_SIZE) -> None:
        self.stream, self.max_size = stream, max_size
        self.buffer = bytearray()
        self.on_partial: Callable[[int, int], None] | None = None

    async def fill(self, size: int) -> None:
        """Receive until the buffer has at least `size` bytes.

        :raises EOFError: the peer closed the stream first.
        """
        while len(self.buffer) < size:
            chunk = await self.stream.receive_some(RECEIVE_SIZE)
            if not chunk:
                raise EOFError("connection closed by peer")
            self.buffer += chunk
            if self.on_partial is not None and len(self.buffer) < size:
                self.on_partial(len(chunk), len(self.buffer))

    async def next_frame(self) -> bytes:
        """Return tag and body of the next frame, which is not authenticated yet.

        :raises ProtocolError: the frame is longer than the maximum.
        :raises EOFError: the peer closed the stream.
        """
        await self.fill(LENGTH_SIZE)
        size = int.from_bytes(self.buffer[:LENGTH_SIZE], "big")
        if size > self.max_size:
            raise ProtocolError(f"frame of {size} bytes is longer than {self.max_size}")
        end = LENGTH_SIZE + TAG_SIZE + size
        is_partial = len(self.buffer) < end
        await self.fill(end)
        if is_partial and self.on_partial is not None:
            self.on_partial(0, 0)
        sealed = bytes(self.buffer[LENGTH_SIZE:end])
        del self.buffer[:end]
        return sealed


async def read_frame(reader: FrameReader, authenticator: FrameAuthenticator) -> bytes:
    """Read the next frame and return its body.

    :raises AuthenticationFailed: the frame's tag is wrong.
    :raises ProtocolError: the frame is longer than MAX_FRAME_SIZE.
    :raises EOFError: the peer closed the stream.
    """
    body = authenticator.open(await reader.next_frame())
    if body is None:
        raise AuthenticationFailed("frame with a wrong authentication tag")
    return body


async def write_frame(
    stream: trio.abc.SendStream, authenticator: FrameAuthenticator, body: bytes
) -> None:
    """Seal a body and send it."""
    await stream.send_all(authenticator.seal(body))
