"""Connections to the endpoints on this machine: one call at a time on each."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Served
from meadowdock.forwarding.http import Response, ResponseParser, response_head
from meadowdock.forwarding.outcome_codes import BAD_ANSWER, BUSY, GONE, LATE, LOST, NO_ANSWER
from meadowdock.forwarding.response_check import (
    FOREIGN,
    NOT_RUN,
    OTHER_INSTANCE,
    VALID,
    ResponseCheck,
    reported_load,
)
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Connection, Endpoint
    from meadowdock.forwarding.local_calls import LocalCalls

KEEP_ALIVE_US = 8 * SECOND  # an idle connection is used no longer, if the endpoint says nothing
KEEP_ALIVE_MARGIN_US = 700 * MILLISECOND  # before an endpoint closes an idle connection by itself
CONNECT_TIMEOUT_US = 500 * MILLISECOND
BODY_MAX = 64 << 20  # bytes of a response
EARLIER_CALLS_MAX = 32  # calls of a connection whose second responses are recognized
GRACE_US = (
    25 * MILLISECOND
)  # an endpoint ends its work at the deadline by itself; its answer follows


class UpstreamConnection:
    """One connection to an endpoint.

    Invariants: call is the one that was sent and not answered; earlier_ids holds the ids of the latest
    calls answered before it, whose second responses may still come; a connection is in its pool's
    idle list iff it is open, in order and has no call.
    """

    __slots__ = ("pool", "connection", "responses", "call", "earlier_ids", "idle_until")

    def __init__(self, pool: UpstreamPool, call: Call) -> None:
        self.pool = pool
        self.connection: Connection | None = None  # until it is open
        self.call: Call | None = call
        self.earlier_ids: deque[bytes] = deque(maxlen=EARLIER_CALLS_MAX)
        self.responses = ResponseParser(pool.check.names, BODY_MAX)
        self.idle_until = 0

    def on_open(self, connection: Connection) -> None:
        """The endpoint took the connection."""
        self.connection = connection
        self.pool.opened(self)

    def on_fail(self, cause: object) -> None:
        """The endpoint took no connection."""
        call, self.call = self.call, None
        self.pool.not_opened(call)

    def send(self, call: Call) -> None:
        """Send a call to the endpoint."""
        assert self.connection is not None
        self.call = call
        self.responses.to_head = call.is_head
        self.connection.send(self.pool.request_bytes(call))

    def on_data(self, data: bytes) -> None:
        """Bytes of the endpoint."""
        responses, call = self.responses, self.call
        if call is None:
            self.drop()  # bytes that belong to no call
            return
        responses.feed(data)
        response = self.next_response()
        if response is not None:
            self.call = None
            self.earlier_ids.append(call.id)
            self.pool.answered(self, call, response)
        elif responses.malformed:
            self.call = None
            self.drop()
            self.pool.dispatcher.outcome_unknown(call, BAD_ANSWER)

    def next_response(self) -> Response | None:
        """The first response that came, but for late second ones to earlier calls."""
        complete = self.responses.complete
        while complete:
            response = complete.pop(0)
            if response.facts.get(self.pool.check.call_id_name) not in self.earlier_ids:
                return response
        return None

    def reusable(self, call: Call) -> bool:
        """Whether nothing but the call's response came."""
        responses = self.responses
        excess = responses.complete or responses.in_progress or responses.malformed
        return not (excess or call.is_head)

    def on_end(self, cause: object) -> None:
        """The connection broke."""
        self.pool.forget(self)
        call, self.call = self.call, None
        if call is not None:
            self.pool.dispatcher.outcome_unknown(call, LOST)

    def drop(self) -> None:
        """Close it."""
        self.pool.forget(self)
        if self.connection is not None:
            self.connection.close()


