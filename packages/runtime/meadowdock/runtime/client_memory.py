"""What a process holds for its clients, in one account with a limit.

Each connection of a client has an entry with the bytes that it holds: heads, bodies, trailers, requests
that run, and answers that are not read. Above the limit, connections whose request is incomplete or
whose answer is not read are given up, first those that hold much and have made no progress for long.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from meadowdock.logs import events as log_events
from meadowdock.logs.counted_event import CountedEvent
from meadowdock.runtime.clock import SECOND, monotonic_us

MEGABYTE = 1_000_000  # bytes
# The part of a process's memory that clients may take: a body that goes to a peer exists twice, and
# the process itself and its peers need the rest.
MEMORY_SHARE = 1 / 3
LOW_WATERMARK = 7 / 8  # of the limit; connections are given up until the total is below it
SMALL_BYTES = 16_384  # fewer bytes than this are no progress of a body, and never refused at once
FRESH_US = SECOND  # a body that made progress so recently is expected to arrive whole
AGE_FLOOR_US = SECOND // 10  # so that connections of the same moment are ordered by what they hold
LOG_INTERVAL_US = SECOND
HEADER_LINE_MEMORY_BYTES = 160  # of a header line's objects, beside its text


class Client(Protocol):
    """A connection of a client, as the account sees it."""

    def may_be_given_up(self) -> bool:
        """Return whether its request is incomplete, or its answer isn't read."""

    def give_up(self) -> None:
        """Release what it holds; a request that is given up has not run and never will."""


class MemoryEntry:
    """What one connection holds.

    :ivar size: bytes held now.
    :ivar expected: bytes of the body that is arriving, as far as its length was declared.
    :ivar progress_at: when the request that is arriving began, or last made progress.
    :ivar is_peer: it is given up only if giving up clients isn't enough.
    """

    __slots__ = ("memory", "client", "size", "expected", "progress_at", "unmarked", "is_peer")

    def __init__(self, memory: ClientMemory, client: Client) -> None:
        self.memory, self.client = memory, client
        self.size = self.expected = self.unmarked = 0
        self.progress_at = monotonic_us()
        self.is_peer = False

    def received(self, count: int, is_complete: bool) -> None:
        """Note received bytes; a complete request, or SMALL_BYTES of one, are progress."""
        self.unmarked += count
        if is_complete or self.unmarked >= SMALL_BYTES:
            self.progress_at, self.unmarked = monotonic_us(), 0

    def begin_request(self) -> None:
        """Note that a request begins to arrive; the time before it doesn't count against it."""
        self.progress_at, self.unmarked = monotonic_us(), 0

    def resize(self, size: int) -> None:
        """Set the bytes that are held; without effect after `close`."""
        if self in self.memory.entries:
            self.memory.total += size - self.size
            self.size = size

    def admits(self, size: int) -> bool:
        """Return whether a body of this declared size may begin to arrive."""
        self.expected = size
        return self.memory.admits(self, size)

    def close(self) -> None:
        """Remove the entry."""
        self.memory.entries.discard(self)
        self.memory.total -= self.size
        self.size = 0

    def badness(self, now: int) -> tuple[bool, int]:
        """Return by which the connections to be given up are ordered: clients first, size times age."""
        return not self.is_peer, self.size * (now - self.progress_at + AGE_FLOOR_US)


class ClientMemory:
    """The account of one process.

    Invariant: total is the sum of the sizes of all entries and of all bodies that are held (`held_body`).

    :ivar limit: bytes, or None for no limit.
    :ivar given_up: how many connections were given up.
    """

    def __init__(self, memory_mb: int | None, log: Callable[..., None] | None = None) -> None:
        self.limit = None if memory_mb is None else int(memory_mb * MEGABYTE * MEMORY_SHARE)
        self.total = self.given_up = 0
        self.entries: set[MemoryEntry] = set()
        self.is_relieving = False
        self.log_given_up = CountedEvent(log, log_events.CLIENTS_GIVEN_UP, LOG_INTERVAL_US)

    def open(self, client: Client) -> MemoryEntry:
        """Return an entry for a connection."""
        entry = MemoryEntry(self, client)
        self.entries.add(entry)
        return entry

    def is_pressed(self) -> bool:
        """Return whether the total is above the low watermark."""
        return self.limit is not None and self.total > self.limit * LOW_WATERMARK

    def is_full(self) -> bool:
        """Return whether the total is above the limit."""
        return self.limit is not None and self.total > self.limit

    def admits(self, entry: MemoryEntry, size: int) -> bool:
        """Return whether there is memory for a body that begins to arrive.

        Bodies that make progress count whole, and connections that may be given up don't count. A
        small body is always admitted, and so is one beside which nothing is held.
        """
        if self.limit is None or size < SMALL_BYTES or not self.total:
            return True
        needed = size + self.total
        fresh_since = monotonic_us() - FRESH_US
        for other in self.entries:
            if other is entry or not other.client.may_be_given_up():
                continue
            needed -= other.size
            if other.progress_at > fresh_since:
                needed += max(other.size, other.expected)
        return needed <= self.limit

    def has_room(self, size: int) -> bool:
        """Return whether there is room for a size; clients may be given up for it.

        If nothing is held, there always is.
        """
        if self.limit is not None and self.total + size > self.limit:
            self.relieve(size)
            return not self.total or self.total + size <= self.limit
        return True

    def relieve(self, wanted: int = 0) -> None:
        """Give connections up if the total, and what is wanted beside it, are over the limit.

        Not to be called by a client that is sending an answer, as it may be given up itself.
        """
        if self.limit is None or self.is_relieving or self.total + wanted <= self.limit:
            return
        self.is_relieving = True
        try:
            self.give_up_worst(int(self.limit * LOW_WATERMARK) - wanted)
        finally:
            self.is_relieving = False

    def give_up_worst(self, target: int) -> None:
        """Give up connections until the total is at the target, or only one of them holds any."""
        now = monotonic_us()
        candidates = [e for e in self.entries if e.size and e.client.may_be_given_up()]
        for entry in sorted(candidates, key=lambda each: each.badness(now), reverse=True):
            if self.total <= target or self.total == entry.size:
                return
            entry.client.give_up()
            self.given_up += 1
            self.report("memory")

    def report(self, reason: str) -> None:
        """Log how many connections were given up, at most once in LOG_INTERVAL_US."""
        self.log_given_up.count(reason, monotonic_us(), held=self.total, limit=self.limit)
