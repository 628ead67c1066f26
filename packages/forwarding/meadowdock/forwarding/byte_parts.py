"""Messages in parts, so that large bodies are not copied to be sent."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

LARGE_BYTES = 65_536  # a part of this size is worth a write of its own

Bytes = bytes | bytearray | memoryview


def joined_parts(parts: Iterable[Bytes]) -> Iterator[Bytes]:
    """Return the parts of a message with the small ones joined.

    >>> [len(part) for part in joined_parts([b"a" * 10, b"b" * 90_000, b"c", b"d"])]
    [10, 90000, 2]
    """
    small: list[Bytes] = []
    for part in parts:
        if len(part) < LARGE_BYTES:
            small.append(part)
            continue
        if small:
            yield b"".join(small)
            small = []
        yield part
    if small:
        yield b"".join(small)
