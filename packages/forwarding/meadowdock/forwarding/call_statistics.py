"""Counts calls by service and priority, and logs the counts of overloaded services."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from meadowdock.forwarding.call import Call
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

REPORT_INTERVAL_US = SECOND


@dataclass(slots=True)
class PriorityStatistics:
    """Counts of calls and sums of times in microseconds, for one service and priority."""

    arrived: int = 0  # from callers on this machine
    relocated_here: int = 0  # from peers
    left_us: int = 0  # sum over `arrived` of the time until their deadlines
    started: int = 0  # given a slot here
    start_wait_us: int = 0  # sum over `started` of the time from arrival to start
    late_starts: int = 0  # started although their latency target had passed
    in_time: int = 0  # ended here within their latency target
    late: int = 0  # ended here after their latency target
    hold_us: int = 0  # sum over `in_time` and `late` of the time from start to end
    admitted_in_time: int = 0  # queued here to meet their target, and met it
    admitted_late: int = 0  # queued here to meet their target, but late or rejected
    rejected: Counter[str] = field(default_factory=Counter)  # by reason, from callers and peers


class CallStatisticsLog:
    """Collects the statistics of all services and logs those of services that rejected calls.

    Invariants: an interval is at least REPORT_INTERVAL_US long; each event of a call is counted in
    the interval in which it happened.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.since = monotonic_us()
        self.services: dict[str, dict[int, PriorityStatistics]] = {}

    def for_call(self, call: Call) -> PriorityStatistics:
        """Return the statistics of a call's service and priority since the last report."""
        priorities = self.services.setdefault(call.service, {})
        statistics = priorities.get(call.priority)
        if statistics is None:
            statistics = priorities[call.priority] = PriorityStatistics()
        return statistics

    def count_arrival(self, call: Call) -> None:
        """Count a call that has arrived from a caller or a peer."""
        statistics = self.for_call(call)
        if not call.from_peer:
            statistics.arrived += 1
            statistics.left_us += call.deadline - call.arrived_at
        else:
            statistics.relocated_here += 1

    def count_start(self, call: Call, now: int) -> None:
        """Count a call that has got a slot."""
        statistics = self.for_call(call)
        statistics.started += 1
        statistics.start_wait_us += now - call.arrived_at
        statistics.late_starts += now > call.target_deadline

    def count_end(self, call: Call, now: int) -> None:
        """Count a call that has ended with a response."""
        statistics = self.for_call(call)
        if now <= call.target_deadline:
            statistics.in_time += 1
            statistics.admitted_in_time += call.admitted
        else:
            statistics.late += 1
            statistics.admitted_late += call.admitted
        statistics.hold_us += now - call.dispatched_at

    def count_unserved(self, call: Call) -> None:
        """Count a queued call that is rejected without having started."""
        self.for_call(call).admitted_late += call.admitted

    def count_rejection(self, call: Call, code: str) -> None:
        """Count a call that was rejected without having run."""
        self.for_call(call).rejected[code] += 1

    def report(
        self,
        now: int,
        log_fields: Callable[[str], dict[str, object]],
        check_interval: Callable[[str, int, PriorityStatistics, int], None],
    ) -> None:
        """Log the statistics of services that rejected calls, and start the next interval.

        :param log_fields: returns additional fields of a service's log event
        :param check_interval: called with the statistics of each service and priority
        """
        length = now - self.since
        if length < REPORT_INTERVAL_US:
            return
        services, self.services, self.since = self.services, {}, now
        for service, priorities in services.items():
            for priority, statistics in priorities.items():
                check_interval(service, priority, statistics, now)
            if any(statistics.rejected for statistics in priorities.values()):
                by_priority = {each: summary(priorities[each]) for each in sorted(priorities)}
                self.log(
                    log_events.SERVICE_OVERLOADED,
                    service=service,
                    ms=length // MILLISECOND,
                    ranks=by_priority,
                    **log_fields(service),
                )


def summary(statistics: PriorityStatistics) -> dict[str, object]:
    """Return the statistics as fields of a log event: counts, and mean times in milliseconds."""
    ended = statistics.in_time + statistics.late
    return {
        "arrived": statistics.arrived,
        "left_ms": statistics.left_us // MILLISECOND // max(1, statistics.arrived),
        "taken": statistics.relocated_here,
        "started": statistics.started,
        "hopeless_starts": statistics.late_starts,
        "wait_ms": statistics.start_wait_us // MILLISECOND // max(1, statistics.started),
        "in_aim": statistics.in_time,
        "late": statistics.late,
        "hold_ms": statistics.hold_us // MILLISECOND // max(1, ended),
        "let_in": [statistics.admitted_in_time, statistics.admitted_late],
        "refused": dict(statistics.rejected),
    }
