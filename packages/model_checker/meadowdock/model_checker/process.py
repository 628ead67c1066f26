"""The real code of a register's process, on a disk in memory and a network that the explorer owns."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import ormsgpack
import trio

from meadowdock.config_store.members import MembershipManager
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import Proposer
from meadowdock.runtime import MemoryDisk, add_checksum


def no_log(*_: object, **__: object) -> None:
    """Log events are of no interest here."""


class ModelMembers(MembershipManager):
    """Members as it is, without what looks for processes and without chunks of configuration.
    target_disks: {disk id: address} that the explored change of members leads to."""

    proposer: Proposer  # set once the process begins an operation

    def __init__(
        self, node: SimpleNamespace, store: Store, target_disks: dict[str, str] | None = None
    ) -> None:
        self.node = node
        self.store = store
        self.target_disks = target_disks or {}
        self.handover = SimpleNamespace(retired=False)
        self.init_membership()

    async def disks_at(self, addresses: Collection[str], deadline: int) -> dict[str, str]:
        """Without asking: those of the explored change."""
        return self.target_disks

    async def transfer_files(
        self, deadline: int, enough: Callable[..., bool] | None = None
    ) -> None:
        """Chunks are no part of the model."""

    def is_stuck(self, membership: MembershipConfiguration) -> bool:
        """Who is reachable is no part of the model: newcomers always are."""
        return False


class InstantDisk(MemoryDisk):
    """Without a turn of the scheduler for each step: a request is handled in one step anyway."""

    async def write(self, name: str, data: bytes) -> None:
        """As of Disk."""
        self.files[name] = data

    async def read(self, name: str) -> bytes | None:
        """As of Disk."""
        return self.files.get(name)

    async def names(self, folder: str) -> list[str]:
        """As of Disk."""
        start = f"{folder}/"
        return sorted({n[len(start) :].split("/")[0] for n in self.files if n.startswith(start)})

    async def remove(self, name: str) -> None:
        """As of Disk."""
        self.files.pop(name, None)


@dataclass(frozen=True)
class Implementation:
    """The classes under test. A planted fault replaces one by a subclass."""

    store: type = Store
    members: type = ModelMembers


def make_node(
    name: str, rpc: object = None, nursery: trio.Nursery | None = None
) -> SimpleNamespace:
    """As much of a node as the register's code uses."""
    settings = SimpleNamespace(link=name, zone="", members=(), seeds=("seed",), losses=1)
    runtime = SimpleNamespace(rng=random.Random(name))
    return SimpleNamespace(
        settings=settings,
        runtime=runtime,
        rpc=rpc,
        nursery=nursery,
        incarnation=0,
        stopping=False,
    )


async def make_store(
    implementation: Implementation,
    disk_id: str,
    record: dict[str, Any] | None,
    files: dict[str, bytes] | None = None,
) -> Store:
    """A store as a start of the process on this disk gives it."""
    disk = InstantDisk()
    disk.files = files if files is not None else {"disk": add_checksum(disk_id.encode())}
    store: Store = implementation.store(disk, random.Random(disk_id), no_log)
    await store.load()
    if record is not None:
        await store.adopt(MembershipConfiguration.from_record(record))
    return store


def voters_record(
    version: int, voters: Iterable[str], joint: Iterable[str] | None = None
) -> dict[str, Any]:
    """A membership configuration in which each disk's address is its id."""
    named = {disk: disk for disk in voters}
    return {
        "version": version,
        "voters": named,
        "next": None if joint is None else {disk: disk for disk in joint},
    }


def packed(value: object) -> bytes:
    """As on the wire."""
    return ormsgpack.packb(value)
