"""The retry budget of one node: a sliding window, and the node's share of the fleet's reserve.

Retries are limited to a ratio of the requests in the last window, as in Finagle's RetryBudget, so
that they can't multiply the load on a fleet that is already failing. The reserve lets a fleet with
few requests retry at all.

>>> budget = RetryBudget(nodes=8, created_at=0)
>>> budget.try_withdraw(0)
False
>>> now = 10_000_000
>>> [budget.try_withdraw(now) for _ in range(4)]
[True, True, True, False]
>>> for _ in range(100): budget.deposit(now + 1)
>>> sum(budget.try_withdraw(now + 2) for _ in range(100))
12
>>> budget.try_withdraw(2 * now + 200_000)
True
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW_US = 10_000_000
BUCKET_US = 100_000
RETRY_RATIO = 0.15  # retries per request
FLEET_RESERVE = 24  # retries per window that all nodes together may always make


@dataclass(slots=True)
class Bucket:
    """Requests and retries counted within BUCKET_US."""

    number: int  # time // BUCKET_US
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Counts requests and retries; times are in microseconds.

    Invariants: buckets are in order of time and none is older than window_us + BUCKET_US; requests
    and retries are their sums. A process younger than a window has no reserve: the process that ran
    here before may have used it.
    """

    def __init__(
        self,
        nodes: int,
        created_at: int,
        ratio: float = RETRY_RATIO,
        reserve: int = FLEET_RESERVE,
        window_us: int = WINDOW_US,
    ) -> None:
        self.ratio, self.fleet_reserve, self.window_us = ratio, reserve, window_us
        self.created_at = created_at
        self.buckets: deque[Bucket] = deque()
        self.requests = self.retries = 0
        self.set_node_count(nodes)

    def set_node_count(self, nodes: int) -> None:
        """Divide the fleet's reserve between this many nodes."""
        self.reserve = self.fleet_reserve / nodes

    def carry_over(self, former: RetryBudget) -> RetryBudget:
        """Take over the counts of a former budget that had other limits."""
        self.buckets, self.created_at = former.buckets, former.created_at
        self.requests, self.retries = former.requests, former.retries
        return self

    def deposit(self, now: int) -> None:
        """Count a request."""
        self.current_bucket(now).requests += 1
        self.requests += 1

    def try_withdraw(self, now: int) -> bool:
        """Count a retry and return True if the budget allows one."""
        bucket = self.current_bucket(now)
        reserve = self.reserve if now - self.created_at >= self.window_us else 0
        if self.retries + 1 > max(reserve, self.ratio * self.requests):
            return False
        bucket.retries += 1
        self.retries += 1
        return True

    def current_bucket(self, now: int) -> Bucket:
        """Return the bucket that contains a time, after dropping those that left the window."""
        while self.buckets and self.expired(self.buckets[0], now):
            dropped = self.buckets.popleft()
            self.requests -= dropped.requests
            self.retries -= dropped.retries
        if not self.buckets or self.buckets[-1].number < now // BUCKET_US:
            self.buckets.append(Bucket(now // BUCKET_US))
        return self.buckets[-1]

    def expired(self, bucket: Bucket, now: int) -> bool:
        """Return whether a bucket lies outside the window."""
        return bucket.number * BUCKET_US + self.window_us + BUCKET_US <= now
