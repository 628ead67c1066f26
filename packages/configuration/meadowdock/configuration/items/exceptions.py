"""Reasons why a change of items is rejected; no part of a rejected change takes effect."""

from __future__ import annotations

from typing import NamedTuple


class ItemVersion(NamedTuple):
    """One version of one item."""

    kind: str
    name: str
    version: int


class InvalidItems(Exception):
    """Items are malformed, or refer to services that don't exist.

    :ivar errors: one message for each error, with its path.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class VersionConflict(Exception):
    """A change has versions that already exist with a different content.

    :ivar conflicts: all such versions of the change.
    """

    def __init__(self, conflicts: list[ItemVersion]) -> None:
        super().__init__("; ".join(f"{c.kind} '{c.name}' version {c.version}" for c in conflicts))
        self.conflicts = conflicts
