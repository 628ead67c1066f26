"""Requests and answers between proposers and acceptors: their encoding on the wire."""

from __future__ import annotations

import ormsgpack
import pytest

from meadowdock.consensus import Ballot, PrepareRequest, ReadRequest, WriteRequest
from meadowdock.consensus.messages import Acceptance, AcceptedPair, Promise, Refusal

BALLOT = Ballot(7, "proposer")

REQUESTS = [
    (PrepareRequest("k", BALLOT), "prepare", ["k", [7, "proposer"]]),
    (WriteRequest("k", BALLOT, {"v": 1}), "write", ["k", [7, "proposer"], {"v": 1}]),
    (ReadRequest("k"), "read", ["k"]),
]

ANSWERS = [
    (PrepareRequest, Promise(BALLOT, "value"), ["yes", [7, "proposer"], "value"]),
    (PrepareRequest, Refusal(BALLOT), ["no", [7, "proposer"], None]),
    (WriteRequest, Acceptance(BALLOT), ["yes", [7, "proposer"]]),
    (WriteRequest, Refusal(BALLOT), ["no", [7, "proposer"]]),
    (ReadRequest, AcceptedPair(BALLOT, "value"), [[7, "proposer"], "value"]),
]


def as_received(value):
    """Return a value as the peer decodes it."""
    return ormsgpack.unpackb(ormsgpack.packb(value))


@pytest.mark.parametrize(("request_sent", "method", "arguments"), REQUESTS)
def test_a_request_is_encoded_as_specified(request_sent, method, arguments):
    assert request_sent.method == method
    assert as_received(request_sent.to_wire()) == arguments


@pytest.mark.parametrize(("request_class", "answer", "encoded"), ANSWERS)
def test_an_answer_is_encoded_as_specified_and_decoded_to_the_same(request_class, answer, encoded):
    assert as_received(request_class.answer_to_wire(answer)) == encoded
    assert request_class.answer_from_wire(encoded) == answer


@pytest.mark.parametrize("encoded", [None, [], ["yes"], ["yes", 7, None], ["yes", [7], None]])
def test_a_malformed_answer_is_rejected(encoded):
    with pytest.raises((TypeError, ValueError)):
        PrepareRequest.answer_from_wire(encoded)
