"""What JSON takes of memory once it is parsed, bounded before it is parsed.

A value of two bytes becomes an object of up to VALUE_MEMORY_BYTES, and one character beyond Latin makes
four bytes of each character in its text. The bound is computed from the bytes alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.exceptions import NoMemoryNow, TooCostlyToParse

# Each value, and each name of an object, stands beside one of these.
SEPARATORS = (b",", b":", b"[", b"{")
# Of a value or a name, with its place in a list or an object and what the parser keeps of it.
VALUE_MEMORY_BYTES = 128
ITEM_VALUE_MEMORY_BYTES = 256  # the same with the item of a configuration that it becomes
TEXT_COPIES = 2  # of a text: the decoded body and the strings in it
WIDE_CHARACTER_BYTES = 4  # of each character of a text with one beyond Latin


def parsed_size(body: bytes | bytearray, value_bytes: int = VALUE_MEMORY_BYTES) -> int:
    """Return how many bytes the parsed values of a JSON text take at most.

    :param value_bytes: of each value and name.

    >>> parsed_size(b"[1,1,1]") == 3 * VALUE_MEMORY_BYTES + 7 * TEXT_COPIES
    True
    >>> parsed_size('"\u00e9"'.encode()) == 4 * TEXT_COPIES * WIDE_CHARACTER_BYTES
    True
    """
    values = sum(body.count(separator) for separator in SEPARATORS)
    is_wide = not body.isascii() or b"\\u" in body
    character_bytes = WIDE_CHARACTER_BYTES if is_wide else 1
    return values * value_bytes + len(body) * TEXT_COPIES * character_bytes


@contextmanager
def room_to_parse(
    body: bytes | bytearray, memory: ClientMemory, value_bytes: int = VALUE_MEMORY_BYTES
) -> Iterator[None]:
    """Hold the room for what a JSON text is parsed into; to be entered before it is parsed.

    :param value_bytes: of each value and name.
    :raises TooCostlyToParse: the account has never so much room.
    :raises NoMemoryNow: it hasn't now.
    """
    size = parsed_size(body, value_bytes)
    if memory.limit is not None and size + len(body) > memory.limit:
        raise TooCostlyToParse(f"{size} bytes once parsed, {memory.limit} at most")
    if not memory.has_room(size):
        raise NoMemoryNow
    memory.total += size
    try:
        yield
    finally:
        memory.total -= size
