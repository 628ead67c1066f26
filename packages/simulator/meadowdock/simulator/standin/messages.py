"""HTTP/1.1 messages out of raw bytes, strictly, by a parser that shares nothing with the mesh's."""

from __future__ import annotations

import hashlib
from collections import deque


class Malformed(Exception):
    """Bytes that are no HTTP/1.1 message."""


class Reader:
    """Messages of a byte stream, strictly. Invariant: held are bytes of no whole message yet."""

    def __init__(self):
        self.buffered = b""
        self.bare = deque()  # of answers: is the next one to a HEAD

    def feed(self, data):
        """The whole messages: (first line, [(name, value)], body); raises Malformed."""
        self.buffered += data
        found = []
        while (message := self.message()) is not None:
            found.append(message)
        return found

    def message(self):
        """The next message if all of it has come, else None."""
        head, blank, rest_of = self.buffered.partition(b"\r\n\r\n")
        if not blank:
            if (
                self.buffered
                and not self.buffered[:5].strip(b"ABCDEFGHIJKLMNOPQRSTUVWXYZ /") == b""
            ):
                raise Malformed(self.buffered[:40])
            return None
        first, lines = parse_head(head)
        facts = {name.lower(): value for name, value in lines}
        answer = first.startswith(b"HTTP/1.1 ")
        status = int(first.split(b" ")[1]) if answer else 0
        final = answer and status >= 200
        bare = bool(self.bare and self.bare[0]) if final else answer
        if bare or status in (204, 304):
            body, left = b"", rest_of
        elif b"transfer-encoding" in facts:
            body, left = dechunked(rest_of)
        else:
            size = int(facts.get(b"content-length", 0))
            body, left = (rest_of[:size], rest_of[size:]) if len(rest_of) >= size else (None, None)
        if body is None:
            return None
        if answer and status >= 200 and self.bare:
            self.bare.popleft()
        self.buffered = left
        return first, lines, body


def parse_head(head):
    """(first line, [(name, value)]); raises Malformed."""
    first, *rows = head.split(b"\r\n")
    lines = []
    for row in rows:
        name, colon, value = row.partition(b":")
        if not colon or name != name.strip() or not name:
            raise Malformed(row)
        lines.append((name, value.strip()))
    if not first.startswith(b"HTTP/1.1 ") and not first.endswith(b" HTTP/1.1"):
        raise Malformed(first)
    return first, lines


def dechunked(data):
    """(body, bytes behind it) of a chunked body; (None, None) before its end has come."""
    body = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return None, None
        size = int(size, 16)
        if len(data) < size + 2:
            return None, None
        body, data = body + data[:size], data[size + 2 :]
        if size == 0:
            return body, data


def chunked(body, size=7):
    """A body in chunks of a size."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


def stamp_of(instance, id, body):
    """The stamp by which an endpoint's answer to a call is proved to be its own."""
    return b"%s.%s.%s" % (instance, id, hashlib.blake2b(body, digest_size=8).hexdigest().encode())
