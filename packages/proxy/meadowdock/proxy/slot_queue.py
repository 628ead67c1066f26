"""Calls that wait for a slot of the local endpoint."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from meadowdock.proxy.call import Call
from meadowdock.proxy.endpoints import Endpoint, EndpointRegistry
from meadowdock.runtime import MILLISECOND

DEFAULT_SLOT_TIME_US = 50 * MILLISECOND  # assumed until a call of the route was measured
SMOOTHING_DIVISOR = 8  # each measurement moves the mean by 1/8 of the difference
MAX_ROUTES = 1_000  # routes of one service whose slot times are remembered


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call in the queue; `decided` is set once it has a slot or no slot can come."""

    call: Call
    decided: trio.Event = field(default_factory=trio.Event)


class SlotQueue:
    """The queue for slots of one service.

    Invariants: first come, first served; an entry is either in `waiting` or decided, never both.
    """

    def __init__(
        self,
        service: str,
        endpoints: EndpointRegistry,
        assign: Callable[[Call, Endpoint], object],
    ) -> None:
        self.service, self.endpoints, self.assign = service, endpoints, assign
        self.waiting: deque[WaitingCall] = deque()
        # Smoothed means, one for each route because the routes of a service may differ much.
        self.slot_time_us: dict[str, int] = {}

    def expected_slot_time_us(self, call: Call) -> int:
        """Return how long the call will likely hold a slot."""
        return self.slot_time_us.get(call.route.name, DEFAULT_SLOT_TIME_US)

    def would_serve_in_time(self, call: Call, capacity: int, wait_us: int) -> bool:
        """Return whether the call, if it joined now, would likely get a slot within wait_us."""
        ahead_us = sum(self.expected_slot_time_us(entry.call) for entry in self.waiting)
        total_us = ahead_us + self.expected_slot_time_us(call)
        return total_us / max(1, capacity) <= wait_us

    def join(self, call: Call) -> WaitingCall:
        """Append a call to the queue."""
        entry = WaitingCall(call)
        self.waiting.append(entry)
        return entry

    def on_slot_change(self) -> None:
        """Give free slots to the calls that came first.

        If no endpoint is available any more, all waiting calls are released without a slot.
        """
        while self.waiting:
            endpoint = self.endpoints.local_endpoint(self.service)
            if endpoint is None:
                while self.waiting:
                    self.waiting.popleft().decided.set()
                return
            if not endpoint.has_capacity:
                return
            entry = self.waiting.popleft()
            self.assign(entry.call, endpoint)
            entry.decided.set()

    def record_slot_time(self, call: Call, took_us: int) -> None:
        """Update the route's mean by the time that a call held its slot.

        Only the MAX_ROUTES most recently measured routes are remembered.
        """
        route = call.route.name
        mean_us = self.slot_time_us.pop(route, DEFAULT_SLOT_TIME_US)
        self.slot_time_us[route] = mean_us + (took_us - mean_us) // SMOOTHING_DIVISOR
        if len(self.slot_time_us) > MAX_ROUTES:
            del self.slot_time_us[next(iter(self.slot_time_us))]
