"""An endpoint's side of a connection from the mesh."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowdock.runtime import monotonic_us
from meadowdock.simulator.standin.messages import Malformed, Reader


@dataclass(eq=False)
class Job:
    """A request that came, until it is answered."""

    conn: object
    first: bytes
    lines: list
    body: bytes
    due: int
    came: int
    inner: list = field(default_factory=list)

    def __post_init__(self):
        self.method, self.target, _ = self.first.split(b" ")
        self.facts = {name.lower(): value for name, value in self.lines}


class Conn:
    """A connection from the mesh. Invariant: one job of it at a time; others wait in `behind`."""

    def __init__(self, endpoint, wire):
        self.endpoint, self.wire = endpoint, wire
        self.reader, self.behind = Reader(), deque()
        self.job = None
        self.again = b""  # a late second answer, in the place of the next one
        self.quiet_since = monotonic_us()
        self.over = False

    def on_data(self, data):
        self.quiet_since = monotonic_us()
        try:
            found = self.reader.feed(data)
        except (Malformed, ValueError) as cause:
            self.endpoint.malformed.append(cause)
            self.wire.abort()
            self.on_end("malformed")
            return
        self.behind.extend(found)
        self.next()

    def next(self):
        if self.job is None and self.behind and not self.over:
            first, lines, body = self.behind.popleft()
            if self.again:
                again, self.again = self.again, b""
                self.wire.send(again)
            self.job = self.endpoint.came(self, first, lines, body)

    def say(self, data, keep=True):
        self.job, self.quiet_since = None, monotonic_us()
        self.wire.send(data)
        if keep:
            self.next()
        else:
            self.over = True
            self.wire.finish()

    def on_end(self, cause):
        self.over = True
        self.endpoint.conns.discard(self)
        if self.job in self.endpoint.queue:
            self.endpoint.queue.remove(self.job)
            self.endpoint.dropped += 1
