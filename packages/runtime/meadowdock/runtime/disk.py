"""Files below one data folder. A write lasts once `write` has returned, and is whole or absent.

>>> import trio
>>> disk = MemoryDisk()
>>> trio.run(disk.write, "a/x", b"1"); trio.run(disk.names, "a")
['x']
>>> trio.run(disk.read, "a/x")
b'1'
"""

from __future__ import annotations

import hashlib
import os

import trio

THREADS = 8


def sealed(body: bytes) -> bytes:
    """A body with its hash before it."""
    return hashlib.blake2b(body, digest_size=32).digest() + body


def unsealed(data: bytes | None) -> bytes | None:
    """The body, or None if the file is torn or altered.

    >>> unsealed(sealed(b"x")), unsealed(sealed(b"x")[:-1]), unsealed(b"")
    (b'x', None, None)
    """
    if data is None or len(data) < 32:
        return None
    body = data[32:]
    return body if hashlib.blake2b(body, digest_size=32).digest() == data[:32] else None


class Disk:
    """The real one: written aside, synced, renamed, and the folder synced."""

    # Invariant: a name that ends in ".aside" is never read; it is a write that did not finish.
    # Its threads are its own: while it stalls, work apart from the loop goes on.
    def __init__(self, root: str) -> None:
        self.threads = trio.CapacityLimiter(THREADS)
        self.writing = {}  # name -> lock, while somebody writes it or waits to
        self.root = os.path.abspath(root)
        os.makedirs(self.root, exist_ok=True)

    def path(self, name: str) -> str:
        """Where a file lies."""
        return os.path.join(self.root, name)

    async def write(self, name: str, data: bytes) -> None:
        """Keep a file, whole or not at all; lasting once this returns."""
        lock = self.writing.setdefault(name, trio.Lock())
        try:
            async with lock:  # two that write one name at once would share the file aside
                await trio.to_thread.run_sync(self.put, name, data, limiter=self.threads)
        finally:
            if not lock.locked():
                self.writing.pop(name, None)

    async def read(self, name: str) -> bytes | None:
        """The bytes of a file, or None if there is none."""
        return await trio.to_thread.run_sync(self.fetch, name, limiter=self.threads)

    async def names(self, folder: str) -> list[str]:
        """The names in a folder, in order."""
        return await trio.to_thread.run_sync(self.listed, folder, limiter=self.threads)

    async def remove(self, name: str) -> None:
        """Remove a file, if it is there."""
        await trio.to_thread.run_sync(self.drop, name, limiter=self.threads)

    async def move(self, folder: str, to: str) -> None:
        """A whole folder under another name; lasting like a write."""
        await trio.to_thread.run_sync(self.rename, folder, to, limiter=self.threads)

    def put(self, name: str, data: bytes) -> None:
        """The write itself, in a thread."""
        path = self.path(name)
        folder = os.path.dirname(path)
        if not os.path.isdir(folder):
            os.makedirs(folder, exist_ok=True)
            sync_folder(os.path.dirname(folder))
        with open(path + ".aside", "wb") as aside:
            aside.write(data)
            aside.flush()
            os.fsync(aside.fileno())
        os.rename(path + ".aside", path)
        sync_folder(folder)

    def fetch(self, name: str) -> bytes | None:
        """The read itself, in a thread."""
        try:
            with open(self.path(name), "rb") as kept:
                return kept.read()
        except FileNotFoundError:
            return None

    def listed(self, folder: str) -> list[str]:
        """The listing itself, in a thread."""
        try:
            return sorted(n for n in os.listdir(self.path(folder)) if not n.endswith(".aside"))
        except FileNotFoundError:
            return []

    def rename(self, folder: str, to: str) -> None:
        """The move itself, in a thread."""
        if os.path.isdir(self.path(folder)):
            os.rename(self.path(folder), self.path(to))
        sync_folder(self.root)

    def drop(self, name: str) -> None:
        """The removal itself, in a thread."""
        try:
            os.remove(self.path(name))
        except FileNotFoundError:
            pass


def sync_folder(folder: str) -> None:
    """Let the names in a folder last."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class MemoryDisk:
    """Keeps everything at once; for tests that are not about the disk."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    async def write(self, name: str, data: bytes) -> None:
        """Keep a file, whole or not at all; lasting once this returns."""
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
        return sorted({n for n in inside if not n.endswith(".aside")})

    async def remove(self, name: str) -> None:
        """Remove a file, if it is there."""
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)

    async def move(self, folder: str, to: str) -> None:
        """A whole folder under another name; lasting like a write."""
        await trio.lowlevel.checkpoint()
        for name in [n for n in self.files if n.startswith(f"{folder}/")]:
            self.files[to + name[len(folder) :]] = self.files.pop(name)


class NoDisk(MemoryDisk):
    """For machines without a data folder: nothing is kept."""

    async def write(self, name: str, data: bytes) -> None:
        """Always fails."""
        raise OSError("this process has no data folder")
