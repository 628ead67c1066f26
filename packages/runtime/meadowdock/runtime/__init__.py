"""The only doors to the world: clock, net, disk, randomness. Times are whole microseconds.

The clock is trio's own, so a virtual trio clock moves everything that is built on this page.
"""

from __future__ import annotations

import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from meadowdock.runtime.disk import Disk, MemoryDisk, NoDisk, sealed, unsealed
from meadowdock.runtime.net import Address, HttpConnectionFailed, Net

SECOND = 1_000_000
MILLISECOND = 1_000

__all__ = [
    "MILLISECOND",
    "SECOND",
    "Address",
    "Disk",
    "HttpConnectionFailed",
    "MemoryDisk",
    "Net",
    "NoDisk",
    "Runtime",
    "PauseDetector",
    "fingerprint",
    "run_in_thread",
    "monotonic_us",
    "sleep_us",
    "sealed",
    "unsealed",
    "deadline_scope",
]


def monotonic_us() -> int:
    """The monotonic clock."""
    return round(trio.current_time() * SECOND)  # rounded: a scope that ended at x is not before x


async def sleep_us(us: int) -> None:
    """Sleep."""
    await trio.sleep(max(0, us) / SECOND)


def deadline_scope(deadline: int) -> trio.CancelScope:
    """A cancel scope that ends at a deadline."""
    return trio.CancelScope(deadline=deadline / SECOND)


class PauseDetector:
    """How long this process itself stood still, told by looks that should come at least every
    `usual`. Who was silent meanwhile must not be blamed for it.

    >>> still = PauseDetector(100, 0)
    >>> still.look(90), still.look(5_000), still.look(5_050)
    (0, 4910, 0)
    """

    def __init__(self, usual: int, at: int) -> None:
        self.usual, self.at = usual, at

    def look(self, at: int) -> int:
        """The length of the pause that ended now, or 0."""
        gap, self.at = at - self.at, at
        return gap if gap > self.usual else 0


def fingerprint(data: bytes, key: bytes = b"") -> str:
    """A short hash of data, under a key if one is given."""
    return hashlib.blake2b(data, key=key, digest_size=16).hexdigest()


async def run_in_thread(work: Callable, *args: Any) -> Any:
    """Heavy work beside the loop, so that beats and calls go on meanwhile."""
    return await trio.to_thread.run_sync(work, *args)


@dataclass
class Runtime:
    """What a node has of the world; a simulation gives its own."""

    net: Net
    disk: Disk = field(default_factory=NoDisk)
    rng: random.Random = field(default_factory=random.Random)
    offload: object = run_in_thread
    wall_us: object = lambda: time.time_ns() // 1000  # only to order incarnations and for records
