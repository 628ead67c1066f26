"""The registry daemon: receives heartbeats, reports live nodes, and may be the load collector."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock import process
from meadowdock.admin_http import RouteTable
from meadowdock.logs import events as log_events
from meadowdock.registry.election import CollectorElection
from meadowdock.registry.heartbeats import HEARTBEAT_INTERVAL_US, HeartbeatSender
from meadowdock.registry.load_collector import LoadCollector
from meadowdock.registry.messages import (
    HEARTBEAT_METHOD,
    NODE_TABLE_METHOD,
    Heartbeat,
    HeartbeatReply,
    ProxyHeartbeat,
    RegistryHeartbeat,
    WireMap,
    decode_heartbeat,
)
from meadowdock.registry.node_table import AnyHeartbeat, NodeTable, node_loads, proxies_to_wire
from meadowdock.rpc import Handlers, Peer
from meadowdock.runtime import PauseDetector, monotonic_us

# A longer gap between two rounds of the heartbeat loop counts as a pause of this process.
PAUSE_THRESHOLD_US = 2 * HEARTBEAT_INTERVAL_US + HEARTBEAT_INTERVAL_US // 2
# A provisional list is sent again once it has grown by more than 1/16.
PROVISIONAL_GROWTH_DIVISOR = 16


class RegistryServer(process.Daemon):
    """One registry process: its node tables, heartbeats, collector election and load collector."""

    routes = RouteTable()
    handlers = Handlers()

    def __init__(self, node: process.Node) -> None:
        self.node = node
        self.proxies: NodeTable[ProxyHeartbeat] = NodeTable()
        self.registries: NodeTable[RegistryHeartbeat] = NodeTable()
        self.election = CollectorElection(node, self.registries, self.send_heartbeats)
        self.collector = LoadCollector(node, self.proxies, self.election)
        self.heartbeats = HeartbeatSender(node, self.election)
        node.membership.on_entry_updated = self.heartbeats.on_member

    def rpc_handlers(self) -> Handlers:
        """Return the RPC methods that this process serves."""
        bound: Handlers = RegistryServer.handlers.bind(self)
        return bound

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops that the node keeps running, by their names in the log."""
        return {
            "beat": self.heartbeat_loop,
            "lease": self.election.run,
            "collect": self.collector.run,
        }

    def unready_reasons(self) -> list[str]:
        """Return the reasons why this process is not ready; an empty list means that it is."""
        return [] if self.node.membership.core_members("mdconf") else ["no mdconf known"]

    async def announce_shutdown(self) -> None:
        """Shut down gracefully: release the lease and notify the other registries."""
        await self.election.release()
        await self.send_heartbeats()

    @handlers.on(HEARTBEAT_METHOD)
    async def on_heartbeat(self, peer: Peer, wire: WireMap) -> WireMap:
        """Handle a heartbeat of a proxy or of another registry.

        :raises Rejected: `old_incarnation`.
        """
        heartbeat = decode_heartbeat(wire)
        if isinstance(heartbeat, ProxyHeartbeat):
            return self.on_proxy_heartbeat(heartbeat).to_wire()
        self.record(self.registries, heartbeat)
        if not heartbeat.shutting_down:
            self.election.learn_epoch(heartbeat.highest_epoch)
        return HeartbeatReply().to_wire()

    @handlers.on(NODE_TABLE_METHOD)
    async def on_node_table(self, peer: Peer, _: None) -> WireMap:
        """Report the status of this registry to the config stores and operators."""
        return self.status()

    def on_proxy_heartbeat(self, heartbeat: ProxyHeartbeat) -> HeartbeatReply:
        """Record a proxy's heartbeat, and return the answer to it.

        :raises Rejected: `old_incarnation`.
        """
        self.record(self.proxies, heartbeat)
        if heartbeat.shutting_down:
            return HeartbeatReply()
        if heartbeat.collection_interval_us:
            self.collector.learn_interval(
                heartbeat.configuration_version, heartbeat.collection_interval_us
            )
        return self.provisional_list(heartbeat.nodes_known)

    def record(self, table: NodeTable[AnyHeartbeat], heartbeat: AnyHeartbeat) -> None:
        """Record a heartbeat, and log a process that was not known yet.

        :raises Rejected: `old_incarnation`.
        """
        if table.update(heartbeat, monotonic_us()):
            self.node.log(
                log_events.PEER_SEEN,
                peer=heartbeat.address,
                role=heartbeat.role,
                incarnation=heartbeat.incarnation,
            )

    def provisional_list(self, nodes_known: int | None) -> HeartbeatReply:
        """Return a provisional load list, made from heartbeats, for a proxy without a load list.

        While a fleet starts, every proxy requests it with every heartbeat, so the nodes are sent
        only if there are considerably more of them than the proxy already knows.

        :param nodes_known: how many nodes the proxy knows; None if it has a load list.
        """
        if nodes_known is None:
            return HeartbeatReply()
        nodes = node_loads(self.proxies, monotonic_us())
        has_grown = len(nodes) > nodes_known + nodes_known // PROVISIONAL_GROWTH_DIVISOR
        return HeartbeatReply(self.election.highest_epoch, nodes if has_grown else None)

    def status(self) -> WireMap:
        """Return the node tables, the epoch if this is the collector, and the last collection."""
        now_us = monotonic_us()
        return {
            "reg": self.node.settings.rpc_address,
            "proxies": proxies_to_wire(self.proxies, now_us),
            "regs": [*self.registries.live(now_us), self.node.settings.rpc_address],
            "collector": self.election.epoch,
            "seen_epoch": self.election.highest_epoch,
            "last": self.collector.last_collection.to_wire(),
        }

    async def heartbeat_loop(self) -> None:
        """Remove the nodes that are no longer alive and send heartbeats, at an interval."""
        pause_detector = PauseDetector(PAUSE_THRESHOLD_US, monotonic_us())
        while True:
            self.expire_nodes(pause_detector.measure_pause(monotonic_us()))
            await self.heartbeats.send_and_wait()

    def expire_nodes(self, paused_us: int) -> None:
        """Remove the nodes that are no longer alive from both tables, and log them."""
        now_us = monotonic_us()
        expired: list[Heartbeat] = [
            *self.proxies.expire(now_us, paused_us),
            *self.registries.expire(now_us, paused_us),
        ]
        for heartbeat in expired:
            self.node.log(
                log_events.PEER_REMOVED, peer=heartbeat.address, role=heartbeat.role, why="silent"
            )

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the other registries at once."""
        await self.heartbeats.send()
