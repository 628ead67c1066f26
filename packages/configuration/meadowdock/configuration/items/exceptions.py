"""Why a change by items is refused. Nothing of a refused change takes effect."""

from __future__ import annotations

from typing import NamedTuple


class ItemVersion(NamedTuple):
    """One version of one item."""

    kind: str
    name: str
    version: int


class InvalidItems(Exception):
    """Items are malformed, or name services that don't exist.

    :ivar errors: texts, each with its path.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class VersionConflict(Exception):
    """A change gives another content to versions that already have one.

    :ivar conflicts: every such version of the change.
    """

    def __init__(self, conflicts: list[ItemVersion]) -> None:
        super().__init__("; ".join(f"{c.kind} '{c.name}' version {c.version}" for c in conflicts))
        self.conflicts = conflicts
