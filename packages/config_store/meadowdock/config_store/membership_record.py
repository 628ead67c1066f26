"""The members' record: the configuration that the register is voted on by, with its version.

{"version": n, "voters": {disk id: address}, "next": the same or None, "places": {disk id: [zone,
region]}}. While next is set the members change: a quorum is a majority of voters and one of next.
Records of former versions have no places. All functions here are pure.
"""

from __future__ import annotations

from meadowdock.consensus import NO_LOSSES, FailureDomain, VoterSets


def voter_sets_of(record, tolerance=NO_LOSSES):
    """The VoterSets of a members' record, or of none."""
    if record is None:
        return VoterSets(tolerance=tolerance)
    sets = [voters for voters in (record["voters"], record["next"]) if voters]
    return VoterSets.of(sets, places_of(record), tolerance)


def places_of(record):
    """{disk id: FailureDomain}, of those that are known."""
    return {disk: FailureDomain(*place) for disk, place in record.get("places", {}).items()}


def with_places(record, places):
    """The record with the places of its members, as far as they are known."""
    members = {**record["voters"], **(record["next"] or {})}
    kept = {d: [places[d].zone, places[d].region] for d in sorted(members) if d in places}
    return {**record, "places": kept} if kept else record


def begun_change(record, disks, places):
    """The record that begins the change to these disks ({disk id: address}); the same record if
    there is nothing to do or another change is under way."""
    if record["next"] is not None:
        return record
    places = places_of(record) | places
    newer = {"version": record["version"] + 1, "voters": record["voters"], "next": None}
    if record["voters"] != disks:
        return with_places({**newer, "next": disks}, places)
    newer = with_places(newer, places)
    return newer if newer.get("places") != record.get("places") else record


def ended_change(record):
    """The record that ends the change under way: the new voters alone."""
    newer = {"version": record["version"] + 1, "voters": record["next"], "next": None}
    return with_places(newer, places_of(record))


def reverted_change(record):
    """The record that takes the change under way back: the former voters alone."""
    newer = {"version": record["version"] + 1, "voters": record["voters"], "next": None}
    return with_places(newer, places_of(record))


def newcomers_of(record):
    """{disk id: address} of who comes in by the change under way."""
    return {d: a for d, a in (record["next"] or {}).items() if d not in record["voters"]}