class UpstreamPool:
    """The connections to one endpoint.

    Invariants: open connections are in `connections` until they end; idle is a part of it, the last
    used last; nothing is idle once the endpoint is gone; opening counts those that are dialled.
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

    # ------------------------------------------------------------ sending

    def run(self, call: Call, at: int) -> None:
        """Send a call, which holds a slot since a time."""
        call.dispatched_at = at
        # a call that comes again goes over another connection: on its former one a late second
        # response couldn't be told from the new one
        for idle in [each for each in reversed(self.idle) if call.id not in each.earlier_ids]:
            self.idle.remove(idle)
            if idle.idle_until > at:
                self.send(idle, call)
                return
            idle.drop()
        self.opening += 1
        deadline = min(call.deadline, at + CONNECT_TIMEOUT_US)
        opening = UpstreamConnection(self, call)
        self.dispatcher.network.dial(self.endpoint.address, deadline, opening)

    def send(self, upstream: UpstreamConnection, call: Call) -> None:
        """Send a call on an open connection."""
        call.attempts += 1
        call.timer = self.dispatcher.reactor.at(
            call.deadline + GRACE_US, lambda: self.overdue(call)
        )
        upstream.send(call)

    def opened(self, upstream: UpstreamConnection) -> None:
        """A connection is open: send its call, if that may still run here."""
        self.opening -= 1
        self.connections.add(upstream)
        call, at = upstream.call, monotonic_us()
        if call is None or call.on_outcome is None:
            upstream.call = None
            self.keep(upstream, KEEP_ALIVE_US, at)
        elif self.endpoint.removed or self.endpoint.draining or at >= call.deadline:
            upstream.call = None
            self.keep(upstream, KEEP_ALIVE_US, at)
            self.local_calls.not_run(call, LATE if at >= call.deadline else GONE)
        else:
            self.send(upstream, call)

    def not_opened(self, call: Call | None) -> None:
        """A connection could not be opened."""
        self.opening -= 1
        if call is not None and call.on_outcome is not None:
            self.local_calls.no_connection(call, self.endpoint)

    def request_bytes(self, call: Call) -> bytes:
        """A call as it is sent to the endpoint now."""
        dialect = self.dialect
        left = max(0, call.deadline - monotonic_us()) // dialect.deadline_unit_us
        return b"".join(
            [
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
        )

    # ------------------------------------------------------------ responses

    def answered(self, upstream: UpstreamConnection, call: Call, response: Response) -> None:
        """A response to a call came: is it the call's, and did the call run?"""
        at = monotonic_us()
        load = reported_load(response.facts.get(self.load_name))
        if load is not None:
            self.endpoint.reported_load, self.endpoint.reported_load_at = load, at
        self.keep_or_drop(upstream, call, response, at)
        verdict = self.check.verdict(response, call.id, len(upstream.earlier_ids) == 1)
        if verdict is VALID:
            response.lines = self.check.lines_for_caller(response, call.id)
            head = response_head(response, call.is_head)
            self.local_calls.answered(call, Served(head, response.body, response.status))
        elif verdict is NOT_RUN:
            self.local_calls.not_run(call, BUSY)
        elif verdict is OTHER_INSTANCE:
            self.local_calls.other_instance(self.endpoint)
            self.local_calls.not_run(call, GONE)
        else:
            if verdict is FOREIGN:
                upstream.drop()
            self.dispatcher.outcome_unknown(call, BAD_ANSWER)

    def keep_or_drop(
        self, upstream: UpstreamConnection, call: Call, response: Response, at: int
    ) -> None:
        """Use the connection again, unless a later response on it could be mistaken for another:
        one without an id can't be told from another call's when it comes again."""
        has_id = self.check.call_id_name in response.facts
        if not has_id or not response.keep_alive or not upstream.reusable(call):
            upstream.drop()
        elif response.keep_alive_s is None:
            self.keep(upstream, KEEP_ALIVE_US, at)
        else:
            self.keep(upstream, response.keep_alive_s * SECOND - KEEP_ALIVE_MARGIN_US, at)

    def overdue(self, call: Call) -> None:
        """The endpoint says nothing by the deadline: its connection can't be used again."""
        if self.abandon(call):
            self.dispatcher.outcome_unknown(call, NO_ANSWER)

    def abandon(self, call: Call) -> bool:
        """Break a call off: an endpoint ends its work when the connection closes. Gives whether the
        call was on an open connection."""
        for upstream in self.connections:
            if upstream.call is call:
                upstream.call = None
                upstream.drop()
                return True
        return False

    # ------------------------------------------------------------ idle connections

    def keep(self, upstream: UpstreamConnection, keep_alive_us: int, at: int) -> None:
        """The connection has no call since a time; use it again within so long."""
        assert upstream.connection is not None
        if self.endpoint.removed or keep_alive_us <= 0 or upstream.connection.closed:
            upstream.drop()
            return
        upstream.idle_until = at + keep_alive_us
        self.idle.append(upstream)

    def forget(self, upstream: UpstreamConnection) -> None:
        """The connection is closed, or about to be."""
        self.connections.discard(upstream)
        if upstream in self.idle:
            self.idle.remove(upstream)

    def close_expired(self, at: int) -> None:
        """Close idle connections that the endpoint is about to close, or all once it is gone."""
        for idle in [o for o in self.idle if o.idle_until <= at or self.endpoint.removed]:
            idle.drop()
