"""The client's end of a connection: sends requests and matches the responses to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import trio

from meadowdock.rpc.exceptions import CONNECTION_ERRORS, ConnectionFailed, Rejected, RpcError
from meadowdock.rpc.frame_writer import FrameWriter, QueuedFrame
from meadowdock.rpc.handshake import Session
from meadowdock.rpc.messages import CallId, Cancel, Request, Response, decode_from_server
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.slab import Slab

MAX_QUEUED_REQUESTS = 4096
# us; a connection that received nothing during a call of at least this length gets no new calls
SILENCE_LIMIT = 200 * MILLISECOND


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its response.

    Invariant: `sent` is set before the first byte of the request is passed to the socket.
    """

    done: trio.Event = field(default_factory=trio.Event)
    sent: bool = False
    result: Any = None
    error: RpcError | None = None

    def succeed(self, result: Any) -> None:
        """Complete the call with its result."""
        self.result = result
        self.done.set()

    def fail(self, error: RpcError) -> None:
        """Complete the call with an error: it was rejected, or the connection broke."""
        self.error = error
        self.done.set()


class ClientConnection:
    """An authenticated connection to a server.

    Invariant: once `failure` is set, no call is accepted and none is pending.

    :ivar failure: why the connection ended, or None.
    :ivar draining: the pool sends no new calls over it; pending calls may still complete.
    """

    def __init__(
        self, stream: trio.abc.Stream, session: Session, memory: ClientMemory | None = None
    ) -> None:
        """Create the client's end of a connection.

        :param memory: the account of the process, which has the incomplete frame of a response.
        """
        self.memory = (memory or ClientMemory(None)).open(self)
        self.memory.is_peer = True
        session.reader.on_partial = self.on_partial
        self.stream, self.session = stream, session
        self.peer = session.peer
        self.pending: Slab[PendingCall] = Slab()
        self.writer = FrameWriter(session.outgoing, MAX_QUEUED_REQUESTS)
        self.failure: object = None
        self.draining = False
        self.last_received_us = monotonic_us()

    def on_partial(self, received: int, held: int) -> None:
        """Enter what is held of an incomplete frame into the account; connections may be closed."""
        self.memory.received(received, is_complete=not held)
        self.memory.resize(held)
        self.memory.memory.relieve()

    def may_be_given_up(self) -> bool:
        """Return whether a frame is incomplete."""
        return self.memory.size > 0

    def give_up(self) -> None:
        """Close the connection, as its memory is needed."""
        self.memory.close()
        self.fail("no memory for its frames")
        sock = getattr(self.stream, "socket", None)
        if sock is not None:
            sock.close()

    def accepts_calls(self) -> bool:
        """Return whether new calls may be sent over the connection."""
        return self.failure is None and not self.draining

    async def run(self) -> None:
        """Read and write until the connection ends, then fail the pending calls."""
        self.writer.attach(self.stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write)
                nursery.start_soon(self.read)
        except BaseExceptionGroup as group:
            connection_errors, others = group.split(CONNECTION_ERRORS)
            self.fail(connection_errors.exceptions[0] if connection_errors else group)
            if others is not None:
                raise
        finally:
            self.fail("closed")
            self.memory.close()
            await trio.aclose_forcefully(self.stream)

    def fail(self, cause: object) -> None:
        """Fail the pending and all later calls of the connection; only the first cause is kept."""
        if self.failure is None:
            self.failure = cause
            for pending in self.pending:
                pending.fail(ConnectionFailed(pending.sent, cause))

    async def write(self) -> None:
        """Run the writer task.

        :raises EOFError: the connection was drained.
        """
        await self.writer.send_queued(self.stream, self.mark_pending_as_sent)
        raise EOFError("connection drained")

    def mark_pending_as_sent(self, batch: list[QueuedFrame]) -> list[QueuedFrame]:
        """Mark the requests of a batch as sent, and drop those abandoned while they were queued.

        :returns: the frames to send.
        """
        frames_to_send = []
        for frame in batch:
            if frame.call_id is not None:
                pending = self.pending.get(frame.call_id)
                if pending is None:
                    continue
                pending.sent = True
            frames_to_send.append(frame)
        return frames_to_send

    async def read(self) -> None:
        """Run the reader task, which passes each response to its call."""
        while True:
            message = decode_from_server(await self.session.receive())
            self.last_received_us = monotonic_us()
            pending = self.pending.get(message.call_id)
            if pending is None:
                continue  # the call was abandoned; its slot may already belong to a later one
            if isinstance(message, Response):
                pending.succeed(message.result)
            else:
                pending.fail(Rejected(message.code, **message.details))

    async def call(self, method: str, args: Any, deadline_us: int) -> Any:
        """Call a method of the server and return its result.

        :param deadline_us: on the monotonic clock.
        :raises Rejected: the server refused.
        :raises ConnectionFailed: the connection broke, the queue of requests is full, or there was
            no response by the deadline.
        """
        if self.failure is not None:
            raise ConnectionFailed(False, self.failure)
        started_us = monotonic_us()
        pending = PendingCall()
        call_id = self.pending.put(pending)
        time_left_us = max(0, deadline_us - started_us)
        self.send(Request(call_id, method, args, time_left_us, started_us), pending)
        try:
            with deadline_scope(deadline_us):
                await pending.done.wait()
        finally:
            self.pending.take(call_id)
            if not pending.done.is_set() and pending.sent:
                self.cancel(call_id)
                self.drain_if_silent(started_us, deadline_us)
            if self.draining and not len(self.pending):
                self.writer.close()
        if not pending.done.is_set():
            raise ConnectionFailed(pending.sent, "no response by the deadline")
        if pending.error is not None:
            raise pending.error
        return pending.result

    def send(self, request: Request, pending: PendingCall) -> None:
        """Send a request, or queue it.

        :raises ConnectionFailed: the queue is full.
        """
        body = request.encode()
        pending.sent = self.writer.can_write_immediately()
        try:
            self.writer.put_nowait(body, request.call_id)
        except trio.WouldBlock:
            self.pending.take(request.call_id)
            raise ConnectionFailed(False, "too many requests are queued") from None

    def drain_if_silent(self, started_us: int, deadline_us: int) -> None:
        """Drain the connection after a call that timed out, if the peer sent nothing during it.

        The peer is then probably unreachable over this connection, so new calls use another one.
        """
        self.draining |= (
            self.last_received_us < started_us
            and deadline_us <= monotonic_us()
            and deadline_us - started_us >= SILENCE_LIMIT
        )

    def cancel(self, call_id: CallId) -> None:
        """Notify the server that nobody waits for the call any longer, unless the queue is full."""
        try:
            self.writer.put_nowait(Cancel(call_id).encode())
        except (trio.WouldBlock, trio.ClosedResourceError):
            pass
