"""The wait queue of one service at one node."""

from __future__ import annotations

import heapq

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.wait_estimates import misses_target


class WaitQueue:
    """Calls of one service that wait for a slot, here or at a peer.

    Invariants: ordered by urgency, then by arrival; a call in it has `queue` set to it; waiting
    counts the calls in it by urgency, and work_us sums up how long
    they will hold a slot. A call's urgency and hold_us don't change while it is in it.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Call]] = []
        self.number = 0
        self.waiting: dict[int, int] = {}
        self.work_us: dict[int, int] = {}

    def __len__(self) -> int:
        return sum(self.waiting.values())

    def join(self, call: Call) -> None:
        """To the end of those of its urgency."""
        self.number += 1
        call.queue, call.queue_position = self, self.number
        heapq.heappush(self.heap, (call.urgency, call.queue_position, call))
        self.waiting[call.urgency] = self.waiting.get(call.urgency, 0) + 1
        self.work_us[call.urgency] = self.work_us.get(call.urgency, 0) + call.hold_us

    def leave(self, call: Call) -> None:
        """Out of it, from whatever position."""
        call.queue = None
        self.waiting[call.urgency] -= 1
        self.work_us[call.urgency] -= call.hold_us

    def is_current(self, entry: tuple[int, int, Call]) -> bool:
        """Whether an entry of the heap is its call's position now; a call that left may have come
        again."""
        _, position, call = entry
        return call.queue is self and call.queue_position == position

    def in_order(self) -> list[Call]:
        """All calls in it, the next first."""
        return [entry[2] for entry in sorted(self.heap) if self.is_current(entry)]

    def next(self) -> Call | None:
        """Take out the first call; None if it is empty."""
        while self.heap:
            entry = heapq.heappop(self.heap)
            if self.is_current(entry):
                self.leave(entry[2])
                return entry[2]
        return None

    def in_time(self, priority: int) -> int:
        """How many calls of this priority or a higher one can still meet their target."""
        return sum(
            count
            for urgency, count in self.waiting.items()
            if not misses_target(urgency) and urgency <= 2 * priority
        )
