"""The node table: the latest heartbeat of each process, and who is alive by it.

A registry keeps one table of the proxies and one of the other registries, in memory alone: each
process sends its heartbeat to every registry, so a restarted one knows all after one interval.
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
    heard_at: int  # us, monotonic clock of this process


class NodeTable(Generic[AnyHeartbeat]):
    """The nodes of one kind. Invariant: a record has the highest incarnation heard of its address
    since the address was last removed."""

    def __init__(self) -> None:
        self.records: dict[str, NodeRecord[AnyHeartbeat]] = {}

    def __contains__(self, address: str) -> bool:
        return address in self.records

    def update(self, heartbeat: AnyHeartbeat, heard_at: int) -> bool:
        """Take in a heartbeat; that of a process which shuts down removes its record.

        :returns: whether this incarnation was not in the table before, and now is.
        :raises Rejected: `old_incarnation`, if the address has been taken by a later incarnation.
        """
        address = heartbeat.address
        previous = self.records.get(address)
        if previous is not None and heartbeat.incarnation < previous.heartbeat.incarnation:
            raise Rejected(OLD_INCARNATION)
        if heartbeat.shutting_down:
            self.records.pop(address, None)
            return False
        self.records[address] = NodeRecord(heartbeat, heard_at)
        return previous is None or previous.heartbeat.incarnation != heartbeat.incarnation

    def live(self, at: int) -> list[str]:
        """Addresses whose heartbeat is recent, sorted."""
        return sorted(
            address
            for address, record in self.records.items()
            if at - record.heard_at <= ALIVE_WITHIN_US
        )

    def expire(self, at: int, paused_us: int) -> list[AnyHeartbeat]:
        """Remove the nodes that fell silent, and give their last heartbeats.

        :param paused_us: how long this process itself was paused just before; that time doesn't
            count as silence.
        """
        if paused_us:
            for address, record in self.records.items():
                self.records[address] = NodeRecord(record.heartbeat, record.heard_at + paused_us)
        silent = [
            record.heartbeat
            for record in self.records.values()
            if at - record.heard_at > ALIVE_WITHIN_US
        ]
        for heartbeat in silent:
            del self.records[heartbeat.address]
        return silent


def node_loads(proxies: NodeTable[ProxyHeartbeat], at: int) -> NodeLoads:
    """The endpoints of all live proxies by their heartbeats, in the form of a load list."""
    loads: NodeLoads = {}
    for address in proxies.live(at):
        endpoints = proxies.records[address].heartbeat.endpoint_loads()
        if endpoints:
            loads[address] = {service: load.to_wire() for service, load in endpoints.items()}
    return loads


def proxies_to_wire(proxies: NodeTable[ProxyHeartbeat], at: int) -> dict[str, WireMap]:
    """All proxies with the heartbeat as received and its age in us, for the config stores."""
    return {
        address: {**record.heartbeat.wire, "heard_us_ago": at - record.heard_at}
        for address, record in proxies.records.items()
    }
