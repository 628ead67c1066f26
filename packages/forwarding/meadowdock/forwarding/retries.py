"""Decides whether a request is sent again after a failure, without I/O.

A request that certainly did not run may go to another endpoint; one whose outcome is unknown may do
so only if it is idempotent. Retries are limited for each request (by its route's attempts) and for
each service (by a retry budget, so that they don't amplify the failure of an endpoint).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Outcome, OutcomeUnknown, Rejected
from meadowdock.forwarding.outcome_codes import CONNECTION_LOST, NO_ANSWER, REJECTED_BY_ENDPOINT

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import RetryBudget

RETRY_AFTER_MIN_US = 20_000


class RetryPolicy:
    """Decides on retries and counts them against the budget of their service.

    :param new_budget: creates the budget of a service at its first request
    """

    def __init__(self, new_budget: Callable[[], RetryBudget]) -> None:
        self.new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self.new_budget()
        return budget

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes that share the fleet's reserve of retries."""
        for budget in self.budgets.values():
            budget.set_node_count(nodes)

    def permits(self, call: Call, now: int) -> bool:
        """Return whether a request may be retried, and count the retry if so."""
        in_bounds = call.attempts < call.max_attempts and now < call.deadline
        return in_bounds and self.budget(call.service).try_withdraw(now)

    def may_retry_not_run(self, call: Call, now: int) -> bool:
        """Return whether a request of this node that did not run may be placed again.

        If it has not reached any endpoint, this does not count as a retry.
        """
        return call.attempts == 0 or self.permits(call, now)

    def may_retry_unknown(self, call: Call, code: str, now: int) -> bool:
        """Return whether a request that may have run may be placed again."""
        repeatable = not call.from_peer and call.idempotent and not call.cancelled
        return repeatable and code != NO_ANSWER and self.permits(call, now)


def rejection_for_peer(call: Call, code: str) -> Rejected:
    """Return the rejection that is sent to a peer whose request did not run here.

    If an endpoint has received the request, the peer must count a further attempt as a retry.
    """
    return Rejected(REJECTED_BY_ENDPOINT if call.attempts else code, 0)


def final_outcome(call: Call, code: str, now: int) -> Outcome:
    """Return the outcome of a request for which there will be no further attempt."""
    if call.may_have_run:
        return OutcomeUnknown(CONNECTION_LOST)
    if call.from_peer:
        return Rejected(code, call.retry_after_us)
    return Rejected(code, retry_after_us(call, now))


def retry_after_us(call: Call, now: int) -> int:
    """Return how long the caller should wait before it retries.

    After that time the calls in the queue have probably been served, but there is still time for
    another attempt before the deadline.
    """
    left_us = call.deadline - now
    return max(RETRY_AFTER_MIN_US, min(call.retry_after_us or call.hold_us, left_us // 4))
