"""The proposer: changes and reads of keys over a quorum of acceptors.

The algorithm is that of CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs",
2018), without a log or a leader. A change prepares a ballot at a quorum, applies a function to the
highest accepted value among the promises, and writes the result under the same ballot.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import trio

from meadowdock.consensus.backoff import ReadRepairDelay, RetryDelay
from meadowdock.consensus.ballot import Ballot
from meadowdock.consensus.broadcast_answers import (
    QuorumRule,
    granted_by,
    highest_ballot,
    highest_promised_value,
    is_decided,
    refused_ballots,
)
from meadowdock.consensus.exceptions import NoQuorum, OutcomeUnknown
from meadowdock.consensus.messages import (
    Acceptance,
    AcceptedPair,
    AnswerT,
    PrepareRequest,
    Promise,
    ReadRequest,
    Refusal,
    Request,
    WriteRequest,
)
from meadowdock.consensus.quorum import VoterSets
from meadowdock.consensus.quorum_read import READ_TIMEOUT, QuorumRead
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

MIN_TIME_FOR_ATTEMPT = 50 * MILLISECOND  # us; no attempt starts closer to the deadline


@dataclass(frozen=True, slots=True)
class BallotConfiguration:
    """The membership configuration that one ballot uses from its prepare to its write.

    :ivar version: the version of the membership record, which is sent with each request; None if
        acceptors don't check it.
    """

    voter_sets: VoterSets
    version: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one ballot."""

    committed: bool
    value: Any = None  # the new value, if committed
    may_be_accepted: bool = False  # writes were sent, so a member may have accepted the value
    quorum_answered: bool = False


