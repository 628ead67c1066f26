"""The proxy with a gateway: a Gateway forwards the calls, routed by host and path prefix.

This module connects meadowdock.forwarding to the proxy daemon; platform adapters subclass it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from functools import partial
from typing import Any

import trio

from meadowdock import process
from meadowdock.configuration import RoutingTable
from meadowdock.configuration.schema import DEFAULT_LOAD
from meadowdock.forwarding import Dialect, Gateway, Reactor, SocketNetwork
from meadowdock.forwarding.unanswered import (
    log_unanswered,
    unanswered_requests,
    work_in_progress,
)
from meadowdock.load_sharing import LoadList
from meadowdock.logs import events as log_events
from meadowdock.proxy.endpoints import ServiceReport
from meadowdock.proxy.gateway_endpoints import EndpointHeartbeat, GatewayEndpoints
from meadowdock.proxy.messages import NodesByService
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.proxy.server import ProxyServer
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

# An endpoint that misses this many heartbeats in a row is removed a third of an interval later.
MAX_MISSED_HEARTBEATS = 3
LISTENER_COUNT = 2  # one for callers, one for peers
# Load parameters for calls by host and prefix, unless the operators' configuration sets its own.
GATEWAY_LOAD_PARAMETERS = {"omega": 0.8, "phi": 0.7, "interval_us": 250 * MILLISECOND}
# The part of the configured retry budget that the gateways use. The nodes' windows don't begin
# together, and callers retry as well, so the full budget would let the fleet exceed its limit.
RETRY_BUDGET_SHARE = 0.6

# A graceful shutdown closes the listeners once no call has arrived for this long.
QUIET_US = 200 * MILLISECOND
DRAIN_POLL_US = 10 * MILLISECOND
FLUSH_US = 50 * MILLISECOND  # for the last responses to be sent


class GatewayProxy(ProxyServer):
    """One proxy process with a gateway.

    Invariant: gateway.table holds the items of delivery's active version.
    """

    dialect: Dialect  # the platform's header names, set by a subclass

    def __init__(self, node: process.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self.reactor = Reactor(node.log)
        self.sockets = self.make_sockets()
        self.gateway = Gateway(
            self.sockets,
            self.reactor,
            self.endpoints,
            self.dialect,
            settings,
            node.runtime.rng,
            node.log,
            self,
            node.client_memory,
            node.peer_limits,
        )
        self.endpoints.heartbeat_timeout_us = (
            MAX_MISSED_HEARTBEATS * settings.heartbeat_us + settings.heartbeat_us // 3
        )
        self.gateway_endpoints = GatewayEndpoints(self, self.reactor.end_turn)
        self.closing = trio.Event()
        self.closing_listeners = False
        self.open_listeners = 0

    def make_sockets(self) -> SocketNetwork:
        """Create the socket network.

        A simulated network provides its own; otherwise real sockets are used.
        """
        node = self.node
        make_network = getattr(node.runtime.net, "wires", None)
        if make_network is not None:
            return make_network(node.nursery, self.reactor)
        return SocketNetwork(node.settings.host, node.nursery, self.reactor)

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops that the node keeps running, by their names in the log."""
        return super().background_tasks() | {
            "reactor": self.reactor.run,
            "arrivals": self.serve_callers,
            "neighbours": self.serve_peers,
            "beside": self.gateway_endpoints.discover,
        }

    async def serve_callers(self) -> None:
        """Accept connections of callers on this machine, until a shutdown closes the listener."""
        await self.listen(self.node.settings.gate_address, self.gateway.accept, self.closing)

    async def serve_peers(self) -> None:
        """Accept connections of peers."""
        address = f"{self.node.settings.host}:{self.node.settings.gate_port}"
        await self.listen(address, self.gateway.peers.accept)

    async def listen(
        self, address: str, accept: Callable[[Any], None], closing: trio.Event | None = None
    ) -> None:
        """Accept connections at an address, as soon as it is available, until `closing` is set."""
        self.open_listeners += 1
        addresses = self.node.addresses
        status = addresses.status_of(address)
        await addresses.listen(
            address, partial(self.sockets.listen, address, accept, closing, status)
        )

    def unready_reasons(self) -> list[str]:
        """Return why this process is not ready; empty if it is."""
        reasons = super().unready_reasons()
        if self.open_listeners < LISTENER_COUNT:
            reasons.append("the doors are not open yet")
        return reasons

    async def announce_shutdown(self) -> None:
        """Ask callers to close their connections; the node stays in rotation until `drain`."""
        self.gateway.closing = True

    async def drain(self) -> None:
        """Leave the rotation, and wait until no call is in flight.

        The listener for callers is closed once no calls arrive any more. After that no call is
        taken, of callers or of peers, so that a node without calls stays so until it ends.
        """
        shutdown = self.node.shutdown
        assert shutdown.deadline is not None
        assert shutdown.close_by is not None
        self.closing_listeners = True
        self.gateway.limit_peers(shutdown.deadline)
        self.log_progress("leaving the rotation")
        with deadline_scope(shutdown.close_by):
            await self.heartbeats.send()
            await self.wait_until_quiet()
        self.log_progress("closing the listener")
        self.closing.set()
        await sleep_us(QUIET_US // 4)
        self.gateway.stop_taking()
        self.gateway.close_idle_connections()
        while self.gateway.has_pending_work():
            self.gateway.close_idle_connections()
            await sleep_us(DRAIN_POLL_US)
        await super().drain()

    def abort_requests(self) -> None:
        """End the calls in flight now: those that were not sent are rejected."""
        super().abort_requests()
        self.gateway.end_calls()

    async def flush(self) -> None:
        """Wait until all answers are sent, and for the other side to receive them."""
        while self.sockets.has_unsent_output():
            await sleep_us(DRAIN_POLL_US)
        await sleep_us(FLUSH_US)

    def log_progress(self, step: str) -> None:
        """Log that a step of the shutdown begins, with the work that has no answer yet."""
        started_at = self.node.shutdown.started_at
        assert started_at is not None
        self.node.log(
            log_events.SHUTDOWN_PROGRESS,
            step=step,
            after_ms=(monotonic_us() - started_at) // MILLISECOND,
            **asdict(work_in_progress(self.gateway)),
        )

    def report_unanswered(self) -> None:
        """Log the requests that are about to be ended without an endpoint's answer."""
        self.log_progress("ending")
        started_at = self.node.shutdown.started_at
        assert started_at is not None  # set before the drain
        log_unanswered(unanswered_requests(self.gateway), self.node.log, started_at)

    async def wait_until_quiet(self) -> None:
        """Wait until no call has arrived for QUIET_US."""
        while monotonic_us() - self.gateway.last_arrival_at < QUIET_US:
            await sleep_us(QUIET_US // 4)

    @property
    def out_of_rotation(self) -> bool:
        """Whether peers must not forward calls to this node any more.

        A stopping node still serves until its listeners close, so its endpoint stays in use until
        then.
        """
        return self.closing_listeners

    async def maintain(self) -> None:
        """Run the proxy's maintenance, and the gateway's."""
        await super().maintain()
        self.gateway.run_maintenance(monotonic_us())

    def activate(self, routing_table: RoutingTable) -> None:
        """Route by this configuration from now on."""
        if routing_table.load is DEFAULT_LOAD:  # the operators' configuration has no load section
            routing_table.load = {**DEFAULT_LOAD, **GATEWAY_LOAD_PARAMETERS}
        super().activate(routing_table)
        self.gateway.apply_configuration(routing_table.items, routing_table.load)

    def use_load_list(self, load_list: LoadList, nodes_by_service: NodesByService) -> None:
        """Replace the load list that calls are placed by."""
        super().use_load_list(load_list, nodes_by_service)
        self.gateway.update_loads(load_list, nodes_by_service)
        self.reactor.end_turn()

    def measure_load(self, now: int) -> dict[str, ServiceReport]:
        """Measure the load as the proxy does, scaled up by how slow the endpoint here is.

        The reports also carry the zone and the mean slot time.
        """
        return {
            service: self.with_gateway_load(service, report, now)
            for service, report in super().measure_load(now).items()
        }

    def with_gateway_load(self, service: str, report: ServiceReport, now: int) -> ServiceReport:
        """Return a service's report, completed by what the gateway has measured."""
        load = self.endpoints.service_loads[service]
        load.rho = min(1.0, load.rho * self.gateway.slowness.factor(service, now))
        return report._replace(
            rho=load.rho,
            zone=self.node.settings.zone,
            slot_us=self.gateway.slowness.hold_us(service),
        )

    def new_retry_budget(self, gateway: Gateway) -> RetryBudget:
        """Return a new retry budget for one service of the gateway."""
        limits = self.node.settings.retry_budget
        ratio = RETRY_BUDGET_SHARE * limits.ratio
        reserve = int(RETRY_BUDGET_SHARE * limits.reserve)
        return RetryBudget(gateway.peer_count(), self.started_at, ratio, reserve, limits.window_us)

    def settings_changed(self, settings: Any) -> None:
        """Apply changed settings to a running process: its service and the retry limits."""
        self.gateway.caller_name = (settings.service or "guest").encode()
        self.gateway.retries.budgets = {
            service: self.new_retry_budget(self.gateway).carry_over(former)
            for service, former in self.gateway.retries.budgets.items()
        }

    def endpoint_heartbeat(self, fields: Mapping[str, Any]) -> None:
        """Process a heartbeat of the local endpoint; its fields are those of EndpointHeartbeat.

        :raises RegistrationDenied: the endpoint is on another machine.
        """
        self.gateway_endpoints.heartbeat(EndpointHeartbeat.from_fields(fields))

    def deregister_endpoint(self, instance: str) -> None:
        """Remove the local endpoint, because it shuts down."""
        self.gateway_endpoints.deregister(instance)
