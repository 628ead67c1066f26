"""What an endpoint's response says of the request that was sent to it. No I/O.

A response is passed on only if it is certain to be this request's. Connections are reused, so it
could also be a second response to an earlier one; and an address may have been taken by another
instance, or by a process that is no endpoint.
"""

from __future__ import annotations

from enum import Enum

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.http import HeaderLine, Response


class Verdict(Enum):
    """What is known after a response."""

    VALID = "valid"  # it is the request's
    NOT_RUN = "not run"  # the endpoint says that it did not run the request
    OTHER_INSTANCE = (
        "other instance"  # another instance has the address; it did not run the request
    )
    UNCERTAIN = "uncertain"  # the request may have run
    FOREIGN = "foreign"  # as UNCERTAIN, and nothing on the connection can be relied on


VALID, NOT_RUN, OTHER_INSTANCE = Verdict.VALID, Verdict.NOT_RUN, Verdict.OTHER_INSTANCE
UNCERTAIN, FOREIGN = Verdict.UNCERTAIN, Verdict.FOREIGN

MISDIRECTED = 421  # RFC 9110, section 15.5.20
# statuses by which a caller would believe that the request did not run, which nobody promised
SOUNDS_NOT_RUN = (408, 429, 503)


class ResponseCheck:
    """Judges responses, and rewrites their header lines for callers.

    :param dialect: the names of the headers by which a response proves itself
    """

    __slots__ = ("call_id", "call_id_name", "stamp", "stamp_name", "not_run_name", "names")

    def __init__(self, dialect: Dialect) -> None:
        self.call_id, self.call_id_name = dialect.call_id, dialect.call_id.lower()
        self.stamp, self.stamp_name = dialect.stamp, dialect.stamp.lower()
        self.not_run_name = dialect.not_run.lower()
        self.names = dialect.names

    def verdict(self, response: Response, call_id: bytes, first_on_connection: bool) -> Verdict:
        """Whether a response is that of a request.

        :param call_id: the request's
        :param first_on_connection: no other request was sent on the connection before
        """
        facts, status = response.facts, response.status
        response_id = facts.get(self.call_id_name)
        if response_id is not None and response_id != call_id:
            return FOREIGN
        if response_id is None and not first_on_connection:
            return FOREIGN  # it may be the second response to an earlier request
        if status == MISDIRECTED:
            return OTHER_INSTANCE
        if self.not_run_name in facts:
            return NOT_RUN
        if response_id is None:
            return FOREIGN
        if status < 300 and self.stamp_name and self.stamp_name not in facts:
            return FOREIGN
        if status in SOUNDS_NOT_RUN:
            return UNCERTAIN
        if any(name.lower() == b"content-encoding" for name, _ in response.lines):
            return UNCERTAIN
        return VALID

    def lines_for_caller(self, response: Response, call_id: bytes) -> list[HeaderLine]:
        """The header lines that a caller gets: the proofs first, then the endpoint's own."""
        stamp = response.facts.get(self.stamp_name)
        proofs = [(self.call_id, call_id)]
        if stamp is not None:
            proofs.append((self.stamp, stamp))
        names = self.names
        return proofs + [line for line in response.lines if line[0].lower() not in names]


def reported_load(value: bytes | None) -> float | None:
    """The load that an endpoint reports as "running,waiting,slots": 0 to 1, or None if the header
    is missing or unreadable.

    >>> reported_load(b"3,1,16"), reported_load(b"20,9,16"), reported_load(b"1,2"), reported_load(None)
    (0.25, 1.0, None, None)
    """
    if value is None:
        return None
    try:
        running, waiting, slots = (int(number) for number in value.split(b","))
    except ValueError:
        return None
    return min(1.0, (running + waiting) / slots) if slots > 0 else None
