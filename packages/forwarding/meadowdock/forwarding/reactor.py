"""Runs the timers and turns of the request path.

All code of the request path runs in turns: the data of a socket or a timer calls plain functions
that never await, and output is flushed at the end of the turn.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import deadline_scope, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Logger

NEVER_US = 1 << 62


class Flushable(Protocol):
    """Something that buffers output during a turn."""

    def flush(self) -> None:
        """Send the buffered output."""


class Timer:
    """A function that is called at a given time, in microseconds on the monotonic clock.

    Invariant: callback is called at most once, and is None once it was called or cancelled.
    """

    __slots__ = ("when", "callback", "number")

    def __init__(self, when: int, callback: Callable[[], object], number: int) -> None:
        self.when, self.number = when, number
        self.callback: Callable[[], object] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return (self.when, self.number) < (other.when, other.number)

    def cancel(self) -> None:
        """Cancel the timer."""
        self.callback = None


class Reactor:
    """Runs timers, and flushes buffered output at the end of each turn.

    Invariants: timers is a heap with the earliest first; flush_pending holds each sender with
    buffered output once.

    :param log: writes an event if a callback raises; without it the exception is propagated
    """

    def __init__(self, log: Logger | None = None) -> None:
        self.log = log
        self.timers: list[Timer] = []
        self.flush_pending: list[Flushable] = []
        self.number = 0  # of the latest timer; timers for the same time run in the order of numbers
        self.sleeping_until = 0
        self.earlier_timer = trio.Event()

    def call_at(self, when: int, callback: Callable[[], object]) -> Timer:
        """Call a function in its own turn, not before the given time."""
        self.number += 1
        timer = Timer(when, callback, self.number)
        heapq.heappush(self.timers, timer)
        if when < self.sleeping_until:
            self.earlier_timer.set()
        return timer

    def turn(self, callback: Callable[..., object], *args: object) -> bool:
        """Run one turn: call the callback, then flush.

        An exception in the callback is logged and ends the turn but not the process, so that all other
        calls continue.

        :returns: whether the callback returned without an exception
        """
        try:
            callback(*args)
            return True
        except Exception as defect:
            if self.log is None:
                raise
            self.log(log_events.INTERNAL_ERROR, cause=repr(defect), line=origin(defect))
            return False
        finally:
            self.end_turn()

    def end_turn(self) -> None:
        """Flush the output that was buffered in this turn; each sender writes once."""
        while self.flush_pending:
            senders, self.flush_pending = self.flush_pending, []
            for sender in senders:
                sender.flush()

    def run_timers(self, now: int) -> None:
        """Call the timers that have expired."""
        timers = self.timers
        while timers and timers[0].when <= now:
            timer = heapq.heappop(timers)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self.turn(callback)

    async def run(self) -> None:
        """Call timers as they expire, until cancelled."""
        while True:
            self.run_timers(monotonic_us())
            while self.timers and self.timers[0].callback is None:
                heapq.heappop(self.timers)
            self.sleeping_until = self.timers[0].when if self.timers else NEVER_US
            self.earlier_timer = trio.Event()
            with deadline_scope(self.sleeping_until):
                await self.earlier_timer.wait()
            self.sleeping_until = 0
            await trio.lowlevel.checkpoint()


def origin(error: BaseException) -> str:
    """Return the function and line in which an exception was raised."""
    frame = error.__traceback__
    assert frame is not None
    while frame.tb_next is not None:
        frame = frame.tb_next
    return f"{frame.tb_frame.f_code.co_name}:{frame.tb_lineno}"
