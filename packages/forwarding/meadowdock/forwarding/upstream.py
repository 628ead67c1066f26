"""Connections to the endpoints on this machine; each carries one call at a time.

A response is bounded by kind while it arrives, and in the account of the process until it is passed on:
a short one once it is complete, a longer one while it arrives (`answer_stream`).
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from meadowdock.forwarding.answer_stream import (
    LATE_READER_CHECK_US,
    WHOLE_ANSWER_MAX_BYTES,
    AnswerStream,
)
from meadowdock.forwarding.byte_parts import Bytes, joined_parts
from meadowdock.forwarding.call import Call, Served
from meadowdock.forwarding.outcome_codes import (
    BAD_ANSWER,
    BUSY,
    CANCELLED,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    NO_ANSWER,
    NO_ENDPOINT,
    NO_MEMORY,
)
from meadowdock.forwarding.response_check import (
    FOREIGN,
    NOT_RUN,
    OTHER_INSTANCE,
    VALID,
    ResponseCheck,
    Verdict,
    reported_load,
)
from meadowdock.forwarding.response_parser import (
    Response,
    ResponseParser,
    length_line,
    response_head,
)
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us
from meadowdock.runtime.http_messages import COSTLY_STEPS

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Connection, Endpoint
    from meadowdock.forwarding.local_calls import LocalCalls
    from meadowdock.runtime.client_memory import MemoryEntry

KEEP_ALIVE_US = 8 * SECOND  # the idle time-out if the endpoint does not announce one
# An idle connection is used no longer than until this time before the end of the announced idle
# time-out, since the endpoint closes it by itself then.
KEEP_ALIVE_MARGIN_US = 700 * MILLISECOND
CONNECT_TIMEOUT_US = 500 * MILLISECOND
RESPONSE_BODY_MAX_BYTES = 64 << 20
ANSWERED_IDS_MAX = 32  # earlier calls of a connection whose duplicate responses are recognized
# An endpoint stops by itself at the deadline; this is the time after it for the response to arrive.
GRACE_US = 25 * MILLISECOND


class UpstreamConnection:
    """One connection to an endpoint.

    Invariants: call is the one that was sent and whose response has not been read to its end;
    answered_ids holds the ids of the latest calls before it, whose duplicate responses may still
    arrive; a connection is in its pool's idle list iff it is open, can be reused and has no call;
    memory is not None iff there is a call that was sent; stream is set once the response to the call is
    passed on while it arrives.

    :ivar is_costly: what was read last was costly to parse.
    """

    __slots__ = (
        "pool",
        "connection",
        "responses",
        "call",
        "answered_ids",
        "idle_until",
        "memory",
        "stream",
        "is_costly",
    )

    def __init__(self, pool: UpstreamPool, call: Call) -> None:
        self.pool = pool
        self.connection: Connection | None = None  # until it is open
        self.call: Call | None = call
        self.answered_ids: deque[bytes] = deque(maxlen=ANSWERED_IDS_MAX)
        self.responses = ResponseParser(pool.check.mesh_header_names, RESPONSE_BODY_MAX_BYTES)
        self.idle_until = 0
        self.memory: MemoryEntry | None = None
        self.stream: AnswerStream | None = None
        self.is_costly = False

    def on_open(self, connection: Connection) -> None:
        """Report the open connection to the pool."""
        self.connection = connection
        self.pool.on_connected(self)

    def on_fail(self, cause: object) -> None:
        """Report to the pool that no connection could be opened."""
        call, self.call = self.call, None
        self.pool.on_connect_failed(call)

    def send(self, call: Call) -> None:
        """Send a call to the endpoint."""
        assert self.connection is not None
        self.call = call
        self.memory = self.pool.dispatcher.memory.open(self)
        self.responses.expect(call.is_head)
        for part in joined_parts(self.pool.request_parts(call)):
            self.connection.send(part)

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the endpoint."""
        responses, call = self.responses, self.call
        if call is None:
            self.drop()  # bytes that belong to no call
            return
        responses.feed(data)
        self.is_costly = responses.bounds.step_count > COSTLY_STEPS
        if self.stream is not None:
            self.continue_stream(call, self.stream)
            return
        response = self.next_response()
        if response is not None:
            self.release_call()
            self.answered_ids.append(call.id)
            self.pool.on_response(self, call, response)
        elif responses.malformed:
            self.pool.report_refusal(responses.refusal)
            self.release_call()
            self.drop()
            self.pool.dispatcher.on_outcome_unknown(call, BAD_ANSWER)
        elif responses.body.size > WHOLE_ANSWER_MAX_BYTES and responses.head is not None:
            self.on_long_response(call, responses.head)
        else:
            self.account_for(len(data))

    def account_for(self, received: int) -> None:
        """Enter what is held of the response into the account; this connection may be given up."""
        assert self.memory is not None
        self.memory.received(received, is_complete=False)
        self.memory.resize(self.responses.held_bytes)
        self.memory.memory.relieve()

    def on_long_response(self, call: Call, head: Response) -> None:
        """Pass a response on while it arrives, if it belongs to the call.

        The body of a duplicate response to an earlier call is dropped.
        """
        if head.mesh_headers.get(self.pool.check.call_id_name) in self.answered_ids:
            self.responses.take_part()
            return
        self.answered_ids.append(call.id)
        if self.pool.check_response(self, call, head) is not VALID:
            self.release_call()
            self.drop()
            return
        assert self.connection is not None
        stream = self.stream = AnswerStream(self, head.length)
        self.connection.pause()
        part = self.responses.take_part()
        self.account_for(0)
        served = self.pool.served(call, head, part, stream)
        self.pool.dispatcher.begin_answer(call, served)

    def continue_stream(self, call: Call, stream: AnswerStream) -> None:
        """Pass on what was read of a long response."""
        responses = self.responses
        response = self.next_response()
        if response is not None:
            self.end_stream(call)
            stream.push(response.body)
            stream.complete()
            self.resume_answer()
            self.pool.reuse_or_close(self, call, response, monotonic_us())
        elif responses.malformed:
            self.pool.report_refusal(responses.refusal)
            self.end_stream(call, BAD_ANSWER)
            self.drop()
            stream.break_off(BAD_ANSWER)
        else:
            stream.push(responses.take_part())

    def end_stream(self, call: Call, cause: str = "") -> None:
        """Release the call whose response was passed on, to its end or until it broke off."""
        self.stream = None
        self.release_call()
        self.pool.local_calls.on_stream_ended(call, cause)

    def pause_answer(self) -> None:
        """Stop reading the response."""
        if self.connection is not None:
            self.connection.pause()

    def resume_answer(self) -> None:
        """Continue to read the response."""
        if self.connection is not None:
            self.connection.resume()

    def cancel_answer(self) -> None:
        """Close the connection, as the rest of the response isn't wanted."""
        if self.call is not None and self.stream is not None:
            self.end_stream(self.call, CANCELLED)
        self.drop()

    def may_be_given_up(self) -> bool:
        """Return whether the response is incomplete."""
        return self.call is not None and self.stream is None

    def give_up(self) -> None:
        """Close the connection, as the memory of the response is needed."""
        call = self.call
        self.pool.report_refusal("no memory for it")
        self.release_call()
        self.drop()
        if call is not None:
            self.pool.dispatcher.on_outcome_unknown(call, NO_MEMORY)

    def release_call(self) -> None:
        """Forget the call, and what its response took of the account."""
        self.call = None
        if self.memory is not None:
            self.memory.close()
            self.memory = None

    def next_response(self) -> Response | None:
        """Return the next response, skipping duplicate responses to earlier calls."""
        complete = self.responses.complete
        while complete:
            response = complete.pop(0)
            if self.stream is not None:
                return response
            if response.mesh_headers.get(self.pool.check.call_id_name) not in self.answered_ids:
                return response
        return None

    def reusable(self, call: Call) -> bool:
        """Return whether nothing but the call's response was received."""
        responses = self.responses
        excess = responses.complete or responses.in_progress or responses.malformed
        return not (excess or call.is_head)

    def on_end(self, cause: object) -> None:
        """Report the outcome of the call as unknown after the connection has ended."""
        call, stream = self.call, self.stream
        self.discard()
        if call is None:
            return
        if stream is None:
            self.release_call()
            self.pool.dispatcher.on_outcome_unknown(call, CONNECTION_LOST)
        else:
            self.pool.report_refusal("broken off")
            self.end_stream(call, CONNECTION_LOST)
            stream.break_off(CONNECTION_LOST)

    def drop(self) -> None:
        """Close the connection."""
        self.discard()
        if self.connection is not None:
            self.connection.close()

    def discard(self) -> None:
        """Remove the connection from the pool, and release what was parsed."""
        self.pool.discard(self)
        self.responses.discard()


