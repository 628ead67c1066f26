"""Frames and their proof: length (4 bytes), seal (16 bytes), body.

>>> here, there = FrameAuthenticator(b"k" * 32, b"a"), FrameAuthenticator(b"k" * 32, b"a")
>>> there.open(here.seal(b"body")[4:])
b'body'
>>> there.open(here.seal(b"body")[4:-1] + b"!") is None
True
"""

from __future__ import annotations

import hashlib
import hmac

LENGTH_SIZE, TAG_SIZE = 4, 16
MAX_FRAME_SIZE = 32 << 20


def derive_key(key, *parts):
    return hmac.digest(key, b"\x00".join(parts), hashlib.sha256)


class FrameAuthenticator:
    """Seals frames of one direction. Invariant: the count goes up by one for each frame, so a
    frame can't be left out, repeated or moved to another link."""

    def __init__(self, key, direction):
        self.key = derive_key(key, direction)
        self.count = 0

    def tag(self, body):
        made = hashlib.blake2b(self.count.to_bytes(8, "big"), key=self.key, digest_size=TAG_SIZE)
        made.update(body)
        self.count += 1
        return made.digest()

    def seal(self, body):
        return len(body).to_bytes(LENGTH_SIZE, "big") + self.tag(body) + body

    def open(self, sealed):
        seal, body = sealed[:TAG_SIZE], sealed[TAG_SIZE:]
        return body if hmac.compare_digest(seal, self.tag(body)) else None


class FrameReader:
    """Whole frames from a stream. Invariant: held never contains more than one partial frame
    after `frame` returned, plus whole frames not yet asked for."""

    def __init__(self, stream):
        self.stream = stream
        self.held = bytearray()

    async def more(self, size):
        while len(self.held) < size:
            chunk = await self.stream.receive_some(65536)
            if not chunk:
                raise EOFError("link closed by peer")
            self.held += chunk

    async def frame(self):
        """Seal and body of the next frame, unproved."""
        await self.more(LENGTH_SIZE)
        size = int.from_bytes(self.held[:LENGTH_SIZE], "big")
        if size > MAX_FRAME_SIZE:
            raise ValueError("frame too long")
        await self.more(LENGTH_SIZE + TAG_SIZE + size)
        sealed = bytes(self.held[LENGTH_SIZE : LENGTH_SIZE + TAG_SIZE + size])
        del self.held[: LENGTH_SIZE + TAG_SIZE + size]
        return sealed


async def read_frame(reader, proof):
    body = proof.open(await reader.frame())
    if body is None:
        raise ValueError("frame fails its proof")
    return body


async def write_frame(stream, proof, body):
    await stream.send_all(proof.seal(body))
