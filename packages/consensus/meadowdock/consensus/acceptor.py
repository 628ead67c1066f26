"""The acceptor of one voter: promises and accepted values of all keys, stored on its own disk.

Each key has a folder, `key/<fingerprint of the key>`, with one file for its newest state. A change
writes the next file before it removes the previous one, so that at least one of them is intact
after a power loss. A request is answered only after the new state is on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import ormsgpack
import trio

from meadowdock.consensus.ballot import ZERO_BALLOT, Ballot
from meadowdock.consensus.concurrency import run_for_each
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
from meadowdock.logs import events as log_events
from meadowdock.runtime import add_checksum, fingerprint, verify_checksum

if TYPE_CHECKING:
    from meadowdock.runtime import Disk


@dataclass(frozen=True)
class AcceptorState:
    """What one acceptor has promised and accepted for one key.

    Invariants: accepted <= promised; the value was accepted under `accepted`; file_version counts
    the files written for the key, and the file of that number is on disk before the state is put
    into Acceptor.states.
    """

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: Any = None
    file_version: int = 0

    def to_record(self, key: str) -> list[Any]:
        """Return the content of the key's file."""
        return [key, tuple(self.promised), tuple(self.accepted), self.value]

    @classmethod
    def from_record(cls, record: list[Any], file_version: int) -> AcceptorState:
        """Build the state from the content of a key's file, whose first element is the key."""
        _, promised, accepted, value = record
        return cls(Ballot(*promised), Ballot(*accepted), value, file_version)


def key_folder_name(key: str) -> str:
    """Return the name of a key's folder."""
    return fingerprint(key.encode())


def state_file_path(folder: str, file_version: int) -> str:
    """Return the path of one state file of a key; file names sort by version."""
    return f"key/{folder}/{file_version:012d}"


class Acceptor:
    """The acceptor of one voter, which stores each promise and acceptance before it answers.

    prepare, write and read return their answers as encoded by `meadowdock.consensus.messages`.
    """

    def __init__(self, disk: Disk, log: Callable[..., None]) -> None:
        self.disk = disk
        self.log = log
        self.states: dict[str, AcceptorState | None] = {}  # folder -> state, or None if damaged
        self.keys: dict[str, str] = {}  # folder -> key
        # called as (key, accepted value) after each change of a state is on disk
        self.on_accepted: Callable[[str, Any], None] | None = None
        self.locks: dict[str, trio.Lock] = {}  # key -> lock

    async def prepare(self, key: str, ballot: tuple[int, str]) -> tuple[str, tuple[Any, ...], Any]:
        """Promise to accept no ballot below this one, or refuse because of an earlier promise.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        async with self.key_lock(key):
            answer = await self.promise(key, Ballot(*ballot))
        return PrepareRequest.answer_to_wire(answer)

    async def promise(self, key: str, ballot: Ballot) -> Promise | Refusal:
        """Handle a prepare; the caller holds the lock of the key."""
        state = self.key_state(key)
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
        async with self.key_lock(key):
            answer = await self.accept(key, Ballot(*ballot), value)
        return WriteRequest.answer_to_wire(answer)

    async def accept(self, key: str, ballot: Ballot, value: Any) -> Acceptance | Refusal:
        """Handle a write; the caller holds the lock of the key."""
        state = self.key_state(key)
        if ballot < state.promised:
            return Refusal(state.promised)
        if ballot != state.accepted:
            await self.store_state(key, ballot, ballot, value)
        return Acceptance(ballot)

    def read(self, key: str) -> tuple[tuple[Any, ...], Any]:
        """Return the accepted ballot and value of a key.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        state = self.key_state(key)
        return ReadRequest.answer_to_wire(AcceptedPair(state.accepted, state.value))

    def key_lock(self, key: str) -> trio.Lock:
        """Return the lock that protects changes of one key's state."""
        return self.locks.setdefault(key, trio.Lock())

    def key_state(self, key: str) -> AcceptorState:
        """Return the state of a key, which is blank if the key was never written.

        :raises KeyStateLost: the state of the key on this disk is damaged.
        """
        state = self.states.get(key_folder_name(key), AcceptorState())
        if state is None:
            raise KeyStateLost(key)
        return state

    def damaged_key_folders(self) -> list[str]:
        """Return the folders of the keys whose newest file was found damaged at the start."""
        return sorted(folder for folder, state in self.states.items() if state is None)

    async def store_state(self, key: str, promised: Ballot, accepted: Ballot, value: Any) -> None:
        """Write a key's new state to disk, publish it in memory, then remove the previous file."""
        folder = key_folder_name(key)
        previous = self.states.get(folder) or AcceptorState()
        state = AcceptorState(promised, accepted, value, previous.file_version + 1)
        body = ormsgpack.packb(state.to_record(key))
        await self.disk.write(state_file_path(folder, state.file_version), add_checksum(body))
        self.keys[folder] = key
        self.states[folder] = state
        if self.on_accepted:
            self.on_accepted(key, value)
        if previous.file_version:
            await self.disk.remove(state_file_path(folder, previous.file_version))

    async def load(self) -> None:
        """Read the states of all keys from the disk."""
        await run_for_each(self.load_key, await self.disk.list_folder("key"))

    async def load_key(self, folder: str) -> None:
        """Read the newest file of one key.

        If it is damaged, the state of the key is lost on this disk: an older file would lack
        promises that were given since.
        """
        versions = await self.disk.list_folder(f"key/{folder}")
        if not versions:
            return
        newest = max(versions)
        body = verify_checksum(await self.disk.read(f"key/{folder}/{newest}"))
        if body is None:
            self.log(log_events.KEY_FILE_CORRUPT, folder=folder, file=newest)
            self.states[folder] = None
            return
        record = ormsgpack.unpackb(body)
        self.keys[folder] = record[0]
        self.states[folder] = AcceptorState.from_record(record, int(newest))
        await self.remove_older_files(folder, newest)

    async def remove_older_files(self, folder: str, newest: str) -> None:
        """Remove older files of one key, which a power loss may have left beside the newest."""
        for version in await self.disk.list_folder(f"key/{folder}"):
            if version < newest:
                await self.disk.remove(f"key/{folder}/{version}")

    async def rewrite_if_damaged(self, folder: str) -> bool:
        """Write a key's state in memory to a new file if its file on disk is damaged.

        :returns: whether a file was written.
        """
        if self.states.get(folder) is None:
            return False
        key = self.keys[folder]
        async with self.key_lock(key):
            state = self.key_state(key)
            file = state_file_path(folder, state.file_version)
            if verify_checksum(await self.disk.read(file)) is not None:
                return False
            await self.store_state(key, state.promised, state.accepted, state.value)
            return True
