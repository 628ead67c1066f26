"""What callers, endpoints and operators observed during a run.

All of it is recorded by the stand-ins, never by the code under test.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field


@dataclass
class Asked:
    """One call, as its caller saw it.

    Invariant: uid is part of the path. It is unique in a run but for repeats of a call by its key.
    """

    uid: str
    host: str
    kind: str  # the first segment of the path
    caller: str  # the true name of the caller
    sent: int
    answered: int = 0
    verdict: str = "may-have-run"
    code: str = "hung"
    body: object = None
    version: int | None = None
    cut_off: bool = False
    path: str = ""
    status: int = 0  # of the HTTP response; 0: none was received

    def heard(self, status, headers, body):
        """Record a complete response of the proxy."""
        self.status = status
        values = {name.lower(): value for name, value in headers}
        self.verdict = values[b"md-verdict"].decode()
        self.body = json.loads(body) if body else None
        self.code = str(status) if self.verdict == "ran" else self.body["code"]
        self.version = int(values[b"md-version"]) if b"md-version" in values else None
        self.cut_off = b"md-cut-off" in values

    def broke(self, sent):
        """Record that the connection to the proxy broke, with the verdict that the caller infers."""
        self.verdict, self.code = "may-have-run" if sent else "not-run", "proxy_lost"


@dataclass
class Execution:
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
    """One operation of an operator: a "confirm" or a "read"."""

    act: str
    start: int
    end: int
    outcome: str  # "ok", "refused", "unclear"
    version: int = 0
    mark: str = ""  # identifies the manifest
    base: int = 0


@dataclass
class History:
    """All records of one run."""

    asked: list = field(default_factory=list)
    ran: list = field(default_factory=list)
    operated: list = field(default_factory=list)
    # endpoint's incarnation -> when its proxy acknowledged that it drains
    drains: dict = field(default_factory=dict)
    sendings: list = field(default_factory=list)  # (time, "spill" or "endpoint", call's id)
    # host -> [[from, to]]: when the run itself cut a proxy off from a majority of the core, or when
    # the proxy was down
    away: dict = field(default_factory=dict)
    stops: list = field(default_factory=list)  # (host, begun, ended) of planned stops
    broken: list = field(default_factory=list)  # (mark, status) of manifests that must be refused
    # members that did not vote again within the repair time after their disk was lost or corrupted
    unrepaired: list = field(default_factory=list)
    trail: list | None = None  # defects of the audit trail at the end; None: it was not read
    calm_from: int = 0  # when the last fault ended
    end: int = 0
