"""Remote procedure calls that complete only when the explorer resolves them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import ormsgpack
import trio

from meadowdock.model_checker.messages import Event, EventKind
from meadowdock.model_checker.model_process import pack
from meadowdock.rpc import ConnectionFailed, Rejected


class SentRequest(NamedTuple):
    """A request that an actor sent."""

    replica: str
    method: str
    args: bytes


@dataclass
class PendingRequest:
    """A request that waits to be resolved; if it is resolved without an answer, it was lost."""

    resolved: trio.Event = field(default_factory=trio.Event)
    answer: bytes | None = None


class ControlledRpc:
    """A substitute for the connection pool of a process.

    Invariant: pending contains the requests of all rounds by (round, replica); unassigned contains
    the requests that belong to no round yet.
    """

    def __init__(self) -> None:
        self.pending: dict[tuple[int, str], PendingRequest] = {}
        self.unassigned: list[tuple[SentRequest, PendingRequest]] = []

    async def call(self, address: str, method: str, args: object, deadline: int) -> Any:
        """Make a call as by ConnectionPool.call, and wait until the explorer resolves it."""
        pending = PendingRequest()
        self.unassigned.append((SentRequest(address, method, pack(args)), pending))
        await pending.resolved.wait()
        if pending.answer is None:
            raise ConnectionFailed(True, "lost")
        verdict, *content = ormsgpack.unpackb(pending.answer)
        if verdict == "rejected":
            code, details = content
            raise Rejected(code, **details)
        return content[0]

    def close_round(self, round_number: int) -> tuple[SentRequest, ...]:
        """Assign the requests sent since the previous call to a round, and return them."""
        round_requests = sorted(self.unassigned, key=lambda pair: pair[0])
        for request, pending in round_requests:
            if (round_number, request.replica) in self.pending:
                raise AssertionError(
                    f"two requests to replica {request.replica} in round {round_number}"
                )
            self.pending[round_number, request.replica] = pending
        self.unassigned = []
        return tuple(request for request, _ in round_requests)

    def resolve(self, event: Event) -> None:
        """Complete the call that an event is about, with its answer or as lost."""
        pending = self.pending[event.round, event.replica]
        if event.kind is EventKind.ANSWERED:
            pending.answer = event.answer
        pending.resolved.set()
