"""What callers, endpoints and operators saw. Written by stand-ins, never by the code under test."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Asked:
    """One call, as its caller saw it. Invariant: uid is part of the path and unique in a run."""

    uid: str
    host: str
    kind: str  # the first segment of the path
    caller: str  # the name that is true
    sent: int
    answered: int = 0
    verdict: str = "may-have-run"
    code: str = "hung"
    body: object = None
    version: int | None = None
    cut_off: bool = False


@dataclass
class Ran:
    """One execution, as the endpoint saw it."""

    uid: str
    kind: str
    caller: str
    at: int
    service: str
    address: str
    endpoint: str  # its incarnation


@dataclass
class Operated:
    """One operator's act: "confirm" or "read"."""

    act: str
    start: int
    end: int
    outcome: str  # "ok", "refused", "unclear"
    version: int = 0
    mark: str = ""  # tells one manifest from all others
    base: int = 0


@dataclass
class History:
    asked: list = field(default_factory=list)
    ran: list = field(default_factory=list)
    operated: list = field(default_factory=list)
    drains: dict = field(default_factory=dict)  # endpoint's incarnation -> when its proxy said yes
    calm_from: int = 0  # no fault after this
    end: int = 0
