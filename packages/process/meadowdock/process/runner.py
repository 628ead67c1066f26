"""From settings to a running process: event loop, signals, and the interpreter's own settings."""

from __future__ import annotations

import gc
import linecache
import signal
import sys
from collections.abc import Callable

import trio

from meadowdock.process.daemon import Daemon
from meadowdock.process.node import Node
from meadowdock.runtime import Disk, Net, NoDisk, Runtime
from meadowdock.settings import ProcessSettings

# Threads check and assemble large configurations; the event loop gets its turn back this soon.
THREAD_SWITCH_INTERVAL_S = 0.0005


async def watch_signals(node: Node) -> None:
    """Pass SIGTERM and SIGINT on to the node's shutdown."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            node.shutdown.signalled()


async def run_daemon(settings: ProcessSettings, make_daemon: Callable[[Node], Daemon]) -> None:
    """Run one daemon on the real clock, network and disk until it has shut down."""
    disk = Disk(settings.data) if settings.data else NoDisk()
    async with trio.open_nursery() as nursery:
        node = Node(settings, Runtime(Net(settings.host), disk), nursery)
        nursery.start_soon(watch_signals, node)
        await node.run(make_daemon)


def start(make_daemon: Callable[[Node], Daemon]) -> Callable[[ProcessSettings], None]:
    """A function that runs a daemon with given settings and returns once it has ended."""

    def run(settings: ProcessSettings) -> None:
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        linecache.clearcache()  # attrs put the source of each method that it generated there
        gc.collect()
        gc.freeze()  # what is loaded by now stays: no collection looks at it again
        trio.run(run_daemon, settings, make_daemon)

    return run
