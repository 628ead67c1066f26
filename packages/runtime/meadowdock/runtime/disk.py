"""Files below one data folder. Writes are atomic, and durable once `write` has returned.

>>> import trio
>>> disk = MemoryDisk()
>>> trio.run(disk.write, "a/x", b"1"); trio.run(disk.names, "a")
['x']
>>> trio.run(disk.read, "a/x")
b'1'
"""

from __future__ import annotations

import os
from typing import Protocol

import trio

MAX_THREADS = 8
TEMPORARY = ".aside"  # suffix of files whose write did not finish


class DataFolder(Protocol):
    """Files by name; names may contain folders ("key/x")."""

    async def write(self, name: str, data: bytes) -> None:
        """Write a file atomically; durable once this returns. Raises OSError."""

    async def read(self, name: str) -> bytes | None:
        """The bytes of a file, or None if there is none. Raises OSError."""

    async def names(self, folder: str) -> list[str]:
        """The names in a folder, in order."""

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists. Raises OSError."""

    async def move(self, folder: str, to: str) -> None:
        """Rename a folder; durable once this returns. Raises OSError."""


class Disk:
    """Files on the machine's disk, read and written in threads.

    A file is written to a temporary name, synced and renamed, and its folder is synced. The threads
    are the disk's own, so that other work in threads goes on while the disk stalls.

    Invariant: a name that ends in TEMPORARY is never read; it is a write that did not finish.
    """

    def __init__(self, root: str) -> None:
        self.threads = trio.CapacityLimiter(MAX_THREADS)
        self.write_locks: dict[str, trio.Lock] = {}  # of names being written
        self.root = os.path.abspath(root)
        os.makedirs(self.root, exist_ok=True)

    def path(self, name: str) -> str:
        """The path of a file."""
        return os.path.join(self.root, name)

    async def write(self, name: str, data: bytes) -> None:
        """Write a file atomically; durable once this returns. Raises OSError."""
        lock = self.write_locks.setdefault(name, trio.Lock())
        try:
            async with lock:  # two writers of one name would share the temporary file
                await trio.to_thread.run_sync(
                    self.write_in_thread, name, data, limiter=self.threads
                )
        finally:
            if not lock.locked():
                self.write_locks.pop(name, None)

    async def read(self, name: str) -> bytes | None:
        """The bytes of a file, or None if there is none."""
        return await trio.to_thread.run_sync(self.read_in_thread, name, limiter=self.threads)

    async def names(self, folder: str) -> list[str]:
        """The names in a folder, in order."""
        return await trio.to_thread.run_sync(self.names_in_thread, folder, limiter=self.threads)

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        await trio.to_thread.run_sync(self.remove_in_thread, name, limiter=self.threads)

    async def move(self, folder: str, to: str) -> None:
        """Rename a folder; durable once this returns."""
        await trio.to_thread.run_sync(self.move_in_thread, folder, to, limiter=self.threads)

    def write_in_thread(self, name: str, data: bytes) -> None:
        """The blocking part of the write."""
        path = self.path(name)
        temporary = path + TEMPORARY
        folder = os.path.dirname(path)
        if not os.path.isdir(folder):
            os.makedirs(folder, exist_ok=True)
            sync_folder(os.path.dirname(folder))
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(temporary, path)
        sync_folder(folder)

    def read_in_thread(self, name: str) -> bytes | None:
        """The blocking part of the read."""
        try:
            with open(self.path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def names_in_thread(self, folder: str) -> list[str]:
        """The blocking part of the listing."""
        try:
            return sorted(n for n in os.listdir(self.path(folder)) if not n.endswith(TEMPORARY))
        except FileNotFoundError:
            return []

    def move_in_thread(self, folder: str, to: str) -> None:
        """The blocking part of the move."""
        if os.path.isdir(self.path(folder)):
            os.rename(self.path(folder), self.path(to))
        sync_folder(self.root)

    def remove_in_thread(self, name: str) -> None:
        """The blocking part of the removal."""
        try:
            os.remove(self.path(name))
        except FileNotFoundError:
            pass


def sync_folder(folder: str) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class MemoryDisk:
    """Files in memory, for tests that aren't about the disk."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    async def write(self, name: str, data: bytes) -> None:
        """Write a file atomically; durable once this returns. Raises OSError."""
        await trio.lowlevel.checkpoint()
        self.files[name] = data

    async def read(self, name: str) -> bytes | None:
        """The bytes of a file, or None if there is none."""
        await trio.lowlevel.checkpoint()
        return self.files.get(name)

    async def names(self, folder: str) -> list[str]:
        """The names in a folder, in order."""
        await trio.lowlevel.checkpoint()
        start = folder.rstrip("/") + "/"
        inside = (n[len(start) :].split("/")[0] for n in self.files if n.startswith(start))
        return sorted({n for n in inside if not n.endswith(TEMPORARY)})

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)

    async def move(self, folder: str, to: str) -> None:
        """Rename a folder; durable once this returns."""
        await trio.lowlevel.checkpoint()
        for name in [n for n in self.files if n.startswith(f"{folder}/")]:
            self.files[to + name[len(folder) :]] = self.files.pop(name)


class NoDisk(MemoryDisk):
    """For processes without a data folder: nothing can be written."""

    async def write(self, name: str, data: bytes) -> None:
        """Always fails."""
        raise OSError("this process has no data folder")
