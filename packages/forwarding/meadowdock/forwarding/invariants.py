"""What must hold on the traffic path at all times, checked while it runs; violations are counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call
from meadowdock.forwarding.figures import RankFigures
from meadowdock.runtime import SECOND

LOG_EVERY = SECOND  # a violation of one kind is logged once in so long

LATE_FIRST = "late_before_in_time"
IDLE_SLOT = "waiting_with_room"
SLOTS_DIFFER = "held_slots_differ"
QUEUE_STANDS = "queue_stands"
JUDGED_FROM = 10  # calls let into a queue; fewer in an interval say nothing of it
INTERVALS = 2  # in a row: after a sudden change of an endpoint's speed estimates need one


class Invariants:
    """Counts of violations by name; each kind is also logged (event 802).

    - late_before_in_time: a call from the queue is started after its aim while one of its rank or
      a higher one waits that can still end in its aim.
    - waiting_with_room: calls wait here though an endpoint here has room.
    - queue_stands: for some intervals in a row most calls that were let into the queue to end in
      their aim were late or refused.
    - held_slots_differ: more or fewer slots are held than there are calls under way that hold one.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.violations: Counter[str] = Counter()
        self.logged_at: dict[str, int] = {}
        self.standing: Counter[tuple[str, int]] = Counter()  # intervals in a row

    def violated(self, name: str, at: int, **facts: object) -> None:
        """Count a violation."""
        self.violations[name] += 1
        if at - self.logged_at.get(name, -LOG_EVERY) >= LOG_EVERY:
            self.logged_at[name] = at
            self.log(802, invariant=name, count=self.violations[name], **facts)

    def starting(self, call: Call, admission: Admission, at: int) -> None:
        """A call was taken from the queue and is about to start."""
        if at > call.aim_due and admission.queue(call.service).in_aim(call.rank):
            self.violated(LATE_FIRST, at, service=call.service, rank=call.rank)

    def woken(self, service: str, waiting: int, has_room: bool, at: int) -> None:
        """All that could start has been started."""
        if waiting and has_room:
            self.violated(IDLE_SLOT, at, service=service, waiting=waiting)

    def queue(self, service: str, rank: int, figures: RankFigures, at: int) -> None:
        """An interval is over: the figures of a service and rank."""
        kept, broken = figures.let_in_kept, figures.let_in_broken
        if broken <= kept or kept + broken < JUDGED_FROM:
            self.standing.pop((service, rank), None)
            return
        self.standing[service, rank] += 1
        if self.standing[service, rank] >= INTERVALS:
            facts = {"service": service, "rank": rank, "kept": kept, "broken": broken}
            self.violated(QUEUE_STANDS, at, **facts)

    def slots(self, admission: Admission, calls: Iterable[Call], at: int) -> None:
        """Compare the slots that are held, by service, with the calls under way that hold one."""
        holding = Counter(call.service for call in calls if call.endpoint is not None)
        for service in {*admission.services, *holding}:
            held = sum(slots.level for slots in admission.waits(service).held.values())
            if held != holding[service]:
                self.violated(
                    SLOTS_DIFFER, at, service=service, held=held, holding=holding[service]
                )
