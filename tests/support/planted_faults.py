"""Faults planted in the consensus code, which a checker has to find."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.consensus import NO_LOSSES, VoterSets


def plant_new_voters_alone(monkeypatch):
    """Planted: while members change, a quorum is one of the new voters."""

    def new_voters_alone(membership, tolerance=NO_LOSSES):
        return VoterSets.from_sets(
            [membership.next_voters or membership.voters], tolerance=tolerance
        )

    monkeypatch.setattr(MembershipConfiguration, "voter_sets", new_voters_alone)
