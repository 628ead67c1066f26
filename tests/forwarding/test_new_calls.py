"""The call of a caller's request: its total time, its deadlines and the forwarded head."""

from __future__ import annotations

import pytest

from meadowdock.configuration.items import ItemRoute
from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.http import Request
from meadowdock.forwarding.new_calls import (
    NO_ENDPOINT_WAIT_SHARE,
    QUEUE_JOIN_SHARE,
    QUEUE_JOIN_SHARE_ABOVE_LOWEST,
    QUEUE_WAIT_SHARE,
    forwarded_head,
    new_call,
    total_time_us,
)

ARRIVED_AT, LOWEST_PRIORITY = 5_000_000, 3
MILLISECONDS = Dialect(deadline_unit_us=1000)


def route(timeout_us=2_000_000, target_us=1_000_000, priority=LOWEST_PRIORITY):
    return ItemRoute("r", 1, b"h", b"/", True, timeout_us, target_us, priority, 2, (("desk", 1),))


def request(method=b"GET", lines=(), mesh_headers=(), body=b""):
    return Request(method, b"/x", b"h.example", list(lines), dict(mesh_headers), body, True)


def make_call(item_route, total_us=2_000_000, spent_us=0, method=b"GET"):
    return new_call(
        request(method),
        item_route,
        "desk",
        b"c-1",
        b"",
        total_us,
        spent_us,
        LOWEST_PRIORITY,
        ARRIVED_AT,
    )


@pytest.mark.parametrize(
    ("deadline", "expected"),
    [
        (None, 2_000_000),
        (b"900", 900_000),
        (b"0", 0),
        (b"9000", 2_000_000),  # limited by the route's time-out
        (b"soon", 2_000_000),
        (b"-5", 2_000_000),
        (b"1" * 16, 2_000_000),
    ],
)
def test_total_time_is_the_route_timeout_or_the_callers_shorter_deadline(deadline, expected):
    mesh_headers = {} if deadline is None else {b"md-due": deadline}
    assert total_time_us(request(mesh_headers=mesh_headers), route(), MILLISECONDS) == expected


@pytest.mark.parametrize(
    ("method", "body", "length"),
    [
        (b"GET", b"", b""),
        (b"HEAD", b"", b""),
        (b"POST", b"", b"Content-Length: 0\r\n"),
        (b"POST", b"abc", b"Content-Length: 3\r\n"),
        (b"GET", b"abc", b"Content-Length: 3\r\n"),
    ],
)
def test_forwarded_head_starts_with_host_call_id_and_caller(method, body, length):
    lines = [(b"HOST", b"h.example"), (b"X-A", b"1")]
    head = forwarded_head(request(method, lines, body=body), b"c-1", b"ledger", Dialect())
    assert head == (
        b"%s /x HTTP/1.1\r\nHost: h.example\r\nmd-call: c-1\r\nmd-caller: ledger\r\nX-A: 1\r\n%s"
        % (method, length)
    )


def test_deadlines_of_a_call_are_shares_of_its_latency_target():
    call = make_call(route())
    target_us = 1_000_000
    assert call.deadline == ARRIVED_AT + 2_000_000
    assert call.target_deadline == ARRIVED_AT + target_us
    assert call.no_endpoint_deadline == ARRIVED_AT + NO_ENDPOINT_WAIT_SHARE * target_us
    assert call.join_deadline == ARRIVED_AT + QUEUE_JOIN_SHARE * target_us
    assert call.wait_deadline == ARRIVED_AT + QUEUE_WAIT_SHARE * target_us


def test_call_above_the_lowest_priority_may_join_a_longer_queue():
    call = make_call(route(priority=LOWEST_PRIORITY - 1))
    assert call.join_deadline == ARRIVED_AT + QUEUE_JOIN_SHARE_ABOVE_LOWEST * 1_000_000


def test_call_with_a_short_target_may_wait_for_a_third_of_its_time():
    assert make_call(route(target_us=30_000)).wait_deadline == ARRIVED_AT + 2_000_000 // 3


@pytest.mark.parametrize(
    ("target_us", "total_us", "spent_us", "expected_us"),
    [
        (0, 2_000_000, 0, 2_000_000),  # without a target it is the total time
        (1_000_000, 400_000, 0, 400_000),
        (1_000_000, 2_000_000, 300_000, 700_000),
        (1_000_000, 2_000_000, 1_500_000, 0),
    ],
)
def test_latency_target_is_limited_by_the_timeout_and_counts_from_the_first_attempt(
    target_us, total_us, spent_us, expected_us
):
    call = make_call(route(target_us=target_us), total_us, spent_us)
    assert call.target_deadline == ARRIVED_AT + expected_us


def test_call_takes_over_the_settings_of_its_route():
    call = make_call(route(), method=b"HEAD")
    assert (call.route, call.priority, call.max_attempts) == ("r", LOWEST_PRIORITY, 2)
    assert call.idempotent and call.is_head and not call.from_peer
