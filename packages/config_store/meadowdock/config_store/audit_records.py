"""The signed audit record of each change of the configuration."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from meadowdock import audit
from meadowdock.config_store.revision import Plan, Revision

if TYPE_CHECKING:
    from meadowdock.process import Node


class AuditSigner:
    """Signs audit records with the key that is derived from the fleet key."""

    def __init__(self, node: Node) -> None:
        self.node = node

    @cached_property
    def key(self) -> audit.SigningKey:
        """The signing key. Its first use loads the cryptographic libraries, which takes a while."""
        return audit.signing_key(self.node.settings.fleet_key)

    def sign(self, current: Revision, plan_id: str, plan: Plan) -> str:
        """Sign the record of the change that makes a plan the successor of the current revision.

        It contains the hash of the current revision's record, which chains the records.
        """
        previous_hash = audit.record_hash(current.audit_record) if current.audit_record else ""
        return audit.sign(
            self.key,
            {
                "version": current.version + 1,
                "plan": plan_id,
                "base": plan.base,
                "ranges": audit.record_hash(" ".join(plan.chunks)),
                "at": str(self.node.runtime.wall_us()),
                "former": previous_hash,
            },
        )
