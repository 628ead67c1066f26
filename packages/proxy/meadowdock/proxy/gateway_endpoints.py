"""The endpoint beside a gateway: its numbered heartbeats, its departure, and its discovery.

Unlike the endpoints of the proxy's own HTTP API, these have no tokens: the platform's adapter reads
their heartbeats. Sequence numbers show which heartbeats arrived late.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from meadowdock.forwarding import Dialect
from meadowdock.proxy.endpoints import Endpoint
from meadowdock.runtime import (
    MILLISECOND,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)

if TYPE_CHECKING:
    from meadowdock.proxy.gateway import GatewayProxy

MAX_DEPARTED_INSTANCES = 1_000  # remembered, so that a late heartbeat can't register them again
DISCOVERY_INTERVAL_US = 60 * MILLISECOND
DISCOVERY_TIMEOUT_US = 300 * MILLISECOND


@dataclass(frozen=True, slots=True)
class EndpointHeartbeat:
    """One heartbeat of the endpoint beside this node."""

    service: str
    address: str
    instance: str
    capacity: int  # concurrent calls
    draining: bool
    slow_start_us: int  # remaining time of its slow start
    sequence: int  # increases with each heartbeat of an instance

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> EndpointHeartbeat:
        """Decode the fields that an adapter passes.

        :raises KeyError: a field is missing.
        """
        return cls(
            service=fields["service"],
            address=fields["address"],
            instance=fields["instance"],
            capacity=fields["capacity"],
            draining=fields["draining"],
            slow_start_us=fields["warm_us"],
            sequence=fields["sequence"],
        )


class GatewayEndpoints:
    """Handles heartbeats and departures of the local endpoint.

    Invariants: last_sequence holds the highest sequence number of each instance registered here;
    departed holds instances that left, the oldest first.
    """

    def __init__(self, server: GatewayProxy, on_change: Callable[[], None]) -> None:
        self.server = server
        self.node, self.registry = server.node, server.endpoints
        # ends the reactor's turn, so that the output of waiting calls that have started is sent
        self.on_change = on_change
        self.last_sequence: dict[str, int] = {}
        self.departed: OrderedDict[str, bool] = OrderedDict()

    def heartbeat(self, heartbeat: EndpointHeartbeat) -> None:
        """Process a heartbeat; one that is late changes nothing.

        :raises RegistrationDenied: the endpoint is on another machine.
        """
        now_us = monotonic_us()
        if self.is_late(heartbeat):
            return
        endpoint = self.registry.by_address.get(heartbeat.address)
        if endpoint is None or endpoint.incarnation != heartbeat.instance:
            endpoint = self.register(heartbeat, endpoint, now_us)
        self.last_sequence[heartbeat.instance] = heartbeat.sequence
        endpoint.heartbeat_at = now_us
        endpoint.capacity, endpoint.unreachable = heartbeat.capacity, False
        endpoint.slow_start_until = now_us + heartbeat.slow_start_us
        if heartbeat.draining:
            self.registry.start_draining(endpoint)
        self.registry.notify_waiters(endpoint.service)
        self.on_change()

    def is_late(self, heartbeat: EndpointHeartbeat) -> bool:
        """Return whether something newer is known of the instance."""
        last = self.last_sequence.get(heartbeat.instance, -1)
        return heartbeat.instance in self.departed or heartbeat.sequence <= last

    def register(
        self, heartbeat: EndpointHeartbeat, former: Endpoint | None, now_us: int
    ) -> Endpoint:
        """Register the instance that sent its first heartbeat.

        It replaces the former endpoint at its address, if any.
        """
        self.server.require_local_address(heartbeat.address)
        if former is not None:
            # Otherwise a late heartbeat of the former endpoint could take the address back.
            self.forget(former.incarnation)
        endpoint = Endpoint(
            heartbeat.service,
            heartbeat.address,
            heartbeat.instance,
            heartbeat.capacity,
            now_us,
            now_us,
            draining=heartbeat.draining,  # set at once, so that no waiting call starts there
        )
        self.registry.add(endpoint)
        return endpoint

    def deregister(self, instance: str) -> None:
        """Remove the endpoint, because it shuts down, and ignore its later heartbeats."""
        self.forget(instance)
        for endpoint in list(self.registry.by_address.values()):
            if endpoint.incarnation == instance:
                self.registry.remove(endpoint, "left")
        self.on_change()

    def forget(self, instance: str) -> None:
        """Ignore the instance's heartbeats from now on."""
        self.departed[instance] = True
        while len(self.departed) > MAX_DEPARTED_INSTANCES:
            self.departed.popitem(last=False)
        self.last_sequence.pop(instance, None)

    async def discover(self) -> None:
        """Ask the local endpoint for its instance after a start of this process.

        Its next heartbeat may be a whole interval away.
        """
        settings = self.node.settings
        while settings.app_address and self.in_first_interval() and not self.registry.by_address:
            await sleep_us(DISCOVERY_INTERVAL_US)
            health_path = self.health_path()
            if not health_path:
                continue
            try:
                with deadline_scope(monotonic_us() + DISCOVERY_TIMEOUT_US):
                    await self.check_health(settings.app_address, health_path)
            except HttpConnectionFailed:
                pass

    def in_first_interval(self) -> bool:
        """Return whether the endpoint's first heartbeat may still be on its way."""
        first_interval: int = self.node.settings.heartbeat_us
        return monotonic_us() - self.server.started_at < first_interval

    def health_path(self) -> str | None:
        """Return the health check path of the local service, if it has one configured."""
        table = self.server.gateway.table
        service = table.services.get(self.node.settings.service) if table else None
        return service.get("health") if service else None

    async def check_health(self, address: str, health_path: str) -> None:
        """Send one health check; the response's headers name the instance and its slots.

        :raises HttpConnectionFailed: no complete response arrived.
        """
        connection = self.node.runtime.net.http_connection(address)
        status, headers, _ = await connection.request("GET", health_path, [], b"")
        await connection.close()
        by_name = {name.lower(): value for name, value in headers}
        self.on_health_response(status, by_name, self.server.dialect)

    def on_health_response(
        self, status: int, by_name: dict[bytes, bytes], dialect: Dialect
    ) -> None:
        """Register the endpoint that responded, unless its own heartbeat came first."""
        instance = by_name.get(dialect.health_instance.lower(), b"").decode("latin-1")
        slots = by_name.get(dialect.load.lower(), b"").split(b",")[-1]
        healthy = status == 200 and instance and slots.isdigit() and int(slots)
        if not healthy or self.registry.by_address or instance in self.departed:
            return
        settings, now_us = self.node.settings, monotonic_us()
        self.registry.add(
            Endpoint(settings.service, settings.app_address, instance, int(slots), now_us, now_us)
        )
        self.on_change()
