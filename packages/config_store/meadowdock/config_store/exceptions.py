"""Errors of the configuration store.

The errors of `meadowdock.consensus` tell whether a change may have been made: after `NoQuorum` it
was not, after `OutcomeUnknown` it may have been. The errors here name further causes; after each of
them nothing was changed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from meadowdock.consensus import NoQuorum

if TYPE_CHECKING:
    from meadowdock.config_store.revision import Revision


class QuorumUnreachable(NoQuorum):
    """This member is not in contact with a quorum; raised before the operation started.

    listeners: {listener name: address} of another member that reports a quorum; empty if none does.
    """

    def __init__(self, listeners: Mapping[str, str] | None = None) -> None:
        super().__init__("no quorum of the members answers")
        self.listeners = dict(listeners or {})


class RevisionConflict(Exception):
    """The current revision is not the one that a change was based on.

    current: the current revision.
    """

    def __init__(self, current: Revision) -> None:
        super().__init__(f"the current revision is {current.version}")
        self.current = current


class InvalidConfiguration(Exception):
    """A configuration violates the schema or its rules.

    errors: one text for each violation.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__(f"invalid configuration: {len(errors)} errors")
        self.errors = errors


class PlanUnknown(Exception):
    """The plan does not exist: it was never created, or its chunk has been removed."""

    def __init__(self, plan_id: object) -> None:
        super().__init__(f"plan {plan_id} is unknown")


class PlanExpired(Exception):
    """The plan is too old to be committed."""

    def __init__(self, plan_id: str) -> None:
        super().__init__(f"plan {plan_id} has expired")
        self.plan_id = plan_id


class PlanOutdated(Exception):
    """The configuration changed after the plan was created.

    base: the version that the plan is based on. current: the current version. changed_since: what
    changed between them, by section; None if the chunks of the base have been removed.
    """

    def __init__(
        self, plan_id: str, base: int, current: int, changed_since: dict[str, Any] | None
    ) -> None:
        super().__init__(f"plan {plan_id} is based on {base}, the current revision is {current}")
        self.plan_id, self.base, self.current = plan_id, base, current
        self.changed_since = changed_since


class MembershipConflict(Exception):
    """The membership can't be changed now.

    code: the reason, as reported to operators. details: further fields of the response to them.
    """

    def __init__(self, code: str, **details: object) -> None:
        super().__init__(code)
        self.code, self.details = code, details
