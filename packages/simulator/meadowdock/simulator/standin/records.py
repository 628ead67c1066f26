"""The records that the stand-ins keep: executions of an endpoint, requests of a caller."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio


@dataclass
class Execution:
    """One execution of a call.

    Invariant: it is in the endpoint's journal from the moment that its work began.
    """

    id: bytes
    method: bytes
    target: bytes
    host: bytes
    body: bytes
    caller: bytes
    lines: list
    instance: bytes
    service: str
    begun: int
    answered: bytes = None  # the body of the response
    status: int = 0


@dataclass(eq=False)
class SentRequest:
    """One request of a caller.

    Invariant: done is set with the response, or when the connection ends.
    """

    id: bytes
    method: bytes
    target: bytes
    host: bytes
    body: bytes
    service: str  # of the machine that sent it
    at: int
    status: int = 0
    lines: list = None
    answer: bytes = None
    ended: object = None
    took: int = 0
    done: trio.Event = field(default_factory=trio.Event)

    def line(self, name):
        """Return the value of a response header, or None."""
        return next((v for n, v in self.lines or () if n.lower() == name.lower()), None)
