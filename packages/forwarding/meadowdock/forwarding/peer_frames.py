"""The frames of a link between gateways: the one place that knows their layout.

A frame is a msgpack list, kind first, sealed with a proof of the fleet key (`meadowdock.rpc.frame`):

    HELLO, magic, nonce, name                 the opener
    PROVED, nonce, name, proof                the other side
    PROVED, proof, time                       the opener
    CALL, slot, generation, ...               see call_frame
    SERVED, slot, generation, status, head, body
    REJECTED, slot, generation, code, retry_after_us
    UNKNOWN, slot, generation, code
    CANCEL, slot, generation
    PING / PONG
    READS_TARGET                              the sender reads the last two fields of a CALL

Slot and generation are the sender's handle of a call. Times are sent as what is left of them, in
microseconds. A side passes over kinds that it doesn't know.
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
HELLO, PROVED, CALL, SERVED, REJECTED, UNKNOWN, CANCEL, PING, PONG, READS_TARGET = range(10)
CALL_SIZE_MAX = MAX_FRAME_SIZE - 65_536  # bytes of a call's or answer's head and body
DEADLINE_MARGIN_US = 15 * MILLISECOND  # a peer ends a call this much before the caller's deadline
FIELDS_WITHOUT_TARGET = 15  # of a CALL of the former version

Frame = list[Any]


class FrameReader:
    """Complete frames of a byte stream. Invariant: partial holds at most one incomplete frame between
    two calls of feed()."""

    def __init__(self, proof: FrameAuthenticator) -> None:
        self.proof = proof
        self.partial = b""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """The proved frames in data. Each is opened once those before it are dealt with, since they
        may change the proof.

        :raises PeerProtocolError: a frame is too long or fails its proof
        """
        data = self.partial + data if self.partial else data
        start, size = 0, len(data)
        while size - start >= LENGTH_SIZE:
            length = int.from_bytes(data[start : start + LENGTH_SIZE], "big")
            if length > MAX_FRAME_SIZE:
                raise PeerProtocolError(f"frame of {length} bytes, {MAX_FRAME_SIZE} at most")
            end = start + LENGTH_SIZE + TAG_SIZE + length
            if end > size:
                break
            body = self.proof.open(data[start + LENGTH_SIZE : end])
            if body is None:
                raise PeerProtocolError("frame fails its proof")
            start = end
            yield ormsgpack.unpackb(body)
        self.partial = data[start:] if start else data


def call_frame(handle: Handle, call: Call, may_queue: bool, with_target: bool, at: int) -> Frame:
    """A call as it is sent to a peer at a time.

    :param may_queue: it may wait in the peer's queue
    :param with_target: the peer reads the latency target and the route
    """
    frame: Frame = [
        CALL,
        handle[0],
        handle[1],
        max(0, call.deadline - at - DEADLINE_MARGIN_US),
        at,
        call.service,
        call.incarnation,
        call.idempotent,
        call.priority,
        max(0, call.join_deadline - at) if may_queue else 0,
        max(0, call.wait_deadline - at),
        call.is_head,
        call.id,
        call.head,
        call.body,
    ]
    if with_target:
        frame += [call.target_deadline - at, call.route]
    return frame


def sent_at_of(frame: Frame) -> int:
    """When a CALL was sent, by the sender's clock."""
    sent_at: int = frame[4]
    return sent_at


def handle_of(frame: Frame) -> Handle:
    """The sender's handle of the call that a frame is about."""
    return frame[1], frame[2]


def call_of(frame: Frame, lag_us: int, at: int, on_outcome: Callable[[Outcome], None]) -> Call:
    """The call of a CALL frame that came at a time.

    :param lag_us: how long the frame was on its way, which is taken off the call's times
    """
    _, _, _, left_us, _, service, incarnation, idempotent, priority = frame[:9]
    join_us, wait_us, is_head, call_id, head, body = frame[9:FIELDS_WITHOUT_TARGET]
    left_us -= lag_us
    if len(frame) > FIELDS_WITHOUT_TARGET:
        target_us, route = frame[15] - lag_us, frame[16]
    else:
        target_us, route = left_us, f"rank {priority}"
    return Call(
        id=call_id,
        head=head,
        body=body,
        service=service,
        idempotent=idempotent,
        deadline=at + left_us,
        arrived_at=at,
        target_deadline=at + target_us,
        route=route,
        early_deadline=at,
        join_deadline=at + join_us,
        wait_deadline=at + min(left_us, wait_us),
        priority=priority,
        is_head=is_head,
        from_peer=True,
        incarnation=incarnation,
        on_outcome=on_outcome,
    )


def outcome_frame(handle: Handle, outcome: Outcome) -> Frame:
    """What became of a peer's call."""
    if isinstance(outcome, Served):
        if len(outcome.head) + len(outcome.body) > CALL_SIZE_MAX:
            return [UNKNOWN, *handle, TOO_LARGE]
        return [SERVED, *handle, outcome.status, outcome.head, outcome.body]
    if isinstance(outcome, Rejected):
        return [REJECTED, *handle, outcome.code, outcome.retry_after_us]
    return [UNKNOWN, *handle, outcome.code]


def outcome_of(frame: Frame) -> Outcome | None:
    """The outcome that a frame reports; None if it is a frame of another kind."""
    kind = frame[0]
    if kind == SERVED:
        return Served(frame[4], frame[5], frame[3])
    if kind == REJECTED:
        return Rejected(frame[3], frame[4])
    if kind == UNKNOWN:
        return OutcomeUnknown(frame[3])
    return None
