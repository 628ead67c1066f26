"""A model checker for the register and its membership changes, running their production code."""

from meadowdock.model_checker.explorer import Explorer, Report
from meadowdock.model_checker.linearizability import (
    NEVER,
    RecordedCall,
    SequentialModel,
    is_linearizable,
    non_linearizable_keys,
)
from meadowdock.model_checker.messages import Choice, Counterexample, Outcome, OutcomeKind
from meadowdock.model_checker.model_process import Implementation, ModelMembers
from meadowdock.model_checker.operations import Append, ChangeMembers, Read
from meadowdock.model_checker.state import Scenario

__all__ = [
    "NEVER",
    "Append",
    "ChangeMembers",
    "Choice",
    "Counterexample",
    "Explorer",
    "Implementation",
    "ModelMembers",
    "Outcome",
    "OutcomeKind",
    "Read",
    "RecordedCall",
    "Report",
    "Scenario",
    "SequentialModel",
    "is_linearizable",
    "non_linearizable_keys",
]
