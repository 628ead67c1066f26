"""Faults planted in the consensus code, which a checker has to find."""

from __future__ import annotations

import meadowdock.config_store.membership_change
import meadowdock.config_store.store
import meadowdock.config_store.transfer
from meadowdock.consensus import NO_LOSSES, VoterSets


def plant_new_voters_alone(monkeypatch):
    """Planted: while members change, a quorum is one of the new voters."""

    def new_voters_alone(record, tolerance=NO_LOSSES):
        sets = [record["next"] or record["voters"]] if record else []
        return VoterSets.of(sets, tolerance=tolerance)

    for module in (
        meadowdock.config_store.store,
        meadowdock.config_store.transfer,
        meadowdock.config_store.membership_change,
    ):
        monkeypatch.setattr(module, "voter_sets_of", new_voters_alone)
