"""Checks whether an endpoint's response belongs to the request that was sent to it. No I/O.

A response is forwarded only if it certainly belongs to the request. Connections are reused, so it
could also be a duplicate response to an earlier request. The address of the endpoint may also have
been taken over by another instance, or by a process that is not an endpoint.
"""

from __future__ import annotations

from enum import Enum

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.http import HeaderLine
from meadowdock.forwarding.response_parser import Response


class Verdict(Enum):
    """The result of the check."""

    VALID = "valid"  # the response belongs to the request
    NOT_RUN = "not run"  # the endpoint did not run the request and says so
    OTHER_INSTANCE = "other instance"  # the address belongs to another; the request did not run
    UNCERTAIN = "uncertain"  # the request may have run
    FOREIGN = "foreign"  # as UNCERTAIN, and the connection can't be trusted any more


VALID, NOT_RUN, OTHER_INSTANCE = Verdict.VALID, Verdict.NOT_RUN, Verdict.OTHER_INSTANCE
UNCERTAIN, FOREIGN = Verdict.UNCERTAIN, Verdict.FOREIGN

MISDIRECTED = 421  # RFC 9110, section 15.5.20
# A caller would conclude from these statuses that the request did not run, which is not certain.
SOUNDS_NOT_RUN = (408, 429, 503)


class ResponseCheck:
    """Checks responses and rewrites their header lines for callers.

    :param dialect: the names of the headers that identify and authenticate a response
    """

    __slots__ = (
        "call_id",
        "call_id_name",
        "stamp",
        "stamp_name",
        "not_run_name",
        "mesh_header_names",
    )

    def __init__(self, dialect: Dialect) -> None:
        self.call_id, self.call_id_name = dialect.call_id, dialect.call_id.lower()
        self.stamp, self.stamp_name = dialect.stamp, dialect.stamp.lower()
        self.not_run_name = dialect.not_run.lower()
        self.mesh_header_names = dialect.header_names

    def verdict(self, response: Response, call_id: bytes, first_on_connection: bool) -> Verdict:
        """Return whether a response belongs to a request, and whether the request ran.

        :param call_id: the call id of the request
        :param first_on_connection: the request is the first one on its connection
        """
        headers, status = response.mesh_headers, response.status
        response_id = headers.get(self.call_id_name)
        if response_id is not None and response_id != call_id:
            return FOREIGN
        if response_id is None and not first_on_connection:
            return FOREIGN  # it may be a duplicate response to an earlier request
        if status == MISDIRECTED:
            return OTHER_INSTANCE
        if self.not_run_name in headers:
            return NOT_RUN
        if response_id is None:
            return FOREIGN
        if status < 300 and self.stamp_name and self.stamp_name not in headers:
            return FOREIGN
        if status in SOUNDS_NOT_RUN:
            return UNCERTAIN
        if any(name.lower() == b"content-encoding" for name, _ in response.lines):
            return UNCERTAIN
        return VALID

    def lines_for_caller(self, response: Response, call_id: bytes) -> list[HeaderLine]:
        """Return the header lines for the caller: call id and stamp, then the endpoint's own."""
        stamp = response.mesh_headers.get(self.stamp_name)
        proofs = [(self.call_id, call_id)]
        if stamp is not None:
            proofs.append((self.stamp, stamp))
        mesh_header_names = self.mesh_header_names
        return proofs + [
            line for line in response.lines if line[0].lower() not in mesh_header_names
        ]


def reported_load(value: bytes | None) -> float | None:
    """Return the load in 0..1 that an endpoint reports as "running,waiting,slots".

    Return None if the header is missing or malformed.

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
