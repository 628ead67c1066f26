"""The stand-in endpoint's side of a connection from the mesh, and the requests on it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowdock.runtime import monotonic_us
from meadowdock.simulator.standin.messages import Malformed, Reader


@dataclass(eq=False)
class Job:
    """A received request that has not been answered yet."""

    conn: object
    start_line: bytes
    lines: list
    body: bytes
    due: int
    received_at: int
    inner: list = field(default_factory=list)

    def __post_init__(self):
        self.method, self.target, _ = self.start_line.split(b" ")
        self.headers = {name.lower(): value for name, value in self.lines}


class MeshConnection:
    """A connection from the mesh.

    Invariant: it has one job at a time; further requests wait in `pending`.
    """

    def __init__(self, endpoint, wire):
        self.endpoint, self.wire = endpoint, wire
        self.reader, self.pending = Reader(), deque()
        self.job = None
        self.again = b""  # a late second response, sent when the next request begins
        self.idle_since = monotonic_us()
        self.over = False

    def on_data(self, data):
        self.idle_since = monotonic_us()
        try:
            messages = self.reader.feed(data)
        except (Malformed, ValueError) as cause:
            self.endpoint.malformed.append(cause)
            self.wire.abort()
            self.on_end("malformed")
            return
        self.pending.extend(messages)
        self.begin_next()

    def begin_next(self):
        if self.job is None and self.pending and not self.over:
            start_line, lines, body = self.pending.popleft()
            if self.again:
                second_response, self.again = self.again, b""
                self.wire.send(second_response)
            self.job = self.endpoint.receive(self, start_line, lines, body)

    def say(self, data, keep=True):
        """Send a response; then begin the next request, or close if `keep` is false."""
        self.job, self.idle_since = None, monotonic_us()
        self.wire.send(data)
        if keep:
            self.begin_next()
        else:
            self.over = True
            self.wire.finish()

    def on_end(self, cause):
        self.over = True
        self.endpoint.conns.discard(self)
        if self.job in self.endpoint.queue:
            self.endpoint.queue.remove(self.job)
            self.endpoint.dropped += 1
