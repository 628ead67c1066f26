"""What an mdconf keeps: its disk id, the members' record, range files, and the register."""

from __future__ import annotations

from contextlib import contextmanager

import ormsgpack
import trio

from meadowdock.config_store.audit_log import AuditLog
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.consensus import NO_LOSSES, Acceptor, VoterSets
from meadowdock.rpc import Rejected
from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sealed, unsealed

RECORDS_KEPT = 2  # the newest, and one to go on from should that be damaged


# The configuration of a rescued member must be newer than any that the lost members can have.
RESCUE_VERSION_STEP = 1000

HEAD = "manifest/head"  # the register key of the current revision


class Store:
    """Invariants: disk is fixed by the first start on an empty folder, or by the start that found
    a key file rotten; record only goes up in version and is on disk before it is used; a blob's
    name is its body's fingerprint."""

    def __init__(self, disk, rng, log):
        self.files, self.rng, self.log = Watched(disk), rng, log
        self.acceptor = Acceptor(self.files, log)
        self.gate = trio.Lock()  # who looks for a range file, and who removes one
        self.touched = {}  # range file -> when somebody last asked after it
        self.begun = monotonic_us()
        self.adopting = trio.Lock()
        self.blank_at_start = False
        self.disk = None
        self.membership: MembershipConfiguration | None = None
        self.tolerance = NO_LOSSES
        self.audit_log = AuditLog(self.files)

    async def load(self):
        """Read the disk: record, trail, keys and disk id. A disk that lost something becomes another."""
        versions = await self.files.names("members")
        # the newest that can be read; the others' addresses are good even of an older one
        for version in reversed(versions):
            body = unsealed(await self.files.read(f"members/{version}"))
            if body is not None:
                self.membership = MembershipConfiguration.from_record(ormsgpack.unpackb(body))
                break
        forgot = bool(versions) and (body is None or version != versions[-1])
        await self.audit_log.load()
        kept = unsealed(await self.files.read("disk"))
        await self.acceptor.load()
        lost = self.acceptor.lost_keys()
        self.blank_at_start = not versions and not self.acceptor.states
        if kept is None or lost or forgot:
            # an unreadable id, a key whose older file would forget promises, or a record whose
            # older file would let former voters vote: a lost disk. What is here goes on as
            # another; the record stays, to ask for the former one's place
            kept = f"{self.rng.getrandbits(64):016x}".encode()
            await self.files.write("disk", sealed(kept))
        if lost:
            await self.files.move("key", f"aside-{kept.decode()}")
            self.acceptor = Acceptor(self.files, self.log)
        self.disk = kept.decode()

    @property
    def blank(self):
        """Never was a member: nothing is here, nor was when the process began."""
        return self.blank_at_start and self.membership is None

    async def adopt(self, membership):
        """Store a newer membership configuration, then go by it. One at a time: an older one that
        took longer to write must not follow a newer."""
        if not self.is_newer(membership):
            return
        async with self.adopting:
            if not self.is_newer(membership):
                return
            name = f"members/{membership.version:08d}"
            await self.files.write(name, sealed(ormsgpack.packb(membership.to_record())))
            self.membership = membership
            await self.remove_old_records()

    def is_newer(self, membership):
        """Whether a membership configuration is newer than the one here."""
        return self.membership is None or membership.version > self.membership.version

    async def remove_old_records(self):
        """Keep the newest two membership records."""
        names = sorted(await self.files.names("members"))
        for name in names[:-RECORDS_KEPT]:
            await self.files.remove(f"members/{name}")

    @property
    def everybody(self):
        """{disk id: address} of all that have a vote."""
        return {} if self.membership is None else self.membership.members

    @property
    def voter_sets(self) -> VoterSets:
        """The voter sets of the present membership configuration."""
        if self.membership is None:
            return VoterSets(tolerance=self.tolerance)
        return self.membership.voter_sets(self.tolerance)

    @property
    def voter(self):
        """Whether this disk has a vote."""
        return self.disk in self.everybody

    @property
    def settled(self):
        """A member whatever becomes of a change under way."""
        return self.membership is not None and self.disk in self.membership.voters

    async def put_blob(self, body):
        """Store a chunk; gives its name."""
        name = fingerprint(body)
        if await self.held(name) is None:
            await self.files.write(f"blob/{name}", body)
        return name

    async def blob(self, name):
        """The body, or None if it is missing or rotten."""
        body = await self.files.read(f"blob/{name}")
        return body if body is not None and fingerprint(body) == name else None

    async def held(self, name):
        """As blob; and nobody removes it for two plan lives."""
        async with self.gate:
            self.touched[name] = monotonic_us()
            return await self.blob(name)

    async def missing(self, names):
        """Which of these chunks are not held."""
        held = set()
        for name in names:
            if await self.held(name) is not None:
                held.add(name)
            await trio.lowlevel.checkpoint()
        return [name for name in names if name not in held]

    async def names(self):
        """The names of all chunks here."""
        return await self.files.names("blob")

    async def drop_idle(self, name, idle_us):
        """Remove a chunk that nobody asked for lately; says whether it did."""
        async with self.gate:
            if monotonic_us() - self.touched.get(name, self.begun) < idle_us:
                return False
            await self.files.remove(f"blob/{name}")
            self.touched.pop(name, None)
            return True


class Watched:
    """A disk, and whether it can be written. Invariants: failed is the cause of the last write
    that broke, until one succeeds; pending holds when each write under way began."""

    LATE = SECOND

    def __init__(self, disk):
        self.disk = disk
        self.failed, self.pending = None, {}

    def __getattr__(self, name):
        return getattr(self.disk, name)

    async def write(self, name, data):
        """Write a file, noting how long it takes and whether it fails."""
        token = object()
        self.pending[token] = monotonic_us()
        try:
            await self.disk.write(name, data)
            self.failed = None
        except OSError as cause:
            self.failed = str(cause)
            raise
        finally:
            del self.pending[token]

    def wrong(self):
        """Why the disk can't be relied on now, or None."""
        if self.failed:
            return f"the disk can't be written: {self.failed}"
        if self.pending and monotonic_us() - min(self.pending.values()) > self.LATE:
            return "the disk does not answer"
        return None

    async def look(self):
        """After a breakdown: is there room again?"""
        if self.failed:
            try:
                await self.write("probe", b"")
            except OSError:
                pass


async def rescue(disk, link, change):
    """What this disk holds; with change, it becomes the only voter, under a record that is
    newer than any the others can have."""
    store = Store(disk, None, lambda *_, **__: None)
    if await disk.read("disk") is None:
        raise SystemExit("there is no member's disk here")
    await store.load()
    head = store.acceptor.states.get(fingerprint(HEAD.encode()))
    version = head.value["version"] if head and head.value else 0
    if change and store.membership:
        rescued = store.membership.version + RESCUE_VERSION_STEP
        await store.adopt(MembershipConfiguration(rescued, {store.disk: link}))
    record = store.membership.to_record() if store.membership else None
    return f"disk {store.disk}, manifest version {version}, members' record {record}"


@contextmanager
def disk_failures_rejected():
    """To who asked over a link, a disk that can't be written is a word, no defect."""
    try:
        yield
    except OSError as cause:
        raise Rejected("disk", cause=str(cause)) from None
