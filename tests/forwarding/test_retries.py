"""Whether a request is retried, and the outcome that is reported if not."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.call import Call, OutcomeUnknown, Rejected
from meadowdock.forwarding.outcome_codes import (
    BUSY,
    CONNECT_FAILED,
    CONNECTION_LOST,
    NO_ANSWER,
    REJECTED_BY_ENDPOINT,
)
from meadowdock.forwarding.retries import (
    RETRY_AFTER_MIN_US,
    RetryPolicy,
    final_outcome,
    rejection_for_peer,
    retry_after_us,
)

DEADLINE = 1_000_000


class Budget:
    """A retry budget that permits a given number of retries."""

    def __init__(self, left):
        self.left, self.nodes = left, None

    def try_withdraw(self, now):
        self.left -= 1
        return self.left >= 0

    def set_node_count(self, nodes):
        self.nodes = nodes


def make_call(**fields):
    defaults = {"idempotent": True, "max_attempts": 3, "attempts": 1}
    deadlines = {"no_endpoint_deadline": 0, "join_deadline": 0, "wait_deadline": 0}
    arguments = {**defaults, **deadlines, **fields}
    return Call(id=b"x", head=b"", body=b"", service="desk", deadline=DEADLINE, **arguments)


def test_request_that_reached_no_endpoint_is_placed_again_without_a_retry():
    policy = RetryPolicy(lambda: Budget(0))
    assert policy.may_retry_not_run(make_call(attempts=0), 0)
    assert not policy.may_retry_not_run(make_call(), 0)


@pytest.mark.parametrize(
    ("fields", "now", "expected"),
    [
        ({}, 0, True),
        ({"attempts": 3}, 0, False),
        ({}, DEADLINE, False),
        ({"idempotent": False}, 0, True),  # it did not run
    ],
)
def test_retries_after_not_run_are_limited_by_attempts_and_deadline(fields, now, expected):
    assert RetryPolicy(lambda: Budget(1)).may_retry_not_run(make_call(**fields), now) is expected


@pytest.mark.parametrize(
    ("fields", "code", "expected"),
    [
        ({}, CONNECTION_LOST, True),
        ({}, NO_ANSWER, False),
        ({"idempotent": False}, CONNECTION_LOST, False),
        ({"from_peer": True}, CONNECTION_LOST, False),
        ({"cancelled": True}, CONNECTION_LOST, False),
        ({"attempts": 3}, CONNECTION_LOST, False),
    ],
)
def test_only_idempotent_local_request_is_retried_when_it_may_have_run(fields, code, expected):
    assert (
        RetryPolicy(lambda: Budget(1)).may_retry_unknown(make_call(**fields), code, 0) is expected
    )


def test_each_service_has_its_own_budget():
    policy = RetryPolicy(lambda: Budget(1))
    other = make_call()
    other.service = "paper"
    assert [policy.permits(each, 0) for each in (make_call(), make_call(), other)] == [
        True,
        False,
        True,
    ]
    policy.set_node_count(7)
    assert {budget.nodes for budget in policy.budgets.values()} == {7}


def test_retry_beyond_the_attempts_is_not_counted():
    policy = RetryPolicy(lambda: Budget(1))
    assert not policy.permits(make_call(attempts=3), 0)
    assert policy.permits(make_call(), 0)


def test_peer_is_told_whether_an_endpoint_received_its_request():
    assert rejection_for_peer(make_call(attempts=0), CONNECT_FAILED) == Rejected(CONNECT_FAILED, 0)
    assert rejection_for_peer(make_call(), CONNECT_FAILED) == Rejected(REJECTED_BY_ENDPOINT, 0)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"may_have_run": True}, OutcomeUnknown(CONNECTION_LOST)),
        ({"from_peer": True, "retry_after_us": 7}, Rejected(BUSY, 7)),
        ({"retry_after_us": 100_000}, Rejected(BUSY, 100_000)),
    ],
)
def test_final_outcome(fields, expected):
    assert final_outcome(make_call(**fields), BUSY, 0) == expected


def test_retry_after_leaves_time_for_another_attempt():
    assert retry_after_us(make_call(retry_after_us=DEADLINE), 0) == DEADLINE // 4
    assert retry_after_us(make_call(hold_us=50_000), 0) == 50_000
    assert retry_after_us(make_call(hold_us=50_000), DEADLINE) == RETRY_AFTER_MIN_US
