"""Outgoing frames of one connection: written to the socket immediately if possible, else queued."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import trio

from meadowdock.rpc.frame import FrameAuthenticator
from meadowdock.rpc.messages import CallId

MAX_BATCH = 64  # queued frames that are sent by one call


@dataclass(frozen=True, slots=True)
class QueuedFrame:
    """A frame that waits for the writer task.

    :ivar body: the frame's body; if `sealed`, the remainder of a partially written frame.
    :ivar call_id: the call whose request this is; it may be abandoned while the frame is queued.
    """

    body: bytes
    call_id: CallId | None = None
    sealed: bool = False


class FrameWriter:
    """Sends frames to the peer, in order.

    The caller writes as much of a frame as the socket accepts without blocking. The task that runs
    `send_queued` sends the remainder, and all frames on streams without a socket.

    Invariants: frames are sealed in the order in which they are sent; `idle` means that no frame is
    queued and that the writer task is sending nothing.
    """

    def __init__(self, authenticator: FrameAuthenticator, capacity: int) -> None:
        self.authenticator = authenticator
        self.queue, self.queued = trio.open_memory_channel[QueuedFrame](capacity)
        self.socket: trio.socket.SocketType | None = None
        self.idle = True

    def attach(self, stream: trio.abc.SendStream) -> None:
        """Set the stream whose socket is written to; before this call all frames are queued."""
        self.socket = getattr(stream, "socket", None)

    def can_write_immediately(self) -> bool:
        """Return whether the next frame is written to the socket without being queued."""
        return self.idle and self.socket is not None

    def put_nowait(self, body: bytes, call_id: CallId | None = None) -> None:
        """Write a frame immediately, or queue it.

        :raises trio.WouldBlock: the queue is full.
        :raises trio.ClosedResourceError: the writer is closed.
        """
        if self.idle and self.socket is not None:
            sealed = self.authenticator.seal(body)
            written = write_nonblocking(self.socket, sealed)
            if written == len(sealed):
                return
            frame = QueuedFrame(sealed[written:], sealed=True)
        else:
            frame = QueuedFrame(body, call_id)
        self.queue.send_nowait(frame)
        self.idle = False

    async def put(self, body: bytes) -> None:
        """Write a frame immediately, or queue it; wait while the queue is full.

        :raises trio.ClosedResourceError: the writer is closed.
        """
        try:
            self.put_nowait(body)
        except trio.WouldBlock:
            await self.queue.send(QueuedFrame(body))

    def close(self) -> None:
        """Accept no more frames; `send_queued` returns once the queue is empty."""
        self.queue.close()

    async def send_queued(
        self,
        stream: trio.abc.SendStream,
        select: Callable[[list[QueuedFrame]], list[QueuedFrame]] | None = None,
    ) -> None:
        """Send queued frames until the writer is closed; this is the body of the writer task.

        :param select: called with each batch just before it is sent; returns the frames to send.
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
        """Return the first frame and those queued behind it, MAX_BATCH at most."""
        batch = [first]
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self.queued.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                break
        return batch

    def seal_batch(self, batch: list[QueuedFrame]) -> bytes:
        """Return the concatenated bytes of the frames, sealed where they are not yet."""
        return b"".join(
            frame.body if frame.sealed else self.authenticator.seal(frame.body) for frame in batch
        )


def write_nonblocking(socket: trio.socket.SocketType, data: bytes) -> int:
    """Write as many bytes as the socket accepts without blocking, and return their number."""
    try:
        return os.write(socket.fileno(), data)
    except OSError:  # the send buffer is full or the socket broken; the writer task finds out
        return 0
