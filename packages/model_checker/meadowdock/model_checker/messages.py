"""Messages, choices and outcomes of an exploration: frozen, so that states can be hashed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple


class Message(NamedTuple):
    """A request on its way to a replica, or, once answer is set, its answer on the way back."""

    actor: int
    round: int  # of the actor: all requests that it sent before it waited
    replica: str
    method: str
    args: bytes
    answer: bytes | None = None
    orphan: bool = False  # the actor counts it as failed already
    deferred: bool = False  # stays in flight until it is chosen explicitly


class EventKind(Enum):
    """What happened to a request, or to the whole operation."""

    ANSWERED = "answered"
    FAILED = "failed"
    EXPIRED = "expired"


class Event(NamedTuple):
    """What an actor learns from outside. round and replica name the request, unless it expired."""

    kind: EventKind
    round: int = 0
    replica: str = ""
    answer: bytes = b""


class Ending(Enum):
    """What an operation learned about its effect."""

    ACKNOWLEDGED = "acknowledged"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """How an actor's operation ended. value is the register's value that it observed."""

    ending: Ending
    value: tuple[Any, ...] = ()


class Action(Enum):
    """What a step of a schedule does."""

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
    """One step of a schedule. index: of the message, or of the actor."""

    action: Action
    index: int = -1
    replica: str = ""


@dataclass(frozen=True)
class Breach:
    """A broken invariant, with the schedule that led to it."""

    invariant: str
    detail: str
    schedule: tuple[Choice, ...] = ()
