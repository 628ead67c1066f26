"""A linearizable read of one key, which normally needs no ballot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from meadowdock.consensus.backoff import jittered
from meadowdock.consensus.broadcast_answers import HighestBallot, agreed_pair, highest_ballot
from meadowdock.consensus.exceptions import NoQuorum
from meadowdock.consensus.messages import AcceptedPair, ReadRequest
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.consensus.proposer import BallotConfiguration, Proposer

READ_TIMEOUT = 100 * MILLISECOND  # us, for each broadcast of a read
POLL_INTERVAL_MIN = 4 * MILLISECOND  # us, between the broadcasts of one read
POLL_INTERVAL_MAX = 80 * MILLISECOND  # us


class QuorumRead:
    """One read. If a quorum agrees on the highest accepted pair, one broadcast is enough.

    Members that diverge usually agree soon: a write is on its way to them, and a ballot at this
    moment would preempt it. So the read polls them at increasing intervals. If their answers stay
    the same for longer than a write takes, it starts a ballot that writes the highest accepted
    value again (read repair). It starts none while this process is changing the key, since the
    change has the same effect.
    """

    def __init__(self, proposer: Proposer, key: str, deadline: int) -> None:
        self.proposer = proposer
        self.key = key
        self.deadline = deadline
        self.started = monotonic_us()
        self.max_repair_delay = (deadline - self.started) * 2 // 3  # leaves time for a ballot
        self.repair_delay = proposer.read_repair_delay.draw(self.max_repair_delay)
        self.highest: HighestBallot | None = None
        self.unchanged_since = self.started
        self.poll_interval = POLL_INTERVAL_MIN

    async def run(self) -> Any:
        """Return the value of the key, or None if it has none.

        :raises NoQuorum: no quorum agreed before the deadline.
        """
        while True:
            configuration = self.proposer.configuration()
            answers = await self.poll(configuration)
            pair = agreed_pair(answers, configuration.voter_sets)
            if pair is not None:
                self.record_agreement()
                return pair.value
            self.proposer.learn(answer.ballot for answer in answers.values())
            changed = self.record_highest(answers, configuration)
            if not changed and self.needs_repair():
                repair = await self.proposer.attempt(self.key, lambda value: value, self.deadline)
                if repair.committed:
                    return repair.value
                self.record_failed_repair()
            await self.pause()

    async def poll(self, configuration: BallotConfiguration) -> dict[str, AcceptedPair]:
        """Ask all members for their accepted pairs, and return the answers once a quorum agrees."""

        def is_agreed(answers: dict[str, AcceptedPair]) -> bool:
            return agreed_pair(answers, configuration.voter_sets) is not None

        deadline = min(self.deadline, monotonic_us() + READ_TIMEOUT)
        request = ReadRequest(self.key)
        return await self.proposer.broadcast(configuration, request, deadline, is_agreed)

    def record_agreement(self) -> None:
        """Adapt the delay of later repairs, if the quorum did not agree at the first poll."""
        if self.poll_interval > POLL_INTERVAL_MIN:
            self.proposer.read_repair_delay.record_agreement(monotonic_us() - self.started)

    def record_highest(
        self, answers: dict[str, AcceptedPair], configuration: BallotConfiguration
    ) -> bool:
        """Record the highest ballot and its members, and since when they have been the same.

        :returns: whether they changed since the previous poll, or no quorum answered.
        """
        previous, self.highest = self.highest, highest_ballot(answers)
        changed = previous != self.highest or not configuration.voter_sets.is_quorum(answers)
        if changed:
            self.unchanged_since = monotonic_us()
        return changed

    def needs_repair(self) -> bool:
        """Return whether the members have diverged for so long that no write can be in progress."""
        unchanged = monotonic_us() - self.unchanged_since
        return unchanged > self.repair_delay and not self.proposer.is_changing(self.key)

    def record_failed_repair(self) -> None:
        """Wait longer before the next repair, since the ballot of this one was preempted."""
        self.proposer.read_repair_delay.record_failed_repair()
        self.repair_delay = self.proposer.read_repair_delay.draw(self.max_repair_delay)
        self.unchanged_since = monotonic_us()

    async def pause(self) -> None:
        """Wait until the next poll.

        :raises NoQuorum: the deadline has passed.
        """
        if self.deadline <= monotonic_us():
            raise NoQuorum(self.key)
        delay = jittered(self.proposer.rng, self.poll_interval)
        await sleep_us(min(delay, self.deadline - monotonic_us()))
        self.poll_interval = min(2 * self.poll_interval, POLL_INTERVAL_MAX)
