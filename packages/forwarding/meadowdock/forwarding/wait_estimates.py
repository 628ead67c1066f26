"""Estimates how long a call will wait for a slot of a service here and how long it will hold one.

Hold times are kept by route, because a mean over different kinds of calls would fit none of them.

A wait queue is ordered by urgency: by the route's priority, and within a priority calls that can
still meet their latency target come first. A call that arrives later with a greater urgency overtakes,
so only the slots that greater urgencies leave free count for a call. This is the mean wait in a queue
with priorities, after Cobham, "Priority assignment in waiting line problems" (1954).
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from meadowdock.forwarding.call import Call

INITIAL_HOLD_US = 50_000  # the hold time that is assumed until a call has ended
# Exponential smoothing as RFC 6298 does it for the round-trip time, but slower.
MEAN_GAIN_DIVISOR, DEVIATION_GAIN_DIVISOR = 16, 8
LIKELY_DEVIATIONS = 2  # most hold times are at most this many mean deviations above the mean
# At least this share of the slots is assumed to be free, however many slots greater urgencies use.
FREE_SLOTS_MIN_SHARE = 0.05


def urgency_of(call: Call, now: int) -> int:
    """Return a call's rank in a queue; 0 is the most urgent.

    It is even while the call can meet its target and odd afterwards.

    >>> from types import SimpleNamespace
    >>> urgency_of(SimpleNamespace(priority=1, target_deadline=100, hold_us=80), now=20)
    2
    >>> urgency_of(SimpleNamespace(priority=1, target_deadline=100, hold_us=80), now=21)
    3
    """
    return 2 * call.priority + (now + call.hold_us > call.target_deadline)


def misses_target(urgency: int) -> bool:
    """Return whether a call of an urgency will be late even if it starts at once.

    >>> misses_target(2), misses_target(3)
    (False, True)
    """
    return urgency % 2 == 1


class HoldTime:
    """The time for which calls of one route hold a slot: mean and mean deviation, in microseconds.

    >>> hold = HoldTime()
    >>> hold.observe(150_000); hold.mean_us, hold.likely_us
    (150000, 225000)
    """

    __slots__ = ("has_samples", "mean_us", "deviation_us")

    def __init__(self) -> None:
        self.has_samples = False
        self.mean_us = self.deviation_us = 0

    def observe(self, duration_us: int) -> None:
        """Add the time for which one call held a slot."""
        if not self.has_samples:
            self.has_samples = True
            self.mean_us, self.deviation_us = duration_us, duration_us // 4
            return
        self.deviation_us += (
            abs(duration_us - self.mean_us) - self.deviation_us
        ) // DEVIATION_GAIN_DIVISOR
        self.mean_us += (duration_us - self.mean_us) // MEAN_GAIN_DIVISOR

    @property
    def likely_us(self) -> int:
        """The hold time that most calls don't exceed."""
        return self.mean_us + LIKELY_DEVIATIONS * self.deviation_us


class SlotsInUse:
    """The number of slots that calls of one urgency hold, now and as a weighted mean."""

    __slots__ = ("level", "mean", "updated_at")

    def __init__(self, now: int) -> None:
        self.level, self.mean, self.updated_at = 0, 0.0, now

    def mean_at(self, now: int, averaging_window_us: int) -> float:
        """Return the exponentially weighted mean of the level up to now."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / averaging_window_us)
            self.mean = self.mean * decay + self.level * (1 - decay)
            self.updated_at = now
        return self.mean

    def adjust(self, now: int, averaging_window_us: int, delta: int) -> None:
        """Add delta, which may be negative, to the number of slots held from now on."""
        self.mean_at(now, averaging_window_us)
        self.level += delta


class WaitEstimates:
    """The estimates for one service at this node.

    Invariant: in_use has an entry for each urgency that ever held a slot here, with a level of at
    least 0.
    """

    def __init__(self, averaging_window_us: int) -> None:
        self.averaging_window_us = averaging_window_us
        self.hold_times: dict[str, HoldTime] = {}
        self.in_use: dict[int, SlotsInUse] = {}

    def hold_time(self, route: str) -> HoldTime:
        """Return the hold time of a route's calls."""
        hold_time = self.hold_times.get(route)
        if hold_time is None:
            hold_time = self.hold_times[route] = HoldTime()
        return hold_time

    def expected_hold_us(self, route: str) -> tuple[int, int]:
        """Return the mean and the likely hold time of a route's next call.

        A route without any observed call gets the mean of the other routes for both, or
        INITIAL_HOLD_US if there is none either.
        """
        hold_time = self.hold_times.get(route)
        if hold_time is not None and hold_time.has_samples:
            return hold_time.mean_us, hold_time.likely_us
        mean_us = self.mean_us() or INITIAL_HOLD_US
        return mean_us, mean_us

    def mean_us(self) -> int:
        """Return the mean hold time over all routes with samples; 0 if there is none.

        Each route has the same weight, so that endpoints can be compared although they had different
        mixes of calls.
        """
        means_us = [hold.mean_us for hold in self.hold_times.values() if hold.has_samples]
        return sum(means_us) // len(means_us) if means_us else 0

    def slot_acquired(self, urgency: int, now: int) -> None:
        """Record that a call has taken a slot."""
        slots = self.in_use.get(urgency)
        if slots is None:
            slots = self.in_use[urgency] = SlotsInUse(now)
        slots.adjust(now, self.averaging_window_us, 1)

    def slot_released(self, urgency: int, now: int) -> None:
        """Record that a call has released its slot."""
        self.in_use[urgency].adjust(now, self.averaging_window_us, -1)

    def any_in_use(self) -> bool:
        """Return whether any slot is in use."""
        return any(slots.level for slots in self.in_use.values())

    def wait_us(
        self, work_us: Mapping[int, int], urgency: int, hold_us: int, capacity: int, now: int
    ) -> int:
        """Estimate how long a call will wait if it joins the queue now.

        :param work_us: the total time for which the queued calls will hold a slot, by urgency
        :param urgency: the urgency of the call
        :param hold_us: how long the call will hold a slot
        :param capacity: the number of slots of the endpoint

        >>> estimates = WaitEstimates(500_000)
        >>> estimates.wait_us({0: 900_000}, 0, 100_000, 10, 0)
        100000
        >>> for _ in range(5): estimates.slot_acquired(0, 0)
        >>> estimates.wait_us({2: 90_000}, 2, 10_000, 10, 99_000_000)  # urgency 0 uses half of the slots
        20000
        """
        used = sum(
            slots.mean_at(now, self.averaging_window_us)
            for other, slots in self.in_use.items()
            if other < urgency
        )
        free = max(FREE_SLOTS_MIN_SHARE * capacity, capacity - used)
        ahead_us = sum(us for other, us in work_us.items() if other <= urgency)
        return int((ahead_us + hold_us) / max(FREE_SLOTS_MIN_SHARE, free))
