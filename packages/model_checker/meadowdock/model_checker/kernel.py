"""Runs coroutines under trio until all of them wait, with a clock that is advanced explicitly."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

IDLE_SLEEP = 3600.0  # s: trio asks again after so long at the latest


class ManualClock(trio.abc.Clock):
    """Time stands still until `at` is set."""

    def __init__(self) -> None:
        self.at = 0.0

    def start_clock(self) -> None:
        """As of trio's clocks."""

    def current_time(self) -> float:
        """As of trio's clocks."""
        return self.at

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """As of trio's clocks."""
        return max(0.0, min(deadline - self.at, IDLE_SLEEP))


class StepCounter(trio.abc.Instrument):
    """Counts task steps, to tell that only the explorer itself ran between two of its steps."""

    def __init__(self) -> None:
        self.steps = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Called by trio."""
        self.steps += 1


class Kernel:
    """Drives the tasks of an exploration. Invariant: used by one task only, inside `explore`."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.counter = StepCounter()

    async def settle(self) -> None:
        """Run until every other task waits for something that only the explorer provides."""
        checkpoint, counter = trio.lowlevel.checkpoint, self.counter
        idle_steps = 0
        while idle_steps < 2:  # twice: then nothing else ran in a complete pass of the scheduler
            before = counter.steps
            await checkpoint()
            idle_steps = idle_steps + 1 if counter.steps == before + 1 else 0

    async def next_timer(self) -> bool:
        """Advance to the next deadline; False if there is none."""
        remaining = trio.lowlevel.current_statistics().seconds_to_next_deadline
        if remaining == float("inf"):
            return False
        self.clock.at += max(0.0, remaining)
        await self.settle()
        return True

    async def advance_to(self, at: float) -> None:
        """Let time pass up to this moment, and settle."""
        self.clock.at = max(self.clock.at, at)
        await self.settle()

    def run(self, explore: Callable[..., Awaitable[None]], *args: object) -> None:
        """trio.run, with the same order of tasks each time."""
        with deterministic_scheduling():
            trio.run(explore, *args, clock=self.clock, instruments=[self.counter])


@contextmanager
def deterministic_scheduling() -> Iterator[None]:
    """Trio has no public option for the order of its tasks; restored afterwards."""
    scheduler: Any = trio._core._run
    former = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = former
