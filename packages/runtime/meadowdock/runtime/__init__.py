"""What a process uses of its machine: clocks, network, disk, random numbers, threads.

Everything else reaches these through this package alone, so that the simulator can replace them.

- clock: monotonic and wall clock, sleeping, deadlines
- net, http_client, http_server: streams between processes, HTTP/1.1
- disk: files below a data folder
- hashing: fingerprints and checksums
- pause_detector: pauses of this process itself
- slab: values by handles that are never mistaken for later ones
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
    """Run heavy work in a thread and give its result, so that the event loop goes on meanwhile."""
    return await trio.to_thread.run_sync(work, *args)


@dataclass
class Runtime:
    """The machine, as one process sees it; the simulator gives its own.

    :ivar offload: runs a function outside the event loop and gives its result.
    :ivar wall_us: the wall clock in microseconds, to order incarnations and for records.
    """

    net: Net
    disk: DataFolder = field(default_factory=NoDisk)
    rng: random.Random = field(default_factory=random.Random)
    offload: Callable[..., Awaitable[Any]] = run_in_thread
    wall_us: Callable[[], int] = wall_clock_us
