"""An unexpected error in one task ends neither the process nor any other task."""

from __future__ import annotations

import pytest
import trio

from meadowdock.logs import events as log_events
from meadowdock.rpc.messages import Request
from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


async def fail():
    """Fail as a defect would."""
    raise AssertionError("a defect")


async def started_registry(world):
    """Start one registry and one config store, and return the registry's node."""
    await world.start("mdreg", world.core[0])
    await world.start("mdconf", world.core[0])
    return world.node("mdreg", world.core[0])


async def hello(world, node):
    """Call a method of the config store from a node."""
    address = world.node("mdconf", world.core[0]).settings.rpc_address
    return await node.rpc.call(address, "member.hello", {"link": ""}, monotonic_us() + SECOND)


def failures(world):
    """Return the tasks that were logged as failed."""
    return [line["task"] for _, line in world.trace.events(log_events.TASK_FAILED)]


def test_an_error_of_a_task_ends_that_task_alone():
    async def scenario(world):
        node = await started_registry(world)
        node.nursery.start_soon(fail)
        await sleep_us(SECOND)
        assert failures(world) == ["fail"]
        assert await hello(world, node)
        assert f"mdreg@{world.core[0]}" in world.processes

    run(scenario)


@pytest.mark.parametrize(
    "error", [AssertionError("a defect"), trio.BrokenResourceError(), EOFError(), MemoryError()]
)
def test_a_background_task_is_restarted_after_any_error(error):
    from meadowdock.process.supervision import supervise

    async def scenario(world):
        node = await started_registry(world)
        runs = []

        async def task():
            runs.append(monotonic_us())
            if len(runs) < 3:
                raise error
            await trio.sleep_forever()

        node.nursery.start_soon(supervise, "example", task, node.log)
        await sleep_us(5 * SECOND)
        assert len(runs) == 3
        assert failures(world) == ["example"] * 2

    run(scenario)


def test_a_message_that_breaks_the_server_ends_its_connection_alone():
    """The id of the call, which an authenticated peer chooses, has another form."""

    async def scenario(world):
        node = await started_registry(world)
        store = world.node("mdconf", world.core[0])
        connection = await node.rpc.open(store.settings.rpc_address, monotonic_us() + SECOND)
        connection.writer.put_nowait(Request(5, "member.hello", {}, SECOND, 0).encode())
        await sleep_us(SECOND)
        assert len(failures(world)) == 1
        assert await hello(world, node)

    run(scenario)
