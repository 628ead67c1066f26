"""The acceptor of one voter: promises and accepted values of all keys, on its own disk.

Each key has a folder, `key/<fingerprint of the key>`, with one file for its newest state; a change
writes the next file before it removes the former, so a power loss leaves one or the other complete.
Nothing is answered before its state is on the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import ormsgpack
import trio

from meadowdock.consensus.ballot import ZERO_BALLOT, Ballot
from meadowdock.consensus.concurrency import for_each
from meadowdock.consensus.exceptions import KeyStateLost
from meadowdock.consensus.messages import (
    Acceptance,
    AcceptedPair,
    PrepareRequest,
    Promise,
    ReadRequest,
    Refusal,
    WriteRequest,
)
from meadowdock.runtime import add_checksum, fingerprint, verify_checksum

if TYPE_CHECKING:
    from meadowdock.runtime import Disk


@dataclass(frozen=True)
class AcceptorState:
    """What one acceptor has promised and accepted for one key."""

    # Invariants: accepted <= promised; value belongs to accepted; file_version counts the files
    # written for the key, and that file is on disk before the state is in Acceptor.states.
    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: Any = None
    file_version: int = 0

    def to_record(self, key: str) -> list[Any]:
        """The content of the key's file."""
        return [key, tuple(self.promised), tuple(self.accepted), self.value]

    @classmethod
    def from_record(cls, record: list[Any], file_version: int) -> AcceptorState:
        """The state in a key's file; the key is the record's first element."""
        _, promised, accepted, value = record
        return cls(Ballot(*promised), Ballot(*accepted), value, file_version)


def folder_of(key: str) -> str:
    """The name of a key's folder."""
    return fingerprint(key.encode())


def file_name(folder: str, file_version: int) -> str:
    """The path of one state file of a key; the names sort by version."""
    return f"key/{folder}/{file_version:012d}"


class Acceptor:
    """One voter: promises and accepted values of all keys, on the disk before they are answered.

    The answers of prepare, write and read are in the form in which they are sent
    (`meadowdock.consensus.messages`)."""

    def __init__(self, disk: Disk, log: Callable[..., None]) -> None:
        self.disk = disk
        self.log = log
        self.states: dict[str, AcceptorState | None] = {}  # folder -> state, or None if it is lost
        self.keys: dict[str, str] = {}  # folder -> key
        self.on_accepted: Callable[[str, Any], None] | None = None  # (key, accepted value) on disk
        self.locks: dict[str, trio.Lock] = {}  # key -> lock

    # ------------------------------------------------------------ requests of proposers

    async def prepare(self, key: str, ballot: tuple[int, str]) -> tuple[str, tuple[Any, ...], Any]:
        """Promise to accept nothing below this ballot, or refuse because of a higher promise.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        async with self.lock(key):
            answer = await self.promise(key, Ballot(*ballot))
        return PrepareRequest.answer_to_wire(answer)

    async def promise(self, key: str, ballot: Ballot) -> Promise | Refusal:
        """As prepare, under the lock of the key."""
        state = self.state_of(key)
        if ballot <= state.promised:
            return Refusal(state.promised)
        await self.store_state(key, ballot, state.accepted, state.value)
        return Promise(state.accepted, state.value)

    async def write(
        self, key: str, ballot: tuple[int, str], value: Any
    ) -> tuple[str, tuple[Any, ...]]:
        """Accept a value under a ballot, or refuse because of a higher promise.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        async with self.lock(key):
            answer = await self.accept(key, Ballot(*ballot), value)
        return WriteRequest.answer_to_wire(answer)

    async def accept(self, key: str, ballot: Ballot, value: Any) -> Acceptance | Refusal:
        """As write, under the lock of the key."""
        state = self.state_of(key)
        if ballot < state.promised:
            return Refusal(state.promised)
        if ballot != state.accepted:
            await self.store_state(key, ballot, ballot, value)
        return Acceptance(ballot)

    def read(self, key: str) -> tuple[tuple[Any, ...], Any]:
        """The accepted ballot and value of a key.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        state = self.state_of(key)
        return ReadRequest.answer_to_wire(AcceptedPair(state.accepted, state.value))

    # ------------------------------------------------------------ state

    def lock(self, key: str) -> trio.Lock:
        """The lock under which the state of one key is changed."""
        return self.locks.setdefault(key, trio.Lock())

    def state_of(self, key: str) -> AcceptorState:
        """The state of a key, blank if it was never written.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        state = self.states.get(folder_of(key), AcceptorState())
        if state is None:
            raise KeyStateLost(key)
        return state

    def lost_keys(self) -> list[str]:
        """Folders of the keys whose newest file was damaged at the start."""
        return sorted(folder for folder, state in self.states.items() if state is None)

    async def store_state(self, key: str, promised: Ballot, accepted: Ballot, value: Any) -> None:
        """Write a key's new state to disk, then take it into memory, then remove the former file."""
        folder = folder_of(key)
        former = self.states.get(folder) or AcceptorState()
        state = AcceptorState(promised, accepted, value, former.file_version + 1)
        body = ormsgpack.packb(state.to_record(key))
        await self.disk.write(file_name(folder, state.file_version), add_checksum(body))
        self.keys[folder] = key
        self.states[folder] = state
        if self.on_accepted:
            self.on_accepted(key, value)
        if former.file_version:
            await self.disk.remove(file_name(folder, former.file_version))

    # ------------------------------------------------------------ files

    async def load(self) -> None:
        """Read the states of all keys from the disk."""
        await for_each(self.load_key, await self.disk.names("key"))

    async def load_key(self, folder: str) -> None:
        """Read the newest file of one key. If it is damaged the key is lost here: an older file
        would forget promises."""
        versions = await self.disk.names(f"key/{folder}")
        if not versions:
            return
        newest = max(versions)
        body = verify_checksum(await self.disk.read(f"key/{folder}/{newest}"))
        if body is None:
            self.log(602, folder=folder, file=newest)
            self.states[folder] = None
            return
        record = ormsgpack.unpackb(body)
        self.keys[folder] = record[0]
        self.states[folder] = AcceptorState.from_record(record, int(newest))
        await self.remove_older_files(folder, newest)

    async def remove_older_files(self, folder: str, newest: str) -> None:
        """Remove the files of one key that a power loss left beside the newest."""
        for version in await self.disk.names(f"key/{folder}"):
            if version < newest:
                await self.disk.remove(f"key/{folder}/{version}")

    async def rewrite_if_damaged(self, folder: str) -> bool:
        """If the file of a key has become unreadable, write the state in memory anew.

        :returns: whether it was written.
        """
        if self.states.get(folder) is None:
            return False
        key = self.keys[folder]
        async with self.lock(key):
            state = self.state_of(key)
            file = file_name(folder, state.file_version)
            if verify_checksum(await self.disk.read(file)) is not None:
                return False
            await self.store_state(key, state.promised, state.accepted, state.value)
            return True
