"""The verdict on a request: whether it may have been executed."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Whether an endpoint executed a request. The values are sent in the md-verdict header."""

    NOT_RUN = "not-run"  # no byte of the request reached an endpoint, and none will
    MAY_HAVE_RUN = "may-have-run"  # bytes were sent, and no response proves whether it ran
    RAN = "ran"  # the endpoint's complete and verified response was received


NOT_RUN, MAY_HAVE_RUN, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN
