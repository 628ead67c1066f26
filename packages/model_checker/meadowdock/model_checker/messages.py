"""Messages, choices and outcomes of an exploration; all are immutable, so they can be hashed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple


class Message(NamedTuple):
    """A request in flight to a replica or, once `answer` is set, its answer in flight back."""

    actor: int
    round: int  # of the actor: a round is all requests that it sends before it waits
    replica: str
    method: str
    args: bytes
    answer: bytes | None = None
    orphan: bool = False  # the actor already considers the request failed
    deferred: bool = False  # stays in flight until a choice delivers it explicitly


class EventKind(Enum):
    """What happened to a request or to its operation."""

    ANSWERED = "answered"
    FAILED = "failed"
    EXPIRED = "expired"


class Event(NamedTuple):
    """An input of an actor; round and replica identify the request, unless the kind is EXPIRED."""

    kind: EventKind
    round: int = 0
    replica: str = ""
    answer: bytes = b""


class OutcomeKind(Enum):
    """What an operation knows about its effect when it has ended."""

    ACKNOWLEDGED = "acknowledged"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """How an operation ended."""

    kind: OutcomeKind
    value: tuple[Any, ...] = ()  # the value of the register that the operation observed


class Action(Enum):
    """The effect of one step of a schedule."""

    DELIVER = "deliver request and answer"
    REQUEST = "deliver request, its answer comes after the round"
    ANSWER = "deliver late answer"
    FAIL = "fail"
    DEFER = "defer"
    EXPIRE = "expire"
    CRASH = "crash and restart"
    LOSE_DISK = "lose disk"
    RUN = "run actor"


@dataclass(frozen=True)
class Choice:
    """One step of a schedule."""

    action: Action
    index: int = -1  # of the message or, for EXPIRE and RUN, of the actor
    replica: str = ""  # for CRASH and LOSE_DISK


@dataclass(frozen=True)
class Counterexample:
    """A violated invariant, with a schedule that leads to the violation."""

    invariant: str
    detail: str
    schedule: tuple[Choice, ...] = ()
