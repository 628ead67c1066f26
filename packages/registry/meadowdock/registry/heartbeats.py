"""Heartbeats of this registry to the others.

From them the others learn that this registry is alive, the highest known epoch of the collector's
lease, and whether this registry holds that lease.
"""

from __future__ import annotations

import trio

from meadowdock.membership import MemberEntry
from meadowdock.process import Node
from meadowdock.registry.election import CollectorElection
from meadowdock.registry.messages import HEARTBEAT_METHOD, REGISTRY_ROLE, RegistryHeartbeat
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us

HEARTBEAT_INTERVAL_US = 500 * MILLISECOND


class HeartbeatSender:
    """Sends heartbeats at an interval, and at once when a new registry is discovered."""

    def __init__(self, node: Node, election: CollectorElection) -> None:
        self.node = node
        self.election = election
        self.receivers: set[str] = set()  # addresses that the last heartbeat was sent to
        self.registry_joined = trio.Event()

    def on_member(self, entry: MemberEntry) -> None:
        """Wake the sender if a membership update shows a registry that had no heartbeat yet."""
        if entry.role == REGISTRY_ROLE and entry.address not in self.receivers:
            self.registry_joined.set()

    async def send_and_wait(self) -> None:
        """Send one heartbeat, then wait for the interval or until a registry joins."""
        self.registry_joined = trio.Event()
        await self.send()
        with deadline_scope(monotonic_us() + HEARTBEAT_INTERVAL_US):
            await self.registry_joined.wait()

    async def send(self) -> None:
        """Send one heartbeat to every other registry, and wait for their answers."""
        own_entry = self.node.membership.own_entry
        heartbeat = RegistryHeartbeat(
            address=own_entry.address,
            zone=own_entry.zone,
            incarnation=own_entry.incarnation,
            shutting_down=self.node.stopping,
            highest_epoch=self.election.highest_epoch,
            collector_epoch=self.election.epoch,
        ).to_wire()
        registries = self.node.membership.core_members(REGISTRY_ROLE)
        self.receivers = set(registries)
        await self.node.rpc.call_all(
            {address: (address, HEARTBEAT_METHOD, heartbeat) for address in registries},
            monotonic_us() + HEARTBEAT_INTERVAL_US,
        )
