"""Large answers on a link between gateways, which are passed on while they arrive.

The node whose caller waits grants credit, in bytes of the body; the peer reads no more of the answer from
its endpoint than it has credit for. A node that does not read such answers gets them whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.answer_stream import AnswerCollector, AnswerStream
from meadowdock.forwarding.byte_parts import Bytes
from meadowdock.forwarding.call import OutcomeUnknown, Served
from meadowdock.forwarding.http import STATUSES_WITHOUT_BODY
from meadowdock.forwarding.outcome_codes import CANCELLED, CONNECTION_LOST, TOO_LARGE
from meadowdock.forwarding.peer_frames import (
    ANSWER,
    CALL_MAX_BYTES,
    CANCEL,
    CREDIT,
    END,
    PART,
    Frame,
    call_handle,
)

if TYPE_CHECKING:
    from meadowdock.forwarding.call import Call
    from meadowdock.forwarding.peer_link import IncomingLink, OutgoingLink
    from meadowdock.runtime.slab import Handle

CREDIT_BYTES = 256 << 10  # of one answer, granted and not received yet


class RelayedAnswer:
    """An answer of an endpoint here, on its way to the peer whose call it answers.

    Invariant: no more than `credit` bytes of the body are sent, but for what one read holds beyond it.
    """

    def __init__(self, link: IncomingLink, handle: Handle, served: Served) -> None:
        assert served.rest is not None
        self.link, self.handle, self.stream = link, handle, served.rest
        self.credit = 0
        link.send([ANSWER, *handle, served.status, served.head, served.body, served.rest.length])

    def on_credit(self, size: int) -> None:
        """Send more, as the peer has taken what was sent."""
        self.credit += size
        if self.stream.sink is None:
            self.stream.attach(self)
        elif self.credit > 0:
            self.stream.resume()

    def on_part(self, part: Bytes) -> None:
        """Send a part of the body."""
        self.credit -= len(part)
        self.link.send([PART, *self.handle, part])
        if self.credit <= 0:
            self.stream.pause()

    def on_complete(self) -> None:
        """Report that the body is complete."""
        self.end("")

    def on_broken(self, cause: str) -> None:
        """Report that the body is not complete, and never will be."""
        self.end(cause)

    def end(self, cause: str) -> None:
        """Send the end of the answer."""
        self.link.answers.pop(self.handle, None)
        self.link.send([END, *self.handle, cause])


class PeerAnswer:
    """An answer that a peer passes on, on its way to the caller here.

    Invariant: outstanding is what the peer may still send.
    """

    def __init__(self, link: OutgoingLink, handle: Handle, call: Call, length: int | None) -> None:
        self.link, self.handle, self.call = link, handle, call
        self.stream = AnswerStream(self, length)
        self.outstanding = 0

    def on_part(self, part: bytes) -> None:
        """Pass on a part of the body, and let the peer send more if the caller takes it."""
        self.outstanding -= len(part)
        self.stream.push(part)
        self.grant()

    def on_end(self, cause: str) -> None:
        """Pass on the end of the answer."""
        self.release(cause)
        self.stream.end(cause)

    def grant(self) -> None:
        """Grant credit, unless the caller's connection has more than it takes."""
        if not self.stream.is_paused and self.outstanding <= CREDIT_BYTES // 2:
            size, self.outstanding = CREDIT_BYTES - self.outstanding, CREDIT_BYTES
            self.link.send([CREDIT, *self.handle, size])

    def pause_answer(self) -> None:
        """Grant no credit; what the peer has credit for still comes."""

    def resume_answer(self) -> None:
        """Grant credit again."""
        self.grant()

    def cancel_answer(self) -> None:
        """Have the peer close the connection to its endpoint."""
        self.link.send([CANCEL, *self.handle])
        self.release(CANCELLED)

    def release(self, cause: str) -> None:
        """Forget the call, whose answer has ended."""
        self.link.answers.pop(self.handle, None)
        self.link.pending.take(self.handle)
        self.link.peers.calls.on_stream_ended(self.call, cause)


def collect_for_peer(link: IncomingLink, handle: Handle, served: Served) -> None:
    """Send an answer whole to a peer that does not read it while it arrives."""
    assert served.rest is not None

    def send_whole(body: Bytes) -> None:
        has_length = served.status not in STATUSES_WITHOUT_BODY
        length = b"Content-Length: %d\r\n" % len(body) if has_length else b""
        link.send_outcome(handle, Served(served.head + length, bytes(body), served.status))

    def send_failure(cause: str) -> None:
        code = cause if cause == CONNECTION_LOST else TOO_LARGE
        link.send_outcome(handle, OutcomeUnknown(code))

    maximum = CALL_MAX_BYTES - len(served.head)
    AnswerCollector(served.rest, served.body, maximum, link.peers.memory, send_whole, send_failure)


def begin_peer_answer(link: OutgoingLink, frame: Frame) -> None:
    """Begin to pass on the answer of which an ANSWER frame has the head and the beginning."""
    handle = call_handle(frame)
    call = link.pending.get(handle)
    if call is None:
        return  # it was abandoned, and the peer is told so
    _, _, _, status, head, body, length = frame
    answer = link.answers[handle] = PeerAnswer(link, handle, call, length)
    link.peers.dispatcher.begin_answer(call, Served(head, body, status, answer.stream))
