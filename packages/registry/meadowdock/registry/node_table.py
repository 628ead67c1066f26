"""The node table: the latest heartbeat of each process, from which its liveness is derived.

A registry keeps one table of the proxies and one of the other registries. They are in memory only:
each process sends its heartbeat to every registry, so a restarted registry knows all of them after
one heartbeat interval.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from meadowdock.registry.messages import (
    OLD_INCARNATION,
    NodeLoads,
    ProxyHeartbeat,
    RegistryHeartbeat,
    WireMap,
)
from meadowdock.rpc import Rejected
from meadowdock.runtime import MILLISECOND

ALIVE_WITHIN_US = 1_250 * MILLISECOND  # two missed heartbeats

AnyHeartbeat = TypeVar("AnyHeartbeat", ProxyHeartbeat, RegistryHeartbeat)


@dataclass(frozen=True, slots=True)
class NodeRecord(Generic[AnyHeartbeat]):
    """A node's latest heartbeat."""

    heartbeat: AnyHeartbeat
    received_at_us: int  # us, monotonic clock of this process


class NodeTable(Generic[AnyHeartbeat]):
    """The nodes of one role.

    Invariant: a record has the highest incarnation received from its address since the address was
    last removed.
    """

    def __init__(self) -> None:
        self.records: dict[str, NodeRecord[AnyHeartbeat]] = {}

    def __contains__(self, address: str) -> bool:
        return address in self.records

    def update(self, heartbeat: AnyHeartbeat, received_at_us: int) -> bool:
        """Record a heartbeat; the heartbeat of a process that is shutting down removes its record.

        :returns: whether this added an incarnation that was not in the table.
        :raises Rejected: `old_incarnation`, if a later incarnation of the address is known.
        """
        address = heartbeat.address
        previous = self.records.get(address)
        if previous is not None and heartbeat.incarnation < previous.heartbeat.incarnation:
            raise Rejected(OLD_INCARNATION)
        if heartbeat.shutting_down:
            self.records.pop(address, None)
            return False
        self.records[address] = NodeRecord(heartbeat, received_at_us)
        return previous is None or previous.heartbeat.incarnation != heartbeat.incarnation

    def live(self, now_us: int) -> list[str]:
        """Return the addresses of the nodes that are alive, sorted."""
        return sorted(
            address
            for address, record in self.records.items()
            if now_us - record.received_at_us <= ALIVE_WITHIN_US
        )

    def expire(self, now_us: int, paused_us: int) -> list[AnyHeartbeat]:
        """Remove the nodes whose heartbeats have stopped.

        :param paused_us: how long this process itself was just paused; that time does not count as
            silence of the nodes.
        :returns: the last heartbeats of the removed nodes.
        """
        if paused_us:
            for address, record in self.records.items():
                self.records[address] = NodeRecord(
                    record.heartbeat, record.received_at_us + paused_us
                )
        silent = [
            record.heartbeat
            for record in self.records.values()
            if now_us - record.received_at_us > ALIVE_WITHIN_US
        ]
        for heartbeat in silent:
            del self.records[heartbeat.address]
        return silent


def node_loads(proxies: NodeTable[ProxyHeartbeat], now_us: int) -> NodeLoads:
    """Return the endpoint loads that live proxies reported in their heartbeats, as a load list."""
    loads: NodeLoads = {}
    for address in proxies.live(now_us):
        endpoints = proxies.records[address].heartbeat.endpoint_loads()
        if endpoints:
            loads[address] = {service: load.to_wire() for service, load in endpoints.items()}
    return loads


def proxies_to_wire(proxies: NodeTable[ProxyHeartbeat], now_us: int) -> dict[str, WireMap]:
    """Encode all proxies for the config stores: each heartbeat as received, with its age in us."""
    return {
        address: {**record.heartbeat.wire, "heard_us_ago": now_us - record.received_at_us}
        for address, record in proxies.records.items()
    }
