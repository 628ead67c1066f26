"""A register of keys, kept on a majority of disks: prepare, then write, by ballots.

No log and no leader: each change of a key reads the highest accepted value from a majority that
promised its ballot, and writes the new value to a durable quorum under the same ballot.
"""

from meadowdock.consensus.acceptor import Acceptor, KeyStateLost, for_each
from meadowdock.consensus.proposer import NoQuorum, OutcomeUnknown, Proposer
from meadowdock.consensus.quorum import (
    NO_LOSSES,
    FailureDomain,
    Tolerance,
    VoterSets,
    holds_majorities,
)

__all__ = [
    "Acceptor",
    "KeyStateLost",
    "NO_LOSSES",
    "NoQuorum",
    "OutcomeUnknown",
    "FailureDomain",
    "Proposer",
    "Tolerance",
    "VoterSets",
    "for_each",
    "holds_majorities",
]
