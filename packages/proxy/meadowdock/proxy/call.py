"""One call's facts, and what is said of it in the end."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowdock.outcome import NOT_RUN, RAN, Rejection, rejection

HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"host",
    b"content-length",
    b"expect",
    b"accept-encoding",
    b"date",
    b"server",
}


def passed_on(headers):
    """End-to-end headers only; whatever claims one of the mesh's own names is dropped.

    >>> passed_on([(b"MD-Caller", b"x"), (b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")])
    [(b'x-b', b'2')]
    """
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for word in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP
        and name.lower() not in named
        and not name.lower().replace(b"_", b"-").startswith(b"md-")
    ]


@dataclass(frozen=True)
class EndpointResponse:
    """Invariant: whole and checked; made only from an endpoint's answer that passed its checks."""

    status: int
    headers: list
    body: bytes
    verdict = RAN


@dataclass
class Call:
    """Invariants: due never moves; started goes from False to True once and is True from before
    the first byte is handed to an endpoint's or neighbour's socket; outcome is set once; home is
    False for a call that a neighbour spilled here, which is never spilled again."""

    id: str
    caller: str
    method: str
    path: str
    query: str
    headers: list
    body: bytes
    route: object
    version: int
    due: int
    key: str | None = None
    repeat: bool = False  # the key may have been sent before, elsewhere: it is only looked up
    cut_off: bool = False  # the proxy could not reach the core when it decided
    home: bool = True
    incarnation: str | None = None  # what the neighbour's list told, for spilled calls
    started: bool = False
    hung_up: bool = False
    outcome: EndpointResponse | Rejection | None = None
    may_have_run: bool = False  # some try's fate is unknown
    tried: set = field(default_factory=set)  # neighbours that refused, or broke
    sends: int = 0  # to neighbours and endpoints
    reached: int = 0  # sends that may have come to an endpoint
    waits: int = 0
    spills: int = 0
    endpoint_tries: int = 0
    endpoint: object = None  # whose slot is held
    target: object = None
    guard: object = None  # the scope that only the due, or a hurried stop, ends
    step: object = None  # the continuation: what comes next

    @property
    def target_path(self):
        return self.path + ("?" + self.query if self.query else "")

    def shed(self, code, detail="", **changes):
        """The final word. Once a try may have run, no rejection may claim not-run."""
        made = rejection(code, detail, **changes)
        if self.may_have_run and made.verdict is NOT_RUN:
            made = rejection("lost", f"an earlier try may have run; then {code}")
        self.outcome = made
