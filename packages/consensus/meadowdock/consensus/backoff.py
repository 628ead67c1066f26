"""Delays between the attempts of proposers, which otherwise outrun one another's ballots.

All times are in microseconds. Delays are random, so that proposers that met once don't meet again.
"""

from __future__ import annotations

import random

from meadowdock.runtime import MILLISECOND, SECOND

RETRY_DELAY_MIN = 8 * MILLISECOND
RETRY_DELAY_MAX = 400 * MILLISECOND
RETRY_DELAY_PER_ATTEMPT = 16  # a delay is at most so many times what the attempt before it took
RETRY_DELAY_WITHOUT_QUORUM = 50 * MILLISECOND  # at least, if too few members answered
READ_REPAIR_DELAY_MIN = 250 * MILLISECOND
READ_REPAIR_DELAY_MAX = SECOND


def jittered(rng: random.Random, delay: int) -> int:
    """A random delay of half to one and a half times the given one."""
    return rng.randrange(delay // 2, delay + delay // 2)


class RetryDelay:
    """The delay before the next attempt of one change: it doubles with each attempt."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current = RETRY_DELAY_MIN

    def draw(self, attempt_duration: int, quorum_answered: bool) -> int:
        """The delay after an attempt that took so long."""
        limit = max(RETRY_DELAY_MIN, RETRY_DELAY_PER_ATTEMPT * attempt_duration)
        delay = min(self.current, limit)
        self.current = min(2 * delay, RETRY_DELAY_MAX)
        if not quorum_answered:
            delay = max(delay, RETRY_DELAY_WITHOUT_QUORUM)
        return jittered(self.rng, delay)


class ReadRepairDelay:
    """How long a read waits for diverging members to agree before it repairs them by a ballot.

    It follows what was observed: twice as long as members lately diverged before they agreed."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current = READ_REPAIR_DELAY_MIN

    def draw(self, longest: int) -> int:
        """A random delay of one to two times the current one, at most the longest."""
        return min(self.rng.randrange(self.current, 2 * self.current), longest)

    def note_agreement(self, divergence: int) -> None:
        """Members that had diverged for so long agree now without a repair."""
        self.set(max(2 * divergence, self.current * 4 // 5))

    def note_failed_repair(self) -> None:
        """The ballot of a repair was outrun."""
        self.set(2 * self.current)

    def set(self, delay: int) -> None:
        """Take a delay, within the bounds."""
        self.current = min(max(READ_REPAIR_DELAY_MIN, delay), READ_REPAIR_DELAY_MAX)
