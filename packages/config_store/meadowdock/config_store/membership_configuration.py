"""The membership configuration: which disks vote, under which version.

While the members change it is a joint configuration (Raft, section 6): it names the old and the new
voters, and a quorum is a majority of both. The value is immutable, and all functions here are pure;
the disk and the other members get it as the map that `to_record` makes.
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

    Invariants: version goes up with each change; a joint configuration is followed by one with the
    new voters alone, or with the old ones alone if the change is reverted.
    """

    version: int
    voters: Disks
    next_voters: Disks | None = None  # of a joint configuration: the new voters
    places: Mapping[str, FailureDomain] = field(
        default_factory=dict
    )  # disk id -> where it runs, if known

    # ------------------------------------------------------------ codec

    def to_record(self) -> dict[str, Any]:
        """As stored and sent. Releases that knew no places sent none: without any, none are sent.

        >>> places = {"d1": FailureDomain("a")}
        >>> MembershipConfiguration(1, {"d1": "10.0.0.1:7421"}, None, places).to_record()
        {'version': 1, 'voters': {'d1': '10.0.0.1:7421'}, 'next': None, 'places': {'d1': ['a', '']}}
        """
        record = {"version": self.version, "voters": self.voters, "next": self.next_voters}
        if self.places:
            record["places"] = {d: [place.zone, place.region] for d, place in self.places.items()}
        return record

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> MembershipConfiguration:
        """Decode what `to_record` made; of an unknown field nothing is kept.

        :raises KeyError: a field is missing.
        """
        places = {disk: FailureDomain(*place) for disk, place in record.get("places", {}).items()}
        return cls(record["version"], record["voters"], record["next"], places)

    # ------------------------------------------------------------ who votes

    @property
    def is_joint(self) -> bool:
        """Whether a change of members is under way."""
        return self.next_voters is not None

    @property
    def members(self) -> dict[str, str]:
        """{disk id: address} of all that have a vote, in either voter set."""
        return {**self.voters, **(self.next_voters or {})}

    @property
    def newcomers(self) -> dict[str, str]:
        """{disk id: address} of those that come in by the change under way."""
        return {d: a for d, a in (self.next_voters or {}).items() if d not in self.voters}

    def voter_sets(self, tolerance: Tolerance = NO_LOSSES) -> VoterSets:
        """The sets whose majorities make a quorum."""
        sets = [voters for voters in (self.voters, self.next_voters) if voters]
        return VoterSets.of(sets, self.places, tolerance)

    # ------------------------------------------------------------ changes

    def with_places(self, places: Mapping[str, FailureDomain]) -> MembershipConfiguration:
        """With the places of its members, as far as they are known."""
        return replace(self, places={d: places[d] for d in sorted(self.members) if d in places})

    def change_begun(
        self, disks: Disks, places: Mapping[str, FailureDomain]
    ) -> MembershipConfiguration:
        """The joint configuration that leads to these disks; the same configuration if nothing is
        to be done, or another change is under way."""
        if self.is_joint:
            return self
        known_places = {**self.places, **places}
        following = MembershipConfiguration(self.version + 1, self.voters)
        if self.voters != disks:
            return replace(following, next_voters=disks).with_places(known_places)
        following = following.with_places(known_places)
        return following if following.places != self.places else self

    def change_ended(self) -> MembershipConfiguration:
        """What follows a joint configuration: the new voters alone."""
        assert self.next_voters is not None
        return self.with_voters_alone(self.next_voters)

    def change_reverted(self) -> MembershipConfiguration:
        """What follows a joint configuration that is given up: the old voters alone."""
        return self.with_voters_alone(self.voters)

    def with_voters_alone(self, voters: Disks) -> MembershipConfiguration:
        """The next version, in which only these vote."""
        return MembershipConfiguration(self.version + 1, voters).with_places(self.places)
