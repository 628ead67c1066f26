"""Delays between the attempts of proposers, which would otherwise keep preempting one another.

All times are in microseconds. Delays are jittered, so that proposers that collided once don't
collide again.
"""

from __future__ import annotations

import random

from meadowdock.runtime import MILLISECOND, SECOND

RETRY_DELAY_MIN = 8 * MILLISECOND
RETRY_DELAY_MAX = 400 * MILLISECOND
RETRY_DELAY_PER_ATTEMPT = 16  # limit of a delay, as a multiple of the previous attempt's duration
RETRY_DELAY_WITHOUT_QUORUM = 50 * MILLISECOND  # minimum if the attempt reached no quorum
READ_REPAIR_DELAY_MIN = 250 * MILLISECOND
READ_REPAIR_DELAY_MAX = SECOND


def jittered(rng: random.Random, delay: int) -> int:
    """Return a random delay between 0.5 and 1.5 times the given one."""
    return rng.randrange(delay // 2, delay + delay // 2)


class RetryDelay:
    """Exponential backoff between the attempts of one change: the delay doubles each time."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current = RETRY_DELAY_MIN

    def draw(self, attempt_duration: int, quorum_answered: bool) -> int:
        """Return the delay before the next attempt.

        :param attempt_duration: how long the previous attempt took; it limits the delay.
        :param quorum_answered: whether a quorum answered the previous attempt.
        """
        limit = max(RETRY_DELAY_MIN, RETRY_DELAY_PER_ATTEMPT * attempt_duration)
        delay = min(self.current, limit)
        self.current = min(2 * delay, RETRY_DELAY_MAX)
        if not quorum_answered:
            delay = max(delay, RETRY_DELAY_WITHOUT_QUORUM)
        return jittered(self.rng, delay)


class ReadRepairDelay:
    """How long a read waits for diverging members to agree before it repairs them with a ballot.

    The delay adapts to the observed divergence: it is about twice the time that members recently
    needed to agree.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current = READ_REPAIR_DELAY_MIN

    def draw(self, limit: int) -> int:
        """Return a random delay between one and two times the current one, capped at the limit."""
        return min(self.rng.randrange(self.current, 2 * self.current), limit)

    def record_agreement(self, divergence: int) -> None:
        """Adapt the delay after diverging members agreed without a repair.

        :param divergence: how long they diverged.
        """
        self.set(max(2 * divergence, self.current * 4 // 5))

    def record_failed_repair(self) -> None:
        """Double the delay after the ballot of a repair was preempted."""
        self.set(2 * self.current)

    def set(self, delay: int) -> None:
        """Set the delay, clamped to its bounds."""
        self.current = min(max(READ_REPAIR_DELAY_MIN, delay), READ_REPAIR_DELAY_MAX)
