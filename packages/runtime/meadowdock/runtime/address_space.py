"""The limit of address space (RLIMIT_AS) of a process, which counts what is reserved, too.

The C library reserves a heap and a stack for each thread. Once an allocation fails, httptools ends the
process with a segmentation fault, so its parsers only run while there is headroom. Without it, what the
process no longer uses is given back: a process that refuses everything allocates nothing, so that the
garbage collector would never run by itself.
"""

from __future__ import annotations

import contextlib
import gc
import mmap
import resource
import threading
import time
from collections.abc import Callable

from meadowdock.logs import events as log_events
from meadowdock.logs.counted_event import CountedEvent
from meadowdock.runtime.clock import SECOND

HEADROOM_BYTES = 8 << 20  # more than the parsing of one read takes
THREAD_STACK_BYTES = 2 << 20
MALLOPT_ARENA_MAX = -8  # M_ARENA_MAX of mallopt(3)
MALLOPT_MMAP_THRESHOLD = -3  # M_MMAP_THRESHOLD of mallopt(3)
# An allocation of this size or more is given back to the system as soon as it is released.
LARGE_ALLOCATION_BYTES = 256 << 10
RECLAIM_INTERVAL_US = SECOND  # between two attempts to give memory back
LOG_INTERVAL_US = SECOND


def read_limit() -> int | None:
    """Return the limit of this process in bytes, or None without one."""
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    return None if limit == resource.RLIM_INFINITY else limit


LIMIT_BYTES = read_limit()


def reserved_bytes() -> int:
    """Return the size of this process's address space now."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[0]) * resource.getpagesize()


def prepare_allocator() -> None:
    """Have large allocations given back when they are released; to be called before threads start.

    By itself the C library raises the size from which it does so with each that is released, and keeps
    what is smaller. With a limit of address space threads get small stacks and the heap of the process.
    """
    import ctypes

    library = ctypes.CDLL(None)
    mallopt = getattr(library, "mallopt", None)
    if mallopt is not None:  # not every C library has it
        mallopt(MALLOPT_MMAP_THRESHOLD, LARGE_ALLOCATION_BYTES)
    if LIMIT_BYTES is None:
        return
    threading.stack_size(THREAD_STACK_BYTES)
    if mallopt is not None:
        mallopt(MALLOPT_ARENA_MAX, 1)
    reclaimer.trim = getattr(library, "malloc_trim", None)


def is_out_of_memory(error: BaseException) -> bool:
    """Return whether an error is, or was raised because of, an allocation that failed."""
    return isinstance(error, MemoryError) or isinstance(
        error.__cause__ or error.__context__, MemoryError
    )


def now_us() -> int:
    """Return the time on the machine's monotonic clock, also outside of the event loop."""
    return time.monotonic_ns() // 1000


class Reclaimer:
    """Gives back what the process no longer uses, at most once in RECLAIM_INTERVAL_US.

    :ivar trim: malloc_trim(3), if the C library has it.
    """

    def __init__(self) -> None:
        self.trim: Callable[[int], object] | None = None
        self.reclaimed_at = now_us() - RECLAIM_INTERVAL_US
        self.log_used_up: CountedEvent | None = None

    def report_to(self, log: Callable[..., None]) -> None:
        """Log when the address space is used up."""
        self.log_used_up = CountedEvent(log, log_events.ADDRESS_SPACE_USED_UP, LOG_INTERVAL_US)

    def reclaim(self) -> bool:
        """Give memory back, and return whether that was tried now."""
        now = now_us()
        if now - self.reclaimed_at < RECLAIM_INTERVAL_US:
            return False
        gc.collect()
        if self.trim is not None:
            self.trim(0)
        self.reclaimed_at = now_us()
        return True

    def report(self) -> None:
        """Log that something was refused, unless there is no memory left for that either."""
        if self.log_used_up is None:
            return
        with contextlib.suppress(MemoryError, OSError):
            self.log_used_up.count(
                "refused", now_us(), reserved=reserved_bytes(), limit=LIMIT_BYTES
            )


reclaimer = Reclaimer()


def usable_bytes(thread_count: int) -> int | None:
    """Return what is left for the process beside the stacks of its threads; None without a limit."""
    if LIMIT_BYTES is None:
        return None
    return max(0, LIMIT_BYTES - reserved_bytes() - thread_count * THREAD_STACK_BYTES)


def can_reserve() -> bool:
    """Return whether HEADROOM_BYTES are left now."""
    try:
        mmap.mmap(-1, HEADROOM_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS).close()
    except OSError:
        return False
    return True


def has_headroom() -> bool:
    """Return whether the address space is not used up; what isn't used is given back before it is.

    Nothing is checked without a limit.
    """
    if LIMIT_BYTES is None or can_reserve():
        return True
    if reclaimer.reclaim() and can_reserve():
        return True
    reclaimer.report()
    return False


def require_headroom() -> None:
    """Check that the address space is not used up; nothing is checked without a limit.

    :raises MemoryError: less than HEADROOM_BYTES are left.
    """
    if not has_headroom():
        raise MemoryError(f"address space of {LIMIT_BYTES} bytes is used up")
