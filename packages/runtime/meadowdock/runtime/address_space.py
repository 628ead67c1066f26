"""The limit of address space (RLIMIT_AS) of a process, which counts what is reserved, too.

The C library reserves a heap and a stack for each thread. Once an allocation fails, httptools ends the
process with a segmentation fault, so its parsers only run while there is headroom.
"""

from __future__ import annotations

import mmap
import resource
import threading

HEADROOM_BYTES = 8 << 20  # more than the parsing of one read takes
THREAD_STACK_BYTES = 2 << 20
MALLOPT_ARENA_MAX = -8  # M_ARENA_MAX of mallopt(3)


def read_limit() -> int | None:
    """Return the limit of this process in bytes, or None without one."""
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    return None if limit == resource.RLIM_INFINITY else limit


LIMIT_BYTES = read_limit()


def reserved_bytes() -> int:
    """Return the size of this process's address space now."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[0]) * resource.getpagesize()


def reserve_less_for_threads() -> None:
    """Give threads small stacks and the heap of the process; before the first thread is started."""
    if LIMIT_BYTES is None:
        return
    threading.stack_size(THREAD_STACK_BYTES)
    import ctypes  # takes memory that other processes don't need

    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:  # not every C library has it
        mallopt(MALLOPT_ARENA_MAX, 1)


def usable_bytes(thread_count: int) -> int | None:
    """Return what is left for the process beside the stacks of its threads; None without a limit."""
    if LIMIT_BYTES is None:
        return None
    return max(0, LIMIT_BYTES - reserved_bytes() - thread_count * THREAD_STACK_BYTES)


def require_headroom() -> None:
    """Check that the address space is not used up; nothing is checked without a limit.

    :raises MemoryError: less than HEADROOM_BYTES are left.
    """
    if LIMIT_BYTES is None:
        return
    try:
        mmap.mmap(-1, HEADROOM_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS).close()
    except OSError:
        raise MemoryError(f"address space of {LIMIT_BYTES} bytes is used up") from None


def has_headroom() -> bool:
    """Return whether `require_headroom` succeeds."""
    try:
        require_headroom()
    except MemoryError:
        return False
    return True
