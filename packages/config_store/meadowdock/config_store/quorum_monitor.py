"""Whether this member is in contact with a quorum, and which other members are.

Every member polls every other a few times a second (`Liveness.poll_peers`). Only answers to its own
polls count, so a partition in either direction ends the contact. The check saves an operator from
waiting for an operation that can't succeed. It proves nothing: every read or change still needs the
answers of a quorum.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import trio

from meadowdock.config_store.exceptions import QuorumUnreachable
from meadowdock.consensus import NoQuorum
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

FRESH_ROUNDS = 2  # an answer counts for this many poll rounds, then members are polled again
CHECK_INTERVAL_US = 50 * MILLISECOND  # while an operator's request is in progress
POLL_TIMEOUT_DIVISOR = 12  # a check waits for answers no longer than contact_us divided by this

Result = TypeVar("Result")


@dataclass(frozen=True)
class HelloAnswer:
    """The fields of an answer to member.hello that matter here.

    Members of older releases, which don't send these fields, count as without a quorum. listeners:
    {listener name: address} where operators reach that member.
    """

    has_quorum: bool
    disk_writable: bool
    leaving: bool
    listeners: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> HelloAnswer:
        """Decode the answer of a member."""
        return cls(
            has_quorum=message.get("quorum", False),
            disk_writable=message["well"],
            leaving=message["leaving"],
            listeners=message.get("doors", {}),
        )

    @property
    def serves_operators(self) -> bool:
        """Whether an operator may be redirected to that member."""
        healthy = self.has_quorum and self.disk_writable and not self.leaving
        return healthy and bool(self.listeners)


class QuorumMonitor:
    """Checks the contact with a quorum before and during an operator's request.

    Invariant: an operator is redirected only by an answer that was given after this member had lost
    its quorum. Two members therefore never redirect an operator back and forth, unless one of them
    regained its quorum.
    """

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    def has_quorum(self, writing: bool = True) -> bool:
        """Whether a quorum has answered recently.

        :param writing: whether their disks must be writable too
        """
        fresh_us = FRESH_ROUNDS * self.server.timing.hello_interval_us
        disks = [
            answer.disk
            for answer in self.server.reachable().values()
            if monotonic_us() - answer.answered_at < fresh_us
            and (answer.disk_writable or not writing)
        ]
        return self.server.proposer.is_quorum(disks)

    async def require_quorum(self, writing: bool = True) -> None:
        """Return if a quorum is in contact; if none has answered recently, poll first.

        :raises QuorumUnreachable: within contact_us / 12
        """
        if self.has_quorum(writing):
            return
        answers = await self.poll_members(writing)
        if self.has_quorum(writing):
            return
        if self.server.store.membership:
            self.server.revisions.note_no_quorum()
        usable = [answer.listeners for answer in answers if answer.serves_operators]
        raise QuorumUnreachable(self.server.node.runtime.rng.choice(usable) if usable else {})

    async def poll_members(self, writing: bool) -> list[HelloAnswer]:
        """Poll the other members, and return their answers.

        It stops polling as soon as a quorum is in contact.
        """
        answers: list[HelloAnswer] = []
        node = self.server.node
        timeout = min(
            node.settings.contact_us // POLL_TIMEOUT_DIVISOR, self.server.timing.hello_timeout_us
        )
        deadline = monotonic_us() + timeout
        sender = {"link": node.settings.rpc_address}

        async def poll(address: str) -> None:
            try:
                message = await node.rpc.call(address, "member.hello", sender, deadline)
            except (ConnectionFailed, Rejected):
                return
            self.server.record_hello(address, message)
            answers.append(HelloAnswer.from_message(message))
            if self.has_quorum(writing):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in sorted(self.server.broadcast.peers().values()):
                nursery.start_soon(poll, address)
        return answers

    async def run_while_quorum(
        self,
        work: Callable[[], Awaitable[Result]],
        failure: Callable[[], Exception],
        writing: bool = True,
    ) -> Result:
        """Run `work()` as long as a quorum is in contact, and return its result.

        Once the contact is lost it is cancelled, and the error that `failure()` returns is raised.
        """
        scope, done = trio.CancelScope(), trio.Event()
        self.server.node.nursery.start_soon(self.cancel_without_quorum, scope, done, writing)
        try:
            with scope:
                return await work()
        finally:
            done.set()
        raise failure()

    async def cancel_without_quorum(
        self, scope: trio.CancelScope, done: trio.Event, writing: bool
    ) -> None:
        """Cancel the scope once no quorum is in contact, unless done is set before."""
        while not done.is_set():
            await sleep_us(CHECK_INTERVAL_US)
            try:
                await self.require_quorum(writing)
            except NoQuorum:
                scope.cancel()
                return
