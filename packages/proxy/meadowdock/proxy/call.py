"""The state of one request while this proxy handles it, and its outcome."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from meadowdock.configuration import Route
from meadowdock.load_sharing import NodeLoad
from meadowdock.outcome import MAY_HAVE_RUN, NOT_RUN, RAN, Rejection, Verdict, rejection
from meadowdock.proxy.endpoints import Endpoint
from meadowdock.proxy.headers import Headers


@dataclass(frozen=True)
class EndpointResponse:
    """An endpoint's response.

    Invariant: it is complete and has passed the checks of endpoint_responses.
    """

    status: int
    headers: Headers
    body: bytes
    verdict = RAN


Outcome = EndpointResponse | Rejection
Step = Callable[["Call"], Awaitable["Step | None"]]


@dataclass
class Call:
    """One request, from its arrival to its outcome; times are in microseconds.

    Invariants: deadline never moves; started goes from False to True once and is True from before
    the first byte is handed to an endpoint's or peer's socket; outcome is set once; arrived_here is
    False for a call that a peer forwarded here, which is never forwarded again.
    """

    id: str
    caller: str
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    route: Route
    version: int  # of the configuration that the route was taken from
    deadline: int
    idempotency_key: str | None = None
    lookup_only: bool = False  # a repeated key: only looked up in the endpoint's record
    cut_off: bool = False  # the config stores were unreachable when the route was chosen
    arrived_here: bool = True
    incarnation: str | None = None  # of the endpoint that the forwarding peer expects here
    started: bool = False
    disconnected: bool = False  # the caller has closed its connection
    outcome: Outcome | None = None
    may_have_run: bool = False  # the outcome of at least one attempt is unknown
    excluded_peers: set[str] = field(default_factory=set)  # peers that rejected it or failed
    sends: int = 0  # attempts sent to peers and endpoints
    endpoint_sends: int = 0  # attempts that an endpoint may have received
    queue_waits: int = 0  # how often it left the slot queue without a slot
    peer_attempts: int = 0
    endpoint_attempts: int = 0
    endpoint: Endpoint | None = None  # the endpoint whose slot it holds
    target: NodeLoad | None = None  # the peer that it was last forwarded to
    cancel_scope: trio.CancelScope | None = None  # cancelled by the deadline or an abort only
    next_step: Step | None = None

    @property
    def request_target(self) -> str:
        """The request target (path and query) that the endpoint receives."""
        return self.path + ("?" + self.query if self.query else "")

    def reject(self, code: str, detail: str = "") -> None:
        """Set the outcome to a rejection.

        Once an attempt may have run, a rejection whose verdict is not-run is replaced by "lost".
        """
        rejected = rejection(code, detail)
        if self.may_have_run and rejected.verdict is NOT_RUN:
            rejected = rejection("lost", f"an earlier try may have run; then {code}")
        self.outcome = rejected

    def verdict(self) -> Verdict:
        """Return whether the call ran, as far as is known now."""
        if self.outcome is not None:
            return self.outcome.verdict
        sent = self.started or self.may_have_run or self.target is not None
        return MAY_HAVE_RUN if sent else NOT_RUN
