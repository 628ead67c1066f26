"""Files in a data folder. Writes are atomic, and durable once `write` has returned.

>>> import trio
>>> disk = MemoryDisk()
>>> trio.run(disk.write, "a/x", b"1"); trio.run(disk.list_folder, "a")
['x']
>>> trio.run(disk.read, "a/x")
b'1'
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import trio

Result = TypeVar("Result")

MAX_THREADS = 8
TEMPORARY_SUFFIX = ".aside"  # of files whose write is in progress or was interrupted


class DataFolder(Protocol):
    """Files by name; a name may contain folders ("key/x"). All operations may raise OSError."""

    async def write(self, name: str, data: bytes) -> None:
        """Write a file atomically; it is durable once this returns."""

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it doesn't exist."""

    async def list_folder(self, folder: str) -> list[str]:
        """Return the names in a folder, sorted."""

    async def file_sizes(self, folder: str) -> dict[str, int]:
        """Return the bytes of each file in a folder by its name."""

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists."""

    async def rename_folder(self, folder: str, new_name: str) -> None:
        """Rename a folder; the new name is durable once this returns."""


class Disk:
    """Files on the machine's disk, read and written in threads.

    A file is written under a temporary name, synced and renamed, and then its folder is synced. The
    disk has its own limit of threads, so that a stalled disk doesn't block other work in threads.

    Invariant: a file whose name ends in TEMPORARY_SUFFIX is never read; its write is incomplete.
    """

    def __init__(self, root: str) -> None:
        self.threads = trio.CapacityLimiter(MAX_THREADS)
        self.write_locks: dict[str, trio.Lock] = {}  # by the name that is being written
        self.root = os.path.abspath(root)  # made by the first write

    def path(self, name: str) -> str:
        """Return the path of a file."""
        return os.path.join(self.root, name)

    async def run(self, work: Callable[..., Result], *args: Any) -> Result:
        """Run blocking disk access in a thread.

        :raises OSError: it failed, or no thread can be started.
        """
        try:
            return await trio.to_thread.run_sync(work, *args, limiter=self.threads)
        except RuntimeError as error:  # of threading, out of memory or of processes
            raise OSError(errno.EAGAIN, str(error)) from error

    async def write(self, name: str, data: bytes) -> None:
        """Write a file atomically; it is durable once this returns.

        :raises OSError: the write failed.
        """
        lock = self.write_locks.setdefault(name, trio.Lock())
        try:
            async with lock:  # concurrent writes of one name would share the temporary file
                await self.run(self.write_in_thread, name, data)
        finally:
            if not lock.locked():
                self.write_locks.pop(name, None)

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it doesn't exist."""
        return await self.run(self.read_in_thread, name)

    async def list_folder(self, folder: str) -> list[str]:
        """Return the names in a folder, sorted."""
        return await self.run(self.list_folder_in_thread, folder)

    async def file_sizes(self, folder: str) -> dict[str, int]:
        """Return the bytes of each file in a folder by its name."""
        return await self.run(self.file_sizes_in_thread, folder)

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        await self.run(self.remove_in_thread, name)

    async def rename_folder(self, folder: str, new_name: str) -> None:
        """Rename a folder; the new name is durable once this returns."""
        await self.run(self.rename_folder_in_thread, folder, new_name)

    def write_in_thread(self, name: str, data: bytes) -> None:
        """Write a file (blocking)."""
        path = self.path(name)
        temporary = path + TEMPORARY_SUFFIX
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
        """Read a file (blocking)."""
        try:
            with open(self.path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def list_folder_in_thread(self, folder: str) -> list[str]:
        """List a folder (blocking)."""
        try:
            names = os.listdir(self.path(folder))
            return sorted(name for name in names if not name.endswith(TEMPORARY_SUFFIX))
        except FileNotFoundError:
            return []

    def file_sizes_in_thread(self, folder: str) -> dict[str, int]:
        """Return the sizes of the files in a folder (blocking)."""
        sizes = {}
        for name in self.list_folder_in_thread(folder):
            try:
                sizes[name] = os.stat(os.path.join(self.path(folder), name)).st_size
            except FileNotFoundError:
                continue  # removed meanwhile
        return sizes

    def rename_folder_in_thread(self, folder: str, new_name: str) -> None:
        """Rename a folder (blocking)."""
        if os.path.isdir(self.path(folder)):
            os.rename(self.path(folder), self.path(new_name))
        sync_folder(self.root)

    def remove_in_thread(self, name: str) -> None:
        """Remove a file (blocking)."""
        try:
            os.remove(self.path(name))
        except FileNotFoundError:
            pass


def sync_folder(folder: str) -> None:
    """Sync a folder, so that the names in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class MemoryDisk:
    """Files in memory, for tests that don't involve a disk."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    async def write(self, name: str, data: bytes) -> None:
        """Write a file."""
        await trio.lowlevel.checkpoint()
        self.files[name] = data

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it doesn't exist."""
        await trio.lowlevel.checkpoint()
        return self.files.get(name)

    async def list_folder(self, folder: str) -> list[str]:
        """Return the names in a folder, sorted."""
        await trio.lowlevel.checkpoint()
        prefix = folder.rstrip("/") + "/"
        children = (
            name[len(prefix) :].split("/")[0] for name in self.files if name.startswith(prefix)
        )
        return sorted({child for child in children if not child.endswith(TEMPORARY_SUFFIX)})

    async def file_sizes(self, folder: str) -> dict[str, int]:
        """Return the bytes of each file in a folder by its name."""
        names = await self.list_folder(folder)
        return {name: len(self.files[f"{folder}/{name}"]) for name in names}

    async def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)

    async def rename_folder(self, folder: str, new_name: str) -> None:
        """Rename a folder."""
        await trio.lowlevel.checkpoint()
        for name in [name for name in self.files if name.startswith(f"{folder}/")]:
            self.files[new_name + name[len(folder) :]] = self.files.pop(name)


class NoDisk(MemoryDisk):
    """The disk of a process without a data folder: empty, and every write fails."""

    async def write(self, name: str, data: bytes) -> None:
        """Reject the write.

        :raises OSError: always.
        """
        raise OSError("this process has no data folder")
