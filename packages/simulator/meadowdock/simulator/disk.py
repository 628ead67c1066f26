"""A disk whose power can go at any step.

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
    """Invariants: lasting is what a power loss leaves; files is what the running process sees.
    A write goes aside, is synced, is renamed, and the folder is synced: only then it lasts.
    Between rename and the folder's sync a power loss keeps either the old or the new state."""

    def __init__(self, rng, step_us=300):
        self.rng, self.step_us = rng, step_us
        self.files, self.lasting = {}, {}
        self.stalled = None  # an event while the disk stalls
        self.full = False
        self.writing = {}  # what lies aside, not yet renamed
        self.steps = 0
        self.lose_at = None  # the step count at which the power goes
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
            shield.shield = False  # the process is being ended: nothing more is written
            await trio.sleep_forever()

    async def write(self, name, data):
        if self.full:
            raise OSError(28, "no space left")
        # like a thread that can't be called back: a cancel takes effect after the write
        with trio.CancelScope(shield=True) as shield:
            self.writing[name] = data
            await self.step(shield)
            await self.step(shield)
            self.writing.pop(name, None)
            self.files[name] = data
            if self.rng.random() < 0.5:  # the rename may or may not reach the disk by itself
                self.lasting[name] = data
            await self.step(shield)
            self.lasting[name] = data
            await self.step(shield)

    async def remove(self, name):
        await trio.lowlevel.checkpoint()
        self.files.pop(name, None)
        if self.rng.random() < 0.5:  # a removal that isn't synced may come undone
            self.lasting.pop(name, None)

    async def rename_folder(self, folder, new_name):
        await super().rename_folder(folder, new_name)
        self.lasting = dict(self.files)

    # ------------------------------------------------------------ faults

    def power_off(self):
        """What was being written aside is torn: a part of it may be found there later."""
        torn = {f"{n}.aside": d[: self.rng.randrange(len(d) + 1)] for n, d in self.writing.items()}
        self.writing = {}
        self.lasting |= torn
        self.files = dict(self.lasting)

    def rot(self, name):
        data = self.files[name]
        spot = self.rng.randrange(len(data))
        bad = data[:spot] + bytes([data[spot] ^ 1]) + data[spot + 1 :]
        self.files[name] = self.lasting[name] = bad
