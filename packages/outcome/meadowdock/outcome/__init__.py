"""What is known of a request: did it run?

>>> shedding("busy").status, shedding("busy").verdict.value, shedding("busy").retry_after_us
(503, 'not-run', 1000000)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Any


class Verdict(Enum):
    """Whether a request ran."""

    NOT_RUN = "not-run"  # no byte of the request reached an endpoint, nor will one
    MAY_HAVE_RUN = "may-have-run"  # nobody can tell
    RAN = "ran"  # an endpoint's whole and checked answer is at hand


NOT_RUN, MAY_HAVE_RUN, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN


@dataclass(frozen=True)
class Shedding:
    """A request that gets no answer of an endpoint: why, and what that means for its caller."""

    # Invariant: a NOT_RUN shedding is only made while no byte has reached an endpoint.
    code: str
    status: int
    verdict: Verdict
    detail: str = ""
    retry_after_us: int = 0

    def body(self) -> dict[str, str | int]:
        """The body of the refusal, as JSON."""
        return {
            "code": self.code,
            "verdict": self.verdict.value,
            "detail": self.detail,
            **({"retry_after_us": self.retry_after_us} if self.retry_after_us else {}),
        }


SECOND = 1_000_000

# code: (HTTP status, verdict, come back after, meaning)
TABLE = {
    "malformed": (400, NOT_RUN, 0, "the request can't be read"),
    "bad_token": (401, NOT_RUN, 0, "the caller's token isn't one of a live enrolment here"),
    "way_forbidden": (403, NOT_RUN, 0, "a way leads there, but not for this caller or method"),
    "way_unknown": (404, NOT_RUN, 0, "no way leads there"),
    "key_in_progress": (409, MAY_HAVE_RUN, SECOND, "the same key is being worked on"),
    "key_may_have_run": (409, MAY_HAVE_RUN, 0, "the key's call may have run; it isn't sent again"),
    "key_mismatch": (422, NOT_RUN, 0, "the key was used with another request"),
    "too_large": (413, NOT_RUN, 0, "the body is over the limit"),
    "busy": (503, NOT_RUN, SECOND, "no room at home nor at a neighbour"),
    "home_gone": (503, NOT_RUN, SECOND, "no endpoint here, and no neighbour with room"),
    "unreachable": (503, NOT_RUN, SECOND, "the endpoint took no connection"),
    "stopping": (503, NOT_RUN, SECOND, "this proxy is stopping"),
    "no_manifest": (503, NOT_RUN, SECOND, "no confirmed manifest here yet"),
    "due_passed": (504, NOT_RUN, 0, "the due passed before the call was sent"),
    "no_answer": (504, MAY_HAVE_RUN, 0, "sent, and no answer by the due"),
    "lost": (502, MAY_HAVE_RUN, 0, "sent, and the connection broke"),
    "bad_answer": (502, MAY_HAVE_RUN, 0, "the endpoint's answer failed its checks"),
}


def shedding(code: str, detail: str = "", **changes: Any) -> Shedding:
    """The shedding of a code of the table; changes replace its fields."""
    status, verdict, retry_after_us, meaning = TABLE[code]
    made = Shedding(code, status, verdict, detail or meaning, retry_after_us)
    return replace(made, **changes) if changes else made
