"""A stand-in caller."""

from __future__ import annotations

from collections import deque

import trio

from meadowdock.runtime import MILLISECOND, monotonic_us
from meadowdock.simulator.standin.messages import Malformed, Reader, chunked
from meadowdock.simulator.standin.records import Asked


def request_bytes(method, target, rows, body, in_chunks):
    """A request with its body, framed by length or in chunks."""
    if in_chunks:
        rows = [*rows, (b"Transfer-Encoding", b"chunked")]
    elif body:
        rows = [*rows, (b"Content-Length", b"%d" % len(body))]
    head = b"".join(b"%s: %s\r\n" % row for row in rows)
    data = b"%s %s HTTP/1.1\r\n%s\r\n" % (method, target, head)
    return data + (chunked(body) if in_chunks else body)


class StandInCaller:
    """One connection of a caller. strays: what came while nothing was asked."""

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
        """Send one request at once; gives its Asked."""
        id = id or self.request_audit.new_id()
        rows = [(b"Host", host), (self.request_audit.dialect.call_id, id), *lines]
        if due_ms is not None:
            rows.append(self.deadline_row(due_ms))
        sent = Asked(id, method, target, host, body, self.service, monotonic_us())
        sent.data = request_bytes(method, target, rows, body, in_chunks)
        self.asked.append(sent)
        self.reader.bare.append(method == b"HEAD")
        self.request_audit.asked.append(sent)
        if send:
            self.wire.send(sent.data)
        return sent

    def deadline_row(self, due_ms):
        """The header that tells how long the call has."""
        words = self.request_audit.dialect
        return words.deadline, b"%d" % (due_ms * MILLISECOND // words.deadline_unit_us)

    def on_data(self, data):
        try:
            found = self.reader.feed(data)
        except (Malformed, ValueError) as cause:
            self.strays.append(cause)
            return
        for first, lines, body in found:
            status = int(first.split(b" ")[1])
            if status == 100:
                self.continues += 1
            elif not self.asked:
                self.strays.append((first, lines, body))
            else:
                sent = self.asked.popleft()
                sent.status, sent.lines, sent.answer = status, lines, body
                sent.took = monotonic_us() - sent.at
                sent.done.set()

    def on_end(self, cause):
        self.closed_at = monotonic_us()
        if self.reader.buffered:
            self.cut_short = self.reader.buffered
        while self.asked:
            sent = self.asked.popleft()
            sent.ended, sent.took = cause, monotonic_us() - sent.at
            sent.done.set()

    def hang_up(self):
        self.wire.close()
        self.on_end("hung up")
