"""Requests and answers between proposers and acceptors: their forms on the wire."""

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


def sent(value):
    """A value as the other side of a connection gets it."""
    return ormsgpack.unpackb(ormsgpack.packb(value))


@pytest.mark.parametrize(("request_sent", "method", "arguments"), REQUESTS)
def test_a_request_has_its_form_on_the_wire(request_sent, method, arguments):
    assert request_sent.method == method
    assert sent(request_sent.to_wire()) == arguments


@pytest.mark.parametrize(("kind", "answer", "form"), ANSWERS)
def test_an_answer_has_its_form_on_the_wire_and_is_read_from_it(kind, answer, form):
    assert sent(kind.answer_to_wire(answer)) == form
    assert kind.answer_from_wire(form) == answer


@pytest.mark.parametrize("form", [None, [], ["yes"], ["yes", 7, None], ["yes", [7], None]])
def test_a_malformed_answer_is_no_answer(form):
    with pytest.raises((TypeError, ValueError)):
        PrepareRequest.answer_from_wire(form)
