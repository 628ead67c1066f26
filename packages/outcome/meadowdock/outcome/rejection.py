"""Rejections: the mesh's responses to requests for which it has no endpoint's response.

REJECTION_CODES alone assigns HTTP statuses and verdicts to the codes; docs/calls.md lists it. Codes
and bodies are part of the wire format.

>>> busy = rejection("busy")
>>> busy.status, busy.verdict.value, busy.retry_after_us
(503, 'not-run', 1000000)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from meadowdock.outcome.verdict import MAY_HAVE_RUN, NOT_RUN, Verdict

SECOND = 1_000_000  # microseconds


@dataclass(frozen=True)
class RejectionCode:
    """The properties of a rejection code.

    retry_after_us: microseconds after which a retry makes sense; 0 if the response advises none.
    meaning: the detail that is sent if the rejection has none of its own.
    """

    status: int
    verdict: Verdict
    retry_after_us: int
    meaning: str


@dataclass(frozen=True)
class Rejection:
    """The outcome of a request that is answered without an endpoint's response.

    Invariant: a rejection with the verdict NOT_RUN is made only while no byte of the request has
    reached an endpoint.
    """

    code: str
    status: int
    verdict: Verdict
    detail: str = ""
    retry_after_us: int = 0

    def body(self) -> dict[str, str | int]:
        """Return the JSON body of the response."""
        fields: dict[str, str | int] = {
            "code": self.code,
            "verdict": self.verdict.value,
            "detail": self.detail,
        }
        if self.retry_after_us:
            fields["retry_after_us"] = self.retry_after_us
        return fields


REJECTION_CODES = {
    "malformed": RejectionCode(400, NOT_RUN, 0, "the request can't be read"),
    "bad_token": RejectionCode(
        401, NOT_RUN, 0, "the caller's token isn't one of a live enrolment here"
    ),
    "way_forbidden": RejectionCode(
        403, NOT_RUN, 0, "a way leads there, but not for this caller or method"
    ),
    "way_unknown": RejectionCode(404, NOT_RUN, 0, "no way leads there"),
    "key_in_progress": RejectionCode(409, MAY_HAVE_RUN, SECOND, "the same key is being worked on"),
    "key_may_have_run": RejectionCode(
        409, MAY_HAVE_RUN, 0, "the key's call may have run; it isn't sent again"
    ),
    "key_mismatch": RejectionCode(422, NOT_RUN, 0, "the key was used with another request"),
    "too_large": RejectionCode(413, NOT_RUN, 0, "the body is over the limit"),
    "busy": RejectionCode(503, NOT_RUN, SECOND, "no room at home nor at a neighbour"),
    "home_gone": RejectionCode(
        503, NOT_RUN, SECOND, "no endpoint here, and no neighbour with room"
    ),
    "unreachable": RejectionCode(503, NOT_RUN, SECOND, "the endpoint took no connection"),
    "stopping": RejectionCode(503, NOT_RUN, SECOND, "this proxy is stopping"),
    "no_manifest": RejectionCode(503, NOT_RUN, SECOND, "no confirmed manifest here yet"),
    "due_passed": RejectionCode(504, NOT_RUN, 0, "the due passed before the call was sent"),
    "no_answer": RejectionCode(504, MAY_HAVE_RUN, 0, "sent, and no answer by the due"),
    "lost": RejectionCode(502, MAY_HAVE_RUN, 0, "sent, and the connection broke"),
    "bad_answer": RejectionCode(502, MAY_HAVE_RUN, 0, "the endpoint's answer failed its checks"),
}


def rejection(code: str, detail: str = "", **changes: Any) -> Rejection:
    """Return a rejection with a code of REJECTION_CODES; `changes` replace fields of the Rejection.

    :raises KeyError: the code is not in REJECTION_CODES.
    """
    properties = REJECTION_CODES[code]
    rejected = Rejection(
        code,
        properties.status,
        properties.verdict,
        detail or properties.meaning,
        properties.retry_after_us,
    )
    return replace(rejected, **changes) if changes else rejected
