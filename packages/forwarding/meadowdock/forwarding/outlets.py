"""Connections to the endpoints on this machine: one call at a time on each, and what an answer says."""

from __future__ import annotations

from collections import deque

from meadowdock.forwarding.call import Refused, Served
from meadowdock.forwarding.http import Answers, answer_head
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

ALIVE = 8 * SECOND  # an idle connection is used no longer, if the endpoint says nothing
MARGIN = 700 * MILLISECOND  # before an endpoint closes an idle connection by itself
OPEN_WAIT = 500 * MILLISECOND
ANSWER_MAX = 64 << 20
EARLIER_MAX = 32  # calls of a connection whose second answers are known as such
LATE = 25 * MILLISECOND  # an endpoint ends its work at the due by itself; its answer is on the way


class Outlet:
    """One connection. Invariants: call is the one that was sent and not answered; earlier holds the
    ids of the latest calls answered before it, whose second answers may still come; an outlet lies
    in its pool's idle list iff it is open, whole and has no call."""

    __slots__ = ("pool", "wire", "answers", "call", "earlier", "idle_until", "used", "sent")

    def __init__(self, pool):
        self.pool = pool
        self.wire = self.call = None
        self.earlier = deque(maxlen=EARLIER_MAX)
        self.answers = Answers(pool.names, ANSWER_MAX)
        self.idle_until = 0
        self.used = self.sent = False

    def on_open(self, wire):
        self.wire = wire
        self.pool.opened(self)

    def on_fail(self, cause):
        call, self.call = self.call, None
        self.pool.opening -= 1
        if call is not None:
            self.pool.unsent(call, cause)

    def send(self, call):
        self.call, self.sent = call, True
        self.answers.bare = call.bare
        self.wire.send(self.pool.request_of(call))

    def on_data(self, data):
        answers, call = self.answers, self.call
        if call is None:
            self.drop()  # bytes that belong to no call
            return
        answers.feed(data)
        answer = None
        while answers.whole and answer is None:
            found = answers.whole.pop(0)
            if found.facts.get(self.pool.id_name) in self.earlier:
                continue  # an earlier call's second answer, late
            answer = found
        if answer is not None:
            self.call = None
            spare = answers.whole or answers.partial or answers.broken or call.bare
            self.earlier.append(call.id)
            self.pool.answered(self, call, answer, spare)
        elif answers.broken:
            self.call = None
            self.drop()
            self.pool.lost(call, "bad_answer")

    def on_end(self, cause):
        self.pool.forget(self)
        call, self.call = self.call, None
        if call is not None:
            self.pool.lost(call, "lost")

    def drop(self):
        self.pool.forget(self)
        if self.wire is not None:
            self.wire.close()


