"""Why a request was rejected, or why its outcome is unknown. The values are sent to callers and to
peers, and counted in the status; docs/platform.md lists them."""

from __future__ import annotations

# of a rejection: it did not run
BUSY = "busy"  # no capacity in time
GONE = "gone"  # no endpoint
LATE = "late"  # its deadline passed first
CANCELLED = "cancelled"  # its caller left; of an unknown outcome, too
UNREACHED = "unreached"  # the endpoint took no connection
REJECTED_BY_ENDPOINT = "turned_away"  # a peer's answer: its endpoint had it and did not run it
NO_CONFIGURATION = "no_manifest"  # none is in force here yet

# of an unknown outcome: it may have run
NO_ANSWER = "no_answer"  # none by its deadline
LOST = "lost"  # the connection broke
BAD_ANSWER = "bad_answer"  # an answer that may be another request's, or says nothing certain
TOO_LARGE = "too_large"  # the answer is larger than a peer can send back