class Proposer:
    """Changes and reads keys on behalf of one process.

    Invariants: the round never decreases, and each ballot (round, name) is used for one value only.
    Voter sets and version stay the same from a ballot's prepare to its write: promises made under a
    previous membership permit no write under the next. The lock of a key is held by the only change
    of it in progress in this process: two concurrent ones would only preempt each other.

    :param name: unique to this incarnation of the process, since a restarted proposer may reuse a
        round.
    :param voter_sets: returns the current voters; normally one set, the old and the new one during
        a membership change.
    :param send_request: send_request(member, method, arguments, deadline, version) returns a
        member's encoded answer, or raises. Without `version` the last argument is omitted.
    :param nursery: runs the requests. A request to a slow member may outlive the call that sent it,
        but ends at its deadline.
    :param version: returns the version of the current membership.

    All times are in microseconds.
    """

    def __init__(
        self,
        name: str,
        voter_sets: Callable[[], VoterSets | Iterable[Iterable[str]]],
        send_request: Callable[..., Awaitable[Any]],
        rng: random.Random,
        nursery: trio.Nursery,
        version: Callable[[], int] | None = None,
    ) -> None:
        self.name = name
        self.voter_sets = voter_sets
        self.send_request = send_request
        self.rng = rng
        self.nursery = nursery
        self.version = version
        self.round = 0
        self.locks: dict[str, trio.Lock] = {}  # by key
        self.read_repair_delay = ReadRepairDelay(rng)

    def configuration(self) -> BallotConfiguration:
        """Return the current membership configuration."""
        version = None if self.version is None else self.version()
        return BallotConfiguration(VoterSets.from_sets(self.voter_sets()), version)

    def voters(self) -> list[str]:
        """Return the members of all voter sets, sorted."""
        return sorted(VoterSets.from_sets(self.voter_sets()).voters)

    def is_quorum(self, members: Iterable[str]) -> bool:
        """Return whether these members are a quorum of the current voter sets."""
        return VoterSets.from_sets(self.voter_sets()).is_quorum(members)

    def is_durable(self, members: Iterable[str]) -> bool:
        """Return whether these members are a durable quorum of the current voter sets."""
        return VoterSets.from_sets(self.voter_sets()).is_durable(members)

    async def change(
        self,
        key: str,
        update: Callable[[Any], Any],
        deadline: int,
        rule: QuorumRule = VoterSets.is_durable,
    ) -> Any:
        """Replace the value of a key by update(value).

        :param update: called with the current value, or None if the key has none; it may raise to
            end the change without a write in this attempt. It may run several times, also on a
            value that already contains its effect, since another proposer may complete an attempt
            that it preempted. So it has to be idempotent, and after it has raised in a second or
            later attempt, an earlier one may still be applied.
        :param rule: which members have to accept the change; they must always include a quorum.
        :returns: the new value.
        :raises NoQuorum: the change was not and will not be applied.
        :raises OutcomeUnknown: the change may have been applied, or may still be.
        """
        lock = self.locks.setdefault(key, trio.Lock())
        with deadline_scope(deadline) as lock_scope:
            await lock.acquire()
        if lock_scope.cancelled_caught:
            raise NoQuorum(key)
        try:
            return await self.change_locked(key, update, deadline, rule)
        finally:
            lock.release()

    async def change_locked(
        self, key: str, update: Callable[[Any], Any], deadline: int, rule: QuorumRule
    ) -> Any:
        """Attempt a change until it is committed; the caller holds the lock of the key.

        Parameters and errors are those of `change`.
        """
        may_be_accepted = False
        retry_delay = RetryDelay(self.rng)
        while True:
            started = monotonic_us()
            result = await self.attempt(key, update, deadline, rule)
            if result.committed:
                return result.value
            may_be_accepted |= result.may_be_accepted
            duration = monotonic_us() - started
            remaining = deadline - monotonic_us() - MIN_TIME_FOR_ATTEMPT
            if remaining <= 0:
                raise (OutcomeUnknown if may_be_accepted else NoQuorum)(key)
            await sleep_us(min(retry_delay.draw(duration, result.quorum_answered), remaining))

    async def read(self, key: str, deadline: int) -> Any:
        """Return the value of a key, or None if it has none.

        :raises NoQuorum: no quorum agreed before the deadline.
        """
        return await QuorumRead(self, key, deadline).run()

    async def ensure_accepted(
        self, key: str, ballot: tuple[int, str], rule: QuorumRule, deadline: int
    ) -> None:
        """Ensure that members that satisfy the rule have accepted the newest pair of a key.

        If they already have, this takes one broadcast.

        :param ballot: the newest pair must have at least this ballot.
        :raises NoQuorum, OutcomeUnknown: as for `change`.
        """
        configuration = self.configuration()

        def is_satisfied(answers: dict[str, AcceptedPair]) -> bool:
            highest = highest_ballot(answers)
            return highest.ballot >= ballot and rule(configuration.voter_sets, highest.members)

        timeout = min(deadline, monotonic_us() + READ_TIMEOUT)
        answers = await self.broadcast(configuration, ReadRequest(key), timeout, is_satisfied)
        if not is_satisfied(answers):
            await self.change(key, lambda value: value, deadline, rule)

    def is_changing(self, key: str) -> bool:
        """Return whether this process has a change of the key in progress."""
        return key in self.locks and self.locks[key].locked()

    def next_ballot(self) -> Ballot:
        """Return a new ballot that is higher than any seen so far."""
        self.round += 1
        return Ballot(self.round, self.name)

    def learn(self, ballots: Iterable[Ballot]) -> None:
        """Let the next ballot be higher than all of these."""
        self.round = max([self.round, *(ballot.round for ballot in ballots)])

    async def attempt(
        self,
        key: str,
        update: Callable[[Any], Any],
        deadline: int,
        rule: QuorumRule = VoterSets.is_durable,
    ) -> AttemptResult:
        """Run both phases of one ballot; an exception that update raises is passed on."""
        ballot = self.next_ballot()
        configuration = self.configuration()
        voter_sets = configuration.voter_sets

        def is_prepared(answers: dict[str, Promise | Refusal]) -> bool:
            return is_decided(answers, voter_sets, VoterSets.is_quorum)

        def is_written(answers: dict[str, Acceptance | Refusal]) -> bool:
            return is_decided(answers, voter_sets, rule)

        prepare = PrepareRequest(key, ballot)
        promises = await self.broadcast(configuration, prepare, deadline, is_prepared)
        if not voter_sets.is_quorum(granted_by(promises)):
            self.learn(refused_ballots(promises))
            return AttemptResult(False, quorum_answered=voter_sets.is_quorum(promises))

        value = update(highest_promised_value(promises))
        write = WriteRequest(key, ballot, value)
        acceptances = await self.broadcast(configuration, write, deadline, is_written)
        if rule(voter_sets, granted_by(acceptances)):
            return AttemptResult(True, value, may_be_accepted=True, quorum_answered=True)
        self.learn(refused_ballots(acceptances))
        quorum_answered = voter_sets.is_quorum(acceptances)
        return AttemptResult(False, may_be_accepted=True, quorum_answered=quorum_answered)

    async def broadcast(
        self,
        configuration: BallotConfiguration,
        request: Request[AnswerT],
        deadline: int,
        is_enough: Callable[[dict[str, AnswerT]], bool],
    ) -> dict[str, AnswerT]:
        """Send a request to all voters and collect their answers.

        Return once is_enough(answers) is true, every voter has answered or failed, or the deadline
        has passed.

        :returns: the answers so far, by member. Slower members still receive the request.
        """
        voters = sorted(configuration.voter_sets.voters)
        arguments = request.to_wire()
        version = () if configuration.version is None else (configuration.version,)
        answers: dict[str, AnswerT] = {}
        pending = set(voters)
        done = trio.Event()

        async def send_to_member(member: str) -> None:
            try:
                sent = await self.send_request(
                    member, request.method, arguments, deadline, *version
                )
                answers[member] = request.answer_from_wire(sent)
            except Exception:  # any failure counts as no answer from this member
                pass
            pending.discard(member)
            if not pending or is_enough(answers):
                done.set()

        for member in voters:
            self.nursery.start_soon(send_to_member, member)
        with deadline_scope(deadline):
            if voters:
                await done.wait()
        return dict(answers)
