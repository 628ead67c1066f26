"""The names of the HTTP headers by which a deployment carries what the mesh has to know."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class Dialect:
    """Header names, as bytes; compared without regard to case, sent as written here."""

    call_id: bytes = b"md-call"  # of an attempt; the endpoint sends it back
    deadline: bytes = b"md-due"  # the time left, in whole units
    deadline_unit_us: int = 1  # microseconds
    stamp: bytes = b""  # proves an endpoint's response; b"": there is no such proof
    target_instance: bytes = b"md-incarnation"  # the endpoint that may run the call; others refuse
    health_instance: bytes = b"md-incarnation"  # the endpoint that answers a health check
    load: bytes = b"md-load"  # on responses: "running,waiting,slots"
    not_run: bytes = b"md-not-run"  # its presence on a response says that the call did not run
    caller: bytes = b"md-caller"  # the calling service
    error_field: str = "detail"  # of the JSON bodies of our own errors: says what is wrong

    @cached_property
    def names(self) -> frozenset[bytes]:
        """The headers of calls in lower case: what is kept apart from a call's own headers.

        >>> b"md-call" in Dialect().names, b"" in Dialect().names
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
