"""What every daemon is made of: links, a view, probes, loops that are kept going, and the stop."""

from __future__ import annotations

import gc
import linecache
import signal
import sys
from functools import partial

import trio

from meadowdock.admin_http import App, Response, RouteTable
from meadowdock.logs import Log
from meadowdock.membership import Entry, View
from meadowdock.rpc import ConnectionPool, Peer, serve_connection
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    Disk,
    Net,
    NoDisk,
    Runtime,
    deadline_scope,
    monotonic_us,
    sleep_us,
)

LINGER = 1_200 * MILLISECOND  # still serving, for the platform probes ready only once a second
QUIET = 200 * MILLISECOND
LAST = 400 * MILLISECOND  # for those who came in just before the door was closed
STOP_WITHIN = 4_700 * MILLISECOND  # the platform forces after about 6 s; we promise 5 s
KNOWN = (OSError, ValueError, KeyError, TypeError, LookupError, RuntimeError, ArithmeticError)

probes = RouteTable()


@probes.on("GET", "/live")
async def live(daemon, request):
    return Response(200, {"live": True})


@probes.on("GET", "/ready")
async def ready(daemon, request):
    why = daemon.node.unready_reasons()
    return Response(503 if why else 200, {"ready": not why, "why": why})


def with_probes(table):
    """The probes' handlers and those of a daemon, in one table."""
    made = RouteTable()
    made.exact = {**probes.exact, **table.exact}
    made.below, made.fallback = table.below, table.fallback
    return made


class Daemon:
    """What a daemon adds to a node; these do nothing unless it has something to do there."""

    async def prepare(self):
        """Before anything is served."""

    async def announce_shutdown(self):
        """Asked to stop: tell those who should know."""

    async def drain(self):
        """Wait until nothing is under way."""

    def abort_requests(self):
        """Asked a second time: end what is under way."""

    def listeners(self):
        """Further HTTP doors, {address: Table}: served as boot.http is, and stopped with it."""
        return {}


class Node:
    """One daemon. Invariants: stopping goes from False to True once; stopped is set after it;
    apps[0] is the app of boot.http, the others those of the daemon's further doors."""

    def __init__(self, settings, runtime, nursery, log=None):
        self.settings, self.runtime, self.nursery = settings, runtime, nursery
        self.log = log or Log(settings.name)
        self.incarnation = runtime.wall_us()
        self.rpc = ConnectionPool(
            nursery,
            runtime.net,
            settings.fleet_key,
            runtime.rng,
            Peer(settings.name, settings.link),
            self.log,
        )
        me = Entry(settings.link, settings.role, settings.zone, self.incarnation, 0, False, 0)
        self.view = View(me, settings.seeds, runtime.rng, self.rpc, self.log)
        self.stopping = False
        self.stop_deadline = None
        self.stop_requested, self.abort_requested, self.http_end = (
            trio.Event(),
            trio.Event(),
            trio.Event(),
        )
        self.http_over = trio.Event()
        self.linger_us = getattr(settings, "linger_us", LINGER)
        self.stop_timeout_us = getattr(settings, "stop_us", STOP_WITHIN)
        self.daemon = self.app = None
        self.apps = []

    def unready_reasons(self):
        return [*(["stopping"] if self.stopping else []), *self.daemon.unready_reasons()]

    async def forever(self, name, loop):
        """Keep a loop going: an unexpected breakdown is logged and the loop begins anew."""
        while True:
            try:
                await loop()
                return
            except* KNOWN as group:
                self.log(105, task=name, cause=repr(group.exceptions[:3]))
            await sleep_us(200 * MILLISECOND)

    async def run(self, make_daemon, task_status=trio.TASK_STATUS_IGNORED):
        daemon = self.daemon = make_daemon(self)
        self.app = App(with_probes(daemon.table), daemon, self.log)
        further = {a: App(table, daemon, self.log) for a, table in daemon.listeners().items()}
        self.apps = [self.app, *further.values()]
        await daemon.prepare()
        handlers = daemon.rpc_handlers() | View.handlers.bind(self.view)
        nursery = self.nursery
        settings, runtime = self.settings, self.runtime
        await nursery.start(
            runtime.net.serve_streams,
            settings.link,
            partial(
                serve_connection,
                key=settings.fleet_key,
                rng=runtime.rng,
                name=settings.name,
                handlers=handlers,
                log=self.log,
            ),
        )
        for name, loop in {"view": self.view.run, **daemon.background_tasks()}.items():
            nursery.start_soon(self.forever, name, loop)
        await nursery.start(self.serve_http, {self.settings.http: self.app, **further})
        self.log(
            101, role=settings.role, link=settings.link, http=settings.http, hall=settings.zone
        )
        task_status.started()
        await self.stop_requested.wait()
        await self.stop()

    async def serve_http(self, doors, task_status):
        grace = self.stop_timeout_us - self.linger_us
        async with trio.open_nursery() as nursery:
            for address, app in doors.items():
                await nursery.start(self.runtime.net.serve_http, app, address, self.http_end, grace)
            task_status.started()
        self.http_over.set()

    def requests_in_flight(self):
        return sum(app.working for app in self.apps)

    async def stop(self):
        self.log(102, working=self.requests_in_flight())
        self.stopping = True
        for app in self.apps:
            app.closing = True
        self.stop_deadline = monotonic_us() + self.stop_timeout_us
        with deadline_scope(self.stop_deadline):
            async with trio.open_nursery() as nursery:

                async def abort_when_requested():
                    await self.abort_requested.wait()
                    self.log(104)
                    self.daemon.abort_requests()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(abort_when_requested)
                linger_due = monotonic_us() + self.linger_us
                await self.daemon.announce_shutdown()
                await self.view.farewell()
                await sleep_us(linger_due - monotonic_us())
                # callers that pay no heed to ready: the door isn't closed in their faces while
                # there is time
                while (
                    monotonic_us() - max(app.came_at for app in self.apps) < QUIET
                    and monotonic_us() < self.stop_deadline - SECOND
                ):
                    await sleep_us(QUIET // 4)
                await self.daemon.drain()
                for app in self.apps:
                    await app.idle()
                nursery.cancel_scope.cancel()
        self.http_end.set()
        with deadline_scope(max(self.stop_deadline, monotonic_us()) + LAST):
            await self.http_over.wait()
        self.log(103, working=self.requests_in_flight())
        self.nursery.cancel_scope.cancel()


def seams_of(settings):
    return Runtime(Net(settings.host), Disk(settings.data) if settings.data else NoDisk())


async def signals(node):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            (node.abort_requested if node.stop_requested.is_set() else node.stop_requested).set()


async def run_daemon(settings, make_daemon):
    async with trio.open_nursery() as nursery:
        node = Node(settings, seams_of(settings), nursery)
        nursery.start_soon(signals, node)
        await node.run(make_daemon)


def start(make_daemon):
    def run(settings):
        # threads that check or assemble a large manifest let the loop have its turn sooner
        sys.setswitchinterval(0.0005)
        linecache.clearcache()  # attrs put the text of each method there that it made
        gc.collect()
        gc.freeze()  # what is loaded by now stays; no collection looks at it again
        trio.run(run_daemon, settings, make_daemon)

    return run


__all__ = ["LINGER", "SECOND", "STOP_WITHIN", "Node", "Daemon", "run_daemon", "start"]
