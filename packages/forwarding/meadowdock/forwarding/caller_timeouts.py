"""How long ago a request's caller first asked, as far as its deadline tells.

A caller that retries comes with a new id, and its latency target still counts from its first attempt.
Callers of one route mostly allow the same time, so one with less of it left has probably spent the
rest.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 64  # latest requests of a route that are looked at
LOOK_EVERY = 16  # requests
USUAL = 0.9  # the share of them that has no more time left than is usual: the rest are odd ones


class CallerTimeouts:
    """The time that callers of one route usually allow, in microseconds. It is near the longest
    among the latest requests, since a first attempt has more time left than a retry; a few
    callers with much longer deadlines don't count.

    >>> timeouts = CallerTimeouts()
    >>> timeouts.time_spent_us(1500), timeouts.time_spent_us(1100), timeouts.time_spent_us(1500)
    (0, 400, 0)
    >>> for _ in range(30): _ = timeouts.time_spent_us(1500)
    >>> timeouts.time_spent_us(60_000), timeouts.time_spent_us(1500), timeouts.time_spent_us(1400)
    (0, 0, 100)
    """

    __slots__ = ("latest", "seen", "usual_us")

    def __init__(self) -> None:
        self.latest: deque[int] = deque(maxlen=SAMPLES)
        self.seen = self.usual_us = 0

    def time_spent_us(self, left_us: int) -> int:
        """How much of its time a request has probably spent when it comes with so much left."""
        self.latest.append(left_us)
        self.seen += 1
        if self.seen % LOOK_EVERY == 0:
            in_order = sorted(self.latest)
            self.usual_us = in_order[int(USUAL * (len(in_order) - 1))]
        elif self.seen < LOOK_EVERY:
            self.usual_us = max(self.usual_us, left_us)
        return max(0, self.usual_us - left_us)
