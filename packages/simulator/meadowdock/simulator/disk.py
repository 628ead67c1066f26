"""An in-memory disk that can lose power at any step of a write.

>>> import random, trio
>>> disk = SimDisk(random.Random(1))
>>> trio.run(disk.write, "a/x", b"1")
>>> disk.power_off(); trio.run(disk.read, "a/x")
b'1'
"""

from __future__ import annotations

import trio

from meadowdock.runtime import MemoryDisk, sleep_us


class SimDisk(MemoryDisk):
    """A disk with the durability rules of a POSIX file system.

    Invariants: lasting is what remains after a power loss; files is what the running process sees.
    A write goes to a temporary file, which is synced and renamed; then the folder is synced, and
    only then the write is durable. Between the rename and the folder's sync a power loss keeps
    either the old or the new file.
    """

    def __init__(self, rng, step_us=300):
        self.rng, self.step_us = rng, step_us
        self.files, self.lasting = {}, {}
        self.stalled = None  # an event while the disk stalls
        self.full = False
        self.writing = {}  # temporary files, not renamed yet
        self.steps = 0
        self.lose_at = None  # the step count at which power is lost
        self.on_loss = None

    async def step(self, shield):
        if self.stalled is not None:
            await self.stalled.wait()
        await sleep_us(self.step_us)
        self.steps += 1
        if self.lose_at is not None and self.steps >= self.lose_at:
            self.lose_at = None
            if self.on_loss:
                self.on_loss()
            shield.shield = False  # the process is being killed: nothing more is written
            await trio.sleep_forever()

    async def write(self, name, data):
        if self.full:
            raise OSError(28, "no space left")
        # as in a thread, which can't be interrupted: a cancellation takes effect after the write
        with trio.CancelScope(shield=True) as shield:
            self.writing[name] = data
            await self.step(shield)
            await self.step(shield)
            self.writing.pop(name, None)
            self.files[name] = data
            if self.rng.random() < 0.5:  # the rename may reach the disk before the folder's sync
                self.lasting[name] = data
            await self.step(shield)
            self.lasting[name] = data
            await self.step(shield)

    async def remove(self, name):
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)
        if self.rng.random() < 0.5:  # a removal is not synced: a power loss may undo it
            self.lasting.pop(name, None)

    async def rename_folder(self, folder, new_name):
        await super().rename_folder(folder, new_name)
        self.lasting = dict(self.files)

    def power_off(self):
        """Lose power: only durable files remain, and a prefix of each temporary file."""
        torn = {f"{n}.aside": d[: self.rng.randrange(len(d) + 1)] for n, d in self.writing.items()}
        self.writing = {}
        self.lasting |= torn
        self.files = dict(self.lasting)

    def rot(self, name):
        """Flip one bit of a random byte of a file, as bit rot does."""
        data = self.files[name]
        index = self.rng.randrange(len(data))
        corrupt = data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]
        self.files[name] = self.lasting[name] = corrupt
