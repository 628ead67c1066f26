"""What an mdconf keeps: its disk id, the members' record, range files, and the register."""

from __future__ import annotations

import ormsgpack
import trio

from mdregister import Keeper, sealed, unsealed
from mdseam import fingerprint


class Store:
    """Invariants: disk is fixed by the first start on an empty folder; record only goes up in
    version and is on disk before it is used; a blob's name is its body's fingerprint."""

    def __init__(self, disk, rng, log):
        self.files, self.rng, self.log = disk, rng, log
        self.keeper = Keeper(disk, log)
        self.disk = None
        # {"version": n, "voters": {disk id: address}, "next": the same, or None}; while next is
        # set the members change, and a quorum is a majority of voters and one of next
        self.record = None

    async def load(self):
        kept = unsealed(await self.files.read("disk"))
        if kept is None:
            # an unreadable id is a lost disk: this is a new member
            kept = f"{self.rng.getrandbits(64):016x}".encode()
            await self.files.write("disk", sealed(kept))
        self.disk = kept.decode()
        versions = await self.files.names("members")
        if versions:
            body = unsealed(await self.files.read(f"members/{max(versions)}"))
            if body is not None:
                self.record = ormsgpack.unpackb(body)
        await self.keeper.load()

    async def adopt(self, record):
        if self.record is not None and record["version"] <= self.record["version"]:
            return
        name = f"members/{record['version']:08d}"
        await self.files.write(name, sealed(ormsgpack.packb(record)))
        self.record = record

    @property
    def everybody(self):
        """{disk id: address} of all that have a vote."""
        if self.record is None:
            return {}
        return {**self.record["voters"], **(self.record["next"] or {})}

    @property
    def groups(self):
        if self.record is None:
            return []
        return [list(g) for g in (self.record["voters"], self.record["next"]) if g]

    @property
    def voter(self):
        return self.disk in self.everybody

    async def put_blob(self, body):
        name = fingerprint(body)
        if await self.blob(name) is None:
            await self.files.write(f"blob/{name}", body)
        return name

    async def blob(self, name):
        """The body, or None if it is missing or rotten."""
        body = await self.files.read(f"blob/{name}")
        return body if body is not None and fingerprint(body) == name else None

    async def missing(self, names):
        held = set()
        for name in names:
            if await self.blob(name) is not None:
                held.add(name)
            await trio.lowlevel.checkpoint()
        return [name for name in names if name not in held]


async def rescue(disk, link, change):
    """What this disk holds; with change, it becomes the only voter, under a record that is
    newer than any the others can have."""
    store = Store(disk, None, lambda *_, **__: None)
    if await disk.read("disk") is None:
        raise SystemExit("there is no member's disk here")
    await store.load()
    head = store.keeper.cells.get(fingerprint(b"manifest/head"))
    version = head.value["version"] if head and head.value else 0
    if change and store.record:
        record = {"version": store.record["version"] + 1000, "voters": {store.disk: link}}
        await store.adopt({**record, "next": None})
    return f"disk {store.disk}, manifest version {version}, members' record {store.record}"
