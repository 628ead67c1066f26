"""An event that can happen often: it is logged at most once in an interval, with how often for what."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class CountedEvent:
    """Counts what happened by reason, and logs the counts.

    :param log: writes events; None logs nothing.
    :param number: of the event.
    :param interval_us: between two lines.
    """

    def __init__(self, log: Callable[..., None] | None, number: int, interval_us: int) -> None:
        self.log, self.number, self.interval_us = log, number, interval_us
        self.unlogged = Counter[str]()
        self.logged_at: int | None = None

    def count(self, reason: str, now: int, **fields: object) -> None:
        """Count one more, and log all that was not logged yet if it is time.

        :param now: us, monotonic clock.
        :param fields: further fields of the event.
        """
        self.unlogged[reason] += 1
        is_due = self.logged_at is None or now - self.logged_at >= self.interval_us
        if self.log is None or not is_due:
            return
        self.logged_at = now
        counts = dict(self.unlogged)
        self.unlogged.clear()
        self.log(self.number, why=counts, **fields)
