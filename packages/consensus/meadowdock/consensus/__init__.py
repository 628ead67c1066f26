"""A replicated key-value register (CASPaxos), with each value stored on a majority of the disks.

There is no log and no leader. Each change of a key prepares a ballot at a quorum of acceptors,
takes the highest accepted value from their promises, and writes the new value to a durable quorum
under the same ballot.
"""

from meadowdock.consensus.acceptor import Acceptor, AcceptorState
from meadowdock.consensus.ballot import ZERO_BALLOT, Ballot
from meadowdock.consensus.concurrency import run_for_each
from meadowdock.consensus.exceptions import (
    ConsensusError,
    KeyStateLost,
    NoQuorum,
    OutcomeUnknown,
)
from meadowdock.consensus.messages import PrepareRequest, ReadRequest, WriteRequest
from meadowdock.consensus.proposer import BallotConfiguration, Proposer
from meadowdock.consensus.quorum import (
    NO_LOSSES,
    FailureDomain,
    Tolerance,
    VoterSets,
    is_majority_of_each,
)

__all__ = [
    "Acceptor",
    "AcceptorState",
    "Ballot",
    "BallotConfiguration",
    "ConsensusError",
    "FailureDomain",
    "KeyStateLost",
    "NO_LOSSES",
    "NoQuorum",
    "OutcomeUnknown",
    "PrepareRequest",
    "Proposer",
    "ReadRequest",
    "Tolerance",
    "VoterSets",
    "WriteRequest",
    "ZERO_BALLOT",
    "is_majority_of_each",
    "run_for_each",
]
