"""The RPC handlers for revisions, chunks and audit records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import NoQuorum
from meadowdock.rpc import Handlers, Rejected
from meadowdock.runtime import SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

READ_TIMEOUT_US = SECOND


class RevisionHandlers:
    """Handlers of requests that concern the current revision and the files that it refers to."""

    handlers = Handlers()

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    @handlers.on("manifest.head")
    async def on_current_revision(self, peer: object, known_version: int) -> dict[str, Any]:
        """Return the current revision to a proxy, by a quorum read.

        If the proxy knows it already, only its version is returned.

        :raises Rejected: "no_majority" if no quorum answers
        """
        try:
            revision = await self.server.revisions.read(monotonic_us() + READ_TIMEOUT_US)
        except NoQuorum:
            raise Rejected("no_majority") from None
        if revision.version <= known_version:
            return {"version": revision.version}
        return revision.to_update()

    @handlers.on("duty.claim")
    async def on_claim(self, peer: object, claim: object) -> None:
        """Reject the claim of a registry of an older release: such claims never expire.

        :raises Rejected: always
        """
        raise Rejected("lease_required")

    @handlers.on("blob.missing")
    async def on_missing_chunks(self, peer: object, names: list[str]) -> list[str]:
        """Return those of these chunks that this member lacks."""
        missing: list[str] = await self.server.store.missing_chunks(names)
        return missing

    @handlers.on("blob.put")
    async def on_put_chunks(self, peer: object, bodies: list[bytes]) -> list[str]:
        """Store chunks, and return their names.

        :raises Rejected: "disk" if they can't be written
        """
        with disk_failures_rejected():
            return [await self.server.store.put_chunk(bytes(body)) for body in bodies]

    @handlers.on("audit.put")
    async def on_put_audit_records(self, peer: object, records: dict[int, str]) -> None:
        """Store audit records.

        :raises Rejected: "disk" if they can't be written
        """
        with disk_failures_rejected():
            await self.server.store.audit_log.put(records)
