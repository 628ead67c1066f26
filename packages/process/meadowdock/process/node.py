"""The node: the part of a process that is the same for all daemons.

A node owns the process's rpc connections and listener, its membership view, its HTTP listeners,
its background tasks and its shutdown.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import trio

from meadowdock.admin_http import App
from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.membership import GossipMembership, MemberEntry
from meadowdock.process.daemon import Daemon
from meadowdock.process.first_start import FirstStartWitness
from meadowdock.process.health import with_health_checks
from meadowdock.process.listeners import HttpListeners
from meadowdock.process.listening import AddressQueue
from meadowdock.process.shutdown import GracefulShutdown
from meadowdock.process.supervision import supervise
from meadowdock.process.task_guard import GuardedNursery, run_guarded
from meadowdock.rpc import ConnectionPool, Handlers, Peer, serve_connection
from meadowdock.runtime import Runtime
from meadowdock.runtime.client_connections import ClientConnections, ClientLimits
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.peer_connections import PeerLimits
from meadowdock.settings import ProcessSettings

HTTP_DESCRIPTOR_SHARE = 1 / 8  # of the process's descriptors, for connections at its HTTP listeners


class Node:
    """One process of the mesh.

    Invariants: daemon and listeners are set once, when the node runs; stopping changes from False
    to True once, when the shutdown begins.

    :ivar incarnation: the wall-clock time of the start in microseconds, which orders the processes
        that had this address.
    """

    daemon: Daemon
    listeners: HttpListeners

    def __init__(
        self,
        settings: ProcessSettings,
        runtime: Runtime,
        nursery: trio.Nursery,
        log: Log | None = None,
    ) -> None:
        self.settings, self.runtime = settings, runtime
        self.log = log or Log(settings.node_name)
        self.nursery = GuardedNursery(nursery, self.log)
        self.client_memory = runtime.net.memory = ClientMemory(settings.memory_mb, self.log)
        self.incarnation = runtime.wall_us()
        self_peer = Peer(settings.node_name, settings.rpc_address)
        self.rpc = ConnectionPool(
            self.nursery,
            runtime.net,
            settings.fleet_key,
            runtime.rng,
            self_peer,
            self.log,
            memory=self.client_memory,
        )
        entry = MemberEntry(
            settings.rpc_address, settings.role, settings.zone, self.incarnation, 0, False, 0
        )
        self.membership = GossipMembership(entry, settings.seeds, runtime.rng, self.rpc, self.log)
        self.first_start = FirstStartWitness(settings, self.membership)
        self.peer_limits = PeerLimits(
            settings.descriptors, self.client_memory, has_callers=bool(settings.gate_address)
        )
        self.addresses = AddressQueue(self.log)
        self.stopping = False
        self.shutdown = GracefulShutdown(self)

    def apply_settings(self, latest: ProcessSettings) -> None:
        """Apply the settings that may change while a process runs.

        Its host, ports and zone stay as at the start.
        """
        self.settings = replace(
            self.settings,
            seeds=latest.seeds,
            service=latest.service,
            retry_budget=latest.retry_budget,
        )
        self.membership.seeds = self.settings.seeds
        self.daemon.settings_changed(self.settings)

    def unready_reasons(self) -> list[str]:
        """Return why this node is not ready; empty if it is ready."""
        stopping = ["stopping"] if self.stopping else []
        return [
            *stopping,
            *self.addresses.unready_reasons(),
            *self.daemon.unready_reasons(),
        ]

    async def run(
        self,
        make_daemon: Callable[[Node], Daemon],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until a shutdown is requested, then shut down and cancel the node's nursery.

        `task_status` is set to started once all listeners are open whose addresses are available. A
        process that is told to stop before it has opened any ends at once.
        """
        self.daemon = make_daemon(self)
        self.listeners = HttpListeners(self.apps())
        await self.daemon.prepare()
        if self.shutdown.requested.is_set():
            self.nursery.cancel_scope.cancel()
            return
        await self.serve_rpc(
            self.daemon.rpc_handlers()
            | GossipMembership.handlers.bind(self.membership)
            | FirstStartWitness.handlers.bind(self.first_start)
        )
        tasks = {"view": self.membership.run, **self.daemon.background_tasks()}
        for name, task in tasks.items():
            self.nursery.start_soon(supervise, name, task, self.log)
        grace_us = self.shutdown.timeout_us - self.shutdown.linger_us
        await self.nursery.start(self.listeners.serve, self.runtime.net, grace_us, self.addresses)
        settings = self.settings
        self.log(
            log_events.STARTED,
            role=settings.role,
            link=settings.rpc_address,
            http=settings.http_address,
            zone=settings.zone,
        )
        task_status.started()
        await self.shutdown.requested.wait()
        await self.shutdown.run()

    def apps(self) -> dict[str, App]:
        """Return the HTTP apps by address: the process's own, with health checks, and the daemon's."""
        own = {self.settings.http_address: with_health_checks(self.daemon.routes)}
        routes = {**own, **self.daemon.listeners()}
        apps = {address: App(table, self.daemon, self.log) for address, table in routes.items()}
        connections = ClientConnections.with_share(
            HTTP_DESCRIPTOR_SHARE, self.settings.descriptors, self.client_memory
        )
        for app in apps.values():
            app.client_limits = ClientLimits(self.client_memory, connections)
        return apps

    async def serve_rpc(self, handlers: Handlers) -> None:
        """Open the rpc listener, now or once its address is available."""
        settings, runtime = self.settings, self.runtime
        serve = partial(
            serve_connection,
            key=settings.fleet_key,
            rng=runtime.rng,
            name=settings.node_name,
            handlers=handlers,
            log=self.log,
            limits=self.peer_limits,
        )
        address = settings.rpc_address
        serve_guarded = partial(run_guarded, self.log, serve)
        listen = partial(self.nursery.start, runtime.net.serve_streams, address, serve_guarded)
        if not await self.addresses.try_to_listen(address, listen):
            self.nursery.start_soon(self.addresses.listen, address, listen)
