"""A strict HTTP/1.1 parser for the stand-ins, which shares no code with the mesh's."""

from __future__ import annotations

import hashlib
from collections import deque


class Malformed(Exception):
    """The bytes are not an HTTP/1.1 message."""


class Reader:
    """A reader of the messages of a byte stream.

    Invariant: buffered holds bytes that are no complete message yet.
    """

    def __init__(self):
        self.buffered = b""
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
        head, blank_line, rest = self.buffered.partition(b"\r\n\r\n")
        if not blank_line:
            if (
                self.buffered
                and not self.buffered[:5].strip(b"ABCDEFGHIJKLMNOPQRSTUVWXYZ /") == b""
            ):
                raise Malformed(self.buffered[:40])
            return None
        start_line, headers = parse_head(head)
        values = {name.lower(): value for name, value in headers}
        is_response = start_line.startswith(b"HTTP/1.1 ")
        status = int(start_line.split(b" ")[1]) if is_response else 0
        is_final = is_response and status >= 200
        to_head_request = bool(self.to_head_requests and self.to_head_requests[0])
        has_no_body = to_head_request if is_final else is_response
        if has_no_body or status in (204, 304):
            body, unread = b"", rest
        elif b"transfer-encoding" in values:
            body, unread = dechunked(rest)
        else:
            size = int(values.get(b"content-length", 0))
            body, unread = (rest[:size], rest[size:]) if len(rest) >= size else (None, None)
        if body is None:
            return None
        if is_response and status >= 200 and self.to_head_requests:
            self.to_head_requests.popleft()
        self.buffered = unread
        return start_line, headers, body


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


def dechunked(data):
    """Return (body, the bytes behind it) of a chunked body, or (None, None) if it is incomplete."""
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
    """Encode a body in chunks of a size."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


def stamp_of(instance, id, body):
    """Return the stamp which proves that an instance's response belongs to a call."""
    return b"%s.%s.%s" % (instance, id, hashlib.blake2b(body, digest_size=8).hexdigest().encode())
