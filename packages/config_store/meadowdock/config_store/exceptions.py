"""Errors of the configuration store.

Whether a change may have been made is said by the errors of `meadowdock.consensus`: after
`NoQuorum` it was not, after `OutcomeUnknown` it may have been. The errors here name further causes;
after each of them nothing was changed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from meadowdock.consensus import NoQuorum

if TYPE_CHECKING:
    from meadowdock.config_store.revision import Revision


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

    def __init__(self, current: Revision) -> None:
        super().__init__(f"the current revision is {current.version}")
        self.current = current


class InvalidConfiguration(Exception):
    """A configuration breaks the schema or its rules.

    errors: one text for each fault.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__(f"{len(errors)} errors")
        self.errors = errors


class PlanUnknown(Exception):
    """There is no such plan: it was never made, or its chunk is removed already."""

    def __init__(self, plan_id: object) -> None:
        super().__init__(f"no plan {plan_id}")


class PlanExpired(Exception):
    """The plan is too old to be committed."""

    def __init__(self, plan_id: str) -> None:
        super().__init__(f"plan {plan_id} is too old")
        self.plan_id = plan_id


class PlanOutdated(Exception):
    """The configuration changed since the plan was made.

    base: the version that the plan is based on. current: the version in force. changed_since: what
    changed between them, by section; None if the base's chunks are removed already.
    """

    def __init__(
        self, plan_id: str, base: int, current: int, changed_since: dict[str, Any] | None
    ) -> None:
        super().__init__(f"plan {plan_id} is based on {base}, the current revision is {current}")
        self.plan_id, self.base, self.current = plan_id, base, current
        self.changed_since = changed_since


class MembershipConflict(Exception):
    """A change of the membership can't be made now.

    code: the reason, as operators are told. facts: further fields of the answer to them.
    """

    def __init__(self, code: str, **facts: object) -> None:
        super().__init__(code)
        self.code, self.facts = code, facts
