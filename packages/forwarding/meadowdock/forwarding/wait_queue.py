"""The wait queue of one service at one node."""

from __future__ import annotations

import heapq

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.wait_estimates import misses_target

SPARE_ENTRIES_MAX = 16  # of calls that have left, beside as many as calls that wait


class WaitQueue:
    """Calls of one service that wait for a slot, here or at a peer.

    Invariants: calls are ordered by urgency, then by arrival; the `queue` of each call in it is
    this queue, and calls has just these, by their position; waiting is the number of calls by urgency,
    and work_us is the total time for which they will hold a slot, by urgency; the heap keeps entries of
    calls that have left, at most as many as calls that wait and SPARE_ENTRIES_MAX. A call's urgency and
    hold_us don't change while it is queued.
    """

    def __init__(self) -> None:
        self.heap: list[
            tuple[int, int]
        ] = []  # urgency and position; a call has left if not in calls
        self.calls: dict[int, Call] = {}
        self.last_position = 0
        self.waiting: dict[int, int] = {}
        self.work_us: dict[int, int] = {}

    def __len__(self) -> int:
        return sum(self.waiting.values())

    def join(self, call: Call) -> None:
        """Append a call behind the other calls of its urgency."""
        self.last_position += 1
        call.queue, call.queue_position = self, self.last_position
        self.calls[call.queue_position] = call
        heapq.heappush(self.heap, (call.urgency, call.queue_position))
        self.waiting[call.urgency] = self.waiting.get(call.urgency, 0) + 1
        self.work_us[call.urgency] = self.work_us.get(call.urgency, 0) + call.hold_us

    def leave(self, call: Call) -> None:
        """Remove a call, whatever its position is."""
        call.queue = None
        del self.calls[call.queue_position]
        self.waiting[call.urgency] -= 1
        self.work_us[call.urgency] -= call.hold_us
        if len(self.heap) > 2 * len(self) + SPARE_ENTRIES_MAX:
            self.heap = [entry for entry in self.heap if entry[1] in self.calls]
            heapq.heapify(self.heap)

    def in_order(self) -> list[Call]:
        """Return all calls in the order in which they will be taken."""
        return [self.calls[position] for _, position in sorted(self.heap) if position in self.calls]

    def pop(self) -> Call | None:
        """Remove and return the first call; None if the queue is empty."""
        while self.heap:
            _, position = heapq.heappop(self.heap)
            call = self.calls.get(position)
            if call is not None:
                self.leave(call)
                return call
        return None

    def count_in_time(self, priority: int) -> int:
        """Count the calls of a priority or a higher one that can still meet their target."""
        return sum(
            count
            for urgency, count in self.waiting.items()
            if not misses_target(urgency) and urgency <= 2 * priority
        )
