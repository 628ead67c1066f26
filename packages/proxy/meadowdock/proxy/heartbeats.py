"""Heartbeats of this proxy to the registries.

They report that the node is alive and the state of its endpoints. The replies carry the highest
epoch of the load collector and, until the first load list arrives, a provisional one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from meadowdock.load_sharing import LoadList
from meadowdock.membership import MemberEntry
from meadowdock.proxy.messages import (
    HEARTBEAT_METHOD,
    REGISTRY_ROLE,
    HeartbeatReply,
    ProxyHeartbeat,
    WireMap,
    count_addresses,
    nodes_from_wire,
)
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.proxy.server import ProxyServer

HEARTBEAT_INTERVAL_US = 500 * MILLISECOND
STARTUP_HEARTBEAT_INTERVAL_US = 150 * MILLISECOND  # until the first load list
# Delay of the first heartbeat to a new registry, as others are usually discovered together with it.
DISCOVERY_DELAY_US = 10 * MILLISECOND


class HeartbeatSender:
    """Sends heartbeats and keeps what the registries replied.

    Invariant: epoch_floor never goes down; it is None until a registry replied. No load list of an
    epoch below it is accepted.
    """

    def __init__(self, server: ProxyServer) -> None:
        self.server = server
        self.node = server.node
        self.epoch_floor: int | None = None
        self.known_registries: set[str] = set()  # those that the last heartbeat was sent to
        self.registry_discovered = trio.Event()

    def on_member(self, member: MemberEntry) -> None:
        """Schedule a heartbeat if gossip reported a registry that is new."""
        if member.role == REGISTRY_ROLE and member.address not in self.known_registries:
            self.registry_discovered.set()

    async def run(self) -> None:
        """Send heartbeats, and end the load intervals while no collector asks for the load."""
        while True:
            await self.send()
            self.server.load_reporter.check_collector()
            await self.wait_for_next()

    async def wait_for_next(self) -> None:
        """Wait until the next heartbeat is scheduled or a new registry was discovered."""
        has_load_list = self.server.forwarder.load_list.seq
        interval = HEARTBEAT_INTERVAL_US if has_load_list else STARTUP_HEARTBEAT_INTERVAL_US
        with deadline_scope(self.node.membership.schedule.next_wakeup(interval)):
            await self.registry_discovered.wait()
            await sleep_us(DISCOVERY_DELAY_US)
        self.registry_discovered = trio.Event()

    async def send(self) -> None:
        """Send one heartbeat to every known registry."""
        heartbeat = self.heartbeat().to_wire()
        registries = self.node.membership.core_members(REGISTRY_ROLE)
        self.known_registries = set(registries)
        replies: list[HeartbeatReply] = []
        deadline = monotonic_us() + HEARTBEAT_INTERVAL_US

        async def send_to(registry: str) -> None:
            reply = await self.send_to(registry, heartbeat, deadline)
            if reply is not None:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for registry in registries:
                nursery.start_soon(send_to, registry)
        self.use_provisional_list([reply.nodes for reply in replies if reply.nodes])

    async def send_to(
        self, registry: str, heartbeat: WireMap, deadline: int
    ) -> HeartbeatReply | None:
        """Return one registry's reply; None if it didn't accept the heartbeat."""
        try:
            wire = await self.node.rpc.call(registry, HEARTBEAT_METHOD, heartbeat, deadline)
        except (ConnectionFailed, Rejected):
            return None
        reply = HeartbeatReply.from_wire(wire)
        self.epoch_floor = max(self.epoch_floor or 0, reply.epoch)
        return reply

    def heartbeat(self) -> ProxyHeartbeat:
        """Build a heartbeat from the current state."""
        server, own_entry = self.server, self.node.membership.own_entry
        routing_table = server.forwarder.routing_table
        return ProxyHeartbeat(
            address=own_entry.address,
            http_address=self.node.settings.http_address,
            zone=own_entry.zone,
            incarnation=own_entry.incarnation,
            version=server.delivery.version,
            newest_version=server.delivery.newest,
            cut_off=server.delivery.cut_off,
            shutting_down=server.out_of_rotation,
            nodes_known=None if server.forwarder.load_list.seq else self.nodes_known(),
            collection_interval_us=routing_table.load["interval_us"] if routing_table else None,
            endpoints=list(server.endpoints.by_address.values()),
            counts=dict(server.forwarder.counts),
        )

    def nodes_known(self) -> int:
        """Return how many nodes the provisional list names."""
        return count_addresses(self.server.forwarder.nodes_by_service.values())

    def use_provisional_list(self, lists: list[WireMap]) -> None:
        """Use a list of the nodes that send heartbeats to a registry, until the first load list.

        The list counts as stale from the beginning. If several registries sent one, that with the
        most nodes is used. Each heartbeat requests it anew, because registries that have just
        started learn of the proxies one by one.
        """
        if lists and not self.server.forwarder.load_list.seq:
            self.server.use_load_list(LoadList(), nodes_from_wire(max(lists, key=len)))
