"""Which calls may wait for a slot here, and until when. No I/O.

A call joins the queue if it will likely end within its latency target from there, and keeps its
position while it can. One that can't any more goes behind all of its priority that can, and is
rejected once it won't be started in time: work that ends late must not displace work that would not.
"""

from __future__ import annotations

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.caller_timeouts import CallerTimeouts
from meadowdock.forwarding.wait_estimates import WaitEstimates, misses_target, urgency_of
from meadowdock.forwarding.wait_queue import WaitQueue

INTERVALS = 2  # of the load list, over which the slots held by other calls are averaged
FIRST_SPAN_US = 500_000  # until a configuration is in force
ROUTES_REMEMBERED = 1_000  # the latest used, of which the time that callers allow is known


class Admission:
    """The queues of one node, and the estimates by which calls are let in. Times in microseconds."""

    def __init__(self) -> None:
        self.span_us = FIRST_SPAN_US
        self.queues: dict[str, WaitQueue] = {}
        self.services: dict[str, WaitEstimates] = {}
        self.routes: dict[str, CallerTimeouts] = {}

    def set_load_interval(self, interval_us: int) -> None:
        """Average the slots in use over a span that fits the interval of load lists."""
        self.span_us = INTERVALS * interval_us
        for waits in self.services.values():
            waits.span_us = self.span_us

    def forget_unused(self, routes: set[str], services: set[str]) -> None:
        """Forget routes and services that are not configured any more, but for services whose slots are
        in use or waited for."""
        self.routes = {name: known for name, known in self.routes.items() if name in routes}
        for waits in self.services.values():
            waits.holds = {route: hold for route, hold in waits.holds.items() if route in routes}
        for service in [s for s in self.services if s not in services]:
            if not self.services[service].any_in_use() and not len(self.queue(service)):
                del self.services[service], self.queues[service]

    def estimates(self, service: str) -> WaitEstimates:
        """The estimates for a service."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = WaitEstimates(self.span_us)
        return found

    def queue(self, service: str) -> WaitQueue:
        """The queue of a service."""
        found = self.queues.get(service)
        if found is None:
            found = self.queues[service] = WaitQueue()
        return found

    def time_spent_us(self, route: str, left_us: int) -> int:
        """How much of its time a caller of this route has probably spent on earlier attempts."""
        timeouts = self.routes.pop(route, None) or CallerTimeouts()
        self.routes[route] = timeouts
        if len(self.routes) > ROUTES_REMEMBERED:
            del self.routes[next(iter(self.routes))]
        return timeouts.time_spent_us(left_us)

    # ------------------------------------------------------------ slots

    def started(self, call: Call, at: int) -> None:
        """The call takes a slot."""
        self.estimates(call.service).slot_taken(call.urgency, at)

    def freed(self, call: Call, at: int) -> None:
        """The call gives its slot back."""
        self.estimates(call.service).slot_released(call.urgency, at)

    def learn(self, call: Call, took_us: int) -> None:
        """The call held its slot for so long, until its answer or, without one, its deadline."""
        self.estimates(call.service).hold(call.route).learn(took_us)

    # ------------------------------------------------------------ waiting

    def estimate(self, call: Call, at: int) -> None:
        """Set how long the call will hold a slot here, and its urgency, as of now."""
        call.hold_us, call.likely_hold_us = self.estimates(call.service).expected(call.route)
        call.urgency = urgency_of(call, at)

    def wait_us(self, call: Call, capacity: int, at: int) -> int:
        """How long the call will likely wait if it joins now."""
        work_us = self.queue(call.service).work_us
        waits = self.estimates(call.service)
        return waits.wait_us(work_us, call.urgency, call.hold_us, capacity, at)

    def may_join(self, call: Call, wait_us: int, at: int) -> bool:
        """Whether the call will likely be served in time if it waits so long."""
        start = at + wait_us
        if start > call.join_deadline:
            return False
        if misses_target(call.urgency):
            return True
        return start + call.likely_hold_us <= call.target_deadline or self.meets_tight_target(
            call, start
        )

    def meets_tight_target(self, call: Call, start: int) -> bool:
        """Where even a call that starts at once may miss its target, the mean decides."""
        alone = call.arrived_at + call.likely_hold_us
        return alone > call.target_deadline and start + call.hold_us <= call.target_deadline

    def position_until(self, call: Call) -> int:
        """Until when the call keeps its position in the queue."""
        last = min(call.wait_deadline, call.deadline - call.hold_us)
        return (
            last if misses_target(call.urgency) else min(last, call.target_deadline - call.hold_us)
        )

    def may_wait_on(self, call: Call, capacity: int, at: int) -> bool:
        """Whether a call whose position is lost may wait among those of its priority that will be late."""
        if misses_target(call.urgency) or at >= call.wait_deadline:
            return False
        call.urgency += 1
        return at + self.wait_us(call, capacity, at) <= call.wait_deadline
