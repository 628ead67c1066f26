"""Timers, and turns.

Everything of the traffic path runs in turns: a socket's data or a timer calls plain functions,
nothing is awaited in between, and what goes out is flushed at the end.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import trio

from meadowdock.runtime import deadline_scope, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Logger

NEVER = 1 << 62


class Flushable(Protocol):
    """What gathers bytes during a turn."""

    def flush(self) -> None:
        """Send them."""


class Timer:
    """A function that is called at a time, in microseconds of the monotonic clock.

    Invariant: callback is None once it was called or cancelled; it is called at most once.
    """

    __slots__ = ("when", "callback", "number")

    def __init__(self, when: int, callback: Callable[[], object], number: int) -> None:
        self.when, self.number = when, number
        self.callback: Callable[[], object] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return (self.when, self.number) < (other.when, other.number)

    def cancel(self) -> None:
        """Don't call it any more."""
        self.callback = None


class Reactor:
    """Invariants: timers is a heap, the earliest first; dirty holds each sender that has something
    to send, once.

    :param log: writes an event about a defect; without it, defects are raised
    """

    def __init__(self, log: Logger | None = None) -> None:
        self.log = log
        self.timers: list[Timer] = []
        self.dirty: list[Flushable] = []
        self.number = 0  # of the latest timer: of two for one time, the older goes first
        self.sleeping_until = 0
        self.earlier_timer = trio.Event()

    def at(self, when: int, callback: Callable[[], object]) -> Timer:
        """Call a function in a turn of its own, not before a time."""
        self.number += 1
        timer = Timer(when, callback, self.number)
        heapq.heappush(self.timers, timer)
        if when < self.sleeping_until:
            self.earlier_timer.set()
        return timer

    def turn(self, callback: Callable[..., object], *args: object) -> bool:
        """One turn: call, then flush. A defect in the callback is logged and ends the turn, not the
        process: every other call here goes on.

        :returns: whether the callback returned
        """
        try:
            callback(*args)
            return True
        except Exception as defect:
            if self.log is None:
                raise
            self.log(801, cause=repr(defect), line=origin(defect))
            return False
        finally:
            self.end_turn()

    def end_turn(self) -> None:
        """Flush what was gathered in this turn; each sender writes once."""
        while self.dirty:
            dirty, self.dirty = self.dirty, []
            for sender in dirty:
                sender.flush()

    def run_timers(self, at: int) -> None:
        """Call every timer whose time has come."""
        timers = self.timers
        while timers and timers[0].when <= at:
            timer = heapq.heappop(timers)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self.turn(callback)

    async def run(self) -> None:
        """Call the timers, until cancelled."""
        while True:
            self.run_timers(monotonic_us())
            while self.timers and self.timers[0].callback is None:
                heapq.heappop(self.timers)
            self.sleeping_until = self.timers[0].when if self.timers else NEVER
            self.earlier_timer = trio.Event()
            with deadline_scope(self.sleeping_until):
                await self.earlier_timer.wait()
            self.sleeping_until = 0
            await trio.lowlevel.checkpoint()


def origin(error: BaseException) -> str:
    """The function and line in which an exception was raised."""
    frame = error.__traceback__
    assert frame is not None
    while frame.tb_next is not None:
        frame = frame.tb_next
    return f"{frame.tb_frame.f_code.co_name}:{frame.tb_lineno}"
