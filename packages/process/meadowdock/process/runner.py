"""Running a daemon as a process: event loop, signals, and interpreter settings."""

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

# While a thread validates or assembles a large configuration, the event loop waits no longer than
# this for the interpreter lock.
THREAD_SWITCH_INTERVAL_S = 0.0005


async def watch_signals(node: Node) -> None:
    """Forward SIGTERM and SIGINT to the node's shutdown, and ignore a SIGTERM after its end."""
    try:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for number in received:
                node.shutdown.on_signal(number)
    finally:
        # the receiver restores the default, by which a repeated SIGTERM would change the exit status
        signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def run_daemon(settings: ProcessSettings, make_daemon: Callable[[Node], Daemon]) -> None:
    """Run one daemon on the real clock, network and disk until it has shut down."""
    disk = Disk(settings.data) if settings.data else NoDisk()
    async with trio.open_nursery() as nursery:
        node = Node(settings, Runtime(Net(settings.host), disk), nursery)
        nursery.start_soon(watch_signals, node)
        await node.run(make_daemon)


def start(make_daemon: Callable[[Node], Daemon]) -> Callable[[ProcessSettings], None]:
    """Return a function that runs a daemon with its settings and returns once it has ended."""

    def run(settings: ProcessSettings) -> None:
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        linecache.clearcache()  # drops the source of all methods that attrs has generated
        gc.collect()
        gc.freeze()  # garbage collections skip what is loaded so far, which is never freed
        trio.run(run_daemon, settings, make_daemon)

    return run
