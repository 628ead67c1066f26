"""A disk that tracks whether it can be written.

A member whose disk has failed is not chosen as a voter.
"""

from __future__ import annotations

from typing import Any

from meadowdock.runtime import SECOND, Disk, monotonic_us

SLOW_WRITE_US = SECOND  # a write that takes longer counts as a disk failure
TEST_FILE = "probe"  # written to check whether the disk works again


class MonitoredDisk:
    """A disk whose writes are tracked; everything else is delegated to the disk.

    Invariants: last_error is the cause of the last failed write, until one succeeds; pending_writes
    holds when each write in flight began.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.last_error: str | None = None
        self.pending_writes: dict[object, int] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(self.disk, name)

    async def write(self, name: str, data: bytes) -> None:
        """Write a file.

        :raises OSError: it can't be written.
        """
        token = object()
        self.pending_writes[token] = monotonic_us()
        try:
            await self.disk.write(name, data)
            self.last_error = None
        except OSError as cause:
            self.last_error = str(cause)
            raise
        finally:
            del self.pending_writes[token]

    def failure(self) -> str | None:
        """Return why the disk can't be relied on now, or None."""
        if self.last_error:
            return f"the disk can't be written: {self.last_error}"
        if self.pending_writes:
            oldest = min(self.pending_writes.values())
            if monotonic_us() - oldest > SLOW_WRITE_US:
                return "the disk does not answer"
        return None

    async def retry_after_failure(self) -> None:
        """Find out whether the disk works again after a failed write."""
        if self.last_error:
            try:
                await self.write(TEST_FILE, b"")
            except OSError:
                pass
