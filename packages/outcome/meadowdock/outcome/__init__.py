"""The outcome of a request as reported to its caller: a verdict, and the code of a rejection."""

from meadowdock.outcome.rejection import (
    REJECTION_CODES,
    SECOND,
    Rejection,
    RejectionCode,
    rejection,
)
from meadowdock.outcome.verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict

__all__ = [
    "MAY_HAVE_RUN",
    "NOT_RUN",
    "RAN",
    "REJECTION_CODES",
    "SECOND",
    "Rejection",
    "RejectionCode",
    "Verdict",
    "rejection",
]
