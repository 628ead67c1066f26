"""How long a call will likely wait for a slot of a service here, and how long it will hold one.

Times are kept by route: a mean over unlike calls is right for none.

A wait queue is ordered by urgency: the route's priority, and within a priority calls that can still
meet their latency target before those that can't. Who comes later with a greater urgency goes first, so only the
slots that greater urgencies leave free count for a call: the mean wait in a queue with priorities,
after Cobham, "Priority assignment in waiting line problems" (1954).
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from meadowdock.forwarding.call import Call

FIRST_HOLD_US = 50_000  # taken for how long a call holds a slot, until one was seen
MEAN_GAIN, DEVIATION_GAIN = 16, 8  # smoothing, as of a round trip's time in RFC 6298, but slower
LIKELY_DEVIATIONS = 2  # a call likely ends within so many mean deviations above the mean
FREE_SLOTS_MIN = 0.05  # of the slots; taken as free for an urgency whatever greater ones use


def urgency_of(call: Call, at: int) -> int:
    """A call's order among others: even while it can meet its target, odd afterwards; 0 goes first.

    >>> from types import SimpleNamespace as Facts
    >>> urgency_of(Facts(priority=1, target_deadline=100, hold_us=80), at=20)
    2
    >>> urgency_of(Facts(priority=1, target_deadline=100, hold_us=80), at=21)
    3
    """
    return 2 * call.priority + (at + call.hold_us > call.target_deadline)


def misses_target(urgency: int) -> bool:
    """Whether a call of this urgency will be late even if it starts at once.

    >>> misses_target(2), misses_target(3)
    (False, True)
    """
    return urgency % 2 == 1


class HoldTime:
    """How long calls of one route hold a slot: mean and mean deviation, in microseconds.

    >>> hold = HoldTime()
    >>> hold.learn(150_000); hold.mean_us, hold.likely_us
    (150000, 225000)
    """

    __slots__ = ("known", "mean_us", "deviation_us")

    def __init__(self) -> None:
        self.known = False
        self.mean_us = self.deviation_us = 0

    def learn(self, took_us: int) -> None:
        """One call held a slot for so long."""
        if not self.known:
            self.known = True
            self.mean_us, self.deviation_us = took_us, took_us // 4
            return
        self.deviation_us += (abs(took_us - self.mean_us) - self.deviation_us) // DEVIATION_GAIN
        self.mean_us += (took_us - self.mean_us) // MEAN_GAIN

    @property
    def likely_us(self) -> int:
        """Most calls hold a slot no longer than that."""
        return self.mean_us + LIKELY_DEVIATIONS * self.deviation_us


class SlotsInUse:
    """How many slots calls of one urgency hold: now, and in an exponentially weighted mean."""

    __slots__ = ("level", "mean", "at")

    def __init__(self, at: int) -> None:
        self.level, self.mean, self.at = 0, 0.0, at

    def mean_at(self, at: int, span_us: int) -> float:
        """The mean, older levels counting less and less over the span."""
        if at > self.at:
            kept = math.exp((self.at - at) / span_us)
            self.mean = self.mean * kept + self.level * (1 - kept)
            self.at = at
        return self.mean

    def change(self, at: int, span_us: int, by: int) -> None:
        """So many more are held from now on."""
        self.mean_at(at, span_us)
        self.level += by


class WaitEstimates:
    """The estimates for one service at this node. Invariant: in_use has each urgency that ever held
    a slot here, with a level of 0 or more."""

    def __init__(self, span_us: int) -> None:
        self.span_us = span_us
        self.holds: dict[str, HoldTime] = {}
        self.in_use: dict[int, SlotsInUse] = {}

    def hold(self, route: str) -> HoldTime:
        """How long calls of a route hold a slot."""
        found = self.holds.get(route)
        if found is None:
            found = self.holds[route] = HoldTime()
        return found

    def expected(self, route: str) -> tuple[int, int]:
        """How long a call of a route will hold a slot: in the mean, and likely at most. One that
        was never seen is taken for the mean of the others."""
        found = self.holds.get(route)
        if found is not None and found.known:
            return found.mean_us, found.likely_us
        mean_us = self.mean_us() or FIRST_HOLD_US
        return mean_us, mean_us

    def mean_us(self) -> int:
        """The mean over the routes known, each counting alike, so that endpoints can be compared
        whatever mix of calls each of them had; 0 if none is known."""
        known = [hold.mean_us for hold in self.holds.values() if hold.known]
        return sum(known) // len(known) if known else 0

    def slot_taken(self, urgency: int, at: int) -> None:
        """A call took a slot."""
        found = self.in_use.get(urgency)
        if found is None:
            found = self.in_use[urgency] = SlotsInUse(at)
        found.change(at, self.span_us, 1)

    def slot_released(self, urgency: int, at: int) -> None:
        """A call gave its slot back."""
        self.in_use[urgency].change(at, self.span_us, -1)

    def any_in_use(self) -> bool:
        """Whether any slot is held."""
        return any(slots.level for slots in self.in_use.values())

    def wait_us(
        self, work_us: Mapping[int, int], urgency: int, hold_us: int, capacity: int, at: int
    ) -> int:
        """How long a call of this urgency that joins the queue now will likely wait in it.

        work_us: how long the calls in the queue will hold a slot, all together, by urgency.
        hold_us: how long this one will. capacity: slots of the endpoint.

        >>> waits = WaitEstimates(500_000)
        >>> waits.wait_us({0: 900_000}, 0, 100_000, 10, 0)
        100000
        >>> for _ in range(5): waits.slot_taken(0, 0)
        >>> waits.wait_us({2: 90_000}, 2, 10_000, 10, 99_000_000)  # half of the slots go to urgency 0
        20000
        """
        used = sum(
            slots.mean_at(at, self.span_us)
            for other, slots in self.in_use.items()
            if other < urgency
        )
        free = max(FREE_SLOTS_MIN * capacity, capacity - used)
        ahead_us = sum(us for other, us in work_us.items() if other <= urgency)
        return int((ahead_us + hold_us) / max(FREE_SLOTS_MIN, free))
