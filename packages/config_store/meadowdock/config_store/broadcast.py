"""Replication of chunks and audit records to a durable quorum of the members.

These files are written before the revision that refers to them is proposed, so a committed revision
can be read after the losses that the deployment tolerates.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

import trio

from meadowdock.consensus import NoQuorum
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import deadline_scope

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

CHUNKS_PER_MESSAGE = 64

LocalWrite = Callable[[], Awaitable[object]]
RemoteWrite = Callable[[str], Awaitable[object]]  # takes a member's address
IsEnough = Callable[[Iterable[str]], bool]  # takes the disk ids that completed the write


class Broadcast:
    """Writes to this member and all others concurrently."""

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    def peers(self) -> dict[str, str]:
        """Return {disk id: address} of all other members."""
        store = self.server.store
        return {disk: address for disk, address in store.members.items() if disk != store.disk_id}

    async def call_peers(self, method: str, args: object, deadline: int) -> dict[str, Any]:
        """Call a method of all other members, and return {disk id: answer} of those that answer."""
        requests = {disk: (address, method, args) for disk, address in self.peers().items()}
        return await self.server.node.rpc.successful_responses(requests, deadline)

    async def write_to_quorum(
        self,
        write_locally: LocalWrite,
        write_remotely: RemoteWrite,
        deadline: int,
        is_enough: IsEnough | None = None,
    ) -> None:
        """Run the local and the remote writes, and return once enough members have completed.

        Slower writes continue until the deadline. Enough is a durable quorum, unless is_enough says
        otherwise.

        :raises NoQuorum: too few members completed by the deadline
        """
        is_enough = is_enough or self.server.proposer.is_durable
        written: set[str] = set()
        done = trio.Event()
        writes = {self.server.store.disk_id: write_locally()}
        writes |= {disk: write_remotely(address) for disk, address in self.peers().items()}
        pending = set(writes)

        async def run_write(disk: str, write: Awaitable[object]) -> None:
            with deadline_scope(deadline):
                try:
                    await write
                    written.add(disk)
                except (ConnectionFailed, Rejected, OSError):
                    pass
            pending.discard(disk)
            if not pending or is_enough(written):
                done.set()

        for disk, write in writes.items():
            self.server.node.nursery.start_soon(run_write, disk, write)
        with deadline_scope(deadline):
            await done.wait()
        if not is_enough(written):
            raise NoQuorum("chunks and audit records")

    async def replicate_chunks(
        self, bodies: Mapping[str, bytes], deadline: int, is_enough: IsEnough | None = None
    ) -> None:
        """Write chunks to every member that answers; each member is sent only what it lacks.

        :raises NoQuorum: fewer members than a durable quorum, or than is_enough requires, hold all
            chunks
        """
        names = list(bodies)
        call = self.server.node.rpc.call

        async def write_remotely(address: str) -> None:
            missing = await call(address, "blob.missing", names, deadline)
            for start in range(0, len(missing), CHUNKS_PER_MESSAGE):
                batch = [bodies[name] for name in missing[start : start + CHUNKS_PER_MESSAGE]]
                await call(address, "blob.put", batch, deadline)

        async def write_locally() -> None:
            for body in bodies.values():
                await self.server.store.put_chunk(body)

        await self.write_to_quorum(write_locally, write_remotely, deadline, is_enough)

    async def replicate_audit_records(self, records: dict[int, str], deadline: int) -> None:
        """Write audit records, {version: record}, to every member that answers.

        :raises NoQuorum: fewer members than a durable quorum hold them
        """

        async def write_remotely(address: str) -> None:
            await self.server.node.rpc.call(address, "audit.put", records, deadline)

        await self.write_to_quorum(
            lambda: self.server.store.audit_log.put(records), write_remotely, deadline
        )
