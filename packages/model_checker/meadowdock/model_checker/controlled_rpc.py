"""Remote calls whose answers come when the explorer says so."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import ormsgpack
import trio

from meadowdock.model_checker.messages import Event, EventKind
from meadowdock.model_checker.process import packed
from meadowdock.rpc import ConnectionFailed, Rejected


class SentRequest(NamedTuple):
    """A request as its actor sent it."""

    replica: str
    method: str
    args: bytes


@dataclass
class PendingRequest:
    """A request that waits to be resolved; without an answer, once resolved, it was lost."""

    resolved: trio.Event = field(default_factory=trio.Event)
    answer: bytes | None = None


class ControlledRpc:
    """Stands for the connection pool of a process.

    Invariant: pending holds every request by (round, replica); unassigned holds those that belong
    to no round yet."""

    def __init__(self) -> None:
        self.pending: dict[tuple[int, str], PendingRequest] = {}
        self.unassigned: list[tuple[SentRequest, PendingRequest]] = []

    async def call(self, address: str, method: str, args: object, deadline: int) -> Any:
        """As ConnectionPool.call; waits until the explorer resolves it."""
        pending = PendingRequest()
        self.unassigned.append((SentRequest(address, method, packed(args)), pending))
        await pending.resolved.wait()
        if pending.answer is None:
            raise ConnectionFailed(True, "lost")
        verdict, *content = ormsgpack.unpackb(pending.answer)
        if verdict == "rejected":
            code, facts = content
            raise Rejected(code, **facts)
        return content[0]

    def close_round(self, number: int) -> tuple[SentRequest, ...]:
        """The requests sent since the last call, which are those of this round."""
        sent = sorted(self.unassigned, key=lambda pair: pair[0])
        for request, pending in sent:
            if (number, request.replica) in self.pending:
                raise AssertionError(f"two requests to {request.replica} in one round")
            self.pending[number, request.replica] = pending
        self.unassigned = []
        return tuple(request for request, _ in sent)

    def resolve(self, event: Event) -> None:
        """Let the request of the event go on."""
        pending = self.pending[event.round, event.replica]
        if event.kind is EventKind.ANSWERED:
            pending.answer = event.answer
        pending.resolved.set()
