"""Estimates how slow the local endpoints are, compared with those of the peers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.placement import PeerLoads
from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import EndpointRegistry

SLOWNESS_MAX = 4.0  # the greatest factor by which the reported load is increased
SLOWNESS_MIN_WARMING_UP = 1.5  # the least factor while an endpoint is warming up


class SlownessEstimator:
    """Compares the hold times of the local endpoints with those on the load list."""

    def __init__(self, registry: EndpointRegistry, admission: Admission, loads: PeerLoads) -> None:
        self.registry, self.admission, self.loads = registry, admission, loads
        self.fleet_hold_us: dict[str, float] = {}  # by service: the mean over the latest load list

    def update_fleet(self, nodes: Mapping[str, Sequence[NodeLoad]]) -> None:
        """Update the mean hold time of each service from a new load list."""
        self.fleet_hold_us = {
            service: sum(hold_times) / len(hold_times)
            for service, listed in nodes.items()
            if (hold_times := [node.slot_us for node in listed if node.slot_us])
        }

    def hold_us(self, service: str) -> int:
        """Return the mean time for which a call holds a slot here; 0 if it is unknown.

        This is what the node reports on the load list.
        """
        return self.admission.estimates(service).mean_us()

    def factor(self, service: str, now: int) -> float:
        """Return the factor, from 1 to SLOWNESS_MAX, by which the reported load is increased.

        It is the square of the ratio of the mean hold time here to that over all nodes, and at least
        SLOWNESS_MIN_WARMING_UP while an endpoint is warming up.
        """
        own_us, fleet_us = self.hold_us(service), self.fleet_hold_us.get(service, 0)
        warming_up = any(
            endpoint.slow_start_until > now
            for endpoint in self.registry.available_endpoints(service)
        )
        ratio = own_us / fleet_us if fleet_us else 1.0
        minimum = SLOWNESS_MIN_WARMING_UP if warming_up else 1.0
        return min(SLOWNESS_MAX, max(minimum, ratio * ratio))

    def log_fields(self, service: str) -> dict[str, object]:
        """Return the state of a service at this node as fields of a log event."""
        endpoint = self.registry.local_endpoint(service)
        occupation = self.registry.service_loads.get(service)
        peers = self.loads.nodes.get(service, ())
        return {
            "busy": sum(each.in_flight for each in self.registry.available_endpoints(service)),
            "capacity": endpoint.capacity if endpoint is not None else 0,
            "waiting": len(self.admission.queue(service)),
            "rho": round(occupation.rho, 2) if occupation is not None else None,
            "told": endpoint.reported_load if endpoint is not None else None,
            "slot_ms": self.hold_us(service) // MILLISECOND,
            "fleet_slot_ms": int(self.fleet_hold_us.get(service, 0)) // MILLISECOND,
            "peers": {node.address: round(node.rho, 2) for node in peers},
            "list_ms": (monotonic_us() - self.loads.latest.received_at) // MILLISECOND,
        }
