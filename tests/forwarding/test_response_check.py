"""The check whether a response belongs to a request and whether the request ran."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.response_check import (
    FOREIGN,
    NOT_RUN,
    OTHER_INSTANCE,
    UNCERTAIN,
    VALID,
    ResponseCheck,
)
from meadowdock.forwarding.response_parser import Response

OWN_ID = {b"md-call": b"c-1"}
NOT_RUN_ID = {**OWN_ID, b"md-not-run": b"1"}


def response(status=200, mesh_headers=OWN_ID, lines=()):
    return Response(status, list(lines), dict(mesh_headers), b"", True, None)


@pytest.mark.parametrize(
    ("status", "mesh_headers", "lines", "expected"),
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
def test_verdict_on_a_reused_connection(status, mesh_headers, lines, expected):
    check = ResponseCheck(Dialect())
    assert check.verdict(response(status, mesh_headers, lines), b"c-1", False) is expected


@pytest.mark.parametrize(
    ("status", "mesh_headers", "expected"),
    [
        (421, {}, OTHER_INSTANCE),
        (503, {b"md-not-run": b"1"}, NOT_RUN),
        (200, {}, FOREIGN),
    ],
)
def test_verdict_without_a_call_id_on_a_new_connection(status, mesh_headers, expected):
    assert (
        ResponseCheck(Dialect()).verdict(response(status, mesh_headers), b"c-1", True) is expected
    )


@pytest.mark.parametrize(("status", "expected"), [(204, FOREIGN), (404, VALID)])
def test_successful_response_must_have_the_stamp_of_the_dialect(status, expected):
    check = ResponseCheck(Dialect(stamp=b"X-Stamp"))
    assert check.verdict(response(status), b"c-1", False) is expected
    stamped = response(status, {**OWN_ID, b"x-stamp": b"s"})
    assert check.verdict(stamped, b"c-1", False) is VALID


def test_caller_gets_call_id_stamp_and_the_endpoints_own_headers():
    check = ResponseCheck(Dialect(stamp=b"X-Stamp"))
    lines = [(b"MD-Call", b"c-1"), (b"md-load", b"1,0,4"), (b"X-Stamp", b"s"), (b"X-A", b"1")]
    found = check.lines_for_caller(response(200, {**OWN_ID, b"x-stamp": b"s"}, lines), b"c-1")
    assert found == [(b"md-call", b"c-1"), (b"X-Stamp", b"s"), (b"X-A", b"1")]
