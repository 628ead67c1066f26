"""The names by which calls carry what the mesh has to know, beside the calls' own headers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True)
class Dialect:
    """Header names as bytes; compared without regard to case, sent as written here.

    call_id: a try's id, sent back by the endpoint. deadline: the time left, a whole number of
    deadline_unit_us. stamp: what proves an endpoint's answer (b"": no such proof). instance: the
    life of the endpoint that may run the call; others refuse it. told_instance: the life of the
    endpoint that gives a health answer. load: "running,waiting,slots" on
    answers. not_run: its presence in an endpoint's answer says that the call didn't run. caller:
    the calling service. error_field: where our own refusals' JSON bodies say what is wrong.
    """

    call_id: bytes = b"md-call"
    deadline: bytes = b"md-due"
    deadline_unit_us: int = 1
    stamp: bytes = b""
    instance: bytes = b"md-incarnation"
    told_instance: bytes = b"md-incarnation"
    load: bytes = b"md-load"
    not_run: bytes = b"md-not-run"
    caller: bytes = b"md-caller"
    error_field: str = "detail"

    @cached_property
    def names(self):
        """All of them in lower case: what is kept apart from a call's own headers.

        >>> b"md-call" in Dialect().names, b"" in Dialect().names
        (True, False)
        """
        words = (
            self.call_id,
            self.deadline,
            self.stamp,
            self.instance,
            self.load,
            self.not_run,
            self.caller,
        )
        return frozenset(word.lower() for word in words if word)
