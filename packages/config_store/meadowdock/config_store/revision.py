"""Revisions of the configuration, and the plans that lead to them.

The current revision is the value of one consensus key, and a plan is stored as a chunk. This module
has the decoded form of both; the names of their stored fields occur in no other module.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeGuard

import ormsgpack

from meadowdock.config_store import repair
from meadowdock.runtime import fingerprint

PLAN_ID_LENGTH = 32  # hexadecimal digits of a fingerprint
HISTORY_LENGTH = repair.RETAINED_VERSIONS  # revisions listed in the history of the current one


@dataclass(frozen=True, slots=True)
class Revision:
    """One revision of the configuration.

    chunks: the names of its chunks: first those of the operators' configuration, then those of
    items. item_chunk_count: how many chunks at the end hold items; None if the revision was stored
    by a release without items. history: (version, plan id) of the latest revisions, ending with
    this one. audit_record: the signed record of the change that led to this revision; None for the
    empty revision.
    """

    version: int
    chunks: tuple[str, ...]
    item_chunk_count: int | None
    plan_id: str
    history: tuple[tuple[int, str], ...]
    audit_record: str | None

    @classmethod
    def from_record(cls, record: Mapping[str, Any] | None) -> Revision:
        """Decode the value of the consensus key; None gives the empty revision."""
        if record is None:
            return EMPTY_REVISION
        return cls(
            version=record["version"],
            chunks=tuple(record["ranges"]),
            item_chunk_count=record.get("items"),
            plan_id=record["plan"],
            history=tuple((version, plan_id) for version, plan_id in record["history"]),
            audit_record=record.get("record") or None,
        )

    def to_record(self) -> dict[str, Any]:
        """Encode as the value of the consensus key."""
        return {
            "version": self.version,
            "ranges": list(self.chunks),
            "items": self.item_chunk_count,
            "plan": self.plan_id,
            "history": [[version, plan_id] for version, plan_id in self.history],
            "record": self.audit_record,
        }

    def to_update(self) -> dict[str, Any]:
        """Build the message that tells a proxy which chunks to load."""
        update = {"version": self.version, "ranges": list(self.chunks)}
        if self.item_chunk_count is None:
            return update
        return {**update, "items": self.item_chunk_count}

    @property
    def configuration_chunks(self) -> tuple[str, ...]:
        """The chunks of the operators' configuration."""
        return self.chunks[: len(self.chunks) - (self.item_chunk_count or 0)]

    @property
    def item_chunks(self) -> tuple[str, ...]:
        """The chunks of items."""
        return self.chunks[len(self.chunks) - (self.item_chunk_count or 0) :]

    def version_of(self, plan_id: str) -> int:
        """Return the version that a plan became, or 0 if the history doesn't contain the plan."""
        return next((version for version, known in self.history if known == plan_id), 0)

    def successor(self, plan_id: str, plan: Plan, audit_record: str) -> Revision:
        """Build the revision that follows this one when a plan based on it is committed."""
        version = self.version + 1
        return Revision(
            version=version,
            chunks=plan.chunks,
            item_chunk_count=plan.item_chunk_count,
            plan_id=plan_id,
            history=(*self.history, (version, plan_id))[-HISTORY_LENGTH:],
            audit_record=audit_record,
        )


EMPTY_REVISION = Revision(0, (), None, "", (), None)


@dataclass(frozen=True, slots=True)
class Plan:
    """The content of the next revision, valid only while its base is the current revision.

    created_us: wall clock, in microseconds. author: the name of the proposer that changes items, so
    that two identical changes have different plan ids; None for an operator's plan.
    """

    base: int
    chunks: tuple[str, ...]
    item_chunk_count: int
    created_us: int
    author: str | None = None

    @classmethod
    def decode(cls, body: bytes) -> Plan:
        """Decode the chunk of a plan."""
        record = ormsgpack.unpackb(body)
        return cls(
            base=record["base"],
            chunks=tuple(record["ranges"]),
            item_chunk_count=record.get("items", 0),
            created_us=record.get("made", 0),
            author=record.get("by"),
        )

    def encode(self) -> bytes:
        """Encode as a chunk.

        The plan's id is a hash of the encoded form, so the order of the fields must not change.
        """
        record: dict[str, Any] = {
            "base": self.base,
            "ranges": list(self.chunks),
            "items": self.item_chunk_count,
            "made": self.created_us,
        }
        if self.author is not None:
            record["by"] = self.author
        return ormsgpack.packb(record)

    @property
    def configuration_chunks(self) -> tuple[str, ...]:
        """The chunks of the operators' configuration."""
        return self.chunks[: len(self.chunks) - self.item_chunk_count]


def plan_id_of(body: bytes) -> str:
    """Return the id of a plan: the fingerprint of its encoded form."""
    return fingerprint(body)


def is_plan_id(value: object) -> TypeGuard[str]:
    """Whether a value has the form of a plan id.

    >>> is_plan_id("0f" * 16), is_plan_id("0f"), is_plan_id(7)
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and len(value) == PLAN_ID_LENGTH
        and set(value) <= set("0123456789abcdef")
    )
