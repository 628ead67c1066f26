"""Whether this member is in touch with a quorum, and which other member is.

Every member asks every other a few times a second (`Liveness.poll_peers`); only answers to its own
questions count, so a partition of either direction ends the contact. The check spares an operator a
wait that can't succeed. It is no proof: what is read or changed still needs a quorum's answers of
its own.
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

FRESH_ROUNDS = 2  # of asking: an answer counts for so long; after it members are asked once more
CHECK_INTERVAL_US = 50 * MILLISECOND  # while an operator's request is under way
ASK_SHARE = 12  # one part in so many of contact_us: how long a check waits for members

Result = TypeVar("Result")


@dataclass(frozen=True)
class HelloAnswer:
    """What counts here of a member's answer to member.hello. Members of releases before these
    fields report no quorum.

    listeners: {listener name: address} where operators reach that member.
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
        """Whether an operator may be redirected there."""
        able = self.has_quorum and self.disk_writable and not self.leaving
        return able and bool(self.listeners)


class QuorumMonitor:
    """Checks the contact with a quorum before and during an operator's request.

    Invariant: a member is named to an operator only by an answer that it gave after this member had
    lost its quorum; so two members never redirect an operator back and forth unless one of them
    found its quorum again.
    """

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    def in_touch(self, writing: bool = True) -> bool:
        """Whether a quorum answered lately. writing: and their disks can be written."""
        fresh_us = FRESH_ROUNDS * self.server.timing.hello_interval_us
        disks = [
            answer.disk
            for answer in self.server.reachable().values()
            if monotonic_us() - answer.at < fresh_us and (answer.disk_writable or not writing)
        ]
        return self.server.proposer.is_quorum(disks)

    async def require_quorum(self, writing: bool = True) -> None:
        """Return if a quorum is in touch; if none answered lately, the members are asked first.

        :raises QuorumUnreachable: within contact_us / 12
        """
        if self.in_touch(writing):
            return
        answers = await self.ask_members(writing)
        if self.in_touch(writing):
            return
        if self.server.store.membership:
            self.server.revisions.note_no_quorum()
        able = [answer.listeners for answer in answers if answer.serves_operators]
        raise QuorumUnreachable(self.server.node.runtime.rng.choice(able) if able else {})

    async def ask_members(self, writing: bool) -> list[HelloAnswer]:
        """Answers of the other members, as far as they come before a quorum is in touch."""
        answers: list[HelloAnswer] = []
        node = self.server.node
        timeout = min(node.settings.contact_us // ASK_SHARE, self.server.timing.hello_timeout_us)
        deadline = monotonic_us() + timeout
        sender = {"link": node.settings.link}

        async def ask(address: str) -> None:
            try:
                message = await node.rpc.call(address, "member.hello", sender, deadline)
            except (ConnectionFailed, Rejected):
                return
            self.server.record_hello(address, message)
            answers.append(HelloAnswer.from_message(message))
            if self.in_touch(writing):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in sorted(self.server.broadcast.peers().values()):
                nursery.start_soon(ask, address)
        return answers

    async def run_while_quorum(
        self,
        work: Callable[[], Awaitable[Result]],
        failure: Callable[[], Exception],
        writing: bool = True,
    ) -> Result:
        """The result of `work()`. Once no quorum is in touch any more it is cancelled, and the
        error that `failure()` gives is raised."""
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
        """Cancel the scope once no quorum is in touch, unless done is set before."""
        while not done.is_set():
            await sleep_us(CHECK_INTERVAL_US)
            try:
                await self.require_quorum(writing)
            except NoQuorum:
                scope.cancel()
                return
