"""Messages between a proxy and the registries, and their form on the wire.

Some fields have other names on the wire (`zone` is "hall", `shutting_down` is "leaving"); no other
module of the package knows those names.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from meadowdock.load_sharing import NodeLoad
from meadowdock.proxy.endpoints import Endpoint

WireMap = dict[str, Any]
NodesByService = dict[str, tuple[NodeLoad, ...]]

PROXY_ROLE = "mdproxy"
REGISTRY_ROLE = "mdreg"

HEARTBEAT_METHOD = "reg.beat"
LOAD_REQUEST_METHOD = "load.ask"
LOAD_LIST_METHOD = "load.list"


@dataclass(frozen=True, slots=True)
class ProxyHeartbeat:
    """What a proxy reports to every registry in each heartbeat."""

    address: str
    http_address: str
    zone: str
    incarnation: int
    version: int  # of the configuration in force
    newest_version: int  # the highest that is in force or staged
    cut_off: bool  # whether the config stores are unreachable
    shutting_down: bool
    nodes_known: int | None  # on the provisional load list; None once there is a real one
    collection_interval_us: int | None  # None until there is a configuration
    endpoints: list[Endpoint]
    counts: dict[str, int]

    def to_wire(self) -> WireMap:
        """Encode the heartbeat."""
        return {
            "address": self.address,
            "http": self.http_address,
            "role": PROXY_ROLE,
            "hall": self.zone,
            "incarnation": self.incarnation,
            "version": self.version,
            "newest": self.newest_version,
            "cut_off": self.cut_off,
            "leaving": self.shutting_down,
            "listless": self.nodes_known,
            "interval_us": self.collection_interval_us,
            "endpoints": [endpoint_to_wire(endpoint) for endpoint in self.endpoints],
            "counts": self.counts,
        }


def endpoint_to_wire(endpoint: Endpoint) -> WireMap:
    """Encode an endpoint as an entry of a heartbeat."""
    return {
        "service": endpoint.service,
        "address": endpoint.address,
        "incarnation": endpoint.incarnation,
        "in_flight": endpoint.in_flight,
        "capacity": endpoint.capacity,
        "draining": endpoint.draining,
    }


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """A registry's reply to a heartbeat."""

    epoch: int = 0  # the highest that the registry knows
    nodes: WireMap | None = None  # a provisional load list, decoded only if it is used

    @classmethod
    def from_wire(cls, wire: WireMap) -> HeartbeatReply:
        """Decode the reply."""
        return cls(wire.get("epoch", 0), wire.get("nodes"))


@dataclass(frozen=True, slots=True)
class LoadListMessage:
    """The load collector's list of all services."""

    epoch: int
    seq: int
    nodes: WireMap  # decoded only if the list is accepted

    @classmethod
    def from_wire(cls, wire: WireMap) -> LoadListMessage:
        """Decode the message.

        :raises KeyError: a field is missing.
        """
        return cls(wire["epoch"], wire["seq"], wire["nodes"])

    def nodes_by_service(self) -> NodesByService:
        """Decode the nodes, by service."""
        return nodes_from_wire(self.nodes)


def nodes_from_wire(nodes: WireMap) -> NodesByService:
    """Convert {address: {service: load}} to {service: loads}."""
    nodes_by_service: dict[str, list[NodeLoad]] = {}
    for address, services in nodes.items():
        for service, load in services.items():
            nodes_by_service.setdefault(service, []).append(NodeLoad(address, *load))
    return {service: tuple(loads) for service, loads in nodes_by_service.items()}


def count_addresses(lists: Iterable[tuple[NodeLoad, ...]]) -> int:
    """Return how many different nodes the lists name."""
    return len({node.address for nodes in lists for node in nodes})
