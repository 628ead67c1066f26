"""Quorums: which members have to answer, and which have to accept a write to acknowledge it.

During a membership change the configuration is a joint one, as in Raft (D. Ongaro and
J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6): a quorum is a
majority of the old voters and a majority of the new ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

UNKNOWN_DOMAIN = ""


@dataclass(frozen=True)
class FailureDomain:
    """The zone and region that a member runs in; an empty name means unknown."""

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
    """The voters of one configuration: normally one set, two during a membership change.

    Any two quorums of a configuration share a member, so a prepare or a read needs only a quorum. A
    write is acknowledged once a durable quorum has it, which survives the tolerated losses. The
    requirement on zones (regions) applies only while the zone (region) of every voter is known.

    >>> abc = VoterSets.from_sets([["a", "b", "c"]], tolerance=Tolerance(disks=2))
    >>> abc.is_quorum(["a", "b"]), abc.is_durable(["a", "b"]), abc.is_durable(["a", "b", "c"])
    (True, False, True)
    >>> domains = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y")}
    >>> spread = VoterSets.from_sets([["a", "b", "c"]], domains, Tolerance(disks=1, zones=1))
    >>> spread.is_durable(["a", "b"]), spread.is_durable(["b", "c"])
    (False, True)
    """

    sets: tuple[frozenset[str], ...] = ()
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=dict)
    tolerance: Tolerance = NO_LOSSES
    excluded: frozenset[str] = frozenset()  # members that don't count towards durability

    @classmethod
    def from_sets(
        cls,
        sets: VoterSets | Iterable[Iterable[str]],
        failure_domains: Mapping[str, FailureDomain] | None = None,
        tolerance: Tolerance = NO_LOSSES,
    ) -> VoterSets:
        """Build voter sets from lists of voters; a VoterSets is returned unchanged."""
        if isinstance(sets, VoterSets):
            return sets
        voter_sets = tuple(frozenset(voters) for voters in sets)
        return cls(voter_sets, failure_domains or {}, tolerance)

    @property
    def voters(self) -> frozenset[str]:
        """The members of all sets."""
        return frozenset[str]().union(*self.sets)

    def is_quorum(self, members: Iterable[str]) -> bool:
        """Return whether the members include a majority of each set."""
        present = set(members)
        majorities = (len(present & voters) > len(voters) // 2 for voters in self.sets)
        return bool(self.sets) and all(majorities)

    def is_durable(self, members: Iterable[str]) -> bool:
        """Return whether the members are a quorum that survives the tolerated losses.

        They have to be on more disks, zones and regions than may be lost at the same time.
        """
        eligible = (set(members) & self.voters) - self.excluded
        return (
            self.is_quorum(eligible)
            and len(eligible) > self.tolerance.disks
            and self.spans(eligible, "zone", self.tolerance.zones)
            and self.spans(eligible, "region", self.tolerance.regions)
        )

    def spans(self, members: set[str], domain_kind: str, losses: int) -> bool:
        """Return whether the members run in more zones (regions) than may be lost.

        The requirement is waived while the zone (region) of any voter is unknown.

        :param domain_kind: the field of FailureDomain, "zone" or "region".
        """
        if losses == 0:
            return True
        domains = {
            m: getattr(self.failure_domains.get(m, FailureDomain()), domain_kind)
            for m in self.voters
        }
        if UNKNOWN_DOMAIN in domains.values():
            return True
        return len({domains[m] for m in members}) > losses

    def can_be_durable(self) -> bool:
        """Return whether all voters together would be a durable quorum."""
        return self.is_durable(self.voters)

    def without(self, member: str) -> VoterSets:
        """Return a copy in which the member does not count towards durability."""
        return replace(self, excluded=self.excluded | {member})


def is_majority_of_each(
    voter_sets: VoterSets | Iterable[Iterable[str]], members: Iterable[str]
) -> bool:
    """Return whether the members include a majority of each voter set.

    >>> is_majority_of_each([["a", "b", "c"], ["b", "c", "d"]], ["a", "b"])
    False
    >>> is_majority_of_each([["a", "b", "c"], ["b", "c", "d"]], ["b", "c"])
    True
    >>> is_majority_of_each([], ["a"])
    False
    """
    return VoterSets.from_sets(voter_sets).is_quorum(members)
