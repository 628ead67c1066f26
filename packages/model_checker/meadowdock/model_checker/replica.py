"""A voter as a pure function (state, request) -> (state, answer), computed by production code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import ormsgpack

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import AcceptorState
from meadowdock.consensus.acceptor import state_file_path
from meadowdock.model_checker.model_process import Implementation, make_node, make_store, pack
from meadowdock.rpc import Rejected

HANDLERS = {"register": "on_register", "member.adopt": "on_adopt", "member.keys": "on_keys"}


@dataclass(frozen=True, eq=False)
class ReplicaState:
    """One state of a replica; equal states are the same object."""

    disk: str  # the disk id
    files: tuple[tuple[str, bytes], ...]  # (name, content) of the files on disk
    memory: bytes  # the packed state of the process, which may differ from that on its disk
    record: dict[str, Any] | None  # the membership record in memory
    keys: dict[str, AcceptorState]  # the acceptor's states in memory, by key


class Replicas:
    """All replicas of a scenario.

    Invariant: results has the result of each (state, request) computed so far, restarts that of
    each crash, and interned the only object for each state.
    """

    def __init__(self, implementation: Implementation) -> None:
        self.implementation = implementation
        self.results: dict[tuple[ReplicaState, str, bytes], tuple[ReplicaState, bytes]] = {}
        self.restarts: dict[ReplicaState, ReplicaState] = {}
        self.interned: dict[Snapshot, ReplicaState] = {}

    async def start(self, disk: str, record: dict[str, Any] | None) -> ReplicaState:
        """Start a replica for the first time, on a blank disk with this id."""
        return self.capture(await make_store(self.implementation, disk, record))

    async def handle(
        self, state: ReplicaState, method: str, args: bytes
    ) -> tuple[ReplicaState, bytes]:
        """Handle a request.

        :returns: the new state and the packed answer, which is ["ok", result] or
            ["rejected", code, details].
        """
        key = state, method, args
        if key not in self.results:
            self.results[key] = await self.compute(state, method, args)
        return self.results[key]

    async def compute(
        self, state: ReplicaState, method: str, args: bytes
    ) -> tuple[ReplicaState, bytes]:
        """Handle a request by running the code under test."""
        store = await self.restore(state)
        members = self.implementation.members(make_node(state.disk), store)
        try:
            result = await getattr(members, HANDLERS[method])(None, ormsgpack.unpackb(args))
            answer = pack(["ok", result])
        except Rejected as rejected:
            answer = pack(["rejected", rejected.code, rejected.details])
        return self.capture(store), answer

    async def restore(self, state: ReplicaState) -> Store:
        """Return a running process in this state, whose memory may differ from its disk."""
        store = await make_store(self.implementation, state.disk, None, dict(state.files))
        memory = unpack_memory(state.memory)
        store.membership = (
            None if memory.record is None else MembershipConfiguration.from_record(memory.record)
        )
        store.acceptor.states = dict(memory.states)
        store.acceptor.keys = memory.keys
        return store

    def capture(self, store: Store) -> ReplicaState:
        """Return the object that represents the state of this store."""
        captured = snapshot(store)
        if captured not in self.interned:
            memory = unpack_memory(captured.memory)
            keys = {memory.keys[folder]: state for folder, state in memory.states.items()}
            self.interned[captured] = ReplicaState(*captured, memory.record, keys)
        return self.interned[captured]

    async def crash(self, state: ReplicaState) -> ReplicaState:
        """Restart a replica from its disk after a power loss."""
        if state not in self.restarts:
            store = await make_store(self.implementation, state.disk, None, dict(state.files))
            self.restarts[state] = self.capture(store)
        return self.restarts[state]

    async def lose_disk(self, state: ReplicaState) -> ReplicaState:
        """Restart a replica on a blank disk, which has a different id."""
        return await self.start(f"{state.disk}-blank", None)


class Snapshot(NamedTuple):
    """The parts of a replica's state by which states are compared."""

    disk: str
    files: tuple[tuple[str, bytes], ...]
    memory: bytes


class Memory(NamedTuple):
    """The content of a packed memory; states and keys are by key folder, as in the acceptor."""

    record: dict[str, Any] | None
    states: dict[str, AcceptorState]
    keys: dict[str, str]


def snapshot(store: Store) -> Snapshot:
    """Return the state of an idle process.

    If a key has only one file, its version is reset to 1, so that states that differ only in how
    often they were written are equal.
    """
    names = sorted(store.disk.files)
    key_files: dict[str, list[str]] = {}  # by folder
    for name in names:
        if name.startswith("key/"):
            key_files.setdefault(name.split("/")[1], []).append(name)
    single_file_folders = {folder for folder, paths in key_files.items() if len(paths) == 1}
    renamed = {key_files[folder][0]: state_file_path(folder, 1) for folder in single_file_folders}
    files = tuple((renamed.get(name, name), store.disk.files[name]) for name in names)
    acceptor = {}
    for folder, state in sorted(store.acceptor.states.items()):
        assert state is not None  # no file is damaged in the model
        file_version = 1 if folder in single_file_folders else state.file_version
        acceptor[folder] = [*state.to_record(store.acceptor.keys[folder]), file_version]
    assert store.disk_id is not None  # it is set by Store.load
    record = None if store.membership is None else store.membership.to_record()
    return Snapshot(store.disk_id, files, pack([record, acceptor]))


def unpack_memory(memory: bytes) -> Memory:
    """Decode a packed memory."""
    record, acceptor = ormsgpack.unpackb(memory)
    states = {}
    keys = {}
    for folder, (*state_record, file_version) in acceptor.items():
        keys[folder] = state_record[0]
        states[folder] = AcceptorState.from_record(state_record, file_version)
    return Memory(record, states, keys)
