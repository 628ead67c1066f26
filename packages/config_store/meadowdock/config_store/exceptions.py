"""Errors of the configuration store.

Whether a change may have been made is said by the errors of `meadowdock.consensus`: after
`NoQuorum` it was not, after `OutcomeUnknown` it may have been. The errors here name further causes;
after each of them nothing was changed.
"""

from __future__ import annotations

from collections.abc import Mapping

from meadowdock.consensus import NoQuorum


class QuorumUnreachable(NoQuorum):
    """This member is in touch with no quorum; raised before anything was begun.

    listeners: {listener name: address} of another member that reports a quorum; empty if none does.
    """

    def __init__(self, listeners: Mapping[str, str] | None = None) -> None:
        super().__init__("no quorum of the members answers")
        self.listeners = dict(listeners or {})


class RevisionConflict(Exception):
    """The current revision is not the one that a change was based on.

    current: the revision in force.
    """

    def __init__(self, current: dict) -> None:
        super().__init__(f"the current revision is {current['version']}")
        self.current = current


class PlanExpired(Exception):
    """The plan is too old to be committed."""


class MembershipConflict(Exception):
    """A change of the membership can't be made now.

    code: the reason, as operators are told. facts: further fields of the answer to them.
    """

    def __init__(self, code: str, **facts: object) -> None:
        super().__init__(code)
        self.code, self.facts = code, facts
