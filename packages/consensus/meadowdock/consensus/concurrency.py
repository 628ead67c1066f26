"""Bounded concurrency over a list of names."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

DEFAULT_CONCURRENCY = 16


async def run_for_each(
    action: Callable[[str], Awaitable[object]],
    names: Sequence[str],
    concurrency: int = DEFAULT_CONCURRENCY,
) -> None:
    """Await action(name) for every name, at most `concurrency` at the same time.

    Loading files one after the other would delay the start of a process on a slow disk.
    """
    remaining = list(reversed(names))

    async def worker() -> None:
        while remaining:
            await action(remaining.pop())

    async with trio.open_nursery() as nursery:
        for _ in range(min(concurrency, len(remaining))):
            nursery.start_soon(worker)
