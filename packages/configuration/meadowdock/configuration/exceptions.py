"""Exceptions of this package; those of configuration by items are in `items/exceptions.py`."""

from __future__ import annotations


class InvalidJson(Exception):
    """JSON that Python's parser accepts and this package doesn't: duplicate keys, NaN, infinity.

    :ivar errors: one message for each error.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class CorruptChunk(ValueError):
    """A chunk's content doesn't match its name or checksum."""


class EmptyResponse(ValueError):
    """A member's response mentions none of the requested chunks."""
