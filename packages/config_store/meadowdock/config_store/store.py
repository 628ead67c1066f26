"""The state on a member's disk: disk id, membership configuration, keys, chunks and audit log."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random
from typing import cast

import ormsgpack
import trio

from meadowdock.config_store.audit_log import AuditLog
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.monitored_disk import MonitoredDisk
from meadowdock.consensus import NO_LOSSES, Acceptor, VoterSets
from meadowdock.rpc import Rejected
from meadowdock.runtime import Disk, add_checksum, fingerprint, monotonic_us, verify_checksum

RETAINED_CONFIGURATIONS = 2  # the newest, and one to fall back to if that is damaged


CURRENT_REVISION_KEY = "manifest/head"  # the consensus key of the current revision


class Store:
    """The durable state of one member.

    Invariants: the disk id is set by the first start on an empty directory, or by the start that
    found the disk damaged; the version of the membership configuration only increases, and a
    configuration is on disk before it is used; a chunk is named by the fingerprint of its body.
    """

    def __init__(self, disk: Disk, rng: Random, log: Callable[..., None]) -> None:
        self.disk, self.rng, self.log = MonitoredDisk(disk), rng, log
        self.acceptor = Acceptor(cast("Disk", self.disk), log)
        self.chunk_lock = trio.Lock()  # held while a chunk is looked up or removed
        self.chunk_used_at: dict[str, int] = {}  # chunk -> when it was last requested
        self.started_at = monotonic_us()
        self.adopt_lock = trio.Lock()
        self.blank_at_start = False
        self.disk_id = ""  # empty until load() has run
        self.membership: MembershipConfiguration | None = None
        self.tolerance = NO_LOSSES
        self.audit_log = AuditLog(cast("Disk", self.disk))

    async def load(self) -> None:
        """Read the membership configuration, audit log, keys and disk id from the disk.

        A disk that has lost state gets a new id.
        """
        versions = await self.disk.list_folder("members")
        # Takes the newest readable one: even an older one has useful addresses of the members.
        for version in reversed(versions):
            body = verify_checksum(await self.disk.read(f"members/{version}"))
            if body is not None:
                self.membership = MembershipConfiguration.from_record(ormsgpack.unpackb(body))
                break
        lost_configuration = bool(versions) and (body is None or version != versions[-1])
        await self.audit_log.load()
        disk_id = verify_checksum(await self.disk.read("disk"))
        await self.acceptor.load()
        damaged_folders = self.acceptor.damaged_key_folders()
        self.blank_at_start = not versions and not self.acceptor.states
        if disk_id is None or damaged_folders or lost_configuration:
            # The disk is new, or it counts as lost: its id is unreadable, the newest file of a key
            # is damaged (an older one would lack later promises), or the newest configuration is
            # damaged (under an older one, replaced voters would vote). A lost disk continues under
            # a new id and keeps the configuration, to apply for the place of the old disk.
            disk_id = f"{self.rng.getrandbits(64):016x}".encode()
            await self.disk.write("disk", add_checksum(disk_id))
        if damaged_folders:
            await self.disk.rename_folder("key", f"aside-{disk_id.decode()}")
            self.acceptor = Acceptor(cast("Disk", self.disk), self.log)
        self.disk_id = disk_id.decode()

    @property
    def is_blank(self) -> bool:
        """Whether this disk never belonged to a member.

        It holds no state now, and held none when the process started.
        """
        return self.blank_at_start and self.membership is None

    async def adopt(self, membership: MembershipConfiguration) -> None:
        """Store a newer membership configuration, then use it.

        Configurations are stored one at a time, so that an older one whose write is slow can't
        replace a newer one.
        """
        if not self.is_newer(membership):
            return
        async with self.adopt_lock:
            if not self.is_newer(membership):
                return
            name = f"members/{membership.version:08d}"
            await self.disk.write(name, add_checksum(ormsgpack.packb(membership.to_record())))
            self.membership = membership
            await self.remove_old_configurations()

    def is_newer(self, membership: MembershipConfiguration) -> bool:
        """Whether a membership configuration is newer than the stored one."""
        return self.membership is None or membership.version > self.membership.version

    async def remove_old_configurations(self) -> None:
        """Remove all membership configurations but the newest two."""
        names = sorted(await self.disk.list_folder("members"))
        for name in names[:-RETAINED_CONFIGURATIONS]:
            await self.disk.remove(f"members/{name}")

    @property
    def members(self) -> dict[str, str]:
        """{disk id: address} of all disks that have a vote."""
        return {} if self.membership is None else self.membership.members

    @property
    def voter_sets(self) -> VoterSets:
        """The voter sets of the current membership configuration."""
        if self.membership is None:
            return VoterSets(tolerance=self.tolerance)
        return self.membership.voter_sets(self.tolerance)

    @property
    def is_voter(self) -> bool:
        """Whether this disk has a vote."""
        return self.disk_id in self.members

    @property
    def is_established_voter(self) -> bool:
        """Whether this disk votes independently of a change in progress.

        In a joint configuration only the old voters do.
        """
        return self.membership is not None and self.disk_id in self.membership.voters

    async def put_chunk(self, body: bytes) -> str:
        """Store a chunk, and return its name."""
        name = fingerprint(body)
        if await self.touch_chunk(name) is None:
            await self.disk.write(f"blob/{name}", body)
        return name

    async def read_chunk(self, name: str) -> bytes | None:
        """Read the body of a chunk, or None if it is missing or damaged."""
        body = await self.disk.read(f"blob/{name}")
        return body if body is not None and fingerprint(body) == name else None

    async def touch_chunk(self, name: str) -> bytes | None:
        """Read a chunk, and restart its idle time, which protects it from `remove_idle_chunk`."""
        async with self.chunk_lock:
            self.chunk_used_at[name] = monotonic_us()
            return await self.read_chunk(name)

    async def missing_chunks(self, names: Sequence[str]) -> list[str]:
        """Return those of these chunks that are missing here, and touch the others."""
        present = set()
        for name in names:
            if await self.touch_chunk(name) is not None:
                present.add(name)
            await trio.lowlevel.checkpoint()
        return [name for name in names if name not in present]

    async def chunk_names(self) -> list[str]:
        """List the names of all chunks on this disk."""
        names: list[str] = await self.disk.list_folder("blob")
        return names

    async def chunk_sizes(self) -> dict[str, int]:
        """Return the bytes of each chunk on this disk by its name."""
        sizes: dict[str, int] = await self.disk.file_sizes("blob")
        return sizes

    def chunk_last_used(self, name: str) -> int:
        """Return when a chunk was last requested, or when the process started if it never was."""
        return self.chunk_used_at.get(name, self.started_at)

    async def remove_idle_chunk(self, name: str, idle_us: int) -> bool:
        """Remove a chunk that was not requested within this time.

        :returns: whether it was removed.
        """
        async with self.chunk_lock:
            if monotonic_us() - self.chunk_last_used(name) < idle_us:
                return False
            await self.disk.remove(f"blob/{name}")
            self.chunk_used_at.pop(name, None)
            return True


@contextmanager
def disk_failures_rejected() -> Iterator[None]:
    """Reject another member's request if the disk can't be written.

    :raises Rejected: with the code "disk".
    """
    try:
        yield
    except OSError as cause:
        raise Rejected("disk", cause=str(cause)) from None
