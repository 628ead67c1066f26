"""Measures the load level of a node as the mean occupation over the last interval.

>>> gauge = Gauge(0)
>>> gauge.update(0, 4); gauge.update(500, 8)
>>> gauge.take_mean(1000)
6.0
>>> gauge.take_mean(2000)
8.0
>>> gauge.take_mean(2000)
8.0
"""

from __future__ import annotations


class Gauge:
    """Computes the time-weighted mean of a level for each interval; times are in microseconds.

    Invariants: area is the integral of the level from interval_start to updated_at; updated_at
    never decreases.
    """

    def __init__(self, now: int) -> None:
        self.interval_start = self.updated_at = now
        self.level: float = 0
        self.area: float = 0

    def update(self, now: int, level: float) -> None:
        """Record that the level has changed now."""
        self.area += self.level * max(0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level = level

    def take_mean(self, now: int) -> float:
        """Return the mean since the last call of this method and start the next interval."""
        self.update(now, self.level)
        length = self.updated_at - self.interval_start
        mean = self.area / length if length else float(self.level)
        self.interval_start, self.area = self.updated_at, 0
        return mean


def load_level(
    mean_in_flight: float,
    mean_forwarded: float,
    capacity: float,
    forwarded_weight: float,
    reported_load: float | None = None,
) -> float:
    """Return the load level rho, in 0..1.

    It is the number of requests handled here, plus a small share (`forwarded_weight`) of the
    forwarded requests for what they still cost this node, divided by the capacity in requests.
    It is never below the load that the endpoint itself reports.

    >>> load_level(8, 10, 10, 0.05)
    0.85
    >>> load_level(1, 0, 10, 0.05, reported_load=0.7)
    0.7
    >>> load_level(30, 0, 10, 0.05)
    1.0
    """
    if capacity <= 0:
        return 1.0
    measured = (mean_in_flight + forwarded_weight * mean_forwarded) / capacity
    return min(1.0, max(measured, reported_load or 0.0))
