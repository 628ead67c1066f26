"""Ballot numbers (Paxos proposal numbers): totally ordered, and never shared by two proposers."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """A ballot number, ordered by round and then by the proposer's name.

    The serializer encodes plain tuples only: convert a ballot with `tuple(ballot)` before it is
    sent or stored, and build it with `Ballot(*received)` after it is received.

    >>> Ballot(2, "a") > Ballot(1, "z") > ZERO_BALLOT
    True
    """

    round: int
    proposer: str  # unique to one incarnation of one process


ZERO_BALLOT = Ballot(0, "")  # lower than every proposer's ballot: nothing was promised or accepted
