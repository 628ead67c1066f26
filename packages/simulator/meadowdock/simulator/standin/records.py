"""What the stand-ins write down: runs of an endpoint, requests of a caller."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio


@dataclass
class Ran:
    """One run. Invariant: in an endpoint's journal from the moment that its work began."""

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
    answered: bytes = None  # the body of its answer
    status: int = 0


@dataclass(eq=False)
class Asked:
    """One request. Invariant: done is set with its answer, or with the end of its connection."""

    id: bytes
    method: bytes
    target: bytes
    host: bytes
    body: bytes
    service: str  # of the machine where it started
    at: int
    status: int = 0
    lines: list = None
    answer: bytes = None
    ended: object = None
    took: int = 0
    done: trio.Event = field(default_factory=trio.Event)

    def line(self, name):
        return next((v for n, v in self.lines or () if n.lower() == name.lower()), None)
