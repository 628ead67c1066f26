"""Estimates from a request's deadline how much time its caller has spent on earlier attempts.

A retry has a new call id, but its latency target still counts from the first attempt. Most callers
of one route use the same time-out, so one with less time left has probably spent the difference.
"""

from __future__ import annotations

from collections import deque

SAMPLES_MAX = 64  # the latest requests of a route that are considered
REQUESTS_PER_UPDATE = 16  # between two updates of the usual time-out
USUAL_QUANTILE = 0.9  # of the remaining times; larger ones are treated as outliers


class CallerTimeouts:
    """The usual time-out of the callers of one route, in microseconds.

    It is close to the longest remaining time among the latest requests, since a first attempt has
    more time left than a retry. A few callers with much longer deadlines are ignored.

    >>> timeouts = CallerTimeouts()
    >>> timeouts.time_spent_us(1500), timeouts.time_spent_us(1100), timeouts.time_spent_us(1500)
    (0, 400, 0)
    >>> for _ in range(30): _ = timeouts.time_spent_us(1500)
    >>> timeouts.time_spent_us(60_000), timeouts.time_spent_us(1500), timeouts.time_spent_us(1400)
    (0, 0, 100)
    """

    __slots__ = ("latest", "request_count", "usual_us")

    def __init__(self) -> None:
        self.latest: deque[int] = deque(maxlen=SAMPLES_MAX)
        self.request_count = self.usual_us = 0

    def time_spent_us(self, remaining_us: int) -> int:
        """Estimate how much of its time-out a request with this remaining time has spent."""
        self.latest.append(remaining_us)
        self.request_count += 1
        if self.request_count % REQUESTS_PER_UPDATE == 0:
            in_order = sorted(self.latest)
            self.usual_us = in_order[int(USUAL_QUANTILE * (len(in_order) - 1))]
        elif self.request_count < REQUESTS_PER_UPDATE:
            self.usual_us = max(self.usual_us, remaining_us)
        return max(0, self.usual_us - remaining_us)
