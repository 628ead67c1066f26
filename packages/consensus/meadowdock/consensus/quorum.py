"""Quorums: which members' answers decide, and which are enough to acknowledge a write."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

UNKNOWN_PLACE = ""


@dataclass(frozen=True)
class FailureDomain:
    """Where a member runs. An empty name: not told."""

    zone: str = UNKNOWN_PLACE
    region: str = UNKNOWN_PLACE


@dataclass(frozen=True)
class Tolerance:
    """Losses at once that an acknowledged write has to outlive."""

    disks: int = 0
    zones: int = 0
    regions: int = 0


NO_LOSSES = Tolerance()


@dataclass(frozen=True)
class VoterSets:
    """The voters of one configuration: one set as a rule, the old and the new while members change.

    Two quorums of the same configuration always share a member, so a prepare and a read need a
    quorum only. A write is acknowledged once it is on a durable quorum: then it outlives the
    tolerated losses. Requirements on zones (regions) hold once each voter's zone (region) is known.

    >>> abc = VoterSets.of([["a", "b", "c"]], tolerance=Tolerance(disks=2))
    >>> abc.is_quorum(["a", "b"]), abc.is_durable(["a", "b"]), abc.is_durable(["a", "b", "c"])
    (True, False, True)
    >>> places = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y")}
    >>> spread = VoterSets.of([["a", "b", "c"]], places, Tolerance(disks=1, zones=1))
    >>> spread.is_durable(["a", "b"]), spread.is_durable(["b", "c"])
    (False, True)
    """

    sets: tuple[frozenset[str], ...] = ()
    places: Mapping[str, FailureDomain] = field(default_factory=dict)
    tolerance: Tolerance = NO_LOSSES
    excluded: frozenset[str] = frozenset()  # members that don't count for durability

    @classmethod
    def of(cls, sets, places=None, tolerance=NO_LOSSES):
        """From lists of voters, or unchanged if it is a VoterSets already."""
        if isinstance(sets, cls):
            return sets
        return cls(tuple(frozenset(voters) for voters in sets), places or {}, tolerance)

    @property
    def voters(self) -> frozenset[str]:
        """The members of all sets."""
        return frozenset().union(*self.sets)

    def is_quorum(self, members: Iterable[str]) -> bool:
        """Do they hold a majority of each set?"""
        held = set(members)
        return bool(self.sets) and all(
            len(held & voters) > len(voters) // 2 for voters in self.sets
        )

    def is_durable(self, members: Iterable[str]) -> bool:
        """A quorum on more disks, zones and regions than may be lost at once?"""
        held = (set(members) & self.voters) - self.excluded
        return (
            self.is_quorum(held)
            and len(held) > self.tolerance.disks
            and self.spans(held, "zone", self.tolerance.zones)
            and self.spans(held, "region", self.tolerance.regions)
        )

    def spans(self, held: set[str], kind: str, lost: int) -> bool:
        """Whether the members run in more zones (regions) than may be lost."""
        if lost == 0:
            return True
        names = {m: getattr(self.places.get(m, FailureDomain()), kind) for m in self.voters}
        if UNKNOWN_PLACE in names.values():
            return True
        return len({names[m] for m in held}) > lost

    def can_be_durable(self) -> bool:
        """Would all voters together be a durable quorum?"""
        return self.is_durable(self.voters)

    def without(self, member: str) -> VoterSets:
        """The same, with durability counted on the other members only."""
        return replace(self, excluded=self.excluded | {member})


def holds_majorities(voter_sets, members):
    """
    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["a", "b"])
    False
    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["b", "c"])
    True
    >>> holds_majorities([], ["a"])
    False
    """
    return VoterSets.of(voter_sets).is_quorum(members)