class Pool:
    """Connections to one endpoint. Invariants: opened outlets are in `outlets` until they end;
    idle is a part of it, the last used last; nothing is idle once the endpoint is gone."""

    def __init__(self, gate, endpoint):
        self.gate, self.endpoint = gate, endpoint
        self.dialect, self.names = gate.dialect, gate.dialect.names
        words = gate.dialect
        self.id_name, self.stamp_name = words.call_id.lower(), words.stamp.lower()
        self.load_name, self.not_run_name = words.load.lower(), words.not_run.lower()
        self.outlets, self.idle = set(), []
        self.opening = 0

    # ------------------------------------------------------------ sending

    def run(self, call):
        """The call holds a slot here already."""
        at = monotonic_us()
        call.begun = at
        # a call that comes again goes over another connection: on its former one a late second
        # answer couldn't be told from the new one
        for outlet in [o for o in reversed(self.idle) if call.id not in o.earlier]:
            self.idle.remove(outlet)
            if outlet.idle_until > at:
                self.sending(call)
                outlet.send(call)
                return
            outlet.drop()
        outlet = Outlet(self)
        outlet.call = call
        self.opening += 1
        due = min(call.due, at + OPEN_WAIT)
        self.gate.wires.dial(self.endpoint.address, due, outlet)

    def sending(self, call):
        call.sends += 1
        call.timer = self.gate.reactor.at(call.due + LATE, lambda: self.overdue(call))

    def opened(self, outlet):
        self.opening -= 1
        self.outlets.add(outlet)
        call = outlet.call
        if call is None or call.end is None:
            outlet.call = None
            self.keep(outlet, ALIVE)
        elif self.endpoint.removed or self.endpoint.draining or monotonic_us() >= call.due:
            outlet.call = None
            self.keep(outlet, ALIVE)
            self.gate.not_run(call, "late" if monotonic_us() >= call.due else "gone")
        else:
            self.sending(call)
            outlet.send(call)

    def request_of(self, call):
        dialect = self.dialect
        left = max(0, call.due - monotonic_us()) // dialect.deadline_unit_us
        return b"".join(
            [
                call.head,
                b"%s: %d\r\n%s: %s\r\n\r\n"
                % (dialect.deadline, left, dialect.instance, self.endpoint.incarnation.encode()),
                call.body,
            ]
        )

    # ------------------------------------------------------------ what comes back

    def answered(self, outlet, call, answer, spare):
        facts, status = answer.facts, answer.status
        told_id = facts.get(self.id_name)
        self.load_told(facts.get(self.load_name))
        # what carries no id can't be told from another's when it comes again
        if spare or told_id is None or not answer.keep:
            outlet.drop()
        else:
            alive = ALIVE if answer.alive_s is None else answer.alive_s * SECOND - MARGIN
            self.keep(outlet, alive)
        if told_id is not None and told_id != call.id:
            outlet.drop()
            self.lost(call, "bad_answer")
            return
        if told_id is None and len(outlet.earlier) > 1:
            # on a connection that carried others before, it may be the second answer to one of them
            self.lost(call, "bad_answer")
            return
        if status == 421 or self.not_run_name in facts:
            if status == 421:
                self.gate.other_endpoint(self.endpoint)
            self.gate.not_run(call, "gone" if status == 421 else "busy")
            return
        if told_id is None or (status < 300 and self.stamp_name and self.stamp_name not in facts):
            outlet.drop()
            self.lost(call, "bad_answer")
            return
        if any(name.lower() == b"content-encoding" for name, _ in answer.lines):
            self.lost(call, "bad_answer")
            return
        if status in (408, 429, 503):
            # nobody promised that it did not run: these words would
            self.lost(call, "bad_answer")
            return
        lines = [
            (self.dialect.call_id, told_id),
            *([(self.dialect.stamp, facts[self.stamp_name])] if self.stamp_name in facts else []),
            *((n, v) for n, v in answer.lines if n.lower() not in self.names),
        ]
        answer.lines = lines
        self.gate.ended(call, Served(answer_head(answer, call.bare), answer.body, status))

    def load_told(self, value):
        """How full the endpoint says it is: running, waiting, slots."""
        if value is None:
            return
        try:
            running, waiting, slots = (int(part) for part in value.split(b","))
        except ValueError:
            return
        if slots > 0:
            self.endpoint.reported_load, self.endpoint.reported_load_at = (
                min(1.0, (running + waiting) / slots),
                monotonic_us(),
            )

    def overdue(self, call):
        """The endpoint says nothing by the due: its connection can't be used again."""
        for outlet in list(self.outlets):
            if outlet.call is call:
                outlet.call = None
                outlet.drop()
                self.lost(call, "no_answer")
                return

    def abandon(self, call):
        """Break the call off: an endpoint ends its work when the connection closes."""
        for outlet in list(self.outlets):
            if outlet.call is call:
                outlet.call = None
                outlet.drop()

    def lost(self, call, code):
        self.gate.may_have_run(call, code)

    def unsent(self, call, cause):
        if call.end is not None:
            self.gate.no_connection(call, self.endpoint)

    # ------------------------------------------------------------ keeping

    def keep(self, outlet, alive_us):
        if self.endpoint.removed or alive_us <= 0 or outlet.wire.closed:
            outlet.drop()
            return
        outlet.idle_until = monotonic_us() + alive_us
        self.idle.append(outlet)

    def forget(self, outlet):
        self.outlets.discard(outlet)
        if outlet in self.idle:
            self.idle.remove(outlet)

    def tidy(self, at):
        """Idle connections that the endpoint is about to close, or all once it is gone."""
        for outlet in [o for o in self.idle if o.idle_until <= at or self.endpoint.removed]:
            outlet.drop()


__all__ = ["Outlet", "Pool", "Refused"]
