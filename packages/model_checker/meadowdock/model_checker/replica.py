"""A voter as a pure function: (its state, a request) -> (its state, the answer), by its real code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import ormsgpack

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import AcceptorState
from meadowdock.consensus.acceptor import state_file_path
from meadowdock.model_checker.process import Implementation, make_node, make_store, packed
from meadowdock.rpc import Rejected

HANDLERS = {"register": "on_register", "member.adopt": "on_adopt", "member.keys": "on_keys"}


@dataclass(frozen=True, eq=False)
class ReplicaState:
    """One state of a replica; one object for each. disk: its disk id. files: what a power loss
    leaves, by name. memory: the packed state that the process goes by, which need not be what its
    disk holds; record and keys are parts of it."""

    disk: str
    files: tuple[tuple[str, bytes], ...]
    memory: bytes
    record: dict[str, Any] | None
    keys: dict[str, AcceptorState]


class Replicas:
    """All replicas of a scenario. Invariant: a result is computed once for each (state, request)."""

    def __init__(self, implementation: Implementation) -> None:
        self.implementation = implementation
        self.results: dict[tuple[ReplicaState, str, bytes], tuple[ReplicaState, bytes]] = {}
        self.restarts: dict[ReplicaState, ReplicaState] = {}
        self.known: dict[Snapshot, ReplicaState] = {}

    async def start(self, disk: str, record: dict[str, Any] | None) -> ReplicaState:
        """The first start on a blank disk with this id."""
        return self.captured(await make_store(self.implementation, disk, record))

    async def handle(
        self, state: ReplicaState, method: str, args: bytes
    ) -> tuple[ReplicaState, bytes]:
        """(new state, packed answer); the answer is ("ok", it) or ("rejected", code, facts)."""
        key = state, method, args
        if key not in self.results:
            self.results[key] = await self.compute(state, method, args)
        return self.results[key]

    async def compute(
        self, state: ReplicaState, method: str, args: bytes
    ) -> tuple[ReplicaState, bytes]:
        """As handle, by running the code."""
        store = await self.restored(state)
        members = self.implementation.members(make_node(state.disk), store)
        try:
            result = await getattr(members, HANDLERS[method])(None, ormsgpack.unpackb(args))
            answer = packed(["ok", result])
        except Rejected as rejected:
            answer = packed(["rejected", rejected.code, rejected.details])
        return self.captured(store), answer

    async def restored(self, state: ReplicaState) -> Store:
        """The running process in this state: its memory need not be what its disk holds."""
        store = await make_store(self.implementation, state.disk, None, dict(state.files))
        memory = unpacked_memory(state.memory)
        store.membership = (
            None if memory.record is None else MembershipConfiguration.from_record(memory.record)
        )
        store.acceptor.states = dict(memory.states)
        store.acceptor.keys = memory.keys
        return store

    def captured(self, store: Store) -> ReplicaState:
        """The one object for the state of this store."""
        captured = snapshot(store)
        if captured not in self.known:
            memory = unpacked_memory(captured.memory)
            keys = {memory.keys[folder]: state for folder, state in memory.states.items()}
            self.known[captured] = ReplicaState(*captured, memory.record, keys)
        return self.known[captured]

    async def crash(self, state: ReplicaState) -> ReplicaState:
        """Power loss and a restart from the disk."""
        if state not in self.restarts:
            store = await make_store(self.implementation, state.disk, None, dict(state.files))
            self.restarts[state] = self.captured(store)
        return self.restarts[state]

    async def lose_disk(self, state: ReplicaState) -> ReplicaState:
        """A restart on a blank disk, which has another id."""
        return await self.start(f"{state.disk}-blank", None)


class Snapshot(NamedTuple):
    """What tells one state of a replica from another."""

    disk: str
    files: tuple[tuple[str, bytes], ...]
    memory: bytes


class Memory(NamedTuple):
    """The content of a packed memory; states and keys are by folder, as in the acceptor."""

    record: dict[str, Any] | None
    states: dict[str, AcceptorState]
    keys: dict[str, str]


def snapshot(store: Store) -> Snapshot:
    """The state of a process that waits for nothing. Versions of a key's only file are counted from
    one again: how often a state was written is no part of it."""
    names = sorted(store.files.files)
    key_files: dict[str, list[str]] = {}  # by folder
    for name in names:
        if name.startswith("key/"):
            key_files.setdefault(name.split("/")[1], []).append(name)
    single = {folder for folder, versions in key_files.items() if len(versions) == 1}
    renamed = {key_files[folder][0]: state_file_path(folder, 1) for folder in single}
    files = tuple((renamed.get(name, name), store.files.files[name]) for name in names)
    acceptor = {}
    for folder, state in sorted(store.acceptor.states.items()):
        assert state is not None  # no file is damaged in the model
        file_version = 1 if folder in single else state.file_version
        acceptor[folder] = [*state.to_record(store.acceptor.keys[folder]), file_version]
    assert store.disk is not None  # it is set by Store.load
    record = None if store.membership is None else store.membership.to_record()
    return Snapshot(store.disk, files, packed([record, acceptor]))


def unpacked_memory(memory: bytes) -> Memory:
    """The content of a packed memory."""
    record, acceptor = ormsgpack.unpackb(memory)
    states = {}
    keys = {}
    for folder, (*state_record, file_version) in acceptor.items():
        keys[folder] = state_record[0]
        states[folder] = AcceptorState.from_record(state_record, file_version)
    return Memory(record, states, keys)
