"""The server's end of a connection: runs a handler for each request."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import ormsgpack
import trio

from meadowdock.logs import events as log_events
from meadowdock.rpc.exceptions import CONNECTION_ERRORS, Rejected
from meadowdock.rpc.frame_writer import FrameWriter
from meadowdock.rpc.handlers import Handlers
from meadowdock.rpc.handshake import Session, server_handshake
from meadowdock.rpc.messages import (
    CallId,
    Cancel,
    Rejection,
    Request,
    Response,
    decode_from_client,
)
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.runtime import SECOND, deadline_scope, monotonic_us
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.peer_connections import PeerConnection, PeerLimits

HANDSHAKE_TIMEOUT = SECOND  # us
MAX_QUEUED_RESPONSES = 1024


async def serve_connection(
    stream: trio.abc.Stream,
    key: bytes,
    rng: random.Random,
    name: str,
    handlers: Handlers,
    log: Callable[..., object],
    limits: PeerLimits | None = None,
) -> None:
    """Serve an accepted connection until it ends, which cancels its running handlers.

    :param key: the fleet key.
    :param name: the name of this process, which is sent to the peer.
    :param limits: what the connections of the process may take; None for no limit.
    """
    running_calls: dict[CallId, trio.CancelScope] = {}
    limits = limits or PeerLimits(None, ClientMemory(None))
    entry = limits.accept(partial(close_stream, stream), lambda: bool(running_calls))
    if entry is None:
        close_stream(stream)
        return
    try:
        await serve_accepted(stream, key, rng, name, handlers, log, entry, running_calls)
    finally:
        entry.end()


def close_stream(stream: trio.abc.Stream) -> None:
    """Close a stream at once, if it has a socket; simulated streams have no bounds."""
    sock = getattr(stream, "socket", None)
    if sock is not None:
        sock.close()


async def serve_accepted(
    stream: trio.abc.Stream,
    key: bytes,
    rng: random.Random,
    name: str,
    handlers: Handlers,
    log: Callable[..., object],
    entry: PeerConnection,
    running_calls: dict[CallId, trio.CancelScope],
) -> None:
    """Serve a connection for which there is room; parameters are those of `serve_connection`."""
    async with stream:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT / SECOND):
                session = await server_handshake(stream, key, rng, name)
        except (
            *CONNECTION_ERRORS,
            trio.TooSlowError,
            TypeError,
            ormsgpack.MsgpackDecodeError,
        ) as cause:
            # a client that closed the connection during the handshake, because another server
            # answered sooner, is no failure
            if not isinstance(cause, (EOFError, trio.BrokenResourceError)):
                log(log_events.CONNECTION_REJECTED, cause=repr(cause))
            return
        if not entry.authenticated():
            return
        session.reader.on_partial = entry.received
        await ServerConnection(stream, session, handlers, log, entry, running_calls).run()


class ServerConnection:
    """An authenticated connection whose peer sends requests.

    Invariant: `running_calls` maps the ids of the calls in progress to their cancel scopes.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        session: Session,
        handlers: Handlers,
        log: Callable[..., object],
        entry: PeerConnection,
        running_calls: dict[CallId, trio.CancelScope],
    ) -> None:
        self.session, self.handlers, self.log = session, handlers, log
        self.stream = stream
        self.writer = FrameWriter(session.outgoing, MAX_QUEUED_RESPONSES)
        self.writer.attach(stream)
        self.entry, self.running_calls = entry, running_calls
        self.queueing_delay = QueueingDelayEstimator()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.write, nursery.cancel_scope)
            try:
                await self.read(nursery)
            except CONNECTION_ERRORS as cause:
                if not isinstance(cause, EOFError):
                    self.log(
                        log_events.CONNECTION_LOST, peer=self.session.peer.name, cause=repr(cause)
                    )
            finally:
                nursery.cancel_scope.cancel()

    async def write(self, connection_scope: trio.CancelScope) -> None:
        """Run the writer task; cancel the connection's tasks when the peer is gone."""
        try:
            await self.writer.send_queued(self.stream)
        except CONNECTION_ERRORS:
            connection_scope.cancel()
            await trio.lowlevel.checkpoint()  # end as cancelled, like the other tasks

    async def read(self, nursery: trio.Nursery) -> None:
        """Start a handler for each request, and cancel those that the client abandoned.

        :raises CONNECTION_ERRORS: the connection ended.
        """
        while True:
            message = decode_from_client(await self.session.receive())
            if isinstance(message, Request):
                # the scope must exist before the task runs, since a Cancel may follow immediately
                scope = self.running_calls[message.call_id] = self.call_scope(message)
                nursery.start_soon(self.serve_call, message, scope)
            elif isinstance(message, Cancel) and message.call_id in self.running_calls:
                self.running_calls[message.call_id].cancel()

    def call_scope(self, request: Request) -> trio.CancelScope:
        """Return a scope that is cancelled when the client stops waiting.

        It is cancelled from the start if the request arrived after the client's deadline.
        """
        received_at_us = self.entry.received_at = monotonic_us()
        delay_us = self.queueing_delay.measure(request.sent_at_us, received_at_us)
        time_left_us = request.time_left_us - delay_us
        scope = deadline_scope(received_at_us + time_left_us)
        if time_left_us <= 0:
            scope.cancel()
        return scope

    async def serve_call(self, request: Request, scope: trio.CancelScope) -> None:
        """Run the handler and send its response, unless the scope is cancelled first."""
        with scope:
            await trio.lowlevel.checkpoint_if_cancelled()
            response = await self.handle(request)
            self.running_calls.pop(request.call_id, None)
            await self.writer.put(response)
        self.running_calls.pop(request.call_id, None)

    async def handle(self, request: Request) -> bytes:
        """Run the method's handler and return the encoded response or rejection."""
        try:
            handler = self.handlers.table.get(request.method)
            if handler is None:
                raise Rejected("no_such_method", method=request.method)
            result = await handler(self.session.peer, request.args)
            return Response(request.call_id, result).encode()
        except Rejected as rejected:
            return Rejection(request.call_id, rejected.code, rejected.details).encode()
        except Exception as cause:  # a bug in a handler must not end the connection
            self.log(log_events.TASK_FAILED, task=f"link:{request.method}", cause=repr(cause))
            return Rejection(request.call_id, "broke", {"cause": repr(cause)}).encode()
