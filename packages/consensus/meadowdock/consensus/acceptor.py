"""A member's side: promises and accepted values on its own disk, durable before any answer."""

from __future__ import annotations

from dataclasses import dataclass

import ormsgpack
import trio

from meadowdock.runtime import fingerprint, sealed, unsealed

ZERO = (0, "")


class KeyStateLost(Exception):
    """The file of a key failed its fingerprint: this member can't vote on the key."""


@dataclass(frozen=True)
class AcceptorState:
    """What one voter has promised and accepted for one key."""

    # Invariants: accepted <= promised; value belongs to accepted; file counts the versions of
    # the file that holds this state, and is on disk before the state is in Acceptor.states.
    promised: tuple = ZERO
    accepted: tuple = ZERO
    value: object = None
    file_version: int = 0


async def for_each(work, names, at_once=16):
    """work(name) for every name, a few at the same time: on a slow disk a start takes long
    enough."""
    left = list(reversed(names))

    async def some():
        while left:
            await work(left.pop())

    async with trio.open_nursery() as nursery:
        for _ in range(min(at_once, len(left))):
            nursery.start_soon(some)


class Acceptor:
    """One voter: promises and accepted values of all keys, durable before they are told."""

    def __init__(self, disk, log):
        self.disk, self.log = disk, log
        self.states = {}  # key's fingerprint -> AcceptorState, or None when lost
        self.keys = {}  # key's fingerprint -> key
        self.on_accepted = None  # called with (key, accepted value) once they are on disk
        self.locks = {}

    async def load(self):
        """Read all keys. Of several versions of one key the newest counts; if that one is
        damaged the key is lost here, since an older version would forget promises."""
        await for_each(self.load_key, await self.disk.names("key"))

    async def load_key(self, folder):
        """Read one key's newest file; a damaged one makes the key lost."""
        versions = await self.disk.names(f"key/{folder}")
        if not versions:
            return
        newest = max(versions)
        body = unsealed(await self.disk.read(f"key/{folder}/{newest}"))
        if body is None:
            self.log(602, folder=folder, file=newest)
            self.states[folder] = None
            return
        key, promised, accepted, value = ormsgpack.unpackb(body)
        self.keys[folder] = key
        self.states[folder] = AcceptorState(tuple(promised), tuple(accepted), value, int(newest))
        await self.sweep(folder, newest)

    async def sweep(self, folder, newest):
        """Remove the files of one key that are older than the newest."""
        for version in await self.disk.names(f"key/{folder}"):
            if version < newest:
                await self.disk.remove(f"key/{folder}/{version}")

    def state_of(self, key):
        """The state of a key, blank if it was never written. Raises KeyStateLost."""
        state = self.states.get(fingerprint(key.encode()), AcceptorState())
        if state is None:
            raise KeyStateLost(key)
        return state

    def lost_keys(self):
        """Folders of the keys whose newest file was damaged at the start."""
        return sorted(folder for folder, state in self.states.items() if state is None)

    async def keep(self, key, promised, accepted, value):
        """Write a key's new state to disk, then hold it in memory, then remove the former file."""
        folder = fingerprint(key.encode())
        old = self.states.get(folder, AcceptorState()).file_version
        body = ormsgpack.packb([key, promised, accepted, value])
        await self.disk.write(f"key/{folder}/{old + 1:012d}", sealed(body))
        self.keys[folder] = key
        self.states[folder] = AcceptorState(promised, accepted, value, old + 1)
        if self.on_accepted:
            self.on_accepted(key, value)
        if old:
            await self.disk.remove(f"key/{folder}/{old:012d}")

    async def rewrite_if_damaged(self, folder):
        """If the file of a key went bad, write anew what this process knows; did it?"""
        state = self.states.get(folder)
        if state is None:
            return False
        async with self.lock(self.keys[folder]):
            state = self.states[folder]
            if (
                unsealed(await self.disk.read(f"key/{folder}/{state.file_version:012d}"))
                is not None
            ):
                return False
            await self.keep(self.keys[folder], state.promised, state.accepted, state.value)
            return True

    def lock(self, key):
        """The lock under which one key is changed."""
        return self.locks.setdefault(key, trio.Lock())

    async def prepare(self, key, ballot):
        """("yes", accepted, value) once promised on disk, or ("no", the higher promise)."""
        async with self.lock(key):
            state = self.state_of(key)
            if ballot <= state.promised:
                return "no", state.promised, None
            await self.keep(key, ballot, state.accepted, state.value)
            return "yes", state.accepted, state.value

    async def write(self, key, ballot, value):
        """("yes", ballot) once accepted on disk, or ("no", the higher promise)."""
        async with self.lock(key):
            state = self.state_of(key)
            if ballot < state.promised:
                return "no", state.promised
            if ballot == state.accepted:
                return "yes", ballot
            await self.keep(key, ballot, ballot, value)
            return "yes", ballot

    def read(self, key):
        """(accepted ballot, value) of a key. Raises KeyStateLost."""
        state = self.state_of(key)
        return state.accepted, state.value
