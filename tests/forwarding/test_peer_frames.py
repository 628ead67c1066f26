"""Frames of links between gateways: encoding and decoding, also with the previous version."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.call import Call, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.exceptions import PeerProtocolError
from meadowdock.forwarding.peer_frames import (
    CALL_MAX_BYTES,
    DEADLINE_MARGIN_US,
    FIELDS_WITHOUT_TARGET,
    PING,
    FrameReader,
    call_handle,
    decode_call,
    decode_outcome,
    encode_call,
    encode_outcome,
    frame_sent_at,
)
from meadowdock.rpc.frame import FrameAuthenticator

HANDLE = (3, 7)
SENT_AT, RECEIVED_AT, QUEUEING_DELAY_US = 1_000, 900_000, 50
CALL = Call(
    id=b"c-1",
    head=b"GET / HTTP/1.1\r\n",
    body=b"body",
    service="desk",
    idempotent=True,
    deadline=SENT_AT + 500_000,
    no_endpoint_deadline=0,
    join_deadline=SENT_AT + 100_000,
    wait_deadline=SENT_AT + 700_000,
    target_deadline=SENT_AT + 300_000,
    route="r",
    priority=2,
    is_head=True,
    incarnation="i",
)


def decode(frame):
    return decode_call(frame, QUEUEING_DELAY_US, RECEIVED_AT, print)


def test_call_round_trips_with_its_remaining_times():
    frame = encode_call(HANDLE, CALL, True, True, SENT_AT)
    assert (call_handle(frame), frame_sent_at(frame)) == (HANDLE, SENT_AT)
    call = decode(frame)
    for name in [
        "id",
        "head",
        "body",
        "service",
        "idempotent",
        "route",
        "priority",
        "is_head",
        "incarnation",
    ]:
        assert getattr(call, name) == getattr(CALL, name), name
    left_us = 500_000 - DEADLINE_MARGIN_US - QUEUEING_DELAY_US
    assert call.deadline == RECEIVED_AT + left_us
    assert call.join_deadline == RECEIVED_AT + 100_000
    assert call.wait_deadline == RECEIVED_AT + left_us  # limited by the deadline
    assert call.target_deadline == RECEIVED_AT + 300_000 - QUEUEING_DELAY_US
    assert call.from_peer and call.on_outcome is print


def test_call_that_must_not_wait_joins_no_queue():
    call = decode(encode_call(HANDLE, CALL, False, True, SENT_AT))
    assert call.join_deadline == RECEIVED_AT


def test_call_of_the_previous_version_gets_defaults_for_target_and_route():
    frame = encode_call(HANDLE, CALL, True, False, SENT_AT)
    assert len(frame) == FIELDS_WITHOUT_TARGET
    call = decode(frame)
    assert (call.target_deadline, call.route) == (call.deadline, "rank 2")


@pytest.mark.parametrize(
    "outcome", [Served(b"head", b"body", 200), Rejected("busy", 7), OutcomeUnknown("lost")]
)
def test_outcome_round_trips(outcome):
    frame = encode_outcome(HANDLE, outcome)
    assert call_handle(frame) == HANDLE
    assert decode_outcome(frame) == outcome


def test_response_larger_than_a_frame_is_an_unknown_outcome():
    frame = encode_outcome(HANDLE, Served(b"", bytes(CALL_MAX_BYTES + 1), 200))
    assert decode_outcome(frame) == OutcomeUnknown("too_large")


def test_other_frames_have_no_outcome():
    assert decode_outcome([PING]) is None


def seal_frames(*bodies):
    authenticator = FrameAuthenticator(b"k" * 32, b"out")
    return b"".join(authenticator.seal(body) for body in bodies)


@pytest.mark.parametrize("size", (1, 7, 1000))
def test_frames_are_read_independently_of_how_they_are_split(size):
    data = seal_frames(b"\x91\x01", b"\x92\x02\x03")
    reader, frames = FrameReader(FrameAuthenticator(b"k" * 32, b"out")), []
    for start in range(0, len(data), size):
        frames += reader.feed(data[start : start + size])
    assert frames == [[1], [2, 3]] and reader.partial == b""


def test_changed_or_missing_frame_is_detected():
    first, second = (
        seal_frames(b"\x91\x01"),
        seal_frames(b"\x91\x01", b"\x91\x02")[-len(seal_frames(b"\x91\x02")) :],
    )
    for data in (first[:-1] + b"\x09", second, b"\xff\xff\xff\xff" + first):
        with pytest.raises(PeerProtocolError, match="frame"):
            list(FrameReader(FrameAuthenticator(b"k" * 32, b"out")).feed(data))
