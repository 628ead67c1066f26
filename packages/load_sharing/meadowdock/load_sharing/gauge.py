"""Mean occupation over the last interval, from calls in flight.

>>> gauge = Gauge(0)
>>> gauge.set(0, 4); gauge.set(500, 8)
>>> gauge.take(1000)
6.0
>>> gauge.take(2000)
8.0
>>> gauge.take(2000)
8.0
"""

from __future__ import annotations


class Gauge:
    """The mean of a level over time, interval by interval."""

    # Invariants: area is the integral of level from start to at; at never goes back.
    def __init__(self, at: int) -> None:
        self.start = self.at = at
        self.level = 0
        self.area = 0

    def set(self, at: int, level: float) -> None:
        """The level is another one from a moment on."""
        self.area += self.level * max(0, at - self.at)
        self.at = max(at, self.at)
        self.level = level

    def take(self, at: int) -> float:
        """The mean since the last take; begins the next interval."""
        self.set(at, self.level)
        length = self.at - self.start
        mean = self.area / length if length else float(self.level)
        self.start, self.area = self.at, 0
        return mean


def rho(
    mean_in_flight: float,
    mean_spilled: float,
    capacity: float,
    share: float,
    told: float | None = None,
) -> float:
    """The load level in 0..1: calls handled here, the small share that spilled calls keep
    costing at home, over the capacity; never below what the endpoint tells of itself.

    >>> rho(8, 10, 10, 0.05)
    0.85
    >>> rho(1, 0, 10, 0.05, told=0.7)
    0.7
    >>> rho(30, 0, 10, 0.05)
    1.0
    """
    if capacity <= 0:
        return 1.0
    own = (mean_in_flight + share * mean_spilled) / capacity
    return min(1.0, max(own, told or 0.0))
