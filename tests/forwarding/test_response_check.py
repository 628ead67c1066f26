"""What an endpoint's response proves of the request that was sent to it."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.http import Response
from meadowdock.forwarding.response_check import (
    FOREIGN,
    NOT_RUN,
    OTHER_INSTANCE,
    UNCERTAIN,
    VALID,
    ResponseCheck,
)

OWN_ID = {b"md-call": b"c-1"}
NOT_RUN_ID = {**OWN_ID, b"md-not-run": b"1"}


def response(status=200, facts=OWN_ID, lines=()):
    return Response(status, list(lines), dict(facts), b"", True, None)


@pytest.mark.parametrize(
    ("status", "facts", "lines", "expected"),
    [
        (200, OWN_ID, (), VALID),
        (500, OWN_ID, (), VALID),
        (200, {b"md-call": b"c-0"}, (), FOREIGN),
        (200, {}, (), FOREIGN),
        (500, {}, (), FOREIGN),
        (503, NOT_RUN_ID, (), NOT_RUN),
        (421, OWN_ID, (), OTHER_INSTANCE),
        (421, NOT_RUN_ID, (), OTHER_INSTANCE),
        (408, OWN_ID, (), UNCERTAIN),
        (429, OWN_ID, (), UNCERTAIN),
        (503, OWN_ID, (), UNCERTAIN),
        (200, OWN_ID, ((b"Content-Encoding", b"gzip"),), UNCERTAIN),
    ],
)
def test_a_response_on_a_used_connection(status, facts, lines, expected):
    check = ResponseCheck(Dialect())
    assert check.verdict(response(status, facts, lines), b"c-1", False) is expected


@pytest.mark.parametrize(
    ("status", "facts", "expected"),
    [
        (421, {}, OTHER_INSTANCE),
        (503, {b"md-not-run": b"1"}, NOT_RUN),
        (200, {}, FOREIGN),
    ],
)
def test_a_response_without_an_id_on_a_fresh_connection(status, facts, expected):
    assert ResponseCheck(Dialect()).verdict(response(status, facts), b"c-1", True) is expected


@pytest.mark.parametrize(("status", "expected"), [(204, FOREIGN), (404, VALID)])
def test_a_success_must_carry_the_stamp_where_the_dialect_has_one(status, expected):
    check = ResponseCheck(Dialect(stamp=b"X-Stamp"))
    assert check.verdict(response(status), b"c-1", False) is expected
    stamped = response(status, {**OWN_ID, b"x-stamp": b"s"})
    assert check.verdict(stamped, b"c-1", False) is VALID


def test_callers_get_the_proofs_and_the_endpoints_own_headers():
    check = ResponseCheck(Dialect(stamp=b"X-Stamp"))
    lines = [(b"MD-Call", b"c-1"), (b"md-load", b"1,0,4"), (b"X-Stamp", b"s"), (b"X-A", b"1")]
    found = check.lines_for_caller(response(200, {**OWN_ID, b"x-stamp": b"s"}, lines), b"c-1")
    assert found == [(b"md-call", b"c-1"), (b"X-Stamp", b"s"), (b"X-A", b"1")]
