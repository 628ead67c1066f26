"""Load reports of this node to the load collector, and the load lists that it sends back.

The collector, one of the registries, asks every proxy for its load in each interval and sends the
combined list to all. Without a collector, the proxy ends the intervals itself, so that its own rho
stays current.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.load_sharing import LoadList
from meadowdock.logs import events as log_events
from meadowdock.proxy.endpoints import ServiceReport
from meadowdock.proxy.messages import (
    LOAD_LIST_METHOD,
    LOAD_REQUEST_METHOD,
    LoadListMessage,
    WireMap,
)
from meadowdock.rpc import Handlers, Peer, Rejected
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.proxy.server import ProxyServer

MISSED_INTERVALS = 2  # intervals without a request, after which the proxy ends the interval itself


class LoadReporter:
    """Answers the load collector.

    Invariant: the (epoch, seq) of the accepted load lists only goes up.
    """

    handlers = Handlers()

    def __init__(self, server: ProxyServer) -> None:
        self.server = server
        self.node = server.node
        self.measured_at = monotonic_us()
        self.stale_logged = False

    def measure(self) -> dict[str, ServiceReport]:
        """End the load interval, and return the load of each service with an endpoint here."""
        self.measured_at = monotonic_us()
        return self.server.measure_load(self.measured_at)

    def check_collector(self) -> None:
        """End the interval if the collector did not, and log once that the list is stale."""
        routing_table = self.server.forwarder.routing_table
        if not routing_table:
            self.stale_logged = False
            return
        load = routing_table.load
        if monotonic_us() - self.measured_at > MISSED_INTERVALS * load["interval_us"]:
            self.measure()
        load_list = self.server.forwarder.load_list
        stale = load_list.stale(monotonic_us(), load["stale_us"])
        if stale and not self.stale_logged:
            self.node.log(log_events.LOAD_LIST_STALE, seq=load_list.seq, epoch=load_list.epoch)
        self.stale_logged = stale

    @handlers.on(LOAD_REQUEST_METHOD)
    async def on_load_request(self, peer: Peer, _: object) -> WireMap:
        """Return this node's load to the collector as {service: report}.

        It is empty while the node is out of rotation.
        """
        if self.server.forwarder.routing_table is None or self.server.out_of_rotation:
            return {}
        return {service: report.to_wire() for service, report in self.measure().items()}

    @handlers.on(LOAD_LIST_METHOD)
    async def on_load_list(self, peer: Peer, wire: WireMap) -> WireMap:
        """Use the collector's combined list, if it is newer than the current one.

        :raises Rejected: `epoch_unknown` until a registry has reported the highest epoch, since the
            list may come from a former collector that was paused; `old_epoch` if it comes from one.
        """
        epoch_floor = self.server.heartbeats.epoch_floor
        if epoch_floor is None:
            raise Rejected("epoch_unknown")
        message = LoadListMessage.from_wire(wire)
        current = self.server.forwarder.load_list
        highest_epoch = max(current.epoch, epoch_floor)
        if message.epoch < highest_epoch:
            self.node.log(
                log_events.LOAD_LIST_REJECTED,
                epoch=message.epoch,
                known=highest_epoch,
                of=peer.name,
            )
            raise Rejected("old_epoch", epoch=highest_epoch)
        if (message.epoch, message.seq) > (current.epoch, current.seq):
            load_list = LoadList(message.epoch, message.seq, monotonic_us())
            self.server.use_load_list(load_list, message.nodes_by_service())
        return {}
