"""Durations of the membership and of operators' requests, as ratios of what a deployment asks for.

All are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowdock.runtime import MILLISECOND, SECOND

DEFAULT_CONTACT_US, DEFAULT_CATCH_UP_US = 3 * SECOND, 4 * SECOND  # as the settings' defaults
SHORTEST_CONTACT_US = 300 * MILLISECOND


@dataclass(frozen=True)
class MembershipTiming:
    """Durations of failure detection and of changes of the membership.

    contact_us: after the last fault processes are in touch again within this. catch_up_us: how long
    a machine that is back still counts as lost; a replacement ends within about that.

    >>> timing = MembershipTiming()
    >>> timing.failed_after_us, timing.stable_after_us, timing.suspect_after_us
    (1800000, 1000000, 800000)
    >>> timing.removable_after_us, timing.hello_timeout_us, timing.hello_interval_us
    (2200000, 400000, 250000)
    >>> timing.bootstrap_interval_us, timing.contact_kept_us, timing.stalled_after_us
    (100000, 10000000, 1000000)
    >>> timing.rank_delay_us, timing.change_us, timing.operator_change_us, timing.bootstrap_wait_us
    (500000, 5000000, 20000000, 5000000)
    """

    contact_us: int = DEFAULT_CONTACT_US
    catch_up_us: int = DEFAULT_CATCH_UP_US

    @classmethod
    def of(cls, settings: object) -> MembershipTiming:
        """The durations that follow from a process' settings."""
        contact_us = getattr(settings, "contact_us", DEFAULT_CONTACT_US)
        catch_up_us = getattr(settings, "catch_up_us", DEFAULT_CATCH_UP_US)
        return cls(max(contact_us, SHORTEST_CONTACT_US), catch_up_us)

    # ------------------------------------------------------------ failure detection

    @property
    def hello_timeout_us(self) -> int:
        """For the answer of a member that may have failed."""
        return self.contact_us * 2 // 15

    @property
    def hello_interval_us(self) -> int:
        """Between two rounds of asking all members."""
        return self.contact_us // 12

    @property
    def bootstrap_interval_us(self) -> int:
        """As hello_interval_us, while no membership configuration is known."""
        return self.contact_us // 30

    @property
    def suspect_after_us(self) -> int:
        """A member that answers nothing for so long may be about to be replaced."""
        return self.contact_us * 4 // 15

    @property
    def failed_after_us(self) -> int:
        """A member that answers nothing for so long may be replaced."""
        return self.contact_us * 3 // 5

    @property
    def removable_after_us(self) -> int:
        """A failed member may be removed without a replacement after so long, where that lets the
        others bear more losses."""
        return self.contact_us * 11 // 15

    @property
    def stable_after_us(self) -> int:
        """A process that answers for so long may become a voter."""
        return self.contact_us // 3

    @property
    def contact_kept_us(self) -> int:
        """An address that asked is asked back for so long."""
        return self.contact_us * 10 // 3

    # ------------------------------------------------------------ changes of the membership

    @property
    def stalled_after_us(self) -> int:
        """A change without progress for so long was given up by the process that began it."""
        return self.contact_us // 3

    @property
    def rank_delay_us(self) -> int:
        """Each further member waits so much longer before it acts."""
        return self.contact_us // 6

    @property
    def change_us(self) -> int:
        """For one attempt of a change of the membership."""
        return self.catch_up_us * 5 // 4

    @property
    def operator_change_us(self) -> int:
        """As change_us, for a change that an operator asked for."""
        return self.catch_up_us * 5

    @property
    def bootstrap_wait_us(self) -> int:
        """So long a new deployment waits for as many members as its losses need."""
        return self.catch_up_us * 5 // 4


@dataclass(frozen=True)
class OperatorTiming:
    """Time-outs of operators' requests. ack_us: of a change, as the deployment asks for.

    >>> timing = OperatorTiming(2 * SECOND)
    >>> timing.change_us, timing.answer_us, timing.read_us, timing.quorum_read_us
    (2000000, 500000, 1000000, 500000)
    """

    ack_us: int

    @property
    def change_us(self) -> int:
        """How long work on a change goes on while a quorum is in touch."""
        return self.ack_us

    @property
    def answer_us(self) -> int:
        """How long an operator waits for a small change before the outcome counts as unknown."""
        return self.ack_us // 4

    @property
    def read_us(self) -> int:
        """How long an operator waits for a read: for one under way, and the next."""
        return self.ack_us // 2

    @property
    def quorum_read_us(self) -> int:
        """For one quorum read, with time to settle a change that left members apart."""
        return self.ack_us // 4
