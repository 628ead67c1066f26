"""Access to the machine: clocks, network, disk, random numbers, threads.

All other packages use the machine only through this package, so that the simulator can replace it.

- clock: monotonic and wall clock, sleeping, deadlines
- net, http_client, http_server: streams between processes, HTTP/1.1
- disk: files in a data folder
- hashing: fingerprints and checksums
- pause_detector: detection of pauses of this process
- slab: a container whose handles stay unique when its slots are reused
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.clock import (
    MILLISECOND,
    SECOND,
    deadline_scope,
    monotonic_us,
    sleep_us,
    wall_clock_us,
)
from meadowdock.runtime.disk import DataFolder, Disk, MemoryDisk, NoDisk
from meadowdock.runtime.exceptions import HttpConnectionFailed
from meadowdock.runtime.hashing import add_checksum, fingerprint, verify_checksum
from meadowdock.runtime.net import Net
from meadowdock.runtime.pause_detector import PauseDetector

__all__ = [
    "MILLISECOND",
    "SECOND",
    "Address",
    "DataFolder",
    "Disk",
    "HttpConnectionFailed",
    "MemoryDisk",
    "Net",
    "NoDisk",
    "PauseDetector",
    "Runtime",
    "deadline_scope",
    "fingerprint",
    "monotonic_us",
    "run_in_thread",
    "add_checksum",
    "sleep_us",
    "verify_checksum",
    "wall_clock_us",
]


async def run_in_thread(work: Callable[..., Any], *args: Any) -> Any:
    """Run CPU-intensive work in a thread, without blocking the event loop; return its result."""
    return await trio.to_thread.run_sync(work, *args)


@dataclass
class Runtime:
    """The machine as seen by one process; the simulator provides its own.

    :ivar offload: runs a function outside the event loop and returns its result.
    :ivar wall_us: reads the wall clock, in microseconds; only for records and to order
        incarnations.
    """

    net: Net
    disk: DataFolder = field(default_factory=NoDisk)
    rng: random.Random = field(default_factory=random.Random)
    offload: Callable[..., Awaitable[Any]] = run_in_thread
    wall_us: Callable[[], int] = wall_clock_us
