"""A caller's connection: requests in, answers out in the same order."""

from __future__ import annotations

import json
from collections import deque

from meadowdock.forwarding.call import Refused, Served
from meadowdock.forwarding.http import Requests, status_line
from meadowdock.runtime import SECOND, monotonic_us

LINE_MAX = 64  # requests under way on one connection; more wait in the kernel
HELD_MAX = 1 << 20  # bytes that a caller does not read
KEEP_S = 3  # callers are told not to use a connection that was idle for so long
KEPT = KEEP_S * SECOND + 3 * SECOND // 2
KEEP_ALIVE = b"Keep-Alive: timeout=%d\r\n\r\n" % KEEP_S
STUCK = 10 * SECOND
UNKNOWN_STATUS = {"no_answer": 504}


class Turn:
    """The place of one request in the order of answers. Invariants: data is None until answered;
    call is the request's, or None if it never became one."""

    __slots__ = ("data", "close", "call")

    def __init__(self, close):
        self.data, self.close, self.call = None, close, None


class Caller:
    """Invariants: line holds a turn for each request read and not yet answered, in order; nothing
    is read any more once `over` is set."""

    def __init__(self, gate, wire):
        self.gate, self.wire, wire.owner = gate, wire, self
        self.requests = Requests(gate.limits, gate.dialect.names)
        self.line = deque()
        self.over = self.told = False
        self.begun_at = 0  # when the request that is partly read began
        self.quiet_since = monotonic_us()

    # ------------------------------------------------------------ in

    def on_data(self, data):
        if self.over:
            return
        requests = self.requests
        requests.feed(data)
        if requests.whole:
            self.begun_at = 0  # what is partly read now began just now
            whole, requests.whole = requests.whole, []
            for request in whole:
                self.gate.arrive(self, request)
        if requests.bad:
            self.over = True
            turn = Turn(True)
            self.line.append(turn)
            self.say_own(turn, requests.bad, "the request can't be read")
        self.go_on()
        at = monotonic_us()
        self.quiet_since = at
        self.begun_at = (self.begun_at or at) if requests.partial else 0
        if len(self.line) >= LINE_MAX or self.wire.held_size > HELD_MAX:
            self.wire.pause()

    def go_on(self):
        """Who waits for leave to send a body gets it, once all before it is answered."""
        requests = self.requests
        if requests.wants_continue and requests.partial and not self.line and not self.over:
            requests.wants_continue = False
            self.wire.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def turn(self, request):
        turn = Turn(not request.keep)
        if not request.keep:
            self.over = True
        self.line.append(turn)
        return turn

    def expect(self, request, call):
        """What to call with the outcome of this request's call."""
        turn = self.turn(request)
        turn.call = call
        return lambda outcome: self.outcome(turn, call, outcome)

    # ------------------------------------------------------------ out

    def outcome(self, turn, call, outcome):
        if isinstance(outcome, Served):
            self.say(turn, outcome.head, outcome.body)
        elif isinstance(outcome, Refused):
            self.say_refused(turn, outcome)
        else:
            self.say_own(turn, UNKNOWN_STATUS.get(outcome.code, 502), outcome.code)

    def answer_refused(self, request, refused):
        self.say_refused(self.turn(request), refused)

    def answer_own(self, request, status, detail):
        self.say_own(self.turn(request), status, detail)

    def say_refused(self, turn, refused):
        again = b""
        if refused.retry_us:
            again = b"Retry-After: %.3f\r\n" % (refused.retry_us / SECOND)
        self.say_own(turn, 503, refused.code, again)

    def say_own(self, turn, status, detail, lines=b""):
        body = json.dumps({self.gate.dialect.error_field: detail}).encode()
        head = b"%s%sContent-Type: application/json\r\nContent-Length: %d\r\n" % (
            status_line(status),
            lines,
            len(body),
        )
        self.say(turn, head, body)

    def say(self, turn, head, body):
        turn.data = head, body
        line = self.line
        if line[0] is not turn:
            return
        out, closed = [], False
        while line and line[0].data is not None and not closed:
            turn = line.popleft()
            head, body = turn.data
            # who sent more behind this one would have to send it again: let it be the last
            closed = turn.close or (self.gate.closing and not line and not self.requests.partial)
            out += [head, b"Connection: close\r\n\r\n" if closed else KEEP_ALIVE, body]
            self.told = True
        if self.wire.closed:
            return
        self.wire.send(b"".join(out))
        if closed:
            self.over = True
            self.wire.finish()
            self.gate.callers.discard(self)
        elif len(line) < LINE_MAX // 2 and self.wire.held_size <= HELD_MAX:
            self.wire.resume()
        if not closed:
            self.go_on()
        self.quiet_since = monotonic_us()

    # ------------------------------------------------------------ time

    def look(self, at):
        """Bounds on what a caller may take: a head in time, an idle connection for so long."""
        limits = self.gate.limits
        if self.wire.stuck_since and at - self.wire.stuck_since > STUCK:
            self.drop()
        elif self.begun_at and self.requests.in_head and at - self.begun_at > limits.header_us:
            self.over = True
            turn = Turn(True)
            self.line.append(turn)
            self.begun_at = 0
            self.say_own(turn, 408, "the request's head took too long")
        elif not self.line and not self.requests.partial and at - self.quiet_since > self.idle_us():
            self.drop()
        elif self.wire.waiting and len(self.line) < LINE_MAX // 2 and self.wire.held_size == 0:
            self.wire.resume()

    def idle_us(self):
        """How long it may be idle: as configured, but a caller that was told less has let it go."""
        idle = self.gate.limits.idle_us
        return min(idle, KEPT) if self.told else idle

    def leave(self):
        """The gate closes: a connection with nothing under way is let go."""
        if not self.line and not self.requests.partial:
            self.over = True
            self.wire.finish()
            self.gate.callers.discard(self)

    def drop(self):
        self.over = True
        self.wire.close()
        self.on_end("dropped")

    def on_end(self, cause):
        """The caller is gone. What was begun is finished, and nobody is told; what waits for room
        gives up its place."""
        self.over = True
        self.gate.callers.discard(self)
        for turn in list(self.line):
            if turn.call is not None:
                self.gate.cancelled(turn.call)
