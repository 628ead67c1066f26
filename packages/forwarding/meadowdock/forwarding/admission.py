"""Decides which calls may wait for a slot here and for how long, without I/O.

A call may join the queue if it will likely end within its latency target, and it keeps its position
as long as the target can still be met. After that it goes behind all calls of its priority that can
meet their targets, and is rejected once it can no longer start in time. Thus calls that end late
don't displace calls that would be in time.
"""

from __future__ import annotations

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.caller_timeouts import CallerTimeouts
from meadowdock.forwarding.wait_estimates import WaitEstimates, misses_target, urgency_of
from meadowdock.forwarding.wait_queue import WaitQueue

AVERAGED_INTERVALS = 2  # load list intervals over which the number of slots in use is averaged
INITIAL_AVERAGING_WINDOW_US = 500_000  # until a configuration is active
MAX_REMEMBERED_ROUTES = 1_000  # most recently used routes whose caller timeouts are remembered


class Admission:
    """The queues of one node and the estimates for admission; times are in microseconds."""

    def __init__(self) -> None:
        self.averaging_window_us = INITIAL_AVERAGING_WINDOW_US
        self.queues: dict[str, WaitQueue] = {}
        self.services: dict[str, WaitEstimates] = {}
        self.routes: dict[str, CallerTimeouts] = {}

    def set_load_interval(self, interval_us: int) -> None:
        """Set the window over which slots in use are averaged, from the load list interval."""
        self.averaging_window_us = AVERAGED_INTERVALS * interval_us
        for estimates in self.services.values():
            estimates.averaging_window_us = self.averaging_window_us

    def forget_unused(self, routes: set[str], services: set[str]) -> None:
        """Forget routes and services that are no longer configured.

        Services with a slot in use or a queued call are kept.
        """
        self.routes = {name: timeouts for name, timeouts in self.routes.items() if name in routes}
        for estimates in self.services.values():
            estimates.hold_times = {
                route: hold for route, hold in estimates.hold_times.items() if route in routes
            }
        for service in [s for s in self.services if s not in services]:
            if not self.services[service].any_in_use() and not len(self.queue(service)):
                del self.services[service], self.queues[service]

    def estimates(self, service: str) -> WaitEstimates:
        """Return the wait estimates of a service."""
        estimates = self.services.get(service)
        if estimates is None:
            estimates = self.services[service] = WaitEstimates(self.averaging_window_us)
        return estimates

    def queue(self, service: str) -> WaitQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WaitQueue()
        return queue

    def time_spent_us(self, route: str, left_us: int) -> int:
        """Estimate how long the caller of a request has already spent on earlier attempts.

        :param left_us: how long the caller still waits for a response
        """
        timeouts = self.routes.pop(route, None) or CallerTimeouts()
        self.routes[route] = timeouts
        if len(self.routes) > MAX_REMEMBERED_ROUTES:
            del self.routes[next(iter(self.routes))]
        return timeouts.time_spent_us(left_us)

    def slot_acquired(self, call: Call, now: int) -> None:
        """Record that a call has taken a slot."""
        self.estimates(call.service).slot_acquired(call.urgency, now)

    def slot_released(self, call: Call, now: int) -> None:
        """Record that a call has released its slot."""
        self.estimates(call.service).slot_released(call.urgency, now)

    def observe(self, call: Call, duration_us: int) -> None:
        """Record for how long a call held its slot, until its response or its deadline."""
        self.estimates(call.service).hold_time(call.route).observe(duration_us)

    def estimate(self, call: Call, now: int) -> None:
        """Set the expected hold time of a call at this node, and its urgency."""
        call.hold_us, call.likely_hold_us = self.estimates(call.service).expected_hold_us(
            call.route
        )
        call.urgency = urgency_of(call, now)

    def wait_us(self, call: Call, capacity: int, now: int) -> int:
        """Estimate how long a call will wait if it joins the queue now."""
        work_us = self.queue(call.service).work_us
        estimates = self.estimates(call.service)
        return estimates.wait_us(work_us, call.urgency, call.hold_us, capacity, now)

    def may_join(self, call: Call, wait_us: int, now: int) -> bool:
        """Return whether a call will likely be served in time after the given wait."""
        start = now + wait_us
        if start > call.join_deadline:
            return False
        if misses_target(call.urgency):
            return True
        return start + call.likely_hold_us <= call.target_deadline or self.meets_tight_target(
            call, start
        )

    def meets_tight_target(self, call: Call, start: int) -> bool:
        """Return whether a call with a tight target will meet it at the mean hold time.

        A target is tight if the call may miss it even if it starts at once. `may_join` would then
        reject every such call, so the mean hold time is used instead of the likely one.
        """
        end_without_wait = call.arrived_at + call.likely_hold_us
        return (
            end_without_wait > call.target_deadline and start + call.hold_us <= call.target_deadline
        )

    def position_deadline(self, call: Call) -> int:
        """Return the time until which a call keeps its position in the queue."""
        latest = min(call.wait_deadline, call.deadline - call.hold_us)
        return (
            latest
            if misses_target(call.urgency)
            else min(latest, call.target_deadline - call.hold_us)
        )

    def try_demote(self, call: Call, capacity: int, now: int) -> bool:
        """Give a call that has lost its position the urgency of late calls.

        Its priority stays the same. Return whether it may wait behind the calls that can meet their
        targets; if not, it has to be rejected.
        """
        if misses_target(call.urgency) or now >= call.wait_deadline:
            return False
        call.urgency += 1
        return now + self.wait_us(call, capacity, now) <= call.wait_deadline
