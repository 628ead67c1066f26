"""A caller's connection: reads requests and sends responses in the same order.

A long answer is sent while it arrives; what it comes from isn't read while the caller doesn't read.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from meadowdock.forwarding.answer_stream import (
    UNSENT_HIGH_BYTES,
    UNSENT_LOW_BYTES,
    AnswerCollector,
    AnswerStream,
)
from meadowdock.forwarding.byte_parts import Bytes, joined_parts
from meadowdock.forwarding.call import Call, Outcome, Rejected, Served
from meadowdock.forwarding.http import Request, RequestParser, status_line
from meadowdock.forwarding.outcome_codes import NO_ANSWER, NO_CONFIGURATION
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.runtime.client_memory import SMALL_BYTES
from meadowdock.runtime.held_body import held
from meadowdock.runtime.http_messages import COSTLY_STEPS

if TYPE_CHECKING:
    from meadowdock.forwarding.gateway import Gateway
    from meadowdock.forwarding.interfaces import Connection

PENDING_REQUESTS_MAX = 64  # on one connection; further requests stay in the kernel's buffer
UNSENT_MAX_BYTES = 1 << 20  # of unread responses; beyond that no further requests are read
KEEP_ALIVE_S = 3  # the idle time-out that is announced to callers
# The idle time-out that is applied: longer, so that a request sent just before the announced
# time-out still arrives on an open connection.
KEEP_ALIVE_US = KEEP_ALIVE_S * SECOND + 3 * SECOND // 2
KEEP_ALIVE_LINE = b"Keep-Alive: timeout=%d\r\n\r\n" % KEEP_ALIVE_S
CLOSE_LINE = b"Connection: close\r\n\r\n"
CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_MEMORY = "no memory for the body now"
NO_CONNECTION = "no connection for the request now"
RETRY_SOON = b"Retry-After: 1\r\n"
CALL_MEMORY_BYTES = 4096  # of the objects of a request that runs, beside its head and its body
# A connection that holds more than this for requests in progress is not read until some are answered.
PIPELINE_MAX_BYTES = 1 << 18
RESPONSE_BODY_MAX_BYTES = 64 << 20  # of what is collected for a caller
BLOCKED_WRITE_TIMEOUT_US = 10 * SECOND  # a caller that reads nothing for this long is disconnected


class PendingAnswer:
    """The response to one request, which is sent after those to all earlier requests.

    Invariants: data is None until there is a response, and once it is being sent; rest is what follows
    `data` of a long response; call is None if the request was rejected before it became a call;
    held_bytes is what the request, without its body, and its response while it waits, take of the
    process's memory; body_bytes is the size of its body, which is in the account by itself.

    :ivar close: whether the connection is closed after the response.
    :ivar to_head: whether the method is HEAD, so that the response has no body.
    :ivar reads_chunks: the response may come in chunks.
    """

    __slots__ = (
        "data",
        "rest",
        "close",
        "call",
        "held_bytes",
        "body_bytes",
        "to_head",
        "reads_chunks",
    )

    def __init__(
        self,
        close: bool,
        held_bytes: int = 0,
        body_bytes: int = 0,
        to_head: bool = False,
        reads_chunks: bool = True,
    ) -> None:
        self.data: tuple[bytes, Bytes] | None = None  # head and body
        self.rest: AnswerStream | None = None
        self.close = close
        self.call: Call | None = None
        self.held_bytes, self.body_bytes = held_bytes, body_bytes
        self.to_head, self.reads_chunks = to_head, reads_chunks

    def framing(self) -> bytes:
        """Return the header line that frames a long response."""
        assert self.rest is not None
        length = self.rest.length
        return CHUNKED_LINE if length is None else b"Content-Length: %d\r\n" % length

    def framed(self, part: Bytes) -> Bytes:
        """Return a part of a long response's body as it is sent."""
        assert self.rest is not None
        if self.rest.length is not None or not part:
            return part
        return b"%x\r\n%b\r\n" % (len(part), bytes(part))


