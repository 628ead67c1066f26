"""Checks invariants of the request path at run time, and counts and logs violations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call
from meadowdock.forwarding.call_statistics import PriorityStatistics
from meadowdock.logs import events as log_events
from meadowdock.runtime import SECOND

LOG_INTERVAL_US = SECOND  # violations of one kind are logged at most once per interval

LATE_BEFORE_IN_TIME = "late_before_in_time"
WAITING_WITH_CAPACITY = "waiting_with_room"
SLOTS_DIFFER = "held_slots_differ"
QUEUE_OVERCOMMITTED = "queue_stands"
CHECKED_CALLS_MIN = 10  # an interval with fewer admitted calls is not significant
# Consecutive intervals until an overcommitted queue counts as a violation. A single one is normal:
# after a sudden change of an endpoint's speed the estimates take one interval to follow.
OVERCOMMITTED_INTERVALS = 2


class Invariants:
    """Counts violations by name and logs them as INVARIANT_VIOLATED.

    - late_before_in_time: a queued call was started after its latency target, although a call of
      the same or a higher priority that could still meet its target was waiting.
    - waiting_with_room: calls wait here although a local endpoint has a free slot.
    - queue_stands: for several intervals in a row, most calls that were queued to meet their target
      were late or rejected.
    - held_slots_differ: the number of slots in use differs from the number of calls that hold one.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.violations: Counter[str] = Counter()
        self.logged_at: dict[str, int] = {}
        # consecutive overcommitted intervals by (service, priority)
        self.overcommitted: Counter[tuple[str, int]] = Counter()

    def report_violation(self, name: str, now: int, **fields: object) -> None:
        """Count a violation and log it, at most once per interval and name."""
        self.violations[name] += 1
        if now - self.logged_at.get(name, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self.logged_at[name] = now
            self.log(
                log_events.INVARIANT_VIOLATED, invariant=name, count=self.violations[name], **fields
            )

    def check_start(self, call: Call, admission: Admission, now: int) -> None:
        """Check that a call taken from the queue may start before those that still wait in it."""
        if now > call.target_deadline and admission.queue(call.service).count_in_time(
            call.priority
        ):
            self.report_violation(
                LATE_BEFORE_IN_TIME, now, service=call.service, rank=call.priority
            )

    def check_idle_capacity(self, service: str, waiting: int, has_capacity: bool, now: int) -> None:
        """Check that no call is left waiting although a local endpoint has a free slot."""
        if waiting and has_capacity:
            self.report_violation(WAITING_WITH_CAPACITY, now, service=service, waiting=waiting)

    def check_queue(
        self, service: str, priority: int, statistics: PriorityStatistics, now: int
    ) -> None:
        """Check the statistics of a service and priority at the end of an interval."""
        in_time, late = statistics.admitted_in_time, statistics.admitted_late
        if late <= in_time or in_time + late < CHECKED_CALLS_MIN:
            self.overcommitted.pop((service, priority), None)
            return
        self.overcommitted[service, priority] += 1
        if self.overcommitted[service, priority] >= OVERCOMMITTED_INTERVALS:
            fields = {"service": service, "rank": priority, "kept": in_time, "broken": late}
            self.report_violation(QUEUE_OVERCOMMITTED, now, **fields)

    def check_slots(self, admission: Admission, calls: Iterable[Call], now: int) -> None:
        """Check that the slots in use of each service match the calls that hold one."""
        holding = Counter(call.service for call in calls if call.endpoint is not None)
        for service in {*admission.services, *holding}:
            in_use = sum(slots.level for slots in admission.estimates(service).in_use.values())
            if in_use != holding[service]:
                self.report_violation(
                    SLOTS_DIFFER, now, service=service, held=in_use, holding=holding[service]
                )
