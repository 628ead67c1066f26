"""The messages between a program and the mesh: requests to an endpoint, responses to a client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowdock.outcome import RAN, Verdict


@dataclass(frozen=True)
class EndpointRequest:
    """A request as an endpoint's handler receives it.

    caller: the name of the caller, which the proxy sets and never takes from the caller's headers.
    key: the idempotency key, if any. repeat: whether the caller may have sent this key before.
    call_id: the mesh's id of this call. due_us: the microseconds that the caller had left when the
    proxy sent the request; 0 if it set no limit. body: the JSON value.
    """

    method: str
    path: str
    query: str
    caller: str
    key: str | None
    call_id: str
    due_us: int
    body: Any
    repeat: bool = False


@dataclass(frozen=True)
class Answer:
    """An endpoint's own response.

    Invariant: it is complete, and the proxy has verified that it belongs to this call.
    """

    status: int
    body: Any
    call_id: str
    verdict: Verdict = RAN


@dataclass(frozen=True)
class Rejected:
    """The mesh has no endpoint's response; the verdict says whether the request may have run.

    retry_after_us: microseconds after which a retry makes sense; 0 if none is advised.
    """

    code: str
    verdict: Verdict
    detail: str = ""
    retry_after_us: int = 0
