"""What processes tell one another about a member, and what one of them knows of it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

# (incarnation, heartbeat): orders the entries of one address. Only the member itself raises either.
Freshness = tuple[int, int]


class MemberEntry(NamedTuple):
    """One member, as it described itself. The order of the fields is that on the wire."""

    address: str  # of its rpc server
    role: str
    zone: str
    incarnation: int  # greater after each start of the process
    heartbeat: int  # a counter that the member raises at each of its gossip exchanges
    leaving: bool  # it is shutting down
    version: int  # of the configuration that it has in force, or knows to be the current one

    @property
    def freshness(self) -> Freshness:
        """What orders the entries of one address: the newer is greater."""
        return self.incarnation, self.heartbeat

    def to_wire(self) -> list[Any]:
        """The entry as it is sent."""
        return list(self)

    @classmethod
    def from_wire(cls, sent: Sequence[Any]) -> MemberEntry:
        """The entry as it was sent."""
        return cls(*sent)


class KnownMember(NamedTuple):
    """A member of the view. last_heard: when its heartbeat last rose, in us of the local clock."""

    entry: MemberEntry
    last_heard: int


class RemovedMember(NamedTuple):
    """A member that was given up, at the local time `removed_at` (us)."""

    freshness: Freshness  # of its last entry: an older one is out of date
    removed_at: int
