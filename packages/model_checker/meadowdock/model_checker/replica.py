"""A voter as a pure function: (its state, a request) -> (its state, the answer), by its real code."""

from __future__ import annotations

from dataclasses import dataclass

import ormsgpack

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.consensus import AcceptorState, Ballot
from meadowdock.model_checker.process import Implementation, make_node, make_store, packed
from meadowdock.rpc import Rejected

HANDLERS = {"register": "on_register", "member.adopt": "on_adopt", "member.keys": "on_keys"}


@dataclass(frozen=True, eq=False)
class ReplicaState:
    """disk: its disk id. files: what a power loss leaves. memory: what the process goes by, of
    which record and keys, {key: (promised, accepted, value)}, are a part. One object for each."""

    disk: str
    files: tuple
    memory: bytes
    record: dict | None
    keys: dict


class Replicas:
    """Invariant: a result is computed once for each (state, request)."""

    def __init__(self, implementation: Implementation) -> None:
        self.implementation = implementation
        self.results, self.restarts, self.known = {}, {}, {}

    async def start(self, disk: str, record: dict | None) -> ReplicaState:
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
            told = await getattr(members, HANDLERS[method])(None, ormsgpack.unpackb(args))
            answer = packed(["ok", told])
        except Rejected as rejected:
            answer = packed(["rejected", rejected.code, rejected.details])
        return self.captured(store), answer

    async def restored(self, state: ReplicaState) -> Store:
        """The running process in this state: its memory need not be what its disk holds."""
        store = await make_store(self.implementation, state.disk, None, dict(state.files))
        record, acceptor = ormsgpack.unpackb(state.memory)
        store.membership = None if record is None else MembershipConfiguration.from_record(record)
        store.acceptor.states = {
            folder: AcceptorState(Ballot(*promised), Ballot(*accepted), value, file)
            for folder, (_, promised, accepted, value, file) in acceptor.items()
        }
        store.acceptor.keys = {folder: kept[0] for folder, kept in acceptor.items()}
        return store

    def captured(self, store: Store) -> ReplicaState:
        """The one object for the state of this store."""
        parts = snapshot(store)
        if parts not in self.known:
            memory = parts[2]
            record = ormsgpack.unpackb(memory)[0]
            self.known[parts] = ReplicaState(*parts, record, unpacked_keys(memory))
        return self.known[parts]

    async def crash(self, state: ReplicaState) -> ReplicaState:
        """Power loss and a restart from the disk."""
        if state not in self.restarts:
            store = await make_store(self.implementation, state.disk, None, dict(state.files))
            self.restarts[state] = self.captured(store)
        return self.restarts[state]

    async def lose_disk(self, state: ReplicaState) -> ReplicaState:
        """A restart on a blank disk, which has another id."""
        return await self.start(f"{state.disk}-blank", None)


def snapshot(store: Store) -> tuple[str, tuple, bytes]:
    """(disk id, files, packed memory) of a process that waits for nothing. Versions of a key's only
    file are counted from one again: how often a state was written is no part of it."""
    names = sorted(store.files.files)
    folders = {}
    for name in names:
        if name.startswith("key/"):
            folders.setdefault(name.split("/")[1], []).append(name)
    renamed = {kept[0]: f"key/{f}/{1:012d}" for f, kept in folders.items() if len(kept) == 1}
    files = tuple((renamed.get(n, n), store.files.files[n]) for n in names)
    acceptor = {}
    for folder, state in sorted(store.acceptor.states.items()):
        file = 1 if len(folders.get(folder, ())) == 1 else state.file_version
        acceptor[folder] = [*state.to_record(store.acceptor.keys[folder]), file]
    record = None if store.membership is None else store.membership.to_record()
    return store.disk, files, packed([record, acceptor])


def unpacked_keys(memory: bytes) -> dict[str, tuple]:
    """{key: (promised, accepted, value)} of a packed memory."""
    _, acceptor = ormsgpack.unpackb(memory)
    return {
        key: (tuple(promised), tuple(accepted), value)
        for key, promised, accepted, value, _ in acceptor.values()
    }
