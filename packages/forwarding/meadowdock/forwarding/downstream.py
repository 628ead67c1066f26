"""A caller's connection: requests in, answers out in the same order."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Outcome, Rejected, Served
from meadowdock.forwarding.http import Request, RequestParser, status_line
from meadowdock.forwarding.outcome_codes import NO_ANSWER
from meadowdock.runtime import SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.gateway import Gateway
    from meadowdock.forwarding.interfaces import Connection

PENDING_MAX = 64  # requests under way on one connection; more wait in the kernel
UNSENT_MAX = 1 << 20  # bytes that a caller does not read
KEEP_ALIVE_S = 3  # callers are told not to use a connection that was idle for so long
KEEP_ALIVE_US = KEEP_ALIVE_S * SECOND + 3 * SECOND // 2  # and so long it is kept
KEEP_ALIVE_LINE = b"Keep-Alive: timeout=%d\r\n\r\n" % KEEP_ALIVE_S
CLOSE_LINE = b"Connection: close\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STUCK_MAX_US = 10 * SECOND  # a caller that takes no byte for so long is dropped


class PendingAnswer:
    """The position of one request in the order of answers.

    Invariants: data is None until answered; call is the request's, or None if it never became one.
    """

    __slots__ = ("data", "close", "call")

    def __init__(self, close: bool) -> None:
        self.data: tuple[bytes, bytes] | None = None  # head and body
        self.close = close  # the connection, behind it
        self.call: Call | None = None


class DownstreamConnection:
    """One connection of a caller.

    Invariants: pending holds an entry for each request that was read and not yet answered, in order;
    nothing is read any more once `over` is set.
    """

    def __init__(self, gateway: Gateway, connection: Connection) -> None:
        self.gateway, self.connection = gateway, connection
        connection.owner = self
        self.requests = RequestParser(gateway.limits, gateway.dialect.names)
        self.pending: deque[PendingAnswer] = deque()
        self.over = False
        self.keep_alive_sent = False  # the caller knows for how long the connection is kept
        self.begun_at = 0  # when the request that is partly read began
        self.quiet_since = monotonic_us()

    # ------------------------------------------------------------ in

    def on_data(self, data: bytes) -> None:
        """Bytes of the caller."""
        if self.over:
            return
        requests = self.requests
        requests.feed(data)
        if requests.complete:
            self.begun_at = 0  # what is partly read now began just now
            complete, requests.complete = requests.complete, []
            for request in complete:
                self.gateway.request_arrived(self, request)
        if requests.error_status:
            self.end_with_error(requests.error_status, "the request can't be read")
        self.send_continue()
        at = monotonic_us()
        self.quiet_since = at
        self.begun_at = (self.begun_at or at) if requests.in_progress else 0
        if len(self.pending) >= PENDING_MAX or self.connection.unsent_size > UNSENT_MAX:
            self.connection.pause()

    def send_continue(self) -> None:
        """Let a caller that waits for leave send its body, once all before it is answered."""
        requests = self.requests
        waits = requests.wants_continue and requests.in_progress
        if waits and not self.pending and not self.over:
            requests.wants_continue = False
            self.connection.send(CONTINUE)

    def append(self, request: Request) -> PendingAnswer:
        """The position of a request's answer."""
        pending = PendingAnswer(not request.keep_alive)
        if not request.keep_alive:
            self.over = True
        self.pending.append(pending)
        return pending

    def expect(self, request: Request, call: Call) -> Callable[[Outcome], None]:
        """What to call with the outcome of this request's call."""
        pending = self.append(request)
        pending.call = call
        return lambda outcome: self.outcome(pending, outcome)

    # ------------------------------------------------------------ out

    def outcome(self, pending: PendingAnswer, outcome: Outcome) -> None:
        """Answer a request with its call's outcome."""
        if isinstance(outcome, Served):
            self.send(pending, outcome.head, outcome.body)
        elif isinstance(outcome, Rejected):
            self.send_rejected(pending, outcome)
        else:
            self.send_error(pending, 504 if outcome.code == NO_ANSWER else 502, outcome.code)

    def answer_rejected(self, request: Request, rejected: Rejected) -> None:
        """Answer a request that did not become a call: come again."""
        self.send_rejected(self.append(request), rejected)

    def answer_error(self, request: Request, status: int, detail: str) -> None:
        """Answer a request that did not become a call."""
        self.send_error(self.append(request), status, detail)

    def end_with_error(self, status: int, detail: str) -> None:
        """Answer what was no complete request, and close the connection behind it."""
        self.over = True
        pending = PendingAnswer(True)
        self.pending.append(pending)
        self.send_error(pending, status, detail)

    def send_rejected(self, pending: PendingAnswer, rejected: Rejected) -> None:
        """An answer that says that the request did not run, and when to come back."""
        retry_after = b""
        if rejected.retry_after_us:
            retry_after = b"Retry-After: %.3f\r\n" % (rejected.retry_after_us / SECOND)
        self.send_error(pending, 503, rejected.code, retry_after)

    def send_error(
        self, pending: PendingAnswer, status: int, detail: str, lines: bytes = b""
    ) -> None:
        """An answer of our own, as JSON."""
        body = json.dumps({self.gateway.dialect.error_field: detail}).encode()
        head = b"%s%sContent-Type: application/json\r\nContent-Length: %d\r\n" % (
            status_line(status),
            lines,
            len(body),
        )
        self.send(pending, head, body)

    def send(self, answered: PendingAnswer, head: bytes, body: bytes) -> None:
        """An answer is there: send all that are next in order."""
        answered.data = head, body
        pending = self.pending
        if pending[0] is not answered:
            return
        out: list[bytes] = []
        closed = False
        while pending and (data := pending[0].data) is not None and not closed:
            answer = pending.popleft()
            closed = answer.close or self.closes_now()
            out += [data[0], CLOSE_LINE if closed else KEEP_ALIVE_LINE, data[1]]
            self.keep_alive_sent = True
        if self.connection.closed:
            return
        self.connection.send(b"".join(out))
        if closed:
            self.finish()
        elif len(pending) < PENDING_MAX // 2 and self.connection.unsent_size <= UNSENT_MAX:
            self.connection.resume()
        if not closed:
            self.send_continue()
        self.quiet_since = monotonic_us()

    def closes_now(self) -> bool:
        """Whether a gateway that shuts down makes this answer the last one. A caller that sent more
        behind it would have to send that again, so it is answered first."""
        return self.gateway.closing and not self.pending and not self.requests.in_progress

    # ------------------------------------------------------------ time

    def check_timeouts(self, at: int) -> None:
        """Bounds on what a caller may take: a head in time, an idle connection for so long."""
        limits, connection = self.gateway.limits, self.connection
        idle = not self.pending and not self.requests.in_progress
        if connection.blocked_since and at - connection.blocked_since > STUCK_MAX_US:
            self.drop()
        elif self.begun_at and self.requests.in_head and at - self.begun_at > limits.header_us:
            self.begun_at = 0
            self.end_with_error(408, "the request's head took too long")
        elif idle and at - self.quiet_since > self.idle_max_us():
            self.drop()
        elif (
            connection.read_paused
            and len(self.pending) < PENDING_MAX // 2
            and connection.unsent_size == 0
        ):
            connection.resume()

    def idle_max_us(self) -> int:
        """How long it may be idle: as configured, but a caller that was sent a shorter time doesn't
        use it any more."""
        idle_us = self.gateway.limits.idle_us
        return min(idle_us, KEEP_ALIVE_US) if self.keep_alive_sent else idle_us

    def in_use(self) -> bool:
        """Whether a request is under way, or bytes for the caller are not sent yet."""
        return bool(self.pending or self.connection.unsent_size)

    def close_if_idle(self) -> None:
        """The gateway shuts down: a connection with nothing under way is closed."""
        if not self.pending and not self.requests.in_progress:
            self.finish()

    def finish(self) -> None:
        """Close once all that was answered is sent."""
        self.over = True
        self.connection.finish()
        self.gateway.connections.discard(self)

    def drop(self) -> None:
        """Close now."""
        self.over = True
        self.connection.close()
        self.on_end("dropped")

    def on_end(self, cause: object) -> None:
        """The caller is gone. What was begun is finished, and nobody is answered; what waits for a
        slot is cancelled."""
        self.over = True
        self.gateway.connections.discard(self)
        for pending in list(self.pending):
            if pending.call is not None:
                self.gateway.dispatcher.cancelled(pending.call)
