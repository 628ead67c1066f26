"""Runs trio tasks until all of them wait, with a clock that is advanced explicitly."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

MAX_IDLE_SLEEP_S = 3600.0  # trio polls the clock again after this time at the latest


class ManualClock(trio.abc.Clock):
    """A clock whose time changes only when `now_s` is set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def start_clock(self) -> None:
        """Do nothing; required by trio."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how many seconds trio may sleep until a deadline."""
        return max(0.0, min(deadline - self.now_s, MAX_IDLE_SLEEP_S))


class StepCounter(trio.abc.Instrument):
    """Counts task steps, which shows whether any task but the explorer's ran meanwhile."""

    def __init__(self) -> None:
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count a step; called by trio."""
        self.steps += 1


class Kernel:
    """Drives the tasks of an exploration.

    Invariant: its methods are called only by the task that runs the function passed to `run`.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.counter = StepCounter()

    async def settle(self) -> None:
        """Run until every other task waits for input that only the explorer provides."""
        checkpoint, counter = trio.lowlevel.checkpoint, self.counter
        idle_steps = 0
        while idle_steps < 2:  # after two, no other task ran in a complete pass of the scheduler
            before = counter.steps
            await checkpoint()
            idle_steps = idle_steps + 1 if counter.steps == before + 1 else 0

    async def advance_to_next_timer(self) -> bool:
        """Advance the clock to the next deadline of a task, and settle.

        :returns: False if there is no deadline.
        """
        remaining = trio.lowlevel.current_statistics().seconds_to_next_deadline
        if remaining == float("inf"):
            return False
        self.clock.now_s += max(0.0, remaining)
        await self.settle()
        return True

    async def advance_to(self, time_s: float) -> None:
        """Advance the clock to a time, unless it is past it already, and settle."""
        self.clock.now_s = max(self.clock.now_s, time_s)
        await self.settle()

    def run(self, explore: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run a function under trio, with the same scheduling order of tasks each time."""
        with deterministic_scheduling():
            trio.run(explore, *args, clock=self.clock, instruments=[self.counter])


@contextmanager
def deterministic_scheduling() -> Iterator[None]:
    """Make trio's scheduling order deterministic in the context.

    Trio has no public option for this, so its private setting is changed and restored afterwards.
    """
    scheduler: Any = trio._core._run
    previous = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = previous
