"""Bugs that tests inject into the consensus code; a checker has to find them."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.consensus import NO_LOSSES, VoterSets


def plant_new_voters_alone(monkeypatch):
    """Inject a bug: during a membership change, a majority of the new voters alone is a quorum."""

    def new_voters_alone(membership, tolerance=NO_LOSSES):
        return VoterSets.from_sets(
            [membership.next_voters or membership.voters], tolerance=tolerance
        )

    monkeypatch.setattr(MembershipConfiguration, "voter_sets", new_voters_alone)
