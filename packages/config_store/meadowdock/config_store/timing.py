"""Durations of the membership and of operators' requests, as ratios of what a deployment asks for.

All are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowdock.runtime import MILLISECOND, SECOND

CONTACT, CATCH_UP = 3 * SECOND, 4 * SECOND  # as the settings' defaults
SHORTEST_CONTACT = 300 * MILLISECOND


@dataclass(frozen=True)
class MembershipTiming:
    """contact_us: after the last trouble processes are in touch again within this. catch_up_us:
    how long a machine that is back still counts as lost; a replacement ends within about that.

    >>> timing = MembershipTiming()
    >>> timing.silent_us, timing.stable_us, timing.quiet_us, timing.drop_us
    (1800000, 1000000, 800000, 2200000)
    >>> timing.ask_us, timing.hear_us, timing.bootstrap_us, timing.met_us
    (400000, 250000, 100000, 10000000)
    >>> timing.end_us, timing.rank_us, timing.change_us, timing.operator_us, timing.start_us
    (1000000, 500000, 5000000, 20000000, 5000000)
    """

    contact_us: int = CONTACT
    catch_up_us: int = CATCH_UP

    @classmethod
    def of(cls, settings):
        """The durations that follow from a boot."""
        contact = getattr(settings, "contact_us", CONTACT)
        return cls(max(contact, SHORTEST_CONTACT), getattr(settings, "catch_up_us", CATCH_UP))

    @property
    def ask_us(self):
        """For the answer of a member that may be silent."""
        return self.contact_us * 2 // 15

    @property
    def hear_us(self):
        """Between two rounds of asking all members."""
        return self.contact_us // 12

    @property
    def bootstrap_us(self):
        """As hear_us, while no record is known."""
        return self.contact_us // 30

    @property
    def silent_us(self):
        """A member that answers nothing for so long may be replaced."""
        return self.contact_us * 3 // 5

    @property
    def stable_us(self):
        """Who answers for so long may come in."""
        return self.contact_us // 3

    @property
    def quiet_us(self):
        """A member that answers nothing for so long may be about to be replaced."""
        return self.contact_us * 4 // 15

    @property
    def drop_us(self):
        """Members silent for so long are left out where that makes others spare."""
        return self.contact_us * 11 // 15

    @property
    def met_us(self):
        """An address that asked is asked back for so long."""
        return self.contact_us * 10 // 3

    @property
    def end_us(self):
        """A change that made no progress for so long: whoever began it is gone."""
        return self.contact_us // 3

    @property
    def rank_us(self):
        """Each further member waits so much longer before it acts."""
        return self.contact_us // 6

    @property
    def change_us(self):
        """For one attempt of a change of members."""
        return self.catch_up_us * 5 // 4

    @property
    def operator_us(self):
        """As change_us, for a change that an operator asked for."""
        return self.catch_up_us * 5

    @property
    def start_us(self):
        """So long a new fleet waits for as many members as its losses need."""
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
