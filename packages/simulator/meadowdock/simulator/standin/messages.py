"""A strict HTTP/1.1 parser for the stand-ins, which shares no code with the mesh's."""

from __future__ import annotations

import hashlib
from collections import deque


class Malformed(Exception):
    """The bytes are not an HTTP/1.1 message."""


class Reader:
    """A reader of the messages of a byte stream.

    Invariants: buffered holds bytes that are no complete message yet; head is that of the message at
    its beginning, None until it is complete, and body_start is where its body begins.
    """

    def __init__(self):
        self.buffered = bytearray()
        self.head, self.body_start = None, 0
        self.dechunker = None  # of a chunked body that is arriving
        self.to_head_requests = deque()  # for each response expected: whether it is to a HEAD

    def feed(self, data):
        """Return the messages that data completes: (start line, [(name, value)], body).

        :raises Malformed: if the bytes are not a message.
        """
        self.buffered += data
        messages = []
        while (message := self.message()) is not None:
            messages.append(message)
        return messages

    def message(self):
        """Return the next message if it is complete, else None."""
        if self.head is None and not self.read_head():
            return None
        start_line, headers = self.head
        values = {name.lower(): value for name, value in headers}
        is_response = start_line.startswith(b"HTTP/1.1 ")
        status = int(start_line.split(b" ")[1]) if is_response else 0
        is_final = is_response and status >= 200
        to_head_request = bool(self.to_head_requests and self.to_head_requests[0])
        has_no_body = to_head_request if is_final else is_response
        body, end = b"", self.body_start
        if has_no_body or status in (204, 304):
            pass
        elif b"transfer-encoding" in values:
            self.dechunker = self.dechunker or Dechunker(self.body_start)
            body, end = self.dechunker.parse(self.buffered)
        else:
            end += int(values.get(b"content-length", 0))
            if len(self.buffered) < end:
                return None
            body = bytes(self.buffered[self.body_start : end])
        if body is None:
            return None
        self.head = self.dechunker = None
        if is_final and self.to_head_requests:
            self.to_head_requests.popleft()
        del self.buffered[:end]
        return start_line, headers, body

    def read_head(self):
        """Read the head of the next message, and return whether it is complete.

        :raises Malformed: if the bytes are not a head.
        """
        end = self.buffered.find(b"\r\n\r\n")
        if end < 0:
            begin = bytes(self.buffered[:5])
            if begin.strip(b"ABCDEFGHIJKLMNOPQRSTUVWXYZ /"):
                raise Malformed(bytes(self.buffered[:40]))
            return False
        self.head, self.body_start = parse_head(bytes(self.buffered[:end])), end + 4
        return True


def parse_head(head):
    """Return (start line, [(name, value)]) of a message's head.

    :raises Malformed: if a line has not the form of a header, or the start line is not HTTP/1.1's.
    """
    start_line, *lines = head.split(b"\r\n")
    headers = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or name != name.strip() or not name:
            raise Malformed(line)
        headers.append((name, value.strip()))
    if not start_line.startswith(b"HTTP/1.1 ") and not start_line.endswith(b" HTTP/1.1"):
        raise Malformed(start_line)
    return start_line, headers


class Dechunker:
    """Decodes a chunked body that arrives in parts, each byte once.

    Invariants: body holds the chunks that are complete; offset is where the next one begins.
    """

    def __init__(self, start):
        self.body, self.offset = bytearray(), start

    def parse(self, data):
        """Return the body and where it ends, or (None, None) if it is incomplete.

        :param data: all bytes of the message that have arrived.
        """
        while True:
            line_end = data.find(b"\r\n", self.offset)
            if line_end < 0:
                return None, None
            size = int(data[self.offset : line_end], 16)
            start, end = line_end + 2, line_end + 2 + size
            if len(data) < end + 2:
                return None, None
            self.body += data[start:end]
            self.offset = end + 2
            if size == 0:
                return bytes(self.body), self.offset


def chunked(body, size=7):
    """Encode a body in chunks of a size."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


def stamp_of(instance, id, body):
    """Return the stamp which proves that an instance's response belongs to a call."""
    return b"%s.%s.%s" % (instance, id, hashlib.blake2b(body, digest_size=8).hexdigest().encode())
