"""What must hold on the traffic path at all times, checked while it runs; violations are counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call
from meadowdock.forwarding.figures import PriorityFigures
from meadowdock.runtime import SECOND

LOG_EVERY = SECOND  # a violation of one kind is logged once in so long

LATE_BEFORE_IN_TIME = "late_before_in_time"
WAITING_WITH_CAPACITY = "waiting_with_room"
SLOTS_DIFFER = "held_slots_differ"
QUEUE_OVERCOMMITTED = "queue_stands"
JUDGED_FROM = 10  # calls admitted to a queue; fewer in an interval say nothing of it
INTERVALS = 2  # in a row: after a sudden change of an endpoint's speed estimates need one


class Invariants:
    """Counts of violations by name; each kind is also logged (event 802).

    - late_before_in_time: a call from the queue is started after its latency target while one of its
      priority or a higher one waits that can still meet it.
    - waiting_with_room: calls wait here though an endpoint here has a slot free.
    - queue_stands: for some intervals in a row most calls that were queued to meet their
      target were late or rejected.
    - held_slots_differ: more or fewer slots are held than there are calls under way that hold one.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.violations: Counter[str] = Counter()
        self.logged_at: dict[str, int] = {}
        self.overcommitted: Counter[tuple[str, int]] = Counter()  # intervals in a row

    def violated(self, name: str, at: int, **fields: object) -> None:
        """Count a violation."""
        self.violations[name] += 1
        if at - self.logged_at.get(name, -LOG_EVERY) >= LOG_EVERY:
            self.logged_at[name] = at
            self.log(802, invariant=name, count=self.violations[name], **fields)

    def check_start(self, call: Call, admission: Admission, at: int) -> None:
        """A call was taken from the queue and is about to start."""
        if at > call.target_deadline and admission.queue(call.service).in_time(call.priority):
            self.violated(LATE_BEFORE_IN_TIME, at, service=call.service, rank=call.priority)

    def check_idle_capacity(self, service: str, waiting: int, has_capacity: bool, at: int) -> None:
        """All that could start has been started."""
        if waiting and has_capacity:
            self.violated(WAITING_WITH_CAPACITY, at, service=service, waiting=waiting)

    def check_queue(self, service: str, priority: int, figures: PriorityFigures, at: int) -> None:
        """An interval is over: the figures of a service and priority."""
        in_time, late = figures.admitted_in_time, figures.admitted_late
        if late <= in_time or in_time + late < JUDGED_FROM:
            self.overcommitted.pop((service, priority), None)
            return
        self.overcommitted[service, priority] += 1
        if self.overcommitted[service, priority] >= INTERVALS:
            fields = {"service": service, "rank": priority, "kept": in_time, "broken": late}
            self.violated(QUEUE_OVERCOMMITTED, at, **fields)

    def check_slots(self, admission: Admission, calls: Iterable[Call], at: int) -> None:
        """Compare the slots that are held, by service, with the calls under way that hold one."""
        holding = Counter(call.service for call in calls if call.endpoint is not None)
        for service in {*admission.services, *holding}:
            in_use = sum(slots.level for slots in admission.estimates(service).in_use.values())
            if in_use != holding[service]:
                self.violated(
                    SLOTS_DIFFER, at, service=service, held=in_use, holding=holding[service]
                )
