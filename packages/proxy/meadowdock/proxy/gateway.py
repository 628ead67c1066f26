"""The proxy with a gateway: calls come by host and prefix, and are forwarded by a Gateway.

The wiring of meadowdock.forwarding into the proxy daemon; platform adapters subclass it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio

from meadowdock import process
from meadowdock.configuration import RoutingTable
from meadowdock.configuration.schema import DEFAULT_LOAD
from meadowdock.forwarding import Dialect, Gateway, Reactor, SocketNetwork
from meadowdock.load_sharing import LoadList
from meadowdock.proxy.endpoints import ServiceReport
from meadowdock.proxy.gateway_endpoints import EndpointHeartbeat, GatewayEndpoints
from meadowdock.proxy.messages import NodesByService
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.proxy.server import ProxyServer
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

MISSED_HEARTBEATS = 3  # so many missed, and a third of an interval, an endpoint is removed
LISTENERS = 2  # for callers and for peers
# Where no operator's configuration says otherwise: by measurement on calls by host and prefix.
GATEWAY_LOAD_PARAMETERS = {"omega": 0.8, "phi": 0.7, "interval_us": 250 * MILLISECOND}
# Of the fleet's retries: the windows of nodes don't begin together, and callers retry, too.
RETRY_BUDGET_SHARE = 0.6

# A graceful shutdown closes the listeners once no call arrived for this long.
QUIET_US = 200 * MILLISECOND
DRAIN_POLL_US = 10 * MILLISECOND
FLUSH_US = 50 * MILLISECOND  # for the last responses to leave
STOP_MARGIN_US = SECOND


class GatewayProxy(ProxyServer):
    """One proxy process with a gateway. Invariant: gate.configuration is delivery's active items."""

    dialect: Dialect  # the platform's header names, set by a subclass

    def __init__(self, node: process.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self.reactor = Reactor(node.log)
        self.sockets = self.make_sockets()
        self.gate = Gateway(
            self.sockets,
            self.reactor,
            self.endpoints,
            self.dialect,
            settings,
            node.runtime.rng,
            node.log,
            self,
        )
        self.endpoints.heartbeat_timeout_us = (
            MISSED_HEARTBEATS * settings.heartbeat_us + settings.heartbeat_us // 3
        )
        self.gateway_endpoints = GatewayEndpoints(self, self.reactor.end_turn)
        self.closing = trio.Event()
        self.closing_listeners = False
        self.open_listeners = 0

    def make_sockets(self) -> SocketNetwork:
        """The sockets: the runtime's own, if it has any (a simulated network does)."""
        node = self.node
        make = getattr(node.runtime.net, "wires", None)
        if make is not None:
            return make(node.nursery, self.reactor)
        return SocketNetwork(node.settings.host, node.nursery, self.reactor)

    # ------------------------------------------------------------ the daemon's hooks

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """The loops that the node keeps running, by the names they have in the log."""
        return super().background_tasks() | {
            "reactor": self.reactor.run,
            "arrivals": self.serve_callers,
            "neighbours": self.serve_peers,
            "beside": self.gateway_endpoints.discover,
        }

    async def serve_callers(self) -> None:
        """Accept connections of callers on this machine, until the shutdown closes the listener."""
        self.open_listeners += 1
        await self.sockets.listen(self.node.settings.gate_address, self.gate.accept, self.closing)

    async def serve_peers(self) -> None:
        """Accept connections of peers."""
        settings = self.node.settings
        self.open_listeners += 1
        await self.sockets.listen(f"{settings.host}:{settings.gate_port}", self.gate.peers.accept)

    def unready_reasons(self) -> list[str]:
        """Why this process is not ready; empty if it is."""
        reasons = super().unready_reasons()
        if self.open_listeners < LISTENERS:
            reasons.append("the doors are not open yet")
        return reasons

    async def announce_shutdown(self) -> None:
        """Ask callers to close their connections; the node stays in rotation until `drain`."""
        self.gate.closing = True

    async def drain(self) -> None:
        """Leave the rotation, close the listeners once it is quiet, and end the calls in flight."""
        self.closing_listeners = True
        await self.heartbeats.send()
        await self.wait_until_quiet()
        self.closing.set()
        await sleep_us(QUIET_US // 4)
        self.gate.close_idle_connections()
        while self.gate.in_use():
            self.gate.close_idle_connections()
            await sleep_us(DRAIN_POLL_US)
        await sleep_us(FLUSH_US)
        await super().drain()

    async def wait_until_quiet(self) -> None:
        """Wait until no call arrived for QUIET_US, or the stop is near."""
        latest = self.node.shutdown.deadline - STOP_MARGIN_US
        while monotonic_us() - self.gate.last_arrival_at < QUIET_US and monotonic_us() < latest:
            await sleep_us(QUIET_US // 4)

    # ------------------------------------------------------------ hooks of the proxy

    @property
    def out_of_rotation(self) -> bool:
        """While its listeners are open a stopping node serves, and its endpoint is not lost."""
        return self.closing_listeners

    async def maintain(self) -> None:
        """What is due at each turn."""
        await super().maintain()
        self.gate.tidy(monotonic_us())

    def activate(self, routing_table: RoutingTable) -> None:
        """Route by this configuration from here on."""
        if routing_table.load is DEFAULT_LOAD:  # no operator has said anything of it
            routing_table.load = {**DEFAULT_LOAD, **GATEWAY_LOAD_PARAMETERS}
        super().activate(routing_table)
        self.gate.apply_configuration(routing_table.items, routing_table.load)

    def use_load_list(self, load_list: LoadList, nodes_by_service: NodesByService) -> None:
        """Decide by this load list from here on."""
        super().use_load_list(load_list, nodes_by_service)
        self.gate.update_loads(load_list, nodes_by_service)
        self.reactor.end_turn()

    def measure_load(self, at: int) -> dict[str, ServiceReport]:
        """As the paper's level, grown by how slow the endpoint here is; with zone and mean time."""
        return {
            service: self.adjusted(service, report, at)
            for service, report in super().measure_load(at).items()
        }

    def adjusted(self, service: str, report: ServiceReport, at: int) -> ServiceReport:
        """A service's report, with what the gateway knows of it."""
        load = self.endpoints.service_loads[service]
        load.rho = min(1.0, load.rho * self.gate.slowness.factor(service, at))
        return report._replace(
            rho=load.rho, zone=self.node.settings.zone, slot_us=self.gate.slowness.hold_us(service)
        )

    # ------------------------------------------------------------ retry budgets

    def new_retry_budget(self, gate: Gateway) -> RetryBudget:
        """The retry budget of a service."""
        limits = self.node.settings.retry_budget
        ratio = RETRY_BUDGET_SHARE * limits.ratio
        reserve = int(RETRY_BUDGET_SHARE * limits.reserve)
        return RetryBudget(gate.peer_count(), self.started_at, ratio, reserve, limits.window_us)

    def settings_changed(self, settings: Any) -> None:
        """Take new settings of a running process: the service beside, and the retry limits."""
        self.gate.caller_name = (settings.service or "guest").encode()
        self.gate.retries.budgets = {
            service: self.new_retry_budget(self.gate).carry_over(former)
            for service, former in self.gate.retries.budgets.items()
        }

    # ------------------------------------------------------------ for adapters

    def endpoint_heartbeat(self, fields: Mapping[str, Any]) -> None:
        """A heartbeat of the endpoint beside; its fields are those of EndpointHeartbeat.

        :raises RegistrationDenied: the endpoint is of another machine.
        """
        self.gateway_endpoints.heartbeat(EndpointHeartbeat.from_fields(fields))

    def deregister_endpoint(self, instance: str) -> None:
        """The endpoint beside shuts down."""
        self.gateway_endpoints.deregister(instance)
