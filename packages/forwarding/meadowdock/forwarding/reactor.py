"""Timers and the end of a turn. Everything of the traffic path runs in turns: a socket's data or a
timer calls plain functions, nothing is awaited in between, and what goes out is flushed at the end."""

from __future__ import annotations

import heapq

import trio

from meadowdock.runtime import deadline_scope, monotonic_us


class Timer:
    # Invariant: act is None once it has run or was cancelled; it runs at most once.
    __slots__ = ("due", "act", "number")

    def __init__(self, due, act, number):
        self.due, self.act, self.number = due, act, number

    def __lt__(self, other):
        return (self.due, self.number) < (other.due, other.number)

    def cancel(self):
        self.act = None


class Reactor:
    """Invariants: heap is ordered by due; dirty holds each outlet that has frames to send once."""

    def __init__(self, log=None):
        self.log = log
        self.heap, self.dirty = [], []
        self.number = 0
        self.sleeping_until = 0
        self.news = trio.Event()

    def at(self, due, act):
        """Call act in a turn of its own, not before due (whole us)."""
        self.number += 1
        timer = Timer(due, act, self.number)
        heapq.heappush(self.heap, timer)
        if due < self.sleeping_until:
            self.news.set()
        return timer

    def turn(self, act, *args):
        """One turn: act, then flush. A defect in it is told and ends the turn, not the process:
        every other call here goes on. Gives whether it went through."""
        try:
            act(*args)
            return True
        except Exception as cause:
            if self.log is None:
                raise
            where = cause.__traceback__
            while where.tb_next is not None:
                where = where.tb_next
            self.log(
                801, cause=repr(cause), line=f"{where.tb_frame.f_code.co_name}:{where.tb_lineno}"
            )
            return False
        finally:
            self.end_turn()

    def end_turn(self):
        """Flush what was said in this turn; each outlet writes once."""
        while self.dirty:
            dirty, self.dirty = self.dirty, []
            for outlet in dirty:
                outlet.flush()

    def fire(self, at):
        """Run every timer that is due."""
        heap = self.heap
        while heap and heap[0].due <= at:
            timer = heapq.heappop(heap)
            act, timer.act = timer.act, None
            if act is not None:
                self.turn(act)

    async def run(self):
        while True:
            self.fire(monotonic_us())
            while self.heap and self.heap[0].act is None:
                heapq.heappop(self.heap)
            self.sleeping_until = self.heap[0].due if self.heap else 1 << 62
            self.news = trio.Event()
            with deadline_scope(self.sleeping_until):
                await self.news.wait()
            self.sleeping_until = 0
            await trio.lowlevel.checkpoint()
