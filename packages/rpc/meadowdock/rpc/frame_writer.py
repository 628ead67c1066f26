"""Outgoing frames of one connection: written to the socket at once if possible, else queued."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import trio

from meadowdock.rpc.frame import FrameAuthenticator
from meadowdock.rpc.messages import CallId

MAX_BATCH = 64  # queued frames that are sent together


@dataclass(frozen=True, slots=True)
class QueuedFrame:
    """A frame that waits for the writer task.

    :ivar body: the frame's body; if `sealed`, the end of a frame that the socket took in part.
    :ivar call_id: the call whose request this is, which may be given up meanwhile.
    """

    body: bytes
    call_id: CallId | None = None
    sealed: bool = False


class FrameWriter:
    """Sends frames to the peer, in order.

    What the socket takes is written at once by whoever has the frame; the remainder, and everything
    on streams without a socket, is sent by the task that runs `send_queued`.

    Invariants: frames are sealed in the order in which they are sent; `idle` means that no frame is
    queued and the writer task sends nothing.
    """

    def __init__(self, authenticator: FrameAuthenticator, capacity: int) -> None:
        self.authenticator = authenticator
        self.queue, self.queued = trio.open_memory_channel[QueuedFrame](capacity)
        self.socket: trio.socket.SocketType | None = None
        self.idle = True

    def attach(self, stream: trio.abc.SendStream) -> None:
        """The stream whose socket is written to; until this is called, all frames are queued."""
        self.socket = getattr(stream, "socket", None)

    def can_write_at_once(self) -> bool:
        """Whether the next frame goes to the socket without being queued."""
        return self.idle and self.socket is not None

    def put(self, body: bytes, call_id: CallId | None = None) -> None:
        """Write a frame at once, or queue it.

        :raises trio.WouldBlock: the queue is full.
        :raises trio.ClosedResourceError: the writer is closed.
        """
        if self.idle and self.socket is not None:
            sealed = self.authenticator.seal(body)
            written = write_some(self.socket, sealed)
            if written == len(sealed):
                return
            frame = QueuedFrame(sealed[written:], sealed=True)
        else:
            frame = QueuedFrame(body, call_id)
        self.queue.send_nowait(frame)
        self.idle = False

    async def put_when_possible(self, body: bytes) -> None:
        """As `put`, but waits while the queue is full."""
        try:
            self.put(body)
        except trio.WouldBlock:
            await self.queue.send(QueuedFrame(body))

    def close(self) -> None:
        """Accept no further frames; `send_queued` returns once the queue is empty."""
        self.queue.close()

    async def send_queued(
        self,
        stream: trio.abc.SendStream,
        select: Callable[[list[QueuedFrame]], list[QueuedFrame]] | None = None,
    ) -> None:
        """The writer task: send queued frames until the writer is closed.

        :param select: called with each batch just before it is sent; gives the frames to send.
        :raises trio.BrokenResourceError, trio.ClosedResourceError: the stream broke.
        """
        async for first in self.queued:
            batch = self.next_batch(first)
            if select is not None:
                batch = select(batch)
            if batch:
                await stream.send_all(self.seal_batch(batch))
            self.idle = not self.queued.statistics().current_buffer_used

    def next_batch(self, first: QueuedFrame) -> list[QueuedFrame]:
        """The first frame and those queued behind it, MAX_BATCH at most."""
        batch = [first]
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self.queued.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                break
        return batch

    def seal_batch(self, batch: list[QueuedFrame]) -> bytes:
        """The bytes of the frames, in order."""
        return b"".join(
            frame.body if frame.sealed else self.authenticator.seal(frame.body) for frame in batch
        )


def write_some(socket: trio.socket.SocketType, data: bytes) -> int:
    """How many bytes the socket took without blocking."""
    try:
        return os.write(socket.fileno(), data)
    except OSError:  # full, or broken: the writer task finds out which
        return 0
