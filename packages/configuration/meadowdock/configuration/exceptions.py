"""Errors of this package; those of configuration by items are in `items/exceptions.py`."""

from __future__ import annotations


class InvalidJson(Exception):
    """Text that is JSON for Python's parser, but not for ours.

    :ivar errors: what is wrong, one text each.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class CorruptChunk(ValueError):
    """A chunk is not what its name and checksum say."""


class EmptyResponse(ValueError):
    """A member answered a request for chunks with nothing that was asked for."""
