"""A linearizable read of one key, mostly without a ballot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from meadowdock.consensus.answers import HighestBallot, agreed_pair, highest_ballot
from meadowdock.consensus.backoff import jittered
from meadowdock.consensus.exceptions import NoQuorum
from meadowdock.consensus.messages import AcceptedPair, ReadRequest
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.consensus.proposer import BallotConfiguration, Proposer

READ_TIMEOUT = 100 * MILLISECOND  # us, of one broadcast of a read
POLL_INTERVAL_MIN = 4 * MILLISECOND  # us, between the broadcasts of one read
POLL_INTERVAL_MAX = 80 * MILLISECOND


class QuorumRead:
    """One read. If a quorum agrees on the highest accepted pair, one broadcast is enough.

    Members that diverge are mostly about to agree: a write is on its way to them, and a ballot now
    would outrun it. So they are polled, at growing intervals. Only if nothing changes among them
    for longer than a write takes does the read repair them, by a ballot that writes the highest
    accepted value again (read repair); not while this process changes the key itself, since a
    change does the same.
    """

    def __init__(self, proposer: Proposer, key: str, deadline: int) -> None:
        self.proposer = proposer
        self.key = key
        self.deadline = deadline
        self.started = monotonic_us()
        self.longest_delay = (deadline - self.started) * 2 // 3  # the rest is left for a ballot
        self.repair_delay = proposer.read_repair_delay.draw(self.longest_delay)
        self.highest: HighestBallot | None = None
        self.unchanged_since = self.started
        self.poll_interval = POLL_INTERVAL_MIN

    async def run(self) -> Any:
        """The value of the key, or None if it has none.

        :raises NoQuorum: no quorum agreed before the deadline.
        """
        while True:
            configuration = self.proposer.configuration()
            answers = await self.poll(configuration)
            pair = agreed_pair(answers, configuration.voter_sets)
            if pair is not None:
                self.note_agreement()
                return pair.value
            self.proposer.learn(answer.ballot for answer in answers.values())
            changed = self.note_highest(answers, configuration)
            if not changed and self.needs_repair():
                repair = await self.proposer.attempt(self.key, lambda old: old, self.deadline)
                if repair.committed:
                    return repair.value
                self.note_failed_repair()
            await self.pause()

    async def poll(self, configuration: BallotConfiguration) -> dict[str, AcceptedPair]:
        """The accepted pairs of the members, as soon as a quorum agrees."""

        def is_agreed(answers: dict[str, AcceptedPair]) -> bool:
            return agreed_pair(answers, configuration.voter_sets) is not None

        deadline = min(self.deadline, monotonic_us() + READ_TIMEOUT)
        request = ReadRequest(self.key)
        return await self.proposer.broadcast(configuration, request, deadline, is_agreed)

    def note_agreement(self) -> None:
        """A quorum agrees; if it didn't at first, the time that it took counts for later reads."""
        if self.poll_interval > POLL_INTERVAL_MIN:
            self.proposer.read_repair_delay.note_agreement(monotonic_us() - self.started)

    def note_highest(
        self, answers: dict[str, AcceptedPair], configuration: BallotConfiguration
    ) -> bool:
        """Remember since when a quorum has answered and nothing has changed among the members.

        :returns: whether something changed, or no quorum answered.
        """
        former, self.highest = self.highest, highest_ballot(answers)
        changed = former != self.highest or not configuration.voter_sets.is_quorum(answers)
        if changed:
            self.unchanged_since = monotonic_us()
        return changed

    def needs_repair(self) -> bool:
        """Whether the members have diverged for so long that no write seems to be on its way."""
        unchanged = monotonic_us() - self.unchanged_since
        return unchanged > self.repair_delay and not self.proposer.is_changing(self.key)

    def note_failed_repair(self) -> None:
        """The ballot was outrun: wait longer before the next."""
        self.proposer.read_repair_delay.note_failed_repair()
        self.repair_delay = self.proposer.read_repair_delay.draw(self.longest_delay)
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
