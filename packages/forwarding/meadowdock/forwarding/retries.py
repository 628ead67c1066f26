"""Whether a request that did not run, or may not have run, is sent again. No I/O.

A request that surely did not run may go to a further endpoint; one whose outcome is unknown only if
it is idempotent. Retries are bounded for each request (its route's attempts) and for each service
(a budget, so that a fault of an endpoint is not made worse by them).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Outcome, OutcomeUnknown, Rejected
from meadowdock.forwarding.outcome_codes import LOST, NO_ANSWER, REJECTED_BY_ENDPOINT

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import RetryBudget

RETRY_AFTER_MIN_US = 20_000


class RetryPolicy:
    """Decides on retries, and counts them against the budget of their service.

    :param new_budget: makes the budget of a service that had no request yet
    """

    def __init__(self, new_budget: Callable[[], RetryBudget]) -> None:
        self.new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """The budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self.new_budget()
        return budget

    def shared_by(self, nodes: int) -> None:
        """So many nodes share the fleet's reserve of retries now."""
        for budget in self.budgets.values():
            budget.share_between(nodes)

    def permits(self, call: Call, at: int) -> bool:
        """Whether a request may be sent once more; counts the retry if so."""
        in_bounds = call.attempts < call.max_attempts and at < call.deadline
        return in_bounds and self.budget(call.service).try_withdraw(at)

    def after_not_run(self, call: Call, at: int) -> bool:
        """Whether a request of this node that did not run is placed again. One that reached no
        endpoint yet is no retry."""
        return call.attempts == 0 or self.permits(call, at)

    def after_unknown(self, call: Call, code: str, at: int) -> bool:
        """Whether a request that may have run is placed again."""
        repeatable = not call.from_peer and call.idempotent and not call.abandoned
        return repeatable and code != NO_ANSWER and self.permits(call, at)


def rejection_of_relocated(call: Call, code: str) -> Rejected:
    """What a peer is told of its request that did not run here: if an endpoint saw it, a further
    one would be a retry."""
    return Rejected(REJECTED_BY_ENDPOINT if call.attempts else code, 0)


def final_rejection(call: Call, code: str, at: int) -> Outcome:
    """The outcome of a request that is given up without an answer."""
    if call.may_have_run:
        return OutcomeUnknown(LOST)
    if call.from_peer:
        return Rejected(code, call.retry_after_us)
    return Rejected(code, retry_after_us(call, at))


def retry_after_us(call: Call, at: int) -> int:
    """When its caller is to come back: once those in the queue have probably been served, but
    early enough for another attempt before the deadline."""
    left_us = call.deadline - at
    return max(RETRY_AFTER_MIN_US, min(call.retry_after_us or call.hold_us, left_us // 4))
