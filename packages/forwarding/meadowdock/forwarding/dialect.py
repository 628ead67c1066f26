"""The names of the HTTP headers that the mesh uses in a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class Dialect:
    """Header names as bytes; they are compared case-insensitively and sent as given here."""

    call_id: bytes = b"md-call"  # identifies an attempt; the endpoint returns it in its response
    deadline: bytes = b"md-due"  # the remaining time, in units of deadline_unit_us
    deadline_unit_us: int = 1
    stamp: bytes = b""  # proves that a successful response is an endpoint's; b"" if there is none
    target_instance: bytes = b"md-incarnation"  # the only instance that may run the call
    health_instance: bytes = b"md-incarnation"  # the instance that answers a health check
    load: bytes = b"md-load"  # on responses: "running,waiting,slots"
    not_run: bytes = b"md-not-run"  # present on a response if the call did not run
    caller: bytes = b"md-caller"  # the calling service
    error_field: str = "detail"  # the field of the mesh's own JSON error bodies with the reason

    @cached_property
    def header_names(self) -> frozenset[bytes]:
        """The mesh's headers, in lower case; parsers separate them from a message's other headers.

        >>> b"md-call" in Dialect().header_names, b"" in Dialect().header_names
        (True, False)
        """
        headers = (
            self.call_id,
            self.deadline,
            self.stamp,
            self.target_instance,
            self.load,
            self.not_run,
            self.caller,
        )
        return frozenset(header.lower() for header in headers if header)
