"""The production code of a register process, on a disk in memory and under a controlled network."""

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


def discard_log(*_: object, **__: object) -> None:
    """Discard a log event."""


class ModelMembers(MembershipManager):
    """The production MembershipManager, without process discovery and configuration chunks.

    :ivar target_disks: {disk id: address} of the voters that the explored membership change leads
        to.
    """

    proposer: Proposer  # set once the process begins an operation

    def __init__(
        self, node: SimpleNamespace, store: Store, target_disks: dict[str, str] | None = None
    ) -> None:
        self.node = node
        self.store = store
        self.target_disks = target_disks or {}
        self.handover = SimpleNamespace(retired=False)
        self.init_membership()

    async def resolve_disks(self, addresses: Collection[str], deadline: int) -> dict[str, str]:
        """Return the target disks of the explored change, without asking any process."""
        return self.target_disks

    async def transfer_files(
        self, deadline: int, is_enough: Callable[..., bool] | None = None
    ) -> None:
        """Transfer no files: configuration chunks are not part of the model."""

    def has_stalled(self, membership: MembershipConfiguration) -> bool:
        """Return False: the model has no liveness detection, new members are always reachable."""
        return False


class InstantDisk(MemoryDisk):
    """A disk in memory that never yields to the scheduler.

    The model handles each request in one step, so interleavings of disk operations don't matter.
    """

    async def write(self, name: str, data: bytes) -> None:
        """Write a file."""
        self.files[name] = data

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it doesn't exist."""
        return self.files.get(name)

    async def list_folder(self, folder: str) -> list[str]:
        """Return the names in a folder, sorted."""
        prefix = f"{folder}/"
        return sorted({n[len(prefix) :].split("/")[0] for n in self.files if n.startswith(prefix)})

    async def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self.files.pop(name, None)


@dataclass(frozen=True)
class Implementation:
    """The classes under test; a planted fault replaces one of them by a subclass."""

    store: type = Store
    members: type = ModelMembers


def make_node(
    name: str, rpc: object = None, nursery: trio.Nursery | None = None
) -> SimpleNamespace:
    """Return a substitute for a node, with the attributes that the register's code uses."""
    settings = SimpleNamespace(rpc_address=name, zone="", members=(), seeds=("seed",), losses=1)
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
    """Return a store in its state after a start of the process on this disk.

    :param record: a membership record to adopt, or None.
    :param files: the content of the disk; by default it is blank except for the disk id.
    """
    disk = InstantDisk()
    disk.files = files if files is not None else {"disk": add_checksum(disk_id.encode())}
    store: Store = implementation.store(disk, random.Random(disk_id), discard_log)
    await store.load()
    if record is not None:
        await store.adopt(MembershipConfiguration.from_record(record))
    return store


def voters_record(
    version: int, voters: Iterable[str], joint: Iterable[str] | None = None
) -> dict[str, Any]:
    """Return a membership record in which the address of each disk is its id."""
    addresses = {disk: disk for disk in voters}
    return {
        "version": version,
        "voters": addresses,
        "next": None if joint is None else {disk: disk for disk in joint},
    }


def pack(value: object) -> bytes:
    """Encode a value as it is sent between processes."""
    return ormsgpack.packb(value)
