"""Messages that registries exchange with proxies and with one another, and their encoding.

Some field names differ between code and wire (`zone` is "hall", `shutting_down` is "leaving"). Only
`from_wire` and `to_wire` in this module know the names on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

WireMap = dict[str, Any]
NodeLoads = dict[str, WireMap]  # node address -> {service: load of its endpoint, as on the wire}

PROXY_ROLE = "mdproxy"
REGISTRY_ROLE = "mdreg"

HEARTBEAT_METHOD = "reg.beat"
NODE_TABLE_METHOD = "reg.roster"
LOAD_REQUEST_METHOD = "load.ask"
LOAD_LIST_METHOD = "load.list"

OLD_INCARNATION = "old_incarnation"  # the heartbeat is from before a restart of the process
OLD_EPOCH = "old_epoch"  # the load list is from a previous collector


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load of one endpoint, as contained in load lists."""

    utilization: float  # calls in flight divided by capacity, at most 1
    incarnation: int
    draining: bool
    zone: str

    def to_wire(self) -> list[Any]:
        """Encode the load as an entry of a load list."""
        return [self.utilization, self.incarnation, self.draining, self.zone]


@dataclass(frozen=True, slots=True)
class ProxyHeartbeat:
    """A heartbeat of a proxy."""

    role: ClassVar[str] = PROXY_ROLE

    address: str
    incarnation: int
    shutting_down: bool
    configuration_version: int
    collection_interval_us: int | None  # None until the proxy has a configuration
    nodes_known: int | None  # None once the proxy has a load list
    wire: WireMap  # as received, since it is forwarded to the config stores with all its fields

    @classmethod
    def from_wire(cls, wire: WireMap) -> ProxyHeartbeat:
        """Decode a heartbeat.

        :raises KeyError: a field is missing.
        """
        return cls(
            address=wire["address"],
            incarnation=wire["incarnation"],
            shutting_down=wire["leaving"],
            configuration_version=wire["version"],
            collection_interval_us=wire["interval_us"],
            nodes_known=wire.get("listless"),
            wire=wire,
        )

    def endpoint_loads(self) -> dict[str, EndpointLoad]:
        """Return the load of the endpoints that the proxy serves, by service."""
        return {
            endpoint["service"]: EndpointLoad(
                utilization=min(1.0, endpoint["in_flight"] / max(1, endpoint["capacity"])),
                incarnation=endpoint["incarnation"],
                draining=endpoint["draining"],
                zone=self.wire["hall"],
            )
            for endpoint in self.wire["endpoints"]
        }


@dataclass(frozen=True, slots=True)
class RegistryHeartbeat:
    """A heartbeat that a registry sends to the other registries."""

    role: ClassVar[str] = REGISTRY_ROLE

    address: str
    zone: str
    incarnation: int
    shutting_down: bool
    highest_epoch: int  # highest epoch of the collector's lease that the sender knows
    collector_epoch: int | None  # epoch of the sender's lease; None unless it is the collector

    @classmethod
    def from_wire(cls, wire: WireMap) -> RegistryHeartbeat:
        """Decode a heartbeat.

        :raises KeyError: a field is missing.
        """
        return cls(
            address=wire["address"],
            zone=wire["hall"],
            incarnation=wire["incarnation"],
            shutting_down=wire["leaving"],
            highest_epoch=wire["seen_epoch"],
            collector_epoch=wire.get("collector"),
        )

    def to_wire(self) -> WireMap:
        """Encode the message."""
        return {
            "address": self.address,
            "role": self.role,
            "hall": self.zone,
            "incarnation": self.incarnation,
            "leaving": self.shutting_down,
            "seen_epoch": self.highest_epoch,
            "collector": self.collector_epoch,
        }


Heartbeat = ProxyHeartbeat | RegistryHeartbeat


def decode_heartbeat(wire: WireMap) -> Heartbeat:
    """Decode a heartbeat, whose role field tells its type.

    :raises KeyError: a field is missing.
    """
    if wire["role"] == PROXY_ROLE:
        return ProxyHeartbeat.from_wire(wire)
    return RegistryHeartbeat.from_wire(wire)


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The answer to a heartbeat; it is empty unless the sender is a proxy without a load list."""

    epoch: int | None = None  # the highest known; the proxy rejects load lists with a lower epoch
    nodes: NodeLoads | None = None  # a provisional load list

    def to_wire(self) -> WireMap:
        """Encode the reply, without the fields that have no value."""
        wire: WireMap = {}
        if self.epoch is not None:
            wire["epoch"] = self.epoch
        if self.nodes is not None:
            wire["nodes"] = self.nodes
        return wire


@dataclass(frozen=True, slots=True)
class LoadList:
    """The combined list that the collector sends; (epoch, sequence) totally orders all lists."""

    epoch: int
    sequence: int
    nodes: NodeLoads

    def to_wire(self) -> WireMap:
        """Encode the message."""
        return {"epoch": self.epoch, "seq": self.sequence, "nodes": self.nodes}


@dataclass(frozen=True, slots=True)
class CollectionSummary:
    """The result of one collection, shown to operators."""

    requested: int = 0  # proxies that were asked for their load
    answered: int = 0  # proxies that sent it
    finished_at: int = 0  # us, wall clock
    rejected: int = 0  # proxies that rejected the list because they know a later epoch

    def to_wire(self) -> WireMap:
        """Encode the message."""
        return {
            "asked": self.requested,
            "answered": self.answered,
            "at": self.finished_at,
            "shed": self.rejected,
        }
