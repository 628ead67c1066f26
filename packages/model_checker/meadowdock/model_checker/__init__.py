"""Model checking of the register with its membership, over the real acceptor and proposer code."""

from meadowdock.model_checker.explorer import Explorer, Report
from meadowdock.model_checker.linearizability import (
    NEVER,
    RecordedCall,
    SequentialModel,
    linearizable,
    unexplained_keys,
)
from meadowdock.model_checker.messages import Breach, Choice, Ending, Outcome
from meadowdock.model_checker.operations import Append, MoveMembers, Read
from meadowdock.model_checker.process import Implementation, ModelMembers
from meadowdock.model_checker.state import Scenario

__all__ = [
    "NEVER",
    "Append",
    "Breach",
    "Choice",
    "Ending",
    "Explorer",
    "Implementation",
    "ModelMembers",
    "MoveMembers",
    "Outcome",
    "Read",
    "RecordedCall",
    "Report",
    "Scenario",
    "SequentialModel",
    "linearizable",
    "unexplained_keys",
]
