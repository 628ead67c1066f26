"""Encodes and decodes the frames of a link between gateways.

A frame is a msgpack list that starts with its kind. It is authenticated with a key that is derived
from the fleet key (`meadowdock.rpc.frame`):

    HELLO, magic, nonce, name                 the opener
    PROOF, nonce, name, proof                 the answerer
    PROOF, proof, time                        the opener
    CALL, slot, generation, ...               see encode_call
    SERVED, slot, generation, status, head, body
    REJECTED, slot, generation, code, retry_after_us
    UNKNOWN, slot, generation, code
    CANCEL, slot, generation
    PING / PONG
    READS_TARGET                              the sender reads the last two fields of a CALL
    READS_PARTS                               the sender reads the answers below
    ANSWER, slot, generation, status, head, beginning of the body, length of the body or nil
    PART, slot, generation, part of the body
    END, slot, generation, why the body is not complete or ""
    CREDIT, slot, generation, bytes           how much more of the body may be sent
    READS_BODIES                              the sender, an answerer, reads the calls below
    CALL_HEAD, slot, generation, ...          a CALL with the length of its body in place of that
    BODY, slot, generation, part of the body

Slot and generation are the handle that the opener gave to a call. Deadlines are sent as the remaining
time in microseconds. Frames of an unknown kind are ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import ormsgpack

from meadowdock.forwarding.call import Call, Outcome, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.exceptions import PeerProtocolError
from meadowdock.forwarding.outcome_codes import TOO_LARGE
from meadowdock.rpc.frame import LENGTH_SIZE, MAX_FRAME_SIZE, TAG_SIZE, FrameAuthenticator
from meadowdock.runtime import MILLISECOND
from meadowdock.runtime.slab import Handle

MAGIC = "mdg1"
HELLO, PROOF, CALL, SERVED, REJECTED, UNKNOWN, CANCEL, PING, PONG, READS_TARGET = range(10)
READS_PARTS, ANSWER, PART, END, CREDIT = range(10, 15)
READS_BODIES, CALL_HEAD, BODY = range(15, 18)
CALL_MAX_BYTES = MAX_FRAME_SIZE - 65_536  # head and body of a call or of a response
# The deadline that is sent to a peer is this long before the caller's.
DEADLINE_MARGIN_US = 15 * MILLISECOND
BODY_FIELD = 14  # the position of the body in a CALL
FIELDS_WITHOUT_TARGET = 15  # the number of fields in a CALL of the previous version

Frame = list[Any]


class FrameReader:
    """Splits a byte stream into frames.

    Invariant: between two calls of feed(), partial holds at most one incomplete frame, and wanted is
    the size from which on more of it can be read.

    :ivar max_size: maximum size of a frame's body in bytes.
    """

    def __init__(self, authenticator: FrameAuthenticator, max_size: int = MAX_FRAME_SIZE) -> None:
        self.authenticator, self.max_size = authenticator, max_size
        self.partial = bytearray()
        self.wanted = LENGTH_SIZE

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Yield the complete and authenticated frames.

        Each frame is opened only after the previous one was handled, since that may have changed
        the authenticator.

        :raises PeerProtocolError: a frame is too long or fails authentication
        """
        if self.partial:
            self.partial += data
            if len(self.partial) < self.wanted:
                return
            data, self.partial = self.partial, bytearray()
        start, size = 0, len(data)
        self.wanted = LENGTH_SIZE
        while size - start >= LENGTH_SIZE:
            length = int.from_bytes(data[start : start + LENGTH_SIZE], "big")
            if length > self.max_size:
                raise PeerProtocolError(f"frame of {length} bytes, {self.max_size} at most")
            end = start + LENGTH_SIZE + TAG_SIZE + length
            if end > size:
                self.wanted = end - start
                break
            with memoryview(data) as view:
                body = self.authenticator.open(view[start + LENGTH_SIZE : end])
            if body is None:
                raise PeerProtocolError(f"frame of {length} bytes fails authentication")
            start = end
            yield ormsgpack.unpackb(body)
        self.partial += data[start:]


