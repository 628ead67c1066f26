"""The proxy daemon beside each endpoint (program mdproxy): the wiring of its parts.

It owns the endpoints of its node, the configuration in force there, the latest load list, and the
calls in flight. All state is in memory: a restarted proxy collects it anew.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock import process
from meadowdock.admin_http import RouteTable
from meadowdock.configuration import RoutingTable
from meadowdock.load_sharing import LoadList
from meadowdock.membership import MemberEntry
from meadowdock.proxy import registration, request_handling, status
from meadowdock.proxy.delivery import ConfigurationDelivery
from meadowdock.proxy.endpoints import HEARTBEAT_INTERVAL_US, EndpointRegistry, ServiceReport
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.proxy.forwarder import Forwarder
from meadowdock.proxy.heartbeats import HeartbeatSender
from meadowdock.proxy.idempotency_keys import IdempotencyKeys
from meadowdock.proxy.load_reporting import LoadReporter
from meadowdock.proxy.messages import PROXY_ROLE, NodesByService
from meadowdock.proxy.peer_requests import PeerRequestHandler
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

MAINTENANCE_INTERVAL_US = 100 * MILLISECOND
# The process is overloaded if its maintenance starts this late more than MAX_LATE_TICKS times in a
# row: a single late start means that the process was paused, several that it has too much work.
LATE_AFTER_US = 100 * MILLISECOND
MAX_LATE_TICKS = 1
# How long after the first heartbeat interval a started proxy is not ready yet, so that it has
# received a heartbeat of each local endpoint.
FIRST_HEARTBEATS_MARGIN_US = 200 * MILLISECOND
FIRST_LOAD_LIST_WAIT_US = 2 * SECOND  # after this, a proxy is ready without a load list
DRAIN_POLL_US = 10 * MILLISECOND


def merged_routes() -> RouteTable:
    """Return the routes of the endpoints' API and the status; any other path is a call."""
    table = RouteTable()
    table.exact = {**registration.routes.exact, **status.routes.exact}
    table.fallback = request_handling.routes.fallback
    return table


class ProxyServer(process.Daemon):
    """One proxy process.

    Invariant: forwarder.routing_table is that of delivery's active version.
    """

    routes = merged_routes()

    def __init__(self, node: process.Node) -> None:
        self.node = node
        settings = node.settings
        self.started_at = monotonic_us()
        self.endpoints = EndpointRegistry(settings.host, settings.fleet_key, node.log)
        retry_budget = RetryBudget(settings.nodes_expected, monotonic_us())
        self.forwarder = Forwarder(node, self.endpoints, retry_budget)
        self.delivery = ConfigurationDelivery(node, self.activate)
        self.idempotency_keys = IdempotencyKeys()
        self.load_reporter = LoadReporter(self)
        self.heartbeats = HeartbeatSender(self)
        self.peer_requests = PeerRequestHandler(self)
        self.late_ticks = 0
        self.last_call_number = 0
        node.membership.on_entry_updated = self.on_member

    def rpc_handlers(self) -> Handlers:
        """Return the RPC methods that this process answers."""
        handlers: Handlers = (
            LoadReporter.handlers.bind(self.load_reporter)
            | PeerRequestHandler.handlers.bind(self.peer_requests)
            | ConfigurationDelivery.handlers.bind(self.delivery)
        )
        return handlers

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops that the node keeps running, by their names in the log."""
        return {
            "manifest": self.delivery.run,
            "pulse": self.maintenance_loop,
            "beat": self.heartbeats.run,
        }

    def unready_reasons(self) -> list[str]:
        """Return why this process is not ready; empty if it is."""
        age_us = monotonic_us() - self.started_at
        reasons = []
        if not self.delivery.active:
            reasons.append("the core hasn't confirmed a manifest here yet")
        if age_us < HEARTBEAT_INTERVAL_US + FIRST_HEARTBEATS_MARGIN_US:
            reasons.append("the endpoints beside were not all heard yet")
        if not self.forwarder.load_list.epoch and age_us < FIRST_LOAD_LIST_WAIT_US:
            reasons.append("no load list yet")
        return reasons

    def abort_requests(self) -> None:
        """End the calls in flight now."""
        self.forwarder.abort_requests()

    async def announce_shutdown(self) -> None:
        """Tell the registries that this node is leaving the rotation."""
        await self.heartbeats.send()

    async def drain(self) -> None:
        """Wait until no call is in flight."""
        while len(self.forwarder.slab):
            await sleep_us(DRAIN_POLL_US)

    async def maintenance_loop(self) -> None:
        """Run the maintenance at each tick.

        It detects pauses of the process, removes expired endpoints, and records ticks that came
        late.
        """
        while True:
            self.delivery.detect_pause()
            await self.maintain()
            wakeup = self.node.membership.schedule.next_wakeup(MAINTENANCE_INTERVAL_US)
            await sleep_us(wakeup - monotonic_us())
            late = monotonic_us() - wakeup > LATE_AFTER_US
            self.late_ticks = self.late_ticks + 1 if late else 0

    async def maintain(self) -> None:
        """Run the maintenance work of one tick."""
        await self.forwarder.remove_expired()

    def overloaded(self) -> bool:
        """Return whether this process falls behind with its own work.

        New calls are rejected at once while it does.
        """
        return self.late_ticks > MAX_LATE_TICKS

    @property
    def out_of_rotation(self) -> bool:
        """Whether peers must not forward calls to this node any more."""
        stopping: bool = self.node.stopping
        return stopping

    def activate(self, routing_table: RoutingTable) -> None:
        """Route by this configuration from now on."""
        self.forwarder.routing_table = routing_table

    def use_load_list(self, load_list: LoadList, nodes_by_service: NodesByService) -> None:
        """Replace the load list that calls are placed by."""
        self.forwarder.use_load_list(load_list, nodes_by_service)

    def measure_load(self, now: int) -> dict[str, ServiceReport]:
        """End the load interval, and report each service that has an endpoint here."""
        return self.endpoints.measure_load(now, self.forwarder.routing_table.load["share"])

    def on_member(self, member: MemberEntry) -> None:
        """Handle gossip about another process, or about its new version."""
        self.delivery.on_version_seen(member.version, member.role == PROXY_ROLE)
        self.heartbeats.on_member(member)

    def next_call_id(self) -> str:
        """Return a call id that no other process uses."""
        self.last_call_number += 1
        return f"{self.node.incarnation:x}-{self.node.settings.host}-{self.last_call_number}"

    def require_local_address(self, address: str) -> None:
        """Check that an endpoint's address belongs to this machine.

        :raises RegistrationDenied: not_local.
        """
        if address.rpartition(":")[0] not in self.node.settings.local_addresses:
            raise RegistrationDenied(
                403, "not_local", "the endpoint's address is of another machine"
            )
