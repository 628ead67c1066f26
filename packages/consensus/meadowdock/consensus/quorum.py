"""Quorums: which members' answers decide, and which are enough to acknowledge a write.

While members change, the configuration is a joint one as in Raft (D. Ongaro and J. Ousterhout, "In
Search of an Understandable Consensus Algorithm", 2014, section 6): a quorum is a majority of the
old voters and a majority of the new.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

UNKNOWN_DOMAIN = ""


@dataclass(frozen=True)
class FailureDomain:
    """Where a member runs. An empty name: unknown."""

    zone: str = UNKNOWN_DOMAIN
    region: str = UNKNOWN_DOMAIN


@dataclass(frozen=True)
class Tolerance:
    """Simultaneous losses that an acknowledged write has to survive."""

    disks: int = 0
    zones: int = 0
    regions: int = 0


NO_LOSSES = Tolerance()


@dataclass(frozen=True)
class VoterSets:
    """The voters of one configuration: one set as a rule, the old and the new while members change.

    Two quorums of the same configuration always share a member, so a prepare and a read need a
    quorum only. A write is acknowledged once it is on a durable quorum: then it survives the
    tolerated losses. Requirements on zones (regions) hold once each voter's zone (region) is known.

    >>> abc = VoterSets.of([["a", "b", "c"]], tolerance=Tolerance(disks=2))
    >>> abc.is_quorum(["a", "b"]), abc.is_durable(["a", "b"]), abc.is_durable(["a", "b", "c"])
    (True, False, True)
    >>> domains = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y")}
    >>> spread = VoterSets.of([["a", "b", "c"]], domains, Tolerance(disks=1, zones=1))
    >>> spread.is_durable(["a", "b"]), spread.is_durable(["b", "c"])
    (False, True)
    """

    sets: tuple[frozenset[str], ...] = ()
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=dict)
    tolerance: Tolerance = NO_LOSSES
    excluded: frozenset[str] = frozenset()  # members that don't count for durability

    @classmethod
    def of(
        cls,
        sets: VoterSets | Iterable[Iterable[str]],
        failure_domains: Mapping[str, FailureDomain] | None = None,
        tolerance: Tolerance = NO_LOSSES,
    ) -> VoterSets:
        """From lists of voters, or unchanged if it is a VoterSets already."""
        if isinstance(sets, VoterSets):
            return sets
        voter_sets = tuple(frozenset(voters) for voters in sets)
        return cls(voter_sets, failure_domains or {}, tolerance)

    @property
    def voters(self) -> frozenset[str]:
        """The members of all sets."""
        return frozenset[str]().union(*self.sets)

    def is_quorum(self, members: Iterable[str]) -> bool:
        """Whether they are a majority of each set."""
        given = set(members)
        majorities = (len(given & voters) > len(voters) // 2 for voters in self.sets)
        return bool(self.sets) and all(majorities)

    def is_durable(self, members: Iterable[str]) -> bool:
        """Whether they are a quorum on more disks, zones and regions than may be lost at once."""
        counted = (set(members) & self.voters) - self.excluded
        return (
            self.is_quorum(counted)
            and len(counted) > self.tolerance.disks
            and self.spans(counted, "zone", self.tolerance.zones)
            and self.spans(counted, "region", self.tolerance.regions)
        )

    def spans(self, members: set[str], kind: str, losses: int) -> bool:
        """Whether the members run in more zones (regions) than may be lost; true while the zone
        (region) of some voter is unknown. kind: the field of FailureDomain."""
        if losses == 0:
            return True
        names = {
            m: getattr(self.failure_domains.get(m, FailureDomain()), kind) for m in self.voters
        }
        if UNKNOWN_DOMAIN in names.values():
            return True
        return len({names[m] for m in members}) > losses

    def can_be_durable(self) -> bool:
        """Whether all voters together would be a durable quorum."""
        return self.is_durable(self.voters)

    def without(self, member: str) -> VoterSets:
        """The same, with durability counted on the other members only."""
        return replace(self, excluded=self.excluded | {member})


def holds_majorities(
    voter_sets: VoterSets | Iterable[Iterable[str]], members: Iterable[str]
) -> bool:
    """Whether the members are a majority of each voter set.

    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["a", "b"])
    False
    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["b", "c"])
    True
    >>> holds_majorities([], ["a"])
    False
    """
    return VoterSets.of(voter_sets).is_quorum(members)
