"""One acceptor: promises, refusals, power loss at any disk operation, damaged files."""

from __future__ import annotations

import random

import pytest
import trio

from meadowdock.consensus import Acceptor, KeyStateLost
from meadowdock.runtime import MemoryDisk
from meadowdock.simulator import SimDisk, run

LOW, HIGH = (1, "p"), (2, "p")


async def loaded_acceptor(disk):
    acceptor = Acceptor(disk, lambda *_, **__: None)
    await acceptor.load()
    return acceptor


def test_a_lower_ballot_is_refused_with_the_promised_one():
    async def scenario():
        acceptor = await loaded_acceptor(MemoryDisk())
        assert await acceptor.prepare("k", HIGH) == ("yes", (0, ""), None)
        assert await acceptor.prepare("k", LOW) == ("no", HIGH, None)
        assert await acceptor.prepare("k", HIGH) == ("no", HIGH, None)
        assert await acceptor.write("k", LOW, "old") == ("no", HIGH)
        assert acceptor.read("k") == ((0, ""), None)

    trio.run(scenario)


def test_an_accepted_pair_is_in_the_next_promise():
    async def scenario():
        acceptor = await loaded_acceptor(MemoryDisk())
        await acceptor.prepare("k", LOW)
        assert await acceptor.write("k", LOW, "value") == ("yes", LOW)
        assert await acceptor.write("k", LOW, "value") == ("yes", LOW)  # sent twice
        assert await acceptor.prepare("k", HIGH) == ("yes", LOW, "value")

    trio.run(scenario)


def test_a_damaged_file_is_rewritten_from_memory():
    async def scenario():
        disk = MemoryDisk()
        acceptor = await loaded_acceptor(disk)
        await acceptor.prepare("k", LOW)
        await acceptor.write("k", LOW, "value")
        (folder,) = acceptor.keys
        assert not await acceptor.rewrite_if_damaged(folder)
        (file,) = disk.files
        disk.files[file] = disk.files[file][:-1]
        assert await acceptor.rewrite_if_damaged(folder)
        assert (await loaded_acceptor(disk)).read("k") == (LOW, "value")

    trio.run(scenario)


def test_a_promise_survives_power_loss_at_every_disk_step():
    """After a power loss the disk holds an intact state, at least as new as the last answer."""

    async def scenario(world):
        for loss_step in range(1, 10):
            disk = SimDisk(random.Random(loss_step))
            acknowledged = []

            async def write_twice(disk=disk, acknowledged=acknowledged):
                acceptor = await loaded_acceptor(disk)
                for number in (1, 2):
                    await acceptor.prepare("k", (number, "p"))
                    await acceptor.write("k", (number, "p"), f"v{number}")
                    acknowledged.append(number)

            scope = trio.CancelScope()
            disk.lose_at, disk.on_loss = loss_step, scope.cancel
            with trio.move_on_after(1), scope:
                await write_twice()
            disk.power_off()
            disk.lose_at = None
            acceptor = await loaded_acceptor(disk)
            assert not acceptor.damaged_key_folders()
            accepted, value = acceptor.read("k")
            assert accepted[0] >= (acknowledged[-1] if acknowledged else 0)
            assert value == (f"v{accepted[0]}" if accepted[0] else None)

    run(scenario)


def test_a_damaged_key_is_lost_and_never_read_from_an_older_file():
    async def scenario(world):
        disk = SimDisk(random.Random(1))
        acceptor = await loaded_acceptor(disk)
        for number in range(1, 4):
            await acceptor.prepare("k", (number, "p"))
        disk.rot(next(name for name in disk.files if name.startswith("key/")))
        restarted = await loaded_acceptor(disk)
        assert len(restarted.damaged_key_folders()) == 1
        with pytest.raises(KeyStateLost, match="k"):
            restarted.read("k")

    run(scenario)
