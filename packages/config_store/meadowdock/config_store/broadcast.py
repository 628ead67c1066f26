"""Chunks and audit records on a durable quorum of the members.

These files are written before the revision that names them is proposed, so a committed revision can
be read after the losses that the deployment tolerates.
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
RemoteWrite = Callable[[str], Awaitable[object]]  # of a member's address
IsEnough = Callable[[Iterable[str]], bool]  # of the disk ids that are through


class Broadcast:
    """Writes to this member and all others at once."""

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    def peers(self) -> dict[str, str]:
        """{disk id: address} of all other members."""
        store = self.server.store
        return {disk: address for disk, address in store.members.items() if disk != store.disk}

    async def ask_peers(self, method: str, args: object, deadline: int) -> dict[str, Any]:
        """{disk id: answer} of the other members that answer."""
        requests = {disk: (address, method, args) for disk, address in self.peers().items()}
        return await self.server.node.rpc.successful_responses(requests, deadline)

    async def write_to_quorum(
        self,
        write_here: LocalWrite,
        write_at: RemoteWrite,
        deadline: int,
        is_enough: IsEnough | None = None,
    ) -> None:
        """Run both kinds of write, and return once enough members are through; slower ones go on
        until the deadline. Enough is a durable quorum, unless is_enough says otherwise.

        :raises NoQuorum: too few were through by the deadline
        """
        is_enough = is_enough or self.server.proposer.is_durable
        written: set[str] = set()
        done = trio.Event()
        writes = {self.server.store.disk: write_here()}
        writes |= {disk: write_at(address) for disk, address in self.peers().items()}
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
            raise NoQuorum("files")

    async def replicate_chunks(
        self, bodies: Mapping[str, bytes], deadline: int, is_enough: IsEnough | None = None
    ) -> None:
        """Put chunks on every member that answers; each member is sent only what it lacks.

        :raises NoQuorum: fewer members than a durable quorum, or than is_enough asks for, hold all
        """
        names = list(bodies)
        call = self.server.node.rpc.call

        async def write_at(address: str) -> None:
            missing = await call(address, "blob.missing", names, deadline)
            for start in range(0, len(missing), CHUNKS_PER_MESSAGE):
                batch = [bodies[name] for name in missing[start : start + CHUNKS_PER_MESSAGE]]
                await call(address, "blob.put", batch, deadline)

        async def write_here() -> None:
            for body in bodies.values():
                await self.server.store.put_chunk(body)

        await self.write_to_quorum(write_here, write_at, deadline, is_enough)

    async def replicate_audit_records(self, records: dict[int, str], deadline: int) -> None:
        """Put audit records, {version: record}, on every member that answers.

        :raises NoQuorum: fewer members than a durable quorum hold them
        """

        async def write_at(address: str) -> None:
            await self.server.node.rpc.call(address, "audit.put", records, deadline)

        await self.write_to_quorum(
            lambda: self.server.store.audit_log.put(records), write_at, deadline
        )
