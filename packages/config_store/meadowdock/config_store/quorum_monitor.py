"""Whether this member is in touch with a quorum, and who else is.

Every member asks every other a few times a second (`Liveness.ask_all`); only answers to its own questions
count, so a cut of either direction ends the contact. The check spares an operator a wait that can't
succeed. It is no proof: what is served or changed still needs a quorum's answers of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from meadowdock.config_store.exceptions import QuorumUnreachable
from meadowdock.consensus import NoQuorum
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

FRESH_ROUNDS = 2  # of asking: an answer counts for so long; after it members are asked once more
LOOK_EVERY = 50 * MILLISECOND  # while an operator's request is under way
PROBE_SHARE = (
    12  # of boot.contact_us: how long members are waited for before an operator is refused
)


@dataclass(frozen=True)
class HelloAnswer:
    """What counts here of a member's answer to member.hello. Members of releases before these fields
    claim no quorum."""

    quorum: bool
    well: bool
    leaving: bool
    doors: dict

    @classmethod
    def of(cls, facts):
        """Decode the answer of a member."""
        return cls(
            facts.get("quorum", False), facts["well"], facts["leaving"], facts.get("doors", {})
        )

    @property
    def may_take_over(self):
        """An operator may be sent there."""
        return self.quorum and self.well and not self.leaving and bool(self.doors)


class QuorumMonitor:
    """Of Part. Invariant: a member is named to an operator only on the word of an answer that it
    gave after this member had lost its quorum; so two members never send an operator back and
    forth unless one of them found its quorum again."""

    def __init__(self, daemon):
        self.daemon = daemon

    def fresh(self, writing=True):
        """A quorum answered lately. writing: and their disks can be written."""
        there = self.daemon.reachable().values()
        fresh_us = FRESH_ROUNDS * self.daemon.timing.hear_us
        disks = [
            h.disk for h in there if monotonic_us() - h.at < fresh_us and (h.well or not writing)
        ]
        return self.daemon.proposer is not None and self.daemon.proposer.is_quorum(disks)

    async def check(self, writing=True):
        """Returns if a quorum is in touch, after asking the members at once if none answered
        lately. Raises QuorumUnreachable, within a few hundred milliseconds."""
        if self.fresh(writing):
            return
        answers = await self.probe(writing)
        if self.fresh(writing):
            return
        if self.daemon.store.membership:
            self.daemon.note_no_quorum()
        able = [answer.doors for answer in answers if answer.may_take_over]
        raise QuorumUnreachable(self.daemon.node.runtime.rng.choice(able) if able else {})

    async def probe(self, writing):
        """Answers of all other members, as far as they come before a quorum is in touch."""
        answers, node = [], self.daemon.node
        wait = min(node.settings.contact_us // PROBE_SHARE, self.daemon.timing.ask_us)
        deadline = monotonic_us() + wait
        asker = {"link": node.settings.link}

        async def one(address):
            try:
                facts = await node.rpc.call(address, "member.hello", asker, deadline)
            except (ConnectionFailed, Rejected):
                return
            self.daemon.note_hello(address, facts)
            answers.append(HelloAnswer.of(facts))
            if self.fresh(writing):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in sorted(self.daemon.others().values()):
                nursery.start_soon(one, address)
        return answers

    async def keep(self, work, lost, writing=True):
        """What `work()` gives. Once no quorum is in touch any more it is cancelled, and the
        error that `lost()` gives is raised."""
        scope, done = trio.CancelScope(), trio.Event()
        self.daemon.node.nursery.start_soon(self.cancel_when_lost, scope, done, writing)
        try:
            with scope:
                return await work()
        finally:
            done.set()
        raise lost()

    async def cancel_when_lost(self, scope, done, writing):
        """Cancel the scope once no quorum is in touch, until done is set."""
        while not done.is_set():
            await sleep_us(LOOK_EVERY)
            try:
                await self.check(writing)
            except NoQuorum:
                scope.cancel()
                return