class UpstreamPool:
    """The connections to one endpoint.

    Invariants: open connections are in `connections` until they end; idle is a subset of them, the
    most recently used last, and no more than the endpoint has slots; no connection is idle once the endpoint is removed; opening is the
    number of connections that are being opened.
    """

    def __init__(self, local_calls: LocalCalls, endpoint: Endpoint) -> None:
        self.local_calls, self.endpoint = local_calls, endpoint
        self.dispatcher = dispatcher = local_calls.dispatcher
        self.dialect = dispatcher.dialect
        self.check = ResponseCheck(self.dialect)
        self.load_name = self.dialect.load.lower()
        self.connections: set[UpstreamConnection] = set()
        self.idle: list[UpstreamConnection] = []
        self.opening = 0

    def run(self, call: Call, now: int) -> None:
        """Send a call that has taken a slot now."""
        call.dispatched_at = now
        # A retry must use another connection: on the former one a late duplicate of the first
        # response could not be distinguished from the new response.
        for idle in [each for each in reversed(self.idle) if call.id not in each.answered_ids]:
            self.idle.remove(idle)
            if idle.idle_until > now:
                self.send(idle, call)
                return
            idle.drop()
        self.opening += 1
        deadline = min(call.deadline, now + CONNECT_TIMEOUT_US)
        opening = UpstreamConnection(self, call)
        self.dispatcher.network.dial(self.endpoint.address, deadline, opening)

    def send(self, upstream: UpstreamConnection, call: Call) -> None:
        """Send a call on an open connection and set its timer."""
        call.attempts += 1
        call.timer = self.dispatcher.reactor.call_at(
            call.deadline + GRACE_US, lambda: self.on_deadline(call)
        )
        upstream.send(call)

    def on_connected(self, upstream: UpstreamConnection) -> None:
        """Send the call for which a connection was opened, if it may still run here."""
        self.opening -= 1
        self.connections.add(upstream)
        call, now = upstream.call, monotonic_us()
        if call is None or call.on_outcome is None:
            upstream.call = None
            self.add_idle(upstream, KEEP_ALIVE_US, now)
        elif self.endpoint.removed or self.endpoint.draining or now >= call.deadline:
            upstream.call = None
            self.add_idle(upstream, KEEP_ALIVE_US, now)
            self.local_calls.on_not_run(
                call, DEADLINE_PASSED if now >= call.deadline else NO_ENDPOINT
            )
        else:
            self.send(upstream, call)

    def on_connect_failed(self, call: Call | None) -> None:
        """Report that the connection for a call could not be opened."""
        self.opening -= 1
        if call is not None and call.on_outcome is not None:
            self.local_calls.on_connect_failed(call, self.endpoint)

    def request_parts(self, call: Call) -> list[Bytes]:
        """Return a call as it is sent to the endpoint now, with its remaining time."""
        dialect = self.dialect
        left = max(0, call.deadline - monotonic_us()) // dialect.deadline_unit_us
        return [
            call.head,
            b"%s: %d\r\n%s: %s\r\n\r\n"
            % (
                dialect.deadline,
                left,
                dialect.target_instance,
                self.endpoint.incarnation.encode(),
            ),
            call.body,
        ]

    def on_response(self, upstream: UpstreamConnection, call: Call, response: Response) -> None:
        """Handle a complete response."""
        self.reuse_or_close(upstream, call, response, monotonic_us())
        if self.check_response(upstream, call, response) is VALID:
            self.local_calls.on_answered(call, self.served(call, response, response.body))

    def check_response(
        self, upstream: UpstreamConnection, call: Call, response: Response
    ) -> Verdict:
        """Check that a response belongs to the call and whether the call ran.

        If there is none to pass on, the call is placed again or ends.
        """
        load = reported_load(response.mesh_headers.get(self.load_name))
        if load is not None:
            self.endpoint.reported_load, self.endpoint.reported_load_at = load, monotonic_us()
        verdict = self.check.verdict(response, call.id, len(upstream.answered_ids) == 1)
        if verdict is NOT_RUN:
            self.local_calls.on_not_run(call, BUSY)
        elif verdict is OTHER_INSTANCE:
            self.local_calls.on_other_instance(self.endpoint)
            self.local_calls.on_not_run(call, NO_ENDPOINT)
        elif verdict is not VALID:
            if verdict is FOREIGN:
                upstream.drop()
            self.dispatcher.on_outcome_unknown(call, BAD_ANSWER)
        return verdict

    def served(
        self,
        call: Call,
        response: Response,
        body: bytes | bytearray,
        rest: AnswerStream | None = None,
    ) -> Served:
        """Return the outcome of a call whose response is valid.

        :param rest: what is still to arrive of a long response.
        """
        response.lines = self.check.lines_for_caller(response, call.id)
        head = response_head(response)
        if rest is None:
            head += length_line(response, call.is_head)
        return Served(head, body, response.status, rest)

    def report_refusal(self, cause: str) -> None:
        """Log and count that the endpoint's response can't be passed on, or not to its end."""
        self.dispatcher.counts["endpoint.refused_answer"] += 1
        self.dispatcher.log_refusal.count(cause, monotonic_us(), address=self.endpoint.address)

    def reuse_or_close(
        self, upstream: UpstreamConnection, call: Call, response: Response, now: int
    ) -> None:
        """Reuse the connection, unless a later response on it could be attributed wrongly.

        A response without an id can't be distinguished from that of another call if a duplicate of it
        arrives later.
        """
        has_id = self.check.call_id_name in response.mesh_headers
        if not has_id or not response.keep_alive or not upstream.reusable(call):
            upstream.drop()
        elif response.keep_alive_s is None:
            self.add_idle(upstream, KEEP_ALIVE_US, now)
        else:
            self.add_idle(upstream, response.keep_alive_s * SECOND - KEEP_ALIVE_MARGIN_US, now)

    def on_deadline(self, call: Call) -> None:
        """Give up waiting for a response after the deadline, and close the connection.

        An answer that waits for its reader alone is left to the reader's time-out.
        """
        stream = call.stream
        if stream is None:
            if self.abort(call):
                self.dispatcher.on_outcome_unknown(call, NO_ANSWER)
        elif stream.waits_for_reader(monotonic_us()):
            call.timer = self.dispatcher.reactor.call_at(
                monotonic_us() + LATE_READER_CHECK_US, lambda: self.on_deadline(call)
            )
        else:
            self.report_refusal("not complete by the deadline")
            stream.abort(NO_ANSWER)

    def abort(self, call: Call) -> bool:
        """Abort a call by closing its connection, at which the endpoint stops working on it.

        Return whether the call was on an open connection.
        """
        for upstream in self.connections:
            if upstream.call is call:
                upstream.release_call()
                upstream.drop()
                return True
        return False

    def add_idle(self, upstream: UpstreamConnection, keep_alive_us: int, now: int) -> None:
        """Keep a connection that has no call for reuse within the given time."""
        assert upstream.connection is not None
        if self.endpoint.removed or keep_alive_us <= 0 or upstream.connection.closed:
            upstream.drop()
            return
        upstream.idle_until = now + keep_alive_us
        self.idle.append(upstream)
        while len(self.idle) > max(1, self.endpoint.capacity):
            self.idle[0].drop()

    def discard(self, upstream: UpstreamConnection) -> None:
        """Remove a connection that is closed or about to be closed."""
        self.connections.discard(upstream)
        if upstream in self.idle:
            self.idle.remove(upstream)

    def close_expired(self, now: int) -> None:
        """Close idle connections that have expired, or all if the endpoint was removed."""
        for idle in [o for o in self.idle if o.idle_until <= now or self.endpoint.removed]:
            idle.drop()
