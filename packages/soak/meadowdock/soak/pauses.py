"""Records when a process of a soak run stood still, because it was stopped or got no processor.

A pause is unplanned: while it lasts the peers of the process give up what they wait for. Time that
a process spends on its own work is no pause.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from meadowdock.runtime import MILLISECOND, SECOND, sleep_us

CHECK_INTERVAL_US = 50 * MILLISECOND
PAUSE_MIN_US = 300 * MILLISECOND
OWN_WORK_MAX_SHARE = 0.5  # of a pause, as processor time of the process
AFTERMATH_US = SECOND  # peers that wait for an answer notice a pause in this time


@dataclass(frozen=True)
class Pause:
    """A time in which a process stood still; in microseconds of the wall clock."""

    process: str
    start_us: int
    end_us: int

    def affects(self, start_us: int, end_us: int) -> bool:
        """Return whether a request that was in progress at these times may have been given up."""
        return start_us <= self.end_us + AFTERMATH_US and self.start_us <= end_us


async def record_pauses(process: str, path: str) -> None:
    """Append the pauses of this process to a file, until cancelled."""
    checked_at, worked = time.time(), time.process_time()
    while True:
        await sleep_us(CHECK_INTERVAL_US)
        now, work = time.time(), time.process_time()
        gap_s = now - checked_at
        if gap_s * SECOND > PAUSE_MIN_US and work - worked < OWN_WORK_MAX_SHARE * gap_s:
            append(path, Pause(process, int(checked_at * SECOND), int(now * SECOND)))
        checked_at, worked = now, work


def append(path: str, pause: Pause) -> None:
    """Append a pause to a file, with one write."""
    with open(path, "ab", buffering=0) as file:
        file.write(json.dumps(asdict(pause)).encode() + b"\n")


def read_pauses(path: str) -> list[Pause]:
    """Return the pauses in a file; none if there is no file."""
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [Pause(**json.loads(line)) for line in file]


def affected(pauses: Iterable[Pause], start_us: int, end_us: int) -> bool:
    """Return whether any of the pauses affects a request that was in progress at these times."""
    return any(pause.affects(start_us, end_us) for pause in pauses)
