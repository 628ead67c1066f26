"""A stand-in endpoint, which fails in every way that one can."""

from __future__ import annotations

from collections import deque

import trio

from meadowdock.forwarding.reactor import Reactor
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin.connection import Conn, Job
from meadowdock.simulator.standin.faults import FaultyAnswers
from meadowdock.simulator.standin.messages import chunked, stamp_of
from meadowdock.simulator.standin.records import Ran


class StandIn(FaultyAnswers):
    """An endpoint. faults: id of a call -> fault, or "*" -> a list taken one by one; each fault is
    a method fault_NAME. Invariants: running + queue hold the calls under way; journal holds each
    run, in order; turned holds (at, id, status) of those turned away, which don't run."""

    def __init__(
        self, service, address, instance, dialect, slots=4, queue=4, work_us=10 * MILLISECOND
    ):
        self.service, self.address = service, address
        self.instance, self.dialect = instance.encode(), dialect
        self.slots, self.queue_max, self.work_us = slots, queue, work_us
        self.running, self.queue = set(), deque()
        self.journal, self.turned, self.malformed = [], [], []
        self.came_at = []  # (at, id) of each arrival
        self.conns = set()
        self.cap = 1 << 30  # connections
        self.idle_us, self.alive_s = 0, 0  # closes idle ones after; says so in Keep-Alive
        self.draining = self.left = False
        self.faults, self.dropped, self.overdue = {}, 0, 0
        self.inner = None  # a call of its own for each run: (caller's maker, host, target)
        self.last_words = False  # Connection: close on each answer
        self.chunks = False
        self.reports_load = True
        self.size = 0  # of an answer's padding
        self.process = None

    async def serve(self, net, nursery, task_status=trio.TASK_STATUS_IGNORED):
        reactor = Reactor()
        nursery.start_soon(reactor.run)
        self.nursery, self.wires = nursery, net.wires(nursery, reactor)
        nursery.start_soon(self.watch_idle)
        await self.wires.listen(self.address, self.accept, task_status=task_status)

    def accept(self, wire):
        conn = wire.owner = Conn(self, wire)
        if len(self.conns) >= self.cap:
            wire.abort()
            return
        self.conns.add(conn)

    async def watch_idle(self):
        while True:
            await sleep_us(20 * MILLISECOND)
            for conn in list(self.conns):
                idle = conn.job is None and monotonic_us() - conn.quiet_since > self.idle_us
                if self.idle_us and idle:
                    conn.on_end("idle")
                    conn.wire.close()

    def came(self, conn, first, lines, body):
        facts = {name.lower(): value for name, value in lines}
        words = self.dialect
        left = int(facts.get(words.deadline.lower(), b"60000")) * words.deadline_unit_us
        job = Job(conn, first, lines, body, monotonic_us() + left, monotonic_us())
        id = facts.get(words.call_id.lower())
        self.came_at.append((monotonic_us(), id))
        if id is None:
            return self.turn_away(job, 400)
        wanted = facts.get(words.target_instance.lower(), self.instance)
        if wanted != self.instance:
            return self.turn_away(job, 421)
        fault = self.fault_of(id)
        if fault in ("full", "other"):
            return self.turn_away(job, 503 if fault == "full" else 421)
        job.fault = fault
        if len(self.running) < self.slots:
            self.begin(job)
        elif len(self.queue) < self.queue_max:
            self.queue.append(job)
            self.nursery.start_soon(self.watch_queued, job)
        else:
            return self.turn_away(job, 503)
        return job

    def fault_of(self, id):
        if id in self.faults:
            return self.faults.pop(id)
        row = self.faults.get("*")
        return row.pop(0) if row else None

    def turn_away(self, job, status):
        id = job.facts.get(self.dialect.call_id.lower(), b"")
        self.turned.append((monotonic_us(), id, status))
        self.nursery.start_soon(self.say_away, job, id, status)
        return job

    async def say_away(self, job, id, status):
        await sleep_us(1)
        lines = [(self.dialect.call_id, id), (self.dialect.not_run, b"1")]
        job.conn.say(self.answer(status, lines, b"turned away"))

    async def watch_queued(self, job):
        await sleep_us(job.due - monotonic_us())
        if job in self.queue:
            self.queue.remove(job)
            self.turn_away(job, 503)

    def begin(self, job):
        self.running.add(job)
        words = self.dialect
        if job.due < monotonic_us():
            self.overdue += 1
        ran = Ran(
            job.facts[words.call_id.lower()],
            job.method,
            job.target,
            job.facts.get(b"host", b""),
            job.body,
            job.facts.get(words.caller.lower(), b""),
            job.lines,
            self.instance,
            self.service,
            monotonic_us(),
        )
        self.journal.append(ran)
        self.nursery.start_soon(self.work, job, ran)

    async def work(self, job, ran):
        took = self.work_us(job) if callable(self.work_us) else self.work_us
        if job.fault == "slow":
            took *= 10
        status = 200
        if job.fault == "silence":
            await sleep_us(
                max(0, job.due - monotonic_us())
            )  # its work ends with the time that it was given
            self.ended(job)
            return
        if self.inner is not None:
            status = await self.call_on(job)
        if monotonic_us() + took > job.due:
            await sleep_us(max(0, job.due - monotonic_us()))
            status = 504
        else:
            await sleep_us(took)
        self.running.discard(job)
        if not job.conn.over:
            self.answer_of(job, ran, status)
        self.ended(job)

    def ended(self, job):
        """A slot is free: the next in the queue begins."""
        self.running.discard(job)
        while self.queue and len(self.running) < self.slots:
            self.begin(self.queue.popleft())

    async def call_on(self, job):
        """A call of this run's own; 500 if it fails, 504 at the parent's deadline."""
        sent = self.inner(job)
        with trio.move_on_at(job.due / SECOND):
            await sent.done.wait()
        if sent.status == 200:
            return 200
        return 504 if monotonic_us() >= job.due else 500

    def answer(self, status, lines, body, length=True):
        header_lines = [*lines]
        if self.reports_load:
            load = b"%d,%d,%d" % (len(self.running), len(self.queue), self.slots)
            header_lines.append((self.dialect.load, load))
        if self.alive_s:
            header_lines.append((b"Keep-Alive", b"timeout=%d" % self.alive_s))
        if self.last_words or self.draining:
            header_lines.append((b"Connection", b"close"))
        if self.chunks and length:
            header_lines.append((b"Transfer-Encoding", b"chunked"))
            body = chunked(body, 1000)
        elif length:
            header_lines.append((b"Content-Length", b"%d" % len(body)))
        rows = b"".join(b"%s: %s\r\n" % line for line in header_lines)
        return b"HTTP/1.1 %d Status\r\n%s\r\n%s" % (status, rows, body)

    def complete_response(self, ran, status):
        words = self.dialect
        body = b"%s ran %s %s as %s|" % (self.instance, ran.method, ran.target, ran.id)
        body += b"x" * self.size
        ran.answered, ran.status = body, status
        lines = [(words.call_id, ran.id), (b"X-Kept", b"as it was")]
        if words.stamp:
            lines.append((words.stamp, stamp_of(self.instance, ran.id, body)))
        if ran.method == b"HEAD":
            return self.answer(status, lines, b"", length=False)
        return self.answer(status, lines, body)

    def answer_of(self, job, ran, status):
        data, conn = self.complete_response(ran, status), job.conn
        keep = not (self.last_words or self.draining)
        fault = getattr(self, f"fault_{(job.fault or 'none').replace(' ', '_')}", None)
        if fault is None or job.fault == "slow":
            conn.say(data, keep)
        else:
            fault(job, ran, data)
