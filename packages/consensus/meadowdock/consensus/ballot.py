"""Ballot numbers (proposal numbers of Paxos): a total order in which no two proposers share one."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """Ordered by round, then by the proposer's name.

    The serializer takes plain tuples only, so a ballot that is sent or stored is converted by
    `tuple(ballot)`, and one that is received by `Ballot(*received)`.

    >>> Ballot(2, "a") > Ballot(1, "z") > ZERO_BALLOT
    True
    """

    round: int
    proposer: str  # unique to one incarnation of one process


ZERO_BALLOT = Ballot(0, "")  # below every ballot of a proposer: nothing promised, nothing accepted
