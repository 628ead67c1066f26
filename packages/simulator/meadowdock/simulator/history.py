"""What callers, endpoints and operators saw. Written by stand-ins, never by the code under test."""

from __future__ import annotations

import json
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
    path: str = ""
    status: int = 0  # of the HTTP response; 0: none came

    def heard(self, status, headers, body):
        """A proxy's answer came whole."""
        self.status = status
        lines = {name.lower(): value for name, value in headers}
        self.verdict = lines[b"md-verdict"].decode()
        self.body = json.loads(body) if body else None
        self.code = str(status) if self.verdict == "ran" else self.body["code"]
        self.version = int(lines[b"md-version"]) if b"md-version" in lines else None
        self.cut_off = b"md-cut-off" in lines

    def broke(self, sent):
        """The connection to the proxy broke: an honest caller's own verdict."""
        self.verdict, self.code = "may-have-run" if sent else "not-run", "proxy_lost"


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
    sendings: list = field(default_factory=list)  # (at, "spill" or "endpoint", call's id)
    # host -> [[from, to]]: when the run itself kept a proxy from a majority of the core, or down
    away: dict = field(default_factory=dict)
    stops: list = field(default_factory=list)  # (host, asked at, over at) of planned stops
    broken: list = field(default_factory=list)  # (mark, status) of manifests that must be refused
    unrepaired: list = field(
        default_factory=list
    )  # members whose disk was lost, not back by REPAIR
    trail: list | None = None  # what is wrong with the audit trail at the end; None: never read
    calm_from: int = 0  # no fault after this
    end: int = 0