def encode_call(handle: Handle, call: Call, may_queue: bool, with_target: bool, now: int) -> Frame:
    """Return the CALL frame of a call that is sent now.

    :param may_queue: the call may wait in the peer's queue
    :param with_target: the peer reads the latency target and the route
    """
    frame: Frame = [
        CALL,
        handle[0],
        handle[1],
        max(0, call.deadline - now - DEADLINE_MARGIN_US),
        now,
        call.service,
        call.incarnation,
        call.idempotent,
        call.priority,
        max(0, call.join_deadline - now) if may_queue else 0,
        max(0, call.wait_deadline - now),
        call.is_head,
        call.id,
        call.head,
        memoryview(call.body),  # of whatever type it is
    ]
    if with_target:
        frame += [call.target_deadline - now, call.route]
    return frame


def encode_call_head(handle: Handle, call: Call, may_queue: bool, now: int) -> Frame:
    """Return the CALL_HEAD frame of a call whose body follows in parts."""
    frame = encode_call(handle, call, may_queue, True, now)
    frame[0] = CALL_HEAD
    frame[BODY_FIELD] = len(call.body)
    return frame


def announced_length(frame: Frame) -> int:
    """Return the length of the body that follows a CALL_HEAD.

    :raises PeerProtocolError: it is no length.
    """
    length = frame[BODY_FIELD]
    if not isinstance(length, int) or length <= 0:
        raise PeerProtocolError(f"body of {length!r} bytes")
    return length


def frame_sent_at(frame: Frame) -> int:
    """Return when a CALL was sent, on the sender's clock."""
    sent_at: int = frame[4]
    return sent_at


def call_handle(frame: Frame) -> Handle:
    """Return the handle of the call to which a frame belongs."""
    return frame[1], frame[2]


def decode_call(
    frame: Frame, queueing_delay_us: int, now: int, on_outcome: Callable[[Outcome], None]
) -> Call:
    """Return the call of a CALL frame that has arrived now, or of a CALL_HEAD, without its body.

    :param queueing_delay_us: how long the frame was delayed, which is subtracted from the
        remaining times
    """
    _, _, _, left_us, _, service, incarnation, idempotent, priority = frame[:9]
    join_us, wait_us, is_head, call_id, head, body = frame[9:FIELDS_WITHOUT_TARGET]
    left_us -= queueing_delay_us
    if len(frame) > FIELDS_WITHOUT_TARGET:
        target_us, route = frame[15] - queueing_delay_us, frame[16]
    else:
        target_us, route = left_us, f"rank {priority}"
    return Call(
        id=call_id,
        head=head,
        body=b"" if frame[0] == CALL_HEAD else body,
        service=service,
        idempotent=idempotent,
        deadline=now + left_us,
        arrived_at=now,
        target_deadline=now + target_us,
        route=route,
        no_endpoint_deadline=now,
        join_deadline=now + join_us,
        wait_deadline=now + min(left_us, wait_us),
        priority=priority,
        is_head=is_head,
        from_peer=True,
        incarnation=incarnation,
        on_outcome=on_outcome,
    )


def encode_outcome(handle: Handle, outcome: Outcome) -> Frame:
    """Return the frame that reports the outcome of a peer's call."""
    if isinstance(outcome, Served):
        if len(outcome.head) + len(outcome.body) > CALL_MAX_BYTES:
            return [UNKNOWN, *handle, TOO_LARGE]
        return [SERVED, *handle, outcome.status, outcome.head, outcome.body]
    if isinstance(outcome, Rejected):
        return [REJECTED, *handle, outcome.code, outcome.retry_after_us]
    return [UNKNOWN, *handle, outcome.code]


def decode_outcome(frame: Frame) -> Outcome | None:
    """Return the outcome that a frame reports; None if it is a frame of another kind."""
    kind = frame[0]
    if kind == SERVED:
        return Served(frame[4], frame[5], frame[3])
    if kind == REJECTED:
        return Rejected(frame[3], frame[4])
    if kind == UNKNOWN:
        return OutcomeUnknown(frame[3])
    return None
