"""Running a daemon as a process: event loop, signals, and interpreter settings."""

from __future__ import annotations

import faulthandler
import gc
import linecache
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace

import trio

from meadowdock.logs import Log, standard_error
from meadowdock.process.daemon import Daemon
from meadowdock.process.early_signals import STOP_SIGNALS, EarlySignals
from meadowdock.process.failure import EXIT_FAILED, ProcessFailure
from meadowdock.process.node import Node
from meadowdock.process.run_record import RunRecord
from meadowdock.runtime import Disk, Net, NoDisk, Runtime
from meadowdock.runtime.address_space import (
    prepare_allocator,
    reclaimer,
    usable_bytes,
)
from meadowdock.runtime.client_memory import MEGABYTE
from meadowdock.runtime.disk import MAX_THREADS
from meadowdock.settings import ProcessSettings

# While a thread validates or assembles a large configuration, the event loop waits no longer than
# this for the interpreter lock.
THREAD_SWITCH_INTERVAL_S = 0.0005


# Freed when an error ends the process, so that the error can be logged if memory is used up.
LOGGING_RESERVE_BYTES = 1 << 20
STDERR = 2


async def watch_signals(node: Node, earlier: EarlySignals | None = None) -> None:
    """Forward SIGTERM and SIGINT to the node's shutdown, and ignore a SIGTERM after its end.

    :param earlier: keeps the signals that arrived before.
    """
    try:
        with trio.open_signal_receiver(*STOP_SIGNALS) as received:
            for number in earlier.received if earlier else ():
                node.shutdown.on_signal(number)
            async for number in received:
                node.shutdown.on_signal(number)
    finally:
        # the receiver restores the default, by which a repeated SIGTERM would change the exit status
        signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def keep_record(node: Node, record: RunRecord) -> None:
    """Keep the run record: that the process runs, and that it was told to stop."""
    await record.begin()
    await node.shutdown.requested.wait()
    await record.stopping()


async def run_daemon(
    settings: ProcessSettings, make_daemon: Callable[[Node], Daemon], earlier: EarlySignals
) -> None:
    """Run one daemon on the real clock, network and disk until it has shut down.

    An error that ends it is kept in the run record.
    """
    disk = Disk(settings.data) if settings.data else None
    try:
        async with trio.open_nursery() as nursery:
            node = Node(settings, Runtime(Net(settings.host), disk or NoDisk()), nursery)
            nursery.start_soon(watch_signals, node, earlier)
            if disk:
                nursery.start_soon(keep_record, node, RunRecord(disk, node.log))
            await node.run(make_daemon)
    except Exception as error:
        if disk:
            cause = "; ".join(ProcessFailure.from_exception(error).causes)
            RunRecord(disk, node.log).failed(cause)
        raise


def with_descriptor_limit(settings: ProcessSettings) -> ProcessSettings:
    """Return the settings with the limit of descriptors that the process has, if they name none."""
    if settings.descriptors is not None:
        return settings
    import resource  # not needed where the settings name the limit

    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return settings if limit == resource.RLIM_INFINITY else replace(settings, descriptors=limit)


def with_memory_limit(settings: ProcessSettings) -> ProcessSettings:
    """Return the settings with the memory that a limit of address space leaves, if that is less."""
    usable = usable_bytes(MAX_THREADS)
    if usable is None:
        return settings
    usable_mb = max(1, usable // MEGABYTE)
    return replace(settings, memory_mb=min(settings.memory_mb or usable_mb, usable_mb))


def log_failure(error: Exception, log: Log, last_words: bytes) -> None:
    """Log the error that ends the process.

    :param last_words: the event that is written if there is no memory for that.
    """
    try:
        ProcessFailure.from_exception(error).log(log)
    except MemoryError:
        os.write(STDERR, last_words)


def start(make_daemon: Callable[[Node], Daemon]) -> Callable[[ProcessSettings], None]:
    """Return a function that runs a daemon with its settings and returns once it has ended.

    An error that ends the daemon is logged and ends the process with the status EXIT_FAILED.
    """

    def run(settings: ProcessSettings) -> None:
        prepare_allocator()
        settings = with_memory_limit(with_descriptor_limit(settings))
        earlier = EarlySignals()
        earlier.watch()
        # other modules print there, too; it must not end the process or hold it up
        sys.stderr = standard_error()
        faulthandler.enable(STDERR, all_threads=False)  # a crash in a library says where it was
        log = Log(settings.node_name)
        reclaimer.report_to(log)
        last_words = ProcessFailure((repr(MemoryError()),), "", ()).encoded(log)
        reserve = [bytes(LOGGING_RESERVE_BYTES)]
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        linecache.clearcache()  # drops the source of all methods that attrs has generated
        gc.collect()
        gc.freeze()  # garbage collections skip what is loaded so far, which is never freed
        try:
            trio.run(run_daemon, settings, make_daemon, earlier)
        except Exception as error:
            reserve.clear()
            log_failure(error, log, last_words)
            sys.exit(EXIT_FAILED)

    return run
