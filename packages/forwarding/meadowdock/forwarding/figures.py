"""What was done for each service and priority since the last report: the figures behind an overload."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from meadowdock.forwarding.call import Call
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

REPORT_EVERY = SECOND


@dataclass(slots=True)
class PriorityFigures:
    """Counts of calls of one service and priority, and sums of times in microseconds."""

    arrived: int = 0  # from callers on this machine
    relocated_here: int = 0  # from peers
    left_us: int = 0  # of those arrived: how long their callers still wait
    started: int = 0  # given a slot here
    start_wait_us: int = 0  # of those started: from their arrival here
    late_starts: int = 0  # started though their latency target had passed
    in_time: int = 0  # ended here within their latency target
    late: int = 0  # ended here after it
    hold_us: int = 0  # of those ended: from their start
    admitted_in_time: int = 0  # queued here to meet their target, and did
    admitted_late: int = 0  # queued here to meet their target, and were late or rejected
    rejected: Counter[str] = field(
        default_factory=Counter
    )  # reason -> calls, of callers and of peers


class FiguresLog:
    """The figures of all services here, reported once an interval for those that ran short of capacity.

    Invariants: an interval is REPORT_EVERY long or longer; a call is counted in the interval in
    which the counted event happened.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.since = monotonic_us()
        self.services: dict[str, dict[int, PriorityFigures]] = {}

    def for_call(self, call: Call) -> PriorityFigures:
        """The figures of a call's service and priority since the last report."""
        priorities = self.services.setdefault(call.service, {})
        found = priorities.get(call.priority)
        if found is None:
            found = priorities[call.priority] = PriorityFigures()
        return found

    def arrived(self, call: Call) -> None:
        """A call came here, from a caller or a peer."""
        figures = self.for_call(call)
        if not call.from_peer:
            figures.arrived += 1
            figures.left_us += call.deadline - call.arrived_at
        else:
            figures.relocated_here += 1

    def started(self, call: Call, at: int) -> None:
        """A call was given a slot."""
        figures = self.for_call(call)
        figures.started += 1
        figures.start_wait_us += at - call.arrived_at
        figures.late_starts += at > call.target_deadline

    def ended(self, call: Call, at: int) -> None:
        """A call left its slot with an answer."""
        figures = self.for_call(call)
        if at <= call.target_deadline:
            figures.in_time += 1
            figures.admitted_in_time += call.admitted
        else:
            figures.late += 1
            figures.admitted_late += call.admitted
        figures.hold_us += at - call.dispatched_at

    def not_served(self, call: Call) -> None:
        """A queued call is rejected without having been started."""
        self.for_call(call).admitted_late += call.admitted

    def rejected(self, call: Call, code: str) -> None:
        """A call was rejected, not run."""
        self.for_call(call).rejected[code] += 1

    def report(
        self,
        at: int,
        log_fields: Callable[[str], dict[str, object]],
        judge: Callable[[str, int, PriorityFigures, int], None],
    ) -> None:
        """Log the services that ran short of capacity, with what else the caller knows of each, and
        have the figures of each service and priority judged."""
        length = at - self.since
        if length < REPORT_EVERY:
            return
        services, self.services, self.since = self.services, {}, at
        for service, priorities in services.items():
            for priority, figures in priorities.items():
                judge(service, priority, figures, at)
            if any(figures.rejected for figures in priorities.values()):
                by_priority = {each: summary(priorities[each]) for each in sorted(priorities)}
                self.log(
                    407,
                    service=service,
                    ms=length // MILLISECOND,
                    ranks=by_priority,
                    **log_fields(service),
                )


def summary(figures: PriorityFigures) -> dict[str, object]:
    """The figures as fields of a log event: counts, and mean times in milliseconds."""
    ended = figures.in_time + figures.late
    return {
        "arrived": figures.arrived,
        "left_ms": figures.left_us // MILLISECOND // max(1, figures.arrived),
        "taken": figures.relocated_here,
        "started": figures.started,
        "hopeless_starts": figures.late_starts,
        "wait_ms": figures.start_wait_us // MILLISECOND // max(1, figures.started),
        "in_aim": figures.in_time,
        "late": figures.late,
        "hold_ms": figures.hold_us // MILLISECOND // max(1, ended),
        "let_in": [figures.admitted_in_time, figures.admitted_late],
        "refused": dict(figures.rejected),
    }
