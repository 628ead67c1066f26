"""The only doors to the world: clock, net, disk, randomness. Times are whole microseconds.

The clock is trio's own, so a virtual trio clock moves everything that is built on this page.
"""

from __future__ import annotations

import hashlib
import random
import time
from dataclasses import dataclass, field

import trio

from mdseam.disk import Disk, MemoryDisk, NoDisk
from mdseam.net import Address, HttpBreakdown, Net

SECOND = 1_000_000
MILLI = 1_000

__all__ = [
    "MILLI",
    "SECOND",
    "Address",
    "Disk",
    "HttpBreakdown",
    "MemoryDisk",
    "Net",
    "NoDisk",
    "Seams",
    "fingerprint",
    "in_thread",
    "now",
    "rest",
    "until",
]


def now():
    return round(trio.current_time() * SECOND)  # rounded: a scope that ended at x is not before x


async def rest(us):
    await trio.sleep(max(0, us) / SECOND)


def until(due):
    """A cancel scope that ends at a due."""
    return trio.CancelScope(deadline=due / SECOND)


def fingerprint(data, key=b""):
    return hashlib.blake2b(data, key=key, digest_size=16).hexdigest()


async def in_thread(work, *args):
    """Heavy work beside the loop, so that beats and calls go on meanwhile."""
    return await trio.to_thread.run_sync(work, *args)


@dataclass
class Seams:
    net: Net
    disk: Disk = field(default_factory=NoDisk)
    rng: random.Random = field(default_factory=random.Random)
    apart: object = in_thread
    wall: object = lambda: time.time_ns() // 1000  # only to order incarnations and for records
