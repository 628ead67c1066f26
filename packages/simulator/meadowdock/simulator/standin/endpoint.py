"""A stand-in endpoint, which answers in raw bytes and can fail in many ways."""

from __future__ import annotations

from collections import deque

import trio

from meadowdock.forwarding.reactor import Reactor
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin.connection import Job, MeshConnection
from meadowdock.simulator.standin.faults import FaultyAnswers
from meadowdock.simulator.standin.messages import chunked, stamp_of
from meadowdock.simulator.standin.records import Execution


class StandIn(FaultyAnswers):
    """An endpoint with a limited number of slots and a queue.

    faults maps a call's id to its fault, or "*" to a list of faults that are taken one by one; most
    faults are methods fault_NAME. Invariants: running and queue hold the jobs in progress; journal
    holds each execution, in order; turned holds (time, id, status) of the refused calls, which
    don't run.
    """

    def __init__(
        self, service, address, instance, dialect, slots=4, queue=4, work_us=10 * MILLISECOND
    ):
        self.service, self.address = service, address
        self.instance, self.dialect = instance.encode(), dialect
        self.slots, self.queue_max, self.work_us = slots, queue, work_us
        self.running, self.queue = set(), deque()
        self.journal, self.turned, self.malformed = [], [], []
        self.came_at = []  # (time, id) of each received request
        self.conns = set()
        self.cap = 1 << 30  # max connections
        self.idle_us = 0  # idle connections are closed after this time; 0: never
        self.alive_s = 0  # the timeout that is announced in Keep-Alive; 0: none
        self.draining = self.left = False
        self.faults, self.dropped, self.overdue = {}, 0, 0
        self.inner = None  # function of a job that sends an inner call for it and returns it
        self.closes_after_response = False  # with Connection: close
        self.chunks = False  # send bodies in chunks
        self.reports_load = True
        self.size = 0  # of a response's padding
        self.endless_kind = "large-chunks"  # of the fault "endless"
        self.process = None

    async def serve(self, net, nursery, task_status=trio.TASK_STATUS_IGNORED):
        reactor = Reactor()
        nursery.start_soon(reactor.run)
        self.nursery, self.wires = nursery, net.wires(nursery, reactor)
        nursery.start_soon(self.watch_idle)
        await self.wires.listen(self.address, self.accept, task_status=task_status)

    def accept(self, wire):
        conn = wire.owner = MeshConnection(self, wire)
        if len(self.conns) >= self.cap:
            wire.abort()
            return
        self.conns.add(conn)

    async def watch_idle(self):
        while True:
            await sleep_us(20 * MILLISECOND)
            for conn in list(self.conns):
                is_idle = conn.job is None and monotonic_us() - conn.idle_since > self.idle_us
                if self.idle_us and is_idle:
                    conn.on_end("idle")
                    conn.wire.close()

    def receive(self, conn, start_line, lines, body):
        """Refuse a request, begin it or queue it; return its job."""
        headers = {name.lower(): value for name, value in lines}
        dialect = self.dialect
        left_us = int(headers.get(dialect.deadline.lower(), b"60000")) * dialect.deadline_unit_us
        job = Job(conn, start_line, lines, body, monotonic_us() + left_us, monotonic_us())
        id = headers.get(dialect.call_id.lower())
        self.came_at.append((monotonic_us(), id))
        if id is None:
            return self.turn_away(job, 400)
        target_instance = headers.get(dialect.target_instance.lower(), self.instance)
        if target_instance != self.instance:
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
        faults = self.faults.get("*")
        return faults.pop(0) if faults else None

    def turn_away(self, job, status):
        """Refuse a job with a response that is marked as not run; return the job."""
        id = job.headers.get(self.dialect.call_id.lower(), b"")
        self.turned.append((monotonic_us(), id, status))
        self.nursery.start_soon(self.send_refusal, job, id, status)
        return job

    async def send_refusal(self, job, id, status):
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
        dialect = self.dialect
        if job.due < monotonic_us():
            self.overdue += 1
        execution = Execution(
            job.headers[dialect.call_id.lower()],
            job.method,
            job.target,
            job.headers.get(b"host", b""),
            job.body,
            job.headers.get(dialect.caller.lower(), b""),
            job.lines,
            self.instance,
            self.service,
            monotonic_us(),
        )
        self.journal.append(execution)
        self.nursery.start_soon(self.work, job, execution)

    async def work(self, job, execution):
        work_us = self.work_us(job) if callable(self.work_us) else self.work_us
        if job.fault == "slow":
            work_us *= 10
        status = 200
        if job.fault == "silence":
            # it runs until its deadline and never answers
            await sleep_us(max(0, job.due - monotonic_us()))
            self.free_slot(job)
            return
        if self.inner is not None:
            status = await self.make_inner_call(job)
        if monotonic_us() + work_us > job.due:
            await sleep_us(max(0, job.due - monotonic_us()))
            status = 504
        else:
            await sleep_us(work_us)
        self.running.discard(job)
        if not job.conn.over:
            self.answer_of(job, execution, status)
        self.free_slot(job)

    def free_slot(self, job):
        """Free the slot of a job and begin the next ones in the queue."""
        self.running.discard(job)
        while self.queue and len(self.running) < self.slots:
            self.begin(self.queue.popleft())

    async def make_inner_call(self, job):
        """Send a job's inner call; return 200, 500 if it fails, or 504 at the job's deadline."""
        request = self.inner(job)
        with trio.move_on_at(job.due / SECOND):
            await request.done.wait()
        if request.status == 200:
            return 200
        return 504 if monotonic_us() >= job.due else 500

    def answer(self, status, lines, body, length=True):
        header_lines = [*lines]
        if self.reports_load:
            load = b"%d,%d,%d" % (len(self.running), len(self.queue), self.slots)
            header_lines.append((self.dialect.load, load))
        if self.alive_s:
            header_lines.append((b"Keep-Alive", b"timeout=%d" % self.alive_s))
        if self.closes_after_response or self.draining:
            header_lines.append((b"Connection", b"close"))
        if self.chunks and length:
            header_lines.append((b"Transfer-Encoding", b"chunked"))
            body = chunked(body, 1000)
        elif length:
            header_lines.append((b"Content-Length", b"%d" % len(body)))
        headers = b"".join(b"%s: %s\r\n" % line for line in header_lines)
        return b"HTTP/1.1 %d Status\r\n%s\r\n%s" % (status, headers, body)

    def complete_response(self, execution, status):
        """Record the response of an execution and encode it."""
        dialect, id = self.dialect, execution.id
        body = b"%s ran %s %s as %s|" % (self.instance, execution.method, execution.target, id)
        body += b"x" * self.size
        execution.answered, execution.status = body, status
        lines = [(dialect.call_id, id), (b"X-Kept", b"as it was")]
        if dialect.stamp:
            lines.append((dialect.stamp, stamp_of(self.instance, id, body)))
        if execution.method == b"HEAD":
            return self.answer(status, lines, b"", length=False)
        return self.answer(status, lines, body)

    def answer_of(self, job, execution, status):
        """Send the response of an execution, or what its fault makes of it."""
        data, conn = self.complete_response(execution, status), job.conn
        keep = not (self.closes_after_response or self.draining)
        fault = getattr(self, f"fault_{(job.fault or 'none').replace(' ', '_')}", None)
        if fault is None or job.fault == "slow":
            conn.say(data, keep)
        else:
            fault(job, execution, data)