class DownstreamConnection:
    """One connection of a caller.

    Invariants: pending holds an entry for each request that was read and not yet answered, in order,
    pending_bytes is the sum of their held_bytes, and pending_body_bytes that of their body_bytes; no request is read once `reading_ended` is set.
    """

    def __init__(self, gateway: Gateway, connection: Connection) -> None:
        self.gateway, self.connection = gateway, connection
        connection.owner = self
        self.memory = gateway.memory.open(self)
        self.is_costly = False  # what was read last was costly to parse
        self.requests = RequestParser(gateway.limits, gateway.dialect.header_names, self.memory)
        self.pending: deque[PendingAnswer] = deque()
        self.pending_bytes = self.pending_body_bytes = 0
        self.reading_ended = False
        self.keep_alive_sent = False  # the idle time-out was announced to the caller
        self.partial_request_since = 0  # when an incomplete request began to arrive, 0 if none has
        self.last_activity_at = monotonic_us()

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the caller."""
        self.end_reading_if_closing()
        if self.reading_ended:
            return
        requests, gateway = self.requests, self.gateway
        requests.limits, requests.are_limits_known = gateway.limits, gateway.table is not None
        requests.feed(data)
        self.is_costly = requests.step_count > COSTLY_STEPS
        has_completed = bool(requests.complete)
        if has_completed:
            self.partial_request_since = 0  # the next request has only begun to arrive now
            complete, requests.complete = requests.complete, []
            self.update_memory()  # bodies that are complete are in the account by themselves
            for request in complete:
                if self.reading_ended:  # the caller sends what is behind the last answer again
                    break
                self.take_request(request)
            self.end_reading_if_closing()
        if requests.error_status:
            self.refuse(requests.error_status)
        self.send_continue()
        now = monotonic_us()
        if requests.has_advanced:
            self.last_activity_at = now
        if requests.in_progress and not self.partial_request_since:
            self.memory.begin_request()
        self.partial_request_since = (
            (self.partial_request_since or now) if requests.in_progress else 0
        )
        self.memory.received(len(data), has_completed)
        self.update_memory()
        self.gateway.memory.relieve()
        if self.is_busy():
            self.connection.pause()

    def refuse(self, status: int) -> None:
        """End the connection as what arrives can't be a request, or not now."""
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            self.end_with_error(status, "the request can't be read")
        elif self.gateway.table is None:
            self.end_with_error(status, NO_CONFIGURATION, RETRY_SOON)
        else:
            self.gateway.counts["refused.memory"] += 1
            self.end_with_error(status, NO_MEMORY, RETRY_SOON)

    def take_request(self, request: Request) -> None:
        """Pass a complete request on, or reject it if there is no memory for it."""
        request.body = held(request.body, self.gateway.memory)
        is_small = len(request.body) < SMALL_BYTES and not self.pending
        if self.gateway.memory.is_full() and not is_small:
            self.gateway.counts["refused.memory"] += 1
            self.answer_rejected(request, Rejected(NO_MEMORY, SECOND))
        else:
            self.gateway.on_request(self, request)

    def is_busy(self) -> bool:
        """Return whether no further requests are to be read before some are answered."""
        unsent = self.connection.unsent_size
        if len(self.pending) >= PENDING_REQUESTS_MAX or unsent > UNSENT_MAX_BYTES:
            return True
        return bool(self.pending) and (
            self.pending_bytes + self.pending_body_bytes + self.requests.held_bytes
            > PIPELINE_MAX_BYTES
            or self.gateway.memory.is_pressed()
        )

    def update_memory(self) -> None:
        """Enter what this connection holds into the account."""
        held = self.requests.held_bytes + self.pending_bytes + self.connection.unsent_size
        self.memory.resize(held)

    def may_be_given_up(self) -> bool:
        """Return whether its request is incomplete, or its answer isn't read."""
        return bool(self.connection.blocked_since) or self.requests.in_progress

    def give_up(self) -> None:
        """Release what it holds: an incomplete request is refused, an unread answer cut off."""
        self.gateway.counts["refused.memory"] += 1
        if self.connection.blocked_since:
            self.drop()
        else:
            self.end_with_error(503, NO_MEMORY, RETRY_SOON)

    def is_closed(self) -> bool:
        """Return whether the descriptor is free again."""
        return self.connection.closed

    def may_be_closed(self) -> bool:
        """Return whether no request runs whose answer may still be read."""
        return not self.pending or bool(self.connection.blocked_since)

    def last_progress_at(self) -> int:
        """Return when the connection was opened or answered, or a request made progress."""
        return self.memory.progress_at if self.requests.in_progress else self.last_activity_at

    def close_now(self) -> None:
        """Close the connection at once; an incomplete request is refused, if that can be sent."""
        if self.requests.in_progress and not self.pending and not self.reading_ended:
            self.end_with_error(503, NO_CONNECTION, RETRY_SOON)
        self.drop()

    def end_reading_if_closing(self) -> None:
        """Read no further requests while this node stops and one is pending.

        The answer to the last of those that were read closes the connection, so that the caller sends
        what it has sent behind it again, elsewhere. Without this, a connection on which a request
        is always pending would be used until the process is gone.
        """
        if self.gateway.closing and self.pending:
            self.reading_ended = True

    def send_continue(self) -> None:
        """Send "100 Continue" to a caller that expects it, once earlier requests are answered."""
        requests = self.requests
        waits = requests.wants_continue and requests.in_progress
        if waits and not self.pending and not self.reading_ended:
            requests.wants_continue = False
            self.connection.send(CONTINUE)

    def add_pending(self, request: Request) -> PendingAnswer:
        """Add a pending answer for a request and return it."""
        pending = PendingAnswer(
            not request.keep_alive,
            CALL_MEMORY_BYTES + request.head_size,
            len(request.body),
            request.method == b"HEAD",
            request.reads_chunks,
        )
        if not request.keep_alive:
            self.reading_ended = True
        self.pending.append(pending)
        self.pending_bytes += pending.held_bytes
        self.pending_body_bytes += pending.body_bytes
        return pending

    def add_call(self, request: Request, call: Call) -> Callable[[Outcome], None]:
        """Add a pending answer for a request's call and return the callback for its outcome."""
        pending = self.add_pending(request)
        pending.call = call
        return lambda outcome: self.on_outcome(pending, outcome)

    def on_outcome(self, pending: PendingAnswer, outcome: Outcome) -> None:
        """Answer a request with the outcome of its call."""
        if isinstance(outcome, Served):
            self.on_served(pending, outcome)
        elif isinstance(outcome, Rejected):
            self.send_rejected(pending, outcome)
        else:
            self.send_error(pending, 504 if outcome.code == NO_ANSWER else 502, outcome.code)

    def on_served(self, pending: PendingAnswer, served: Served) -> None:
        """Answer a request with an endpoint's response."""
        rest = served.rest
        if rest is None:
            self.send(pending, served.head, served.body)
        elif rest.length is None and not pending.reads_chunks:
            self.collect(pending, served, rest)
        else:
            pending.rest = rest
            self.send(pending, served.head, served.body)

    def collect(self, pending: PendingAnswer, served: Served, rest: AnswerStream) -> None:
        """Send a response in chunks to a caller that doesn't read them, once it is complete."""
        AnswerCollector(
            rest,
            served.body,
            RESPONSE_BODY_MAX_BYTES,
            self.gateway.memory,
            lambda body: self.send(
                pending, served.head + b"Content-Length: %d\r\n" % len(body), body
            ),
            lambda cause: self.send_error(pending, 502, cause),
        )

    def answer_rejected(self, request: Request, rejected: Rejected) -> None:
        """Reject a request that did not become a call and may be retried."""
        self.send_rejected(self.add_pending(request), rejected)

    def answer_error(self, request: Request, status: int, detail: str) -> None:
        """Answer an invalid request with an error."""
        self.send_error(self.add_pending(request), status, detail)

    def end_with_error(self, status: int, detail: str, lines: bytes = b"") -> None:
        """Answer an incomplete or malformed request and close the connection afterwards."""
        self.reading_ended = True
        self.requests.discard()
        pending = PendingAnswer(True)
        self.pending.append(pending)
        self.send_error(pending, status, detail, lines)
        self.update_memory()

    def send_rejected(self, pending: PendingAnswer, rejected: Rejected) -> None:
        """Send an error response for a request that did not run, with the time for a retry."""
        retry_after = b""
        if rejected.retry_after_us:
            retry_after = b"Retry-After: %.3f\r\n" % (rejected.retry_after_us / SECOND)
        self.send_error(pending, 503, rejected.code, retry_after)

    def send_error(
        self, pending: PendingAnswer, status: int, detail: str, lines: bytes = b""
    ) -> None:
        """Send an error response with a JSON body, which isn't sent in response to HEAD."""
        body = json.dumps({self.gateway.dialect.error_field: detail}).encode()
        head = b"%s%sContent-Type: application/json\r\nContent-Length: %d\r\n" % (
            status_line(status),
            lines,
            len(body),
        )
        self.send(pending, head, b"" if pending.to_head else body)

    def send(self, ready: PendingAnswer, head: bytes, body: Bytes) -> None:
        """Store a response and send all responses that are next in order."""
        ready.data = head, body
        if self.pending[0] is ready:
            self.send_next()
            return
        size = len(head) + len(body)
        ready.held_bytes += size
        self.pending_bytes += size
        self.update_memory()

    def send_next(self) -> None:
        """Send all responses that are next in order, up to one that is still arriving."""
        pending = self.pending
        out: list[Bytes] = []
        closed = False
        long_answer: PendingAnswer | None = None
        while pending and (data := pending[0].data) is not None and not closed:
            answer = pending[0]
            self.keep_alive_sent = True
            if answer.rest is not None:
                long_answer = answer
                answer.data = None
                answer.close = answer.close or (self.gateway.closing and len(pending) == 1)
                end = CLOSE_LINE if answer.close else KEEP_ALIVE_LINE
                out += [data[0], answer.framing(), end, answer.framed(data[1])]
                break
            self.drop_first()
            closed = answer.close or self.is_last_answer()
            out += [data[0], CLOSE_LINE if closed else KEEP_ALIVE_LINE, data[1]]
        if self.connection.closed:
            self.cancel_rest(long_answer)
            return
        for part in joined_parts(out):
            self.connection.send(part)
        self.after_answer(closed)
        if long_answer is not None and long_answer.rest is not None:
            self.connection.on_drained = self.on_drained
            long_answer.rest.attach(self)

    def drop_first(self) -> None:
        """Remove the first pending answer, which is sent."""
        answered = self.pending.popleft()
        self.pending_bytes -= answered.held_bytes
        self.pending_body_bytes -= answered.body_bytes

    def after_answer(self, closed: bool) -> None:
        """Close the connection, or read further requests, after responses were sent."""
        if closed:
            self.finish()
        elif len(self.pending) < PENDING_REQUESTS_MAX // 2 and not self.is_busy():
            self.connection.resume()
        if not closed:
            self.send_continue()
        self.last_activity_at = monotonic_us()
        self.update_memory()

    def on_part(self, part: Bytes) -> None:
        """Send a part of a long response; no more of it is read until the caller has taken some."""
        answer = self.pending[0]
        self.connection.send(answer.framed(part))
        self.update_memory()
        if answer.rest is not None and self.connection.unsent_size > self.unsent_high_bytes():
            answer.rest.pause()

    def unsent_high_bytes(self) -> int:
        """Return how much of a long response may wait for the caller."""
        return UNSENT_LOW_BYTES if self.gateway.memory.is_pressed() else UNSENT_HIGH_BYTES

    def on_drained(self) -> None:
        """Have a long response read further once the caller has taken enough."""
        self.memory.begin_request()  # reading is progress
        self.update_memory()
        rest = self.pending[0].rest if self.pending else None
        if rest is not None and self.connection.unsent_size <= self.unsent_high_bytes() // 2:
            rest.resume()

    def on_complete(self) -> None:
        """End a long response, and send those behind it."""
        answer = self.pending[0]
        if answer.rest is not None and answer.rest.length is None:
            self.connection.send(LAST_CHUNK)
        answer.rest = None
        self.drop_first()
        self.after_answer(answer.close)
        if self.pending and not answer.close:
            self.send_next()

    def on_broken(self, cause: str) -> None:
        """Close the connection, so that a long response doesn't look complete."""
        self.pending[0].rest = None
        self.drop_first()
        self.finish()
        self.cancel_pending()
        self.update_memory()

    def cancel_rest(self, answer: PendingAnswer | None) -> None:
        """Have the rest of a response not read."""
        if answer is not None and answer.rest is not None:
            answer.rest.cancel()

    def is_last_answer(self) -> bool:
        """Return whether the connection is closed after this response because of a shutdown.

        Requests that were already read are answered first, as they may run.
        """
        return self.gateway.closing and not self.pending

    def check_timeouts(self, now: int) -> None:
        """Enforce the time-outs for heads, stalled bodies, idle connections and blocked writes."""
        limits, connection = self.gateway.limits, self.connection
        self.update_memory()
        if connection.unsent_size:  # the time-out of a blocked write applies
            self.last_activity_at = now
        idle = not self.pending and not self.requests.in_progress
        if connection.blocked_since and now - connection.blocked_since > BLOCKED_WRITE_TIMEOUT_US:
            self.drop()
        elif (
            self.partial_request_since
            and self.requests.in_head
            and now - self.partial_request_since > limits.header_us
        ):
            self.partial_request_since = 0
            self.end_with_error(408, "the request's head took too long")
        elif (
            self.requests.in_progress
            and not self.requests.in_head
            and not self.pending
            and connection.read_paused is None
            and now - self.last_activity_at > limits.idle_us
        ):
            self.end_with_error(408, "the request's body makes no progress")
        elif idle and now - self.last_activity_at > self.idle_max_us():
            self.drop()
        elif (
            connection.read_paused is not None
            and len(self.pending) < PENDING_REQUESTS_MAX // 2
            and connection.unsent_size == 0
            and not self.is_busy()
        ):
            connection.resume()

    def idle_max_us(self) -> int:
        """Return the idle time-out of the connection.

        It is the configured one, unless a shorter one was announced to the caller, which does not use
        the connection after that time.
        """
        idle_us = self.gateway.limits.idle_us
        return min(idle_us, KEEP_ALIVE_US) if self.keep_alive_sent else idle_us

    def close_if_idle(self) -> None:
        """Close the connection if it has no pending request; called at shutdown."""
        if not self.pending and not self.requests.in_progress:
            self.finish()

    def finish(self) -> None:
        """Close the connection once all responses are sent."""
        self.reading_ended = True
        self.requests.discard()
        self.connection.finish()

    def drop(self) -> None:
        """Close the connection now."""
        self.reading_ended = True
        self.connection.close()
        self.on_end("dropped")

    def on_end(self, cause: object) -> None:
        """Cancel the pending calls after the connection has ended.

        See `Dispatcher.cancel` for which of them still run to their end.
        """
        self.reading_ended = True
        self.requests.discard()
        self.gateway.forget(self)
        self.cancel_pending()

    def cancel_pending(self) -> None:
        """Cancel the calls whose answers can't be sent any more."""
        for pending in list(self.pending):
            if pending.call is not None:
                self.gateway.dispatcher.cancel(pending.call)
