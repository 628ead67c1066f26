"""Messages that registries exchange with proxies and with one another, and their form on the wire.

Field names differ between code and wire in places (`zone` is "hall", `shutting_down` is "leaving");
`from_wire` and `to_wire` in this module are the only code that knows the names on the wire.
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

OLD_INCARNATION = "old_incarnation"  # a heartbeat of a process that was restarted since then
OLD_EPOCH = "old_epoch"  # a load list of a former collector


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load of one endpoint, as load lists give it."""

    utilization: float  # calls in flight per capacity, at most 1
    incarnation: int
    draining: bool
    zone: str

    def to_wire(self) -> list[Any]:
        """As an entry of a load list."""
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
    wire: WireMap  # as received: the config stores get it with all its fields

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
        """{service: load} of the endpoints beside the proxy."""
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
    """A heartbeat of a registry, for the other registries."""

    role: ClassVar[str] = REGISTRY_ROLE

    address: str
    zone: str
    incarnation: int
    shutting_down: bool
    highest_epoch: int  # of the collector's lease, as far as the sender knows
    collector_epoch: int | None  # of its own lease; None unless the sender is the collector

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
        """Encode it."""
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
    """Decode a heartbeat by the role that it names.

    :raises KeyError: a field is missing.
    """
    if wire["role"] == PROXY_ROLE:
        return ProxyHeartbeat.from_wire(wire)
    return RegistryHeartbeat.from_wire(wire)


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The answer to a heartbeat. Only a proxy without a load list is given more than an empty one."""

    epoch: int | None = None  # the highest known: the proxy refuses lists of a lower one
    nodes: NodeLoads | None = None  # a provisional load list

    def to_wire(self) -> WireMap:
        """Encode it: fields without a value are left out."""
        wire: WireMap = {}
        if self.epoch is not None:
            wire["epoch"] = self.epoch
        if self.nodes is not None:
            wire["nodes"] = self.nodes
        return wire


@dataclass(frozen=True, slots=True)
class LoadList:
    """The combined list that the collector sends. (epoch, sequence) orders all lists ever sent."""

    epoch: int
    sequence: int
    nodes: NodeLoads

    def to_wire(self) -> WireMap:
        """Encode it."""
        return {"epoch": self.epoch, "seq": self.sequence, "nodes": self.nodes}


@dataclass(frozen=True, slots=True)
class CollectionSummary:
    """What came of one collection, for operators."""

    requested: int = 0  # proxies that were asked
    answered: int = 0
    finished_at: int = 0  # us, wall clock
    rejected: int = 0  # proxies that refused the list since they know a later epoch

    def to_wire(self) -> WireMap:
        """Encode it."""
        return {
            "asked": self.requested,
            "answered": self.answered,
            "at": self.finished_at,
            "shed": self.rejected,
        }
