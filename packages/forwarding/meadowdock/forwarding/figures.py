"""What a gate did for each service and rank since its last report: the figures behind an overload."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from meadowdock.forwarding.call import Call
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

REPORT_EVERY = SECOND


@dataclass(slots=True)
class RankFigures:
    """Counts of calls of one service and rank, and sums of times in microseconds."""

    arrived: int = 0  # from callers on this machine
    taken: int = 0  # from peers
    left_us: int = 0  # of those arrived: how long their callers still wait
    started: int = 0  # given a slot here
    start_wait_us: int = 0  # of those started: from their arrival here
    hopeless_starts: int = 0  # started though their aim had passed
    in_aim: int = 0  # ended here within their aim
    late: int = 0  # ended here after it
    hold_us: int = 0  # of those ended: from their start
    let_in_kept: int = 0  # let into the queue to end in their aim, and did
    let_in_broken: int = 0  # let into the queue to end in their aim, and were late or refused
    refused: Counter = field(default_factory=Counter)  # reason -> calls, of callers and of peers


class FiguresLog:
    """The figures of all services here, reported once an interval for those that ran short of room.

    Invariants: an interval is REPORT_EVERY long or longer; a call is counted in the interval in
    which the thing counted happened.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.since = monotonic_us()
        self.services: dict[str, dict[int, RankFigures]] = {}

    def of(self, call: Call) -> RankFigures:
        """The figures of a call's service and rank since the last report."""
        ranks = self.services.setdefault(call.service, {})
        found = ranks.get(call.rank)
        if found is None:
            found = ranks[call.rank] = RankFigures()
        return found

    def arrived(self, call: Call) -> None:
        """A call came here, from a caller or a peer."""
        figures = self.of(call)
        if call.home:
            figures.arrived += 1
            figures.left_us += call.due - call.arrived_at
        else:
            figures.taken += 1

    def started(self, call: Call, at: int) -> None:
        """A call was given a slot."""
        figures = self.of(call)
        figures.started += 1
        figures.start_wait_us += at - call.arrived_at
        figures.hopeless_starts += at > call.aim_due

    def ended(self, call: Call, at: int) -> None:
        """A call left its slot with an answer."""
        figures = self.of(call)
        if at <= call.aim_due:
            figures.in_aim += 1
            figures.let_in_kept += call.let_in
        else:
            figures.late += 1
            figures.let_in_broken += call.let_in
        figures.hold_us += at - call.begun

    def turned_out(self, call: Call) -> None:
        """A call that was let into the queue is refused without having had its turn."""
        self.of(call).let_in_broken += call.let_in

    def refused(self, call: Call, code: str) -> None:
        """A call was refused, not run."""
        self.of(call).refused[code] += 1

    def report(
        self,
        at: int,
        facts: Callable[[str], dict[str, object]],
        judge: Callable[[str, int, RankFigures, int], None],
    ) -> None:
        """Log the services that ran short of room, with what else the caller knows of each, and
        have the figures of each service and rank judged."""
        length = at - self.since
        if length < REPORT_EVERY:
            return
        services, self.services, self.since = self.services, {}, at
        for service, ranks in services.items():
            for rank, figures in ranks.items():
                judge(service, rank, figures, at)
            if any(figures.refused for figures in ranks.values()):
                by_rank = {rank: summary(ranks[rank]) for rank in sorted(ranks)}
                self.log(
                    407, service=service, ms=length // MILLISECOND, ranks=by_rank, **facts(service)
                )


def summary(figures: RankFigures) -> dict[str, object]:
    """The figures as facts of a log event: counts, and mean times in milliseconds."""
    ended = figures.in_aim + figures.late
    return {
        "arrived": figures.arrived,
        "left_ms": figures.left_us // MILLISECOND // max(1, figures.arrived),
        "taken": figures.taken,
        "started": figures.started,
        "hopeless_starts": figures.hopeless_starts,
        "wait_ms": figures.start_wait_us // MILLISECOND // max(1, figures.started),
        "in_aim": figures.in_aim,
        "late": figures.late,
        "hold_ms": figures.hold_us // MILLISECOND // max(1, ended),
        "let_in": [figures.let_in_kept, figures.let_in_broken],
        "refused": dict(figures.refused),
    }
