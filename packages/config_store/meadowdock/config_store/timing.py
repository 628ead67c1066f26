"""Durations of the membership and of operators' requests, derived from a deployment's settings.

All are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowdock.runtime import MILLISECOND, SECOND

DEFAULT_CONTACT_US, DEFAULT_CATCH_UP_US = 3 * SECOND, 4 * SECOND  # the defaults of the settings
SHORTEST_CONTACT_US = 300 * MILLISECOND


@dataclass(frozen=True)
class MembershipTiming:
    """Durations of failure detection and of changes of the membership.

    contact_us: how soon after the last fault all processes must be in contact again. catch_up_us:
    how long a machine that has come back still counts as lost; replacing a voter takes about as
    long.

    >>> timing = MembershipTiming()
    >>> timing.failed_after_us, timing.stable_after_us, timing.suspect_after_us
    (1800000, 1000000, 800000)
    >>> timing.removable_after_us, timing.hello_timeout_us, timing.hello_interval_us
    (2200000, 400000, 250000)
    >>> timing.bootstrap_interval_us, timing.contact_retention_us, timing.stalled_after_us
    (100000, 10000000, 1000000)
    >>> timing.rank_delay_us, timing.change_us, timing.operator_change_us, timing.bootstrap_wait_us
    (500000, 5000000, 20000000, 5000000)
    """

    contact_us: int = DEFAULT_CONTACT_US
    catch_up_us: int = DEFAULT_CATCH_UP_US

    @classmethod
    def from_settings(cls, settings: object) -> MembershipTiming:
        """Derive the durations from the settings of a process."""
        contact_us = getattr(settings, "contact_us", DEFAULT_CONTACT_US)
        catch_up_us = getattr(settings, "catch_up_us", DEFAULT_CATCH_UP_US)
        return cls(max(contact_us, SHORTEST_CONTACT_US), catch_up_us)

    @property
    def hello_timeout_us(self) -> int:
        """Timeout of one poll of a member that may have failed."""
        return self.contact_us * 2 // 15

    @property
    def hello_interval_us(self) -> int:
        """Interval between two rounds of polling all members."""
        return self.contact_us // 12

    @property
    def bootstrap_interval_us(self) -> int:
        """Poll interval while no membership configuration is known."""
        return self.contact_us // 30

    @property
    def suspect_after_us(self) -> int:
        """A member that has been silent for this long may be about to be replaced."""
        return self.contact_us * 4 // 15

    @property
    def failed_after_us(self) -> int:
        """A member that has been silent for this long may be replaced."""
        return self.contact_us * 3 // 5

    @property
    def removable_after_us(self) -> int:
        """How long a voter must be silent before it may be removed without a replacement.

        It is removed only where that lets the others tolerate more losses.
        """
        return self.contact_us * 11 // 15

    @property
    def stable_after_us(self) -> int:
        """A process that has been answering for this long may become a voter."""
        return self.contact_us // 3

    @property
    def contact_retention_us(self) -> int:
        """How long the address of a process that polled this one is polled in turn."""
        return self.contact_us * 10 // 3

    @property
    def stalled_after_us(self) -> int:
        """After this long without progress a change counts as abandoned by its process."""
        return self.contact_us // 3

    @property
    def rank_delay_us(self) -> int:
        """Delay by which each member waits longer than the one ranked before it."""
        return self.contact_us // 6

    @property
    def change_us(self) -> int:
        """Timeout of one attempt to change the membership."""
        return self.catch_up_us * 5 // 4

    @property
    def operator_change_us(self) -> int:
        """Timeout of a change of the membership that an operator requested."""
        return self.catch_up_us * 5

    @property
    def bootstrap_wait_us(self) -> int:
        """How long a new deployment waits for as many members as its tolerated losses require."""
        return self.catch_up_us * 5 // 4


@dataclass(frozen=True)
class OperatorTiming:
    """Timeouts of operators' requests.

    ack_us: how soon a change has to be acknowledged, as the deployment sets it.

    >>> timing = OperatorTiming(2 * SECOND)
    >>> timing.change_us, timing.answer_us, timing.read_us, timing.quorum_read_us
    (2000000, 500000, 1000000, 500000)
    """

    ack_us: int

    @property
    def change_us(self) -> int:
        """How long the work on a change continues while a quorum is in contact."""
        return self.ack_us

    @property
    def answer_us(self) -> int:
        """How long an operator waits for a small change before its outcome counts as unknown."""
        return self.ack_us // 4

    @property
    def read_us(self) -> int:
        """How long an operator waits for a read.

        It is enough for two quorum reads: the one in flight, and the next one, which serves this
        request.
        """
        return self.ack_us // 2

    @property
    def quorum_read_us(self) -> int:
        """Timeout of one quorum read.

        It leaves time to complete a change that left members with different values.
        """
        return self.ack_us // 4
