"""The endpoints on this machine: registration, heartbeats, departure, slots and load.

The registry owns the state of every endpoint beside this proxy. It does no I/O: connections that
are no longer wanted are put into `connections_to_close` for the loop that closes them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from meadowdock.load_sharing import Gauge, load_level
from meadowdock.logs import events as log_events
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.proxy.tokens import TokenClaims, TokenSigner
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us
from meadowdock.runtime.http_client import HttpConnection

HEARTBEAT_INTERVAL_US = 500 * MILLISECOND
HEARTBEAT_TIMEOUT_US = 1_500 * MILLISECOND  # three heartbeats
PAUSE_THRESHOLD_US = 250 * MILLISECOND
DEPARTED_TOKEN_TTL_US = 5 * SECOND  # so that an endpoint that left can finish its outgoing calls
REPORTED_LOAD_TTL_US = 2 * SECOND


@dataclass
class Endpoint:
    """One incarnation of an endpoint.

    Invariants: 0 <= in_flight; removed and draining never go back to False; idle_connections holds
    only connections that carried complete responses, and none once the endpoint is removed. Times
    are monotonic, in microseconds.
    """

    service: str
    address: str
    incarnation: str
    capacity: int  # concurrent calls
    issued_at: int  # TokenClaims.issued_at of its registration
    heartbeat_at: int
    in_flight: int = 0
    draining: bool = False
    removed: bool = False
    unreachable: bool = False  # accepted no connection since its last heartbeat
    reported_load: float | None = None  # in 0..1
    reported_load_at: int = 0
    slow_start_until: int = 0
    idle_connections: list[HttpConnection] = field(default_factory=list)

    @property
    def identity(self) -> tuple[str, str, str]:
        """Service, address and incarnation, which no other process shares."""
        return self.service, self.address, self.incarnation

    @property
    def available(self) -> bool:
        """Whether calls may be sent to it."""
        return not (self.draining or self.removed or self.unreachable)

    @property
    def has_capacity(self) -> bool:
        """Whether it can accept one more call now."""
        return self.available and self.in_flight < self.capacity


class ServiceLoad:
    """The load of one service on this node: its gauges, and rho of the last interval."""

    def __init__(self, now: int) -> None:
        self.in_flight, self.forwarded = Gauge(now), Gauge(now)
        self.forwarded_now = 0  # calls of this node that are in flight at peers
        self.rho = 0.0


class ServiceReport(NamedTuple):
    """What this node reports of one service, as an entry of the load list.

    `zone` and `slot_us` (the mean time that a call holds a slot) are reported by gateways only.
    """

    rho: float
    incarnation: str
    draining: bool
    zone: str | None = None
    slot_us: int | None = None

    def to_wire(self) -> list[object]:
        """Encode the report without the fields that have no value."""
        return [value for value in self if value is not None]


class EndpointRegistry:
    """The endpoints beside this proxy, by address, and what their tokens prove.

    Invariants: by_address holds at most one endpoint per address, never a removed one. A token is
    valid only for the process that it was issued to: while that is registered, and for
    DEPARTED_TOKEN_TTL_US after it left unless another process took its address.
    """

    def __init__(self, host: str, fleet_key: bytes, log: Callable[..., None]) -> None:
        self.log = log
        self.tokens = TokenSigner(host, fleet_key)
        self.by_address: dict[str, Endpoint] = {}
        self.service_loads: dict[str, ServiceLoad] = {}
        self.slot_waiters: dict[str, Callable[[], None]] = {}  # service -> starts its waiting calls
        self.connections_to_close: list[HttpConnection] = []
        self.last_issued_at = 0
        self.departed_tokens: dict[TokenClaims, int] = {}  # claims -> when they expire
        self.pause_detector = PauseDetector(PAUSE_THRESHOLD_US, monotonic_us())
        self.heartbeat_timeout_us = HEARTBEAT_TIMEOUT_US

    def authenticate(self, token: str, just_started: bool) -> str | None:
        """Return the service that a token proves its bearer to be, or None.

        A process that has just started may not have received all heartbeats yet: it accepts a valid
        signature for an address that no registered endpoint has.
        """
        claims = self.tokens.verify(token)
        if claims is None:
            return None
        endpoint = self.by_address.get(claims.address)
        if endpoint is None:
            valid = just_started or self.departed_tokens.get(claims, 0) > monotonic_us()
            return claims.service if valid else None
        # issued_at isn't compared: the same process may have registered again meanwhile. No other
        # process has its incarnation.
        return claims.service if endpoint.identity == claims[:3] else None

    def register(
        self, service: str, address: str, incarnation: str, capacity: int, now: int, wall_us: int
    ) -> str:
        """Register an endpoint, replacing any other at its address, and return its token."""
        self.last_issued_at = issued_at = max(self.last_issued_at + 1, wall_us)
        endpoint = self.by_address.get(address)
        if endpoint is not None and endpoint.identity == (service, address, incarnation):
            endpoint.capacity, endpoint.heartbeat_at = capacity, now
            issued_at = endpoint.issued_at
        else:
            self.add(Endpoint(service, address, incarnation, capacity, issued_at, now))
        return self.tokens.issue(TokenClaims(service, address, incarnation, issued_at))

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint; the former one at its address is removed."""
        former = self.by_address.get(endpoint.address)
        if former is not None:
            self.remove(former, "address taken")
        self.departed_tokens = {
            claims: expires_at
            for claims, expires_at in self.departed_tokens.items()
            if claims.address != endpoint.address
        }
        self.by_address[endpoint.address] = endpoint
        self.service_loads.setdefault(endpoint.service, ServiceLoad(endpoint.heartbeat_at))
        self.log(
            log_events.ENDPOINT_ENROLLED,
            service=endpoint.service,
            address=endpoint.address,
            incarnation=endpoint.incarnation,
        )
        self.notify_waiters(endpoint.service)

    def heartbeat(
        self, token: str, capacity: int, draining: bool, load: float | None, now: int
    ) -> None:
        """Process a heartbeat of the endpoint that a token was issued to.

        An endpoint that isn't registered here is added.

        :raises RegistrationDenied: bad_token, or superseded by a later registration.
        """
        claims = self.tokens.verify(token)
        if claims is None:
            raise RegistrationDenied(401, "bad_token")
        endpoint = self.by_address.get(claims.address)
        if endpoint is not None and endpoint.issued_at > claims.issued_at:
            raise RegistrationDenied(409, "superseded", "another enrolment holds the address")
        if endpoint is None or endpoint.issued_at != claims.issued_at:
            endpoint = Endpoint(*claims[:3], capacity, claims.issued_at, now)
            self.add(endpoint)
            self.last_issued_at = max(self.last_issued_at, claims.issued_at)
        endpoint.heartbeat_at, endpoint.capacity, endpoint.unreachable = now, capacity, False
        if load is not None:
            endpoint.reported_load, endpoint.reported_load_at = load, now
        if draining:
            self.start_draining(endpoint)
        self.notify_waiters(claims.service)

    def start_draining(self, endpoint: Endpoint) -> None:
        """Send no new calls to the endpoint from now on."""
        if not endpoint.draining:
            endpoint.draining = True
            self.log(
                log_events.ENDPOINT_DRAINING, service=endpoint.service, address=endpoint.address
            )
            self.notify_waiters(endpoint.service)

    def deregister(self, token: str) -> None:
        """Remove the endpoint that a token was issued to, because it shuts down.

        :raises RegistrationDenied: bad_token.
        """
        claims = self.tokens.verify(token)
        if claims is None:
            raise RegistrationDenied(401, "bad_token")
        endpoint = self.by_address.get(claims.address)
        if endpoint is not None and (*endpoint.identity, endpoint.issued_at) == claims:
            self.departed_tokens = {
                departed: expires_at
                for departed, expires_at in self.departed_tokens.items()
                if expires_at > monotonic_us()
            }
            self.departed_tokens[claims] = monotonic_us() + DEPARTED_TOKEN_TTL_US
            self.remove(endpoint, "left")

    def remove(self, endpoint: Endpoint, reason: str) -> None:
        """Remove an endpoint, and hand over its idle connections to be closed."""
        if endpoint.removed:
            return
        endpoint.removed = True
        self.by_address.pop(endpoint.address, None)
        self.connections_to_close += endpoint.idle_connections
        endpoint.idle_connections = []
        self.log(
            log_events.ENDPOINT_REMOVED,
            service=endpoint.service,
            address=endpoint.address,
            why=reason,
        )
        self.notify_waiters(endpoint.service)

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Send no calls to the endpoint until its next heartbeat.

        Called when it accepted no connection.
        """
        if not endpoint.unreachable and not endpoint.removed:
            endpoint.unreachable = True
            self.log(
                log_events.ENDPOINT_EJECTED, service=endpoint.service, address=endpoint.address
            )
            self.notify_waiters(endpoint.service)

    def remove_expired(self, now: int) -> None:
        """Remove the endpoints whose last heartbeat is too old.

        A pause of this process doesn't count: heartbeats that arrived during it are still unread.
        """
        paused_us = self.pause_detector.measure_pause(now)
        for endpoint in self.by_address.values():
            endpoint.heartbeat_at += paused_us
        for endpoint in list(self.by_address.values()):
            if now - endpoint.heartbeat_at > self.heartbeat_timeout_us:
                self.remove(endpoint, "no beat")

    def available_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that calls may be sent to."""
        return [e for e in self.by_address.values() if e.service == service and e.available]

    def local_endpoint(self, service: str) -> Endpoint | None:
        """Return the least loaded available endpoint of a service, or None."""
        return min(
            self.available_endpoints(service), key=lambda e: e.in_flight / e.capacity, default=None
        )

    def acquire_slot(self, endpoint: Endpoint, now: int) -> None:
        """Count a call that begins at the endpoint."""
        endpoint.in_flight += 1
        self.update_gauges(endpoint.service, now)

    def release_slot(self, endpoint: Endpoint, now: int) -> None:
        """Count a call that ended at the endpoint, and let a waiting call take the slot."""
        endpoint.in_flight -= 1
        self.update_gauges(endpoint.service, now)
        self.notify_waiters(endpoint.service)

    def notify_waiters(self, service: str) -> None:
        """Let the waiting calls of a service check again whether there is a slot."""
        notify = self.slot_waiters.get(service)
        if notify is not None:
            notify()

    def adjust_forwarded(self, service: str, change: int, now: int) -> None:
        """Change the number of the service's calls that are in flight at peers."""
        load = self.service_loads.setdefault(service, ServiceLoad(now))
        load.forwarded_now += change
        self.update_gauges(service, now)

    def update_gauges(self, service: str, now: int) -> None:
        """Record how many calls of the service are in flight, here and at peers."""
        load = self.service_loads.get(service)
        if load is not None:
            in_flight = sum(e.in_flight for e in self.by_address.values() if e.service == service)
            load.in_flight.update(now, in_flight)
            load.forwarded.update(now, load.forwarded_now)

    def measure_load(self, now: int, forwarded_weight: float) -> dict[str, ServiceReport]:
        """End the load interval and compute a new rho for every service.

        Return the reports of the services that have an endpoint here.
        """
        for service, load in self.service_loads.items():
            endpoints = [e for e in self.by_address.values() if e.service == service]
            load.rho = load_level(
                load.in_flight.take_mean(now),
                load.forwarded.take_mean(now),
                sum(endpoint.capacity for endpoint in endpoints),
                forwarded_weight,
                mean_reported_load(endpoints, now),
            )
        return {
            service: self.report(service, endpoints)
            for service, endpoints in self.endpoints_by_service().items()
        }

    def report(self, service: str, endpoints: list[Endpoint]) -> ServiceReport:
        """Return the report of a service that has these endpoints here."""
        next_endpoint = self.local_endpoint(service)
        return ServiceReport(
            rho=self.service_loads[service].rho,
            incarnation=(next_endpoint or endpoints[0]).incarnation,
            draining=next_endpoint is None,
        )

    def endpoints_by_service(self) -> dict[str, list[Endpoint]]:
        """Return all endpoints by service, in order of their registration."""
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.by_address.values():
            by_service.setdefault(endpoint.service, []).append(endpoint)
        return by_service


def mean_reported_load(endpoints: list[Endpoint], now: int) -> float | None:
    """Return the mean of the loads that the endpoints reported recently, or None."""
    loads = [
        endpoint.reported_load
        for endpoint in endpoints
        if endpoint.reported_load is not None
        and now - endpoint.reported_load_at < REPORTED_LOAD_TTL_US
    ]
    return sum(loads) / len(loads) if loads else None
