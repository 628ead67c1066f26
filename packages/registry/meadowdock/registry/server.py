"""The registry daemon: takes heartbeats in, answers about live nodes, and may be load collector."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock import process
from meadowdock.admin_http import RouteTable
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

PAUSE_AFTER_US = 2 * HEARTBEAT_INTERVAL_US + HEARTBEAT_INTERVAL_US // 2  # between two rounds
# A provisional list is sent again once it has grown by one part in so many.
PROVISIONAL_GROWTH_DIVISOR = 16


class RegistryServer(process.Daemon):
    """One registry process: its node tables, and the wiring of its heartbeats, election and load
    collector."""

    table = RouteTable()
    handlers = Handlers()

    def __init__(self, node: process.Node) -> None:
        self.node = node
        self.proxies: NodeTable[ProxyHeartbeat] = NodeTable()
        self.registries: NodeTable[RegistryHeartbeat] = NodeTable()
        self.election = CollectorElection(node, self.registries, self.send_heartbeats)
        self.collector = LoadCollector(node, self.proxies, self.election)
        self.heartbeats = HeartbeatSender(node, self.election)
        node.view.on_updated = self.heartbeats.on_member

    # ------------------------------------------------------------ the daemon's hooks

    def rpc_handlers(self) -> Handlers:
        """The RPC methods that this process answers."""
        bound: Handlers = RegistryServer.handlers.bind(self)
        return bound

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """The loops that the node keeps running, by the names they have in the log."""
        return {
            "beat": self.heartbeat_loop,
            "lease": self.election.run,
            "collect": self.collector.run,
        }

    def unready_reasons(self) -> list[str]:
        """Why this process is not ready; empty if it is."""
        return [] if self.node.view.core_members("mdconf") else ["no mdconf known"]

    async def announce_shutdown(self) -> None:
        """Shut down gracefully: release the lease and notify the other registries."""
        await self.election.release()
        await self.send_heartbeats()

    # ------------------------------------------------------------ RPC methods

    @handlers.on(HEARTBEAT_METHOD)
    async def on_heartbeat(self, peer: Peer, wire: WireMap) -> WireMap:
        """A heartbeat of a proxy or of another registry.

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
        """The heartbeats known here, for the config stores and operators."""
        return self.status()

    def on_proxy_heartbeat(self, heartbeat: ProxyHeartbeat) -> HeartbeatReply:
        """Record a proxy's heartbeat, and give its answer.

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
        """Note a heartbeat, and log a process that wasn't known.

        :raises Rejected: `old_incarnation`.
        """
        if table.update(heartbeat, monotonic_us()):
            self.node.log(
                301,
                peer=heartbeat.address,
                role=heartbeat.role,
                incarnation=heartbeat.incarnation,
            )

    # ------------------------------------------------------------ what is known here

    def provisional_list(self, nodes_known: int | None) -> HeartbeatReply:
        """For a proxy without a load list: the nodes that are alive by their heartbeats.

        A fleet that starts asks with each heartbeat of each proxy, so the nodes are sent only when
        there are enough more of them than the proxy knows.

        :param nodes_known: how many nodes the proxy knows; None if it has a load list.
        """
        if nodes_known is None:
            return HeartbeatReply()
        nodes = node_loads(self.proxies, monotonic_us())
        has_grown = len(nodes) > nodes_known + nodes_known // PROVISIONAL_GROWTH_DIVISOR
        return HeartbeatReply(self.election.highest_epoch, nodes if has_grown else None)

    def status(self) -> WireMap:
        """The node tables, the collector's epoch if it is this process, and its last collection."""
        at = monotonic_us()
        return {
            "reg": self.node.settings.link,
            "proxies": proxies_to_wire(self.proxies, at),
            "regs": [*self.registries.live(at), self.node.settings.link],
            "collector": self.election.epoch,
            "seen_epoch": self.election.highest_epoch,
            "last": self.collector.last.to_wire(),
        }

    # ------------------------------------------------------------ heartbeats

    async def heartbeat_loop(self) -> None:
        """Forget nodes that fell silent, and send heartbeats."""
        pauses = PauseDetector(PAUSE_AFTER_US, monotonic_us())
        while True:
            self.expire_nodes(pauses.look(monotonic_us()))
            await self.heartbeats.send_and_wait()

    def expire_nodes(self, paused_us: int) -> None:
        """Remove silent nodes from both tables, and log them."""
        at = monotonic_us()
        expired: list[Heartbeat] = [
            *self.proxies.expire(at, paused_us),
            *self.registries.expire(at, paused_us),
        ]
        for heartbeat in expired:
            self.node.log(302, peer=heartbeat.address, role=heartbeat.role, why="silent")

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the other registries at once."""
        await self.heartbeats.send()
