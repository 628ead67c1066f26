"""The front end for calls by host and path prefix: downstream connections, configuration, shutdown.

Calls are handled by callbacks of the reactor and are never awaited. The dispatcher decides where they
go; the other front end, `meadowdock.proxy`, uses the same modules for its decisions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding.call import Rejected
from meadowdock.forwarding.dispatcher import Dispatcher
from meadowdock.forwarding.downstream import DownstreamConnection
from meadowdock.forwarding.http import Request
from meadowdock.forwarding.load_adjustment import SlownessEstimator
from meadowdock.forwarding.new_calls import forwarded_head, new_call, total_time_us
from meadowdock.forwarding.outcome_codes import NO_CONFIGURATION, NO_ENDPOINT
from meadowdock.forwarding.peers import Peers
from meadowdock.forwarding.placement import Thresholds, ZonePlacement
from meadowdock.forwarding.retries import RETRY_AFTER_MIN_US, RetryPolicy
from meadowdock.forwarding.traffic_split import TrafficSplit
from meadowdock.load_sharing import LoadList, NodeLoad
from meadowdock.runtime import MILLISECOND, monotonic_us
from meadowdock.runtime.client_connections import ClientConnections
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.peer_connections import CALLER_DESCRIPTOR_SHARE, PeerLimits

if TYPE_CHECKING:
    from meadowdock.configuration.items import ItemRoute, ItemTable, Limits
    from meadowdock.forwarding.dialect import Dialect
    from meadowdock.forwarding.interfaces import (
        Connection,
        EndpointRegistry,
        Logger,
        Network,
        RandomSource,
        RetryBudgets,
    )
    from meadowdock.forwarding.reactor import Reactor
    from meadowdock.settings import ProcessSettings

NO_CONFIGURATION_RETRY_US = 200 * MILLISECOND
DEFAULT_CALLER_NAME = "guest"  # of the calling service if the settings don't name it
# Addresses begin with a digit, so a random digit is a random starting point for round-robin.
ADDRESS_FIRST_CHARACTERS = "0123456789"


class Gateway:
    """The server to which callers on this machine connect.

    Invariants: connections holds the open connections of callers; table is the active
    configuration, or None until there is one.
    """

    def __init__(
        self,
        network: Network,
        reactor: Reactor,
        registry: EndpointRegistry,
        dialect: Dialect,
        settings: ProcessSettings,
        rng: RandomSource,
        log: Logger,
        retry_budgets: RetryBudgets,
        memory: ClientMemory | None = None,
        peer_limits: PeerLimits | None = None,
    ) -> None:
        self.network, self.reactor, self.dialect = network, reactor, dialect
        self.call_id_name = dialect.call_id.lower()
        self.caller_name = (settings.service or DEFAULT_CALLER_NAME).encode()
        self.table: ItemTable | None = None
        self.lowest_priority = 0
        self.traffic_split = TrafficSplit()
        self.placement = ZonePlacement(
            settings.rpc_address, settings.zone, lambda: rng.choice(ADDRESS_FIRST_CHARACTERS)
        )
        self.loads = self.placement.loads
        self.retries = RetryPolicy(lambda: retry_budgets.new_retry_budget(self))
        self.memory = memory or ClientMemory(settings.memory_mb, log)
        self.dispatcher = Dispatcher(
            network, reactor, registry, dialect, self.placement, self.retries, log, self.memory
        )
        peer_limits = peer_limits or PeerLimits(settings.descriptors, self.memory)
        self.peers = Peers(self.dispatcher, network, settings, rng, log, self.memory, peer_limits)
        self.dispatcher.peer_calls.peers = self.peers
        self.counts = self.dispatcher.counts
        self.admission = self.dispatcher.admission
        self.slowness = SlownessEstimator(registry, self.admission, self.loads)
        self.connections: set[DownstreamConnection] = set()
        self.connection_bound = ClientConnections.with_share(
            CALLER_DESCRIPTOR_SHARE, settings.descriptors, self.memory
        )
        self.closing = False  # connections are closed as soon as they have no pending request
        self.last_arrival_at = 0

    def apply_configuration(self, table: ItemTable, load: Mapping[str, Any]) -> None:
        """Activate a configuration.

        :param load: the load sharing parameters "phi", "omega", "stale_us" and "interval_us"
        """
        self.table = table
        self.dispatcher.thresholds = Thresholds(load["phi"], load["omega"], load["stale_us"])
        routes = [route for prefixes in table.routes.values() for route in prefixes.values()]
        self.lowest_priority = max((route.priority for route in routes), default=0)
        self.admission.set_load_interval(load["interval_us"])
        self.admission.forget_unused({route.name for route in routes}, set(table.services))

    @property
    def limits(self) -> Limits:
        """The limits on requests and idle connections of callers."""
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    def update_loads(self, latest: LoadList, nodes: Mapping[str, Sequence[NodeLoad]]) -> None:
        """Use a new load list.

        :param nodes: its entries by service
        """
        self.loads.update(latest, nodes)
        self.retries.set_node_count(self.peer_count())
        self.slowness.update_fleet(nodes)
        self.dispatcher.place_queued()

    def peer_count(self) -> int:
        """Return the number of nodes on the latest load list, at least 1."""
        return max(1, len(self.loads.addresses()))

    def accept(self, connection: Connection) -> None:
        """Accept the connection of a caller, or close it if there is no room for it."""
        downstream = DownstreamConnection(self, connection)
        if self.connection_bound.admit(downstream):
            self.connections.add(downstream)
        else:
            downstream.drop()

    def forget(self, downstream: DownstreamConnection) -> None:
        """Drop a connection that is closed."""
        self.connections.discard(downstream)
        self.connection_bound.discard(downstream)
        downstream.memory.close()

    def on_request(self, downstream: DownstreamConnection, request: Request) -> None:
        """Dispatch a complete request of a caller, or reject it at once."""
        now = self.last_arrival_at = monotonic_us()
        if self.table is None:
            rejected = Rejected(NO_CONFIGURATION, NO_CONFIGURATION_RETRY_US)
            downstream.answer_rejected(request, rejected)
            return
        route = self.find_route(request)
        if route is None:
            self.counts["refused.route_unknown"] += 1
            downstream.answer_error(request, 404, "route_unknown")
            return
        call_id = request.mesh_headers.get(self.call_id_name)
        if call_id is None:
            downstream.answer_error(request, 400, "no call id")
            return
        total_us = total_time_us(request, route, self.dialect)
        service = self.traffic_split.service_for(route)
        if service is None:
            retry_after_us = max(RETRY_AFTER_MIN_US, total_us // 8)
            downstream.answer_rejected(request, Rejected(NO_ENDPOINT, retry_after_us))
            return
        call = new_call(
            request,
            route,
            service,
            call_id,
            forwarded_head(request, call_id, self.caller_name, self.dialect),
            total_us,
            self.admission.time_spent_us(route.name, total_us),
            self.lowest_priority,
            now,
        )
        call.on_outcome = downstream.add_call(request, call)
        self.dispatcher.dispatch(call, now)

    def find_route(self, request: Request) -> ItemRoute | None:
        """Return the route that matches a request's host and path, or None."""
        assert self.table is not None
        host = request.host.lower().partition(b":")[0]
        route: ItemRoute | None = self.table.find_route(host, request.target.partition(b"?")[0])
        return route

    def run_maintenance(self, now: int) -> None:
        """Run the periodic maintenance: time-outs, reports and checks."""
        self.dispatcher.report(now, self.slowness.log_fields)
        self.peers.check_links(now)
        self.memory.relieve()
        for connection in list(self.connections):
            if connection.connection.closed:  # after the end of its output
                self.forget(connection)
            else:
                connection.check_timeouts(now)
        self.dispatcher.local_calls.close_expired(now)
        self.reactor.end_turn()

    def limit_peers(self, last_deadline: int) -> None:
        """Take only those new calls of peers that end in time, as peers can place others elsewhere.

        :param last_deadline: us, monotonic clock
        """
        self.dispatcher.last_peer_deadline = last_deadline

    def stop_taking(self) -> None:
        """Reject all new calls from now on, of callers and of peers."""
        self.dispatcher.taking = False

    def end_calls(self) -> None:
        """Answer everything that is pending now, because the process ends."""
        self.dispatcher.end_calls()
        self.close_idle_connections()
        self.reactor.end_turn()

    def close_idle_connections(self) -> None:
        """Close the connections of callers that have no pending request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def has_pending_work(self) -> bool:
        """Return whether a call is in progress, or an answer is not completely sent.

        Answers on connections that are closed after them count as well, and outcomes for peers.
        """
        return (
            bool(self.dispatcher.calls)
            or any(each.pending for each in self.connections)
            or self.network.has_unsent_output()
        )
