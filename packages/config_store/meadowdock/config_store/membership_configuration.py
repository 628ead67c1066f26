"""The membership configuration: which disks vote, under which version.

During a change of members it is a joint configuration (Raft, section 6): it has the old and the new
voters, and a quorum is a majority of both. The value is immutable, and all functions here are pure.
It is stored on disk and sent to other members as the map that `to_record` builds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from meadowdock.consensus import NO_LOSSES, FailureDomain, Tolerance, VoterSets

Disks = Mapping[str, str]  # {disk id: address}


@dataclass(frozen=True, slots=True)
class MembershipConfiguration:
    """One version of the membership.

    Invariants: the version increases with each change; a joint configuration is followed by one
    with the new voters alone, or with the old ones alone if the change is reverted.
    """

    version: int
    voters: Disks
    next_voters: Disks | None = None  # of a joint configuration: the new voters
    # disk id -> its failure domain, if known
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=dict)

    def to_record(self) -> dict[str, Any]:
        """Encode as stored and sent.

        Releases without failure domains send no "places", and none are written if no failure domain
        is known.

        >>> domains = {"d1": FailureDomain("a")}
        >>> MembershipConfiguration(1, {"d1": "10.0.0.1:7421"}, None, domains).to_record()
        {'version': 1, 'voters': {'d1': '10.0.0.1:7421'}, 'next': None, 'places': {'d1': ['a', '']}}
        """
        record = {"version": self.version, "voters": self.voters, "next": self.next_voters}
        if self.failure_domains:
            record["places"] = {
                disk: [domain.zone, domain.region] for disk, domain in self.failure_domains.items()
            }
        return record

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> MembershipConfiguration:
        """Decode what `to_record` built, without unknown fields.

        :raises KeyError: a field is missing.
        """
        domains = {disk: FailureDomain(*names) for disk, names in record.get("places", {}).items()}
        return cls(record["version"], record["voters"], record["next"], domains)

    @property
    def is_joint(self) -> bool:
        """Whether a change of members is in progress."""
        return self.next_voters is not None

    @property
    def members(self) -> dict[str, str]:
        """{disk id: address} of all disks that have a vote, in either voter set."""
        return {**self.voters, **(self.next_voters or {})}

    @property
    def newcomers(self) -> dict[str, str]:
        """{disk id: address} of the voters that the change in progress adds."""
        return {d: a for d, a in (self.next_voters or {}).items() if d not in self.voters}

    def voter_sets(self, tolerance: Tolerance = NO_LOSSES) -> VoterSets:
        """Return the sets whose majorities make a quorum."""
        sets = [voters for voters in (self.voters, self.next_voters) if voters]
        return VoterSets.from_sets(sets, self.failure_domains, tolerance)

    def with_failure_domains(self, domains: Mapping[str, FailureDomain]) -> MembershipConfiguration:
        """Return a copy with the known failure domains of its members."""
        known = {disk: domains[disk] for disk in sorted(self.members) if disk in domains}
        return replace(self, failure_domains=known)

    def change_begun(
        self, disks: Disks, failure_domains: Mapping[str, FailureDomain]
    ) -> MembershipConfiguration:
        """Return the joint configuration in which these disks are the new voters.

        If only failure domains change, it is a successor with the same voters instead. If nothing
        changes, or another change is in progress, this same configuration is returned.
        """
        if self.is_joint:
            return self
        known_domains = {**self.failure_domains, **failure_domains}
        successor = MembershipConfiguration(self.version + 1, self.voters)
        if self.voters != disks:
            return replace(successor, next_voters=disks).with_failure_domains(known_domains)
        successor = successor.with_failure_domains(known_domains)
        return successor if successor.failure_domains != self.failure_domains else self

    def change_ended(self) -> MembershipConfiguration:
        """Return the successor of a completed joint configuration: the new voters alone."""
        assert self.next_voters is not None
        return self.with_voters_alone(self.next_voters)

    def change_reverted(self) -> MembershipConfiguration:
        """Return the successor of a joint configuration that is reverted: the old voters alone."""
        return self.with_voters_alone(self.voters)

    def with_voters_alone(self, voters: Disks) -> MembershipConfiguration:
        """Return the next version, in which only these disks vote."""
        return MembershipConfiguration(self.version + 1, voters).with_failure_domains(
            self.failure_domains
        )
