"""Member entries as exchanged between processes, and the records that a process keeps of them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

# (incarnation, heartbeat): orders the entries of an address. Only the member itself increases them.
Freshness = tuple[int, int]


class MemberEntry(NamedTuple):
    """The entry that a member publishes about itself; its fields are in the order on the wire."""

    address: str  # of its rpc server
    role: str
    zone: str
    incarnation: int  # increases with each start of the process
    heartbeat: int  # a counter that the member increments with each of its gossip exchanges
    leaving: bool  # whether it is shutting down
    version: int  # of the configuration that is active there, or that it knows to be current

    @property
    def freshness(self) -> Freshness:
        """The order of the entries of one address: that of a newer entry is greater."""
        return self.incarnation, self.heartbeat

    def to_wire(self) -> list[Any]:
        """Encode the entry."""
        return list(self)

    @classmethod
    def from_wire(cls, sent: Sequence[Any]) -> MemberEntry:
        """Decode an entry."""
        return cls(*sent)


class KnownMember(NamedTuple):
    """A member of the view."""

    entry: MemberEntry
    last_heard: int  # when its heartbeat last increased, in us of the local clock


class RemovedMember(NamedTuple):
    """A member that was removed from the view because it left or was silent."""

    freshness: Freshness  # of its last entry; entries that are not newer are ignored
    removed_at: int  # us of the local clock
