"""A call: one request on its way through this proxy, and its outcome."""

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
    """An endpoint's response. Invariant: it is complete and passed the checks."""

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
    version: int  # of the configuration that the route is of
    deadline: int
    idempotency_key: str | None = None
    lookup_only: bool = False  # the key may have been sent before, elsewhere: only looked up
    cut_off: bool = False  # the config stores were out of reach when the route was chosen
    arrived_here: bool = True
    incarnation: str | None = None  # of the endpoint that the forwarding peer believes to be here
    started: bool = False
    disconnected: bool = False  # the caller has closed its connection
    outcome: Outcome | None = None
    may_have_run: bool = False  # the fate of some attempt is unknown
    excluded_peers: set[str] = field(default_factory=set)  # that rejected it, or failed
    sends: int = 0  # to peers and endpoints
    endpoint_sends: int = 0  # those that an endpoint may have seen
    waits: int = 0  # in the queue for a slot
    peer_attempts: int = 0
    endpoint_attempts: int = 0
    endpoint: Endpoint | None = None  # whose slot it holds
    target: NodeLoad | None = None  # the peer that it was last forwarded to
    cancel_scope: trio.CancelScope | None = None  # ended by the deadline or an abort only
    next_step: Step | None = None

    @property
    def request_target(self) -> str:
        """Path and query, as they go to the endpoint."""
        return self.path + ("?" + self.query if self.query else "")

    def reject(self, code: str, detail: str = "") -> None:
        """Set the outcome. Once an attempt may have run, no rejection may claim not-run."""
        rejected = rejection(code, detail)
        if self.may_have_run and rejected.verdict is NOT_RUN:
            rejected = rejection("lost", f"an earlier try may have run; then {code}")
        self.outcome = rejected

    def verdict(self) -> Verdict:
        """Whether it ran, as far as is known now."""
        if self.outcome is not None:
            return self.outcome.verdict
        sent = self.started or self.may_have_run or self.target is not None
        return MAY_HAVE_RUN if sent else NOT_RUN
