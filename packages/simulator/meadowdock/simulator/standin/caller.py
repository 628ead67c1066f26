"""A stand-in caller, which sends raw HTTP/1.1 requests over one connection."""

from __future__ import annotations

from collections import deque

import trio

from meadowdock.runtime import MILLISECOND, monotonic_us
from meadowdock.simulator.standin.messages import Malformed, Reader, chunked
from meadowdock.simulator.standin.records import SentRequest


def request_bytes(method, target, headers, body, in_chunks):
    """Encode a request with its body, framed by length or in chunks."""
    if in_chunks:
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
    elif body:
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
    head = b"".join(b"%s: %s\r\n" % header for header in headers)
    data = b"%s %s HTTP/1.1\r\n%s\r\n" % (method, target, head)
    return data + (chunked(body) if in_chunks else body)


class StandInCaller:
    """One connection of a caller.

    strays holds responses without a request, and errors of the parser.
    """

    def __init__(self, request_audit, wire_host, service):
        self.request_audit, self.host, self.service = request_audit, wire_host, service
        self.reader, self.asked = Reader(), deque()
        self.wire, self.opened = None, trio.Event()
        self.strays, self.continues, self.failed = [], 0, None
        self.closed_at = 0

    def on_open(self, wire):
        self.wire = wire
        self.opened.set()

    def on_fail(self, cause):
        self.failed = cause
        self.opened.set()

    def ask(
        self,
        target=b"/p/x",
        method=b"GET",
        host=b"h.example",
        body=b"",
        lines=(),
        in_chunks=False,
        id=None,
        due_ms=2000,
        send=True,
    ):
        """Send one request at once, or only record it if `send` is false; return its record."""
        id = id or self.request_audit.new_id()
        headers = [(b"Host", host), (self.request_audit.dialect.call_id, id), *lines]
        if due_ms is not None:
            headers.append(self.deadline_header(due_ms))
        request = SentRequest(id, method, target, host, body, self.service, monotonic_us())
        request.data = request_bytes(method, target, headers, body, in_chunks)
        self.asked.append(request)
        self.reader.to_head_requests.append(method == b"HEAD")
        self.request_audit.asked.append(request)
        if send:
            self.wire.send(request.data)
        return request

    def deadline_header(self, due_ms):
        """Return the header that says how much time the call has left."""
        dialect = self.request_audit.dialect
        return dialect.deadline, b"%d" % (due_ms * MILLISECOND // dialect.deadline_unit_us)

    def on_data(self, data):
        try:
            messages = self.reader.feed(data)
        except (Malformed, ValueError) as cause:
            self.strays.append(cause)
            return
        for start_line, headers, body in messages:
            status = int(start_line.split(b" ")[1])
            if status == 100:
                self.continues += 1
            elif not self.asked:
                self.strays.append((start_line, headers, body))
            else:
                request = self.asked.popleft()
                request.status, request.lines, request.answer = status, headers, body
                request.took = monotonic_us() - request.at
                request.done.set()

    def on_end(self, cause):
        self.closed_at = monotonic_us()
        if self.reader.buffered:
            self.incomplete_response = bytes(self.reader.buffered)
        while self.asked:
            request = self.asked.popleft()
            request.ended, request.took = cause, monotonic_us() - request.at
            request.done.set()

    def hang_up(self):
        self.wire.close()
        self.on_end("hung up")
