"""The front end for calls by host and prefix: downstream connections, configuration, shutdown.

A call is a continuation in turns of the reactor, it is never awaited. The dispatcher decides where
it goes; the other front end, `meadowdock.proxy`, decides with the same modules.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding.arrivals import head_to_pass_on, new_call, total_time_us
from meadowdock.forwarding.call import Rejected
from meadowdock.forwarding.dispatcher import Dispatcher
from meadowdock.forwarding.downstream import DownstreamConnection
from meadowdock.forwarding.http import Request
from meadowdock.forwarding.outcome_codes import GONE, NO_CONFIGURATION
from meadowdock.forwarding.peers import Peers
from meadowdock.forwarding.placement import Thresholds, ZonePlacement
from meadowdock.forwarding.retries import RETRY_AFTER_MIN_US, RetryPolicy
from meadowdock.forwarding.slowness import SlownessEstimator
from meadowdock.forwarding.traffic_split import TrafficSplit
from meadowdock.load_sharing import LoadList, NodeLoad
from meadowdock.runtime import MILLISECOND, monotonic_us

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
UNNAMED_CALLER = "guest"  # the calling service, where the settings name none
WHEEL_STARTS = "0123456789"  # addresses begin with a digit


class Gateway:
    """Where callers of this machine connect.

    Invariants: connections holds the open connections of callers; table is the configuration in
    force, None until there is one.
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
    ) -> None:
        self.reactor, self.dialect = reactor, dialect
        self.call_id_name = dialect.call_id.lower()
        self.caller_name = (settings.service or UNNAMED_CALLER).encode()
        self.table: ItemTable | None = None
        self.lowest_priority = 0
        self.split = TrafficSplit()
        self.placement = ZonePlacement(
            settings.link, settings.zone, lambda: rng.choice(WHEEL_STARTS)
        )
        self.loads = self.placement.loads
        self.retries = RetryPolicy(lambda: retry_budgets.new_retry_budget(self))
        self.dispatcher = Dispatcher(
            network, reactor, registry, dialect, self.placement, self.retries, log
        )
        self.peers = Peers(self.dispatcher, network, settings, rng, log)
        self.dispatcher.peer_calls.peers = self.peers
        self.counts = self.dispatcher.counts
        self.admission = self.dispatcher.admission
        self.slowness = SlownessEstimator(registry, self.admission, self.loads)
        self.connections: set[DownstreamConnection] = set()
        self.closing = False  # no further request is taken on a connection that has none under way
        self.last_arrival_at = 0

    # ------------------------------------------------------------ configuration

    def apply_configuration(self, table: ItemTable, load: Mapping[str, Any]) -> None:
        """Use a configuration from now on.

        :param load: the bounds of load sharing: "phi", "omega", "stale_us", "interval_us"
        """
        self.table = table
        self.dispatcher.thresholds = Thresholds(load["phi"], load["omega"], load["stale_us"])
        routes = [route for prefixes in table.routes.values() for route in prefixes.values()]
        self.lowest_priority = max((route.priority for route in routes), default=0)
        self.admission.set_load_interval(load["interval_us"])
        self.admission.forget_unused({route.name for route in routes}, set(table.services))

    @property
    def limits(self) -> Limits:
        """The bounds on what a caller may send."""
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    def update_loads(self, latest: LoadList, nodes: Mapping[str, Sequence[NodeLoad]]) -> None:
        """A new load list came.

        :param nodes: those on it, by service
        """
        self.loads.update(latest, nodes)
        self.retries.shared_by(self.peer_count())
        self.slowness.update_fleet(nodes)
        self.dispatcher.place_queued()

    def peer_count(self) -> int:
        """The nodes on the latest load list, at least 1."""
        return max(1, len(self.loads.addresses()))

    # ------------------------------------------------------------ requests

    def accept(self, connection: Connection) -> None:
        """A caller has connected."""
        self.connections.add(DownstreamConnection(self, connection))

    def request_arrived(self, downstream: DownstreamConnection, request: Request) -> None:
        """A complete request of a caller: dispatch it, or answer it at once."""
        at = self.last_arrival_at = monotonic_us()
        if self.table is None:
            rejected = Rejected(NO_CONFIGURATION, NO_CONFIGURATION_RETRY_US)
            downstream.answer_rejected(request, rejected)
            return
        route = self.route_of(request)
        if route is None:
            self.counts["refused.route_unknown"] += 1
            downstream.answer_error(request, 404, "route_unknown")
            return
        call_id = request.facts.get(self.call_id_name)
        if call_id is None:
            downstream.answer_error(request, 400, "no call id")
            return
        total_us = total_time_us(request, route, self.dialect)
        service = self.split.service_for(route)
        if service is None:
            retry_after_us = max(RETRY_AFTER_MIN_US, total_us // 8)
            downstream.answer_rejected(request, Rejected(GONE, retry_after_us))
            return
        call = new_call(
            request,
            route,
            service,
            call_id,
            head_to_pass_on(request, call_id, self.caller_name, self.dialect),
            total_us,
            self.admission.time_spent_us(route.name, total_us),
            self.lowest_priority,
            at,
        )
        call.on_outcome = downstream.expect(request, call)
        self.dispatcher.dispatch(call, at)

    def route_of(self, request: Request) -> ItemRoute | None:
        """The route of a request's host and path."""
        assert self.table is not None
        host = request.host.lower().partition(b":")[0]
        route: ItemRoute | None = self.table.find(host, request.target.partition(b"?")[0])
        return route

    # ------------------------------------------------------------ upkeep and shutdown

    def tidy(self, at: int) -> None:
        """Called every now and then: time-outs, reports, checks."""
        self.dispatcher.report(at, self.slowness.log_fields)
        self.peers.check_links(at)
        for connection in list(self.connections):
            connection.check_timeouts(at)
        self.dispatcher.local_calls.close_expired(at)
        self.reactor.end_turn()

    def close_idle_connections(self) -> None:
        """Close the connections of callers that have no request under way."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def in_use(self) -> bool:
        """Whether a call is under way, or a caller has not taken all of an answer."""
        return bool(self.dispatcher.calls) or any(each.in_use() for each in self.connections)
