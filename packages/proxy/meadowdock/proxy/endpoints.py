"""The endpoints on this machine: enrolment, beats, leaving, and connections to them."""

from __future__ import annotations

import base64
import binascii
import hmac
import json
from dataclasses import dataclass, field

import ormsgpack

from meadowdock.load_sharing import Gauge, load_level
from meadowdock.rpc import derive_key
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us

HEARTBEAT_INTERVAL = 500 * MILLISECOND
HEARTBEAT_TIMEOUT = 1_500 * MILLISECOND  # three beats
PAUSE_THRESHOLD = 250 * MILLISECOND
DEPARTED_TOKEN_TTL = 5 * SECOND  # an endpoint that left may end its own calls under its name


class RegistrationDenied(Exception):
    def __init__(self, status, code, detail=""):
        super().__init__(code)
        self.status, self.code, self.detail = status, code, detail


@dataclass
class Endpoint:
    """One incarnation of a back end. Invariants: 0 <= in_flight; gone and draining never go back
    to False; idle holds only connections that carried whole answers, and none once gone."""

    service: str
    address: str
    incarnation: str
    capacity: int
    issued: int
    heartbeat_at: int
    in_flight: int = 0
    draining: bool = False
    removed: bool = False
    unreachable: bool = False  # took no connection; until its next beat
    reported_load: float | None = None
    reported_load_at: int = 0
    slow_start_until: int = 0  # it is slow until then
    idle_connections: list = field(default_factory=list)

    @property
    def identity(self):
        return self.service, self.address, self.incarnation

    @property
    def available(self):
        return not (self.draining or self.removed or self.unreachable)

    @property
    def has_capacity(self):
        return self.available and self.in_flight < self.capacity


class ServiceLoad:
    """Gauges of one service on this node, and the rho of the last interval."""

    def __init__(self, at):
        self.in_flight, self.forwarded = Gauge(at), Gauge(at)
        self.forwarded_now = 0
        self.rho = 0.0


class EndpointRegistry:
    """Invariants: by_address holds at most one endpoint an address, never a gone one; a token is
    good only for the process it was made for: while that is enrolled, and after it left for
    DEPARTED_TOKEN_TTL unless another took its address."""

    def __init__(self, host, key, log):
        self.host, self.log = host, log
        self.key = derive_key(key, b"token", host.encode())
        self.by_address = {}
        self.service_loads = {}
        self.slot_waiters = {}  # service -> callables that may start a held call
        self.connections_to_close = []  # connections to close, by the loop that owns them
        self.last_issued = 0
        self.departed_tokens = {}  # the facts of a token whose process left -> until when it is good
        self.pause_detector = PauseDetector(PAUSE_THRESHOLD, monotonic_us())
        self.heartbeat_timeout_us = (
            HEARTBEAT_TIMEOUT  # an endpoint that is silent for so long is gone
        )

    # ------------------------------------------------------------ tokens

    def issue_token(self, service, address, incarnation, issued):
        body = ormsgpack.packb([service, address, incarnation, issued])
        seal = hmac.digest(self.key, body, "sha256")[:16]
        return base64.urlsafe_b64encode(seal + body).decode()

    def verify_token(self, token):
        """(service, address, incarnation, issued) or None."""
        try:
            raw = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
            seal, body = raw[:16], raw[16:]
            if not hmac.compare_digest(seal, hmac.digest(self.key, body, "sha256")[:16]):
                return None
            return tuple(ormsgpack.unpackb(body))
        except (binascii.Error, UnicodeEncodeError, ormsgpack.MsgpackDecodeError):
            return None

    def authenticate(self, token, young):
        """The name that a token proves, or None. A young process, which hasn't heard all beats
        yet, takes a good seal for an address that nobody else holds."""
        facts = self.verify_token(token)
        if facts is None:
            return None
        held = self.by_address.get(facts[1])
        if held is None:
            return (
                facts[0] if young or self.departed_tokens.get(facts, 0) > monotonic_us() else None
            )
        # the same process may have enrolled again meanwhile: no other has its incarnation
        return facts[0] if held.identity == facts[:3] else None

    # ------------------------------------------------------------ enrolment

    def register(self, service, address, incarnation, capacity, at, wall_us):
        self.last_issued = issued = max(self.last_issued + 1, wall_us)
        held = self.by_address.get(address)
        if held is not None and held.identity == (service, address, incarnation):
            held.capacity, held.heartbeat_at = capacity, at
            return self.issue_token(service, address, incarnation, held.issued)
        self.add(Endpoint(service, address, incarnation, capacity, issued, at))
        return self.issue_token(service, address, incarnation, issued)

    def add(self, endpoint):
        held = self.by_address.get(endpoint.address)
        if held is not None:
            self.remove(held, "address taken")
        self.departed_tokens = {
            f: good_until
            for f, good_until in self.departed_tokens.items()
            if f[1] != endpoint.address
        }
        self.by_address[endpoint.address] = endpoint
        self.service_loads.setdefault(endpoint.service, ServiceLoad(endpoint.heartbeat_at))
        self.log(
            401,
            service=endpoint.service,
            address=endpoint.address,
            incarnation=endpoint.incarnation,
        )
        self.notify_waiters(endpoint.service)

    def heartbeat(self, token, capacity, draining, load, at):
        facts = self.verify_token(token)
        if facts is None:
            raise RegistrationDenied(401, "bad_token")
        service, address, incarnation, issued = facts
        held = self.by_address.get(address)
        if held is not None and held.issued > issued:
            raise RegistrationDenied(409, "superseded", "another enrolment holds the address")
        if held is None or held.issued != issued:
            self.add(Endpoint(service, address, incarnation, capacity, issued, at))
            self.last_issued = max(self.last_issued, issued)
            held = self.by_address[address]
        held.heartbeat_at, held.capacity, held.unreachable = at, capacity, False
        if load is not None:
            held.reported_load, held.reported_load_at = load, at
        if draining:
            self.start_draining(held)
        self.notify_waiters(service)

    def start_draining(self, endpoint):
        if not endpoint.draining:
            endpoint.draining = True
            self.log(402, service=endpoint.service, address=endpoint.address)
            self.notify_waiters(endpoint.service)

    def deregister(self, token):
        facts = self.verify_token(token)
        if facts is None:
            raise RegistrationDenied(401, "bad_token")
        held = self.by_address.get(facts[1])
        if held is not None and (*held.identity, held.issued) == facts:
            self.departed_tokens = {
                f: good_until
                for f, good_until in self.departed_tokens.items()
                if good_until > monotonic_us()
            }
            self.departed_tokens[facts] = monotonic_us() + DEPARTED_TOKEN_TTL
            self.remove(held, "left")

    def remove(self, endpoint, why):
        if endpoint.removed:
            return
        endpoint.removed = True
        self.by_address.pop(endpoint.address, None)
        self.connections_to_close += endpoint.idle_connections
        endpoint.idle_connections = []
        self.log(403, service=endpoint.service, address=endpoint.address, why=why)
        self.notify_waiters(endpoint.service)

    def mark_unreachable(self, endpoint):
        if not endpoint.unreachable and not endpoint.removed:
            endpoint.unreachable = True
            self.log(404, service=endpoint.service, address=endpoint.address)
            self.notify_waiters(endpoint.service)

    def remove_expired(self, at):
        stood = self.pause_detector.look(at)  # beats may lie unread
        for endpoint in self.by_address.values():
            endpoint.heartbeat_at += stood
        for endpoint in list(self.by_address.values()):
            if at - endpoint.heartbeat_at > self.heartbeat_timeout_us:
                self.remove(endpoint, "no beat")

    # ------------------------------------------------------------ use

    def available_endpoints(self, service):
        return [e for e in self.by_address.values() if e.service == service and e.available]

    def local_endpoint(self, service):
        """The endpoint here that takes the next call: the emptiest of those present."""
        return min(
            self.available_endpoints(service), key=lambda e: e.in_flight / e.capacity, default=None
        )

    def update_gauges(self, service, at):
        load = self.service_loads.get(service)
        if load is not None:
            level = sum(e.in_flight for e in self.by_address.values() if e.service == service)
            load.in_flight.set(at, level)
            load.forwarded.set(at, load.forwarded_now)
        return load

    def acquire_slot(self, endpoint, at):
        endpoint.in_flight += 1
        self.update_gauges(endpoint.service, at)

    def release_slot(self, endpoint, at):
        endpoint.in_flight -= 1
        self.update_gauges(endpoint.service, at)
        self.notify_waiters(endpoint.service)

    def adjust_forwarded(self, service, change, at):
        load = self.service_loads.setdefault(service, ServiceLoad(at))
        load.forwarded_now += change
        self.update_gauges(service, at)

    def notify_waiters(self, service):
        wake = self.slot_waiters.get(service)
        if wake:
            wake()

    def measure_load(self, at, share):
        """Ends the interval: a new rho for every service that has an endpoint here."""
        for service, load in self.service_loads.items():
            here = [e for e in self.by_address.values() if e.service == service]
            told = [
                e.reported_load
                for e in here
                if e.reported_load is not None and at - e.reported_load_at < 2 * SECOND
            ]
            load.rho = load_level(
                load.in_flight.take_mean(at),
                load.forwarded.take_mean(at),
                sum(e.capacity for e in here),
                share,
                sum(told) / len(told) if told else None,
            )
        return {
            service: [
                self.service_loads[service].rho,
                (self.local_endpoint(service) or here[0]).incarnation,
                self.local_endpoint(service) is None,
            ]
            for service, here in self.endpoints_by_service().items()
        }

    def endpoints_by_service(self):
        found = {}
        for endpoint in self.by_address.values():
            found.setdefault(endpoint.service, []).append(endpoint)
        return found


# ---------------------------------------------------------------- the endpoint's answer


class InvalidEndpointResponse(Exception):
    pass


def no_constant(word):
    raise ValueError(word)


def check_endpoint_response(endpoint, service, call_id, status, headers, body):
    """Raises BadAnswer unless the answer is whole and is this call's. Gives lower-case headers."""
    lines = [(name.lower(), value) for name, value in headers]
    facts = dict(lines)
    chunked = facts.get(b"transfer-encoding", b"").lower() == b"chunked"
    if b"content-length" not in facts and not chunked and status not in (204, 304):
        raise InvalidEndpointResponse("no length, so nobody knows if it is whole")
    if not 200 <= status <= 599:
        raise InvalidEndpointResponse(f"status {status}")
    if facts.get(b"content-encoding", b"identity").lower() != b"identity":
        raise InvalidEndpointResponse("encoded body")
    if body:
        try:
            json.loads(body, parse_constant=no_constant)
        except (ValueError, RecursionError):
            raise InvalidEndpointResponse("body is no JSON") from None
    elif status not in (204, 304):
        raise InvalidEndpointResponse("empty body")
    told_call = facts.get(b"md-call")
    if (service["echo"] or told_call is not None) and told_call != call_id.encode():
        raise InvalidEndpointResponse("another call's id")
    told_incarnation = facts.get(b"md-incarnation")
    if told_incarnation is not None and told_incarnation != endpoint.incarnation.encode():
        raise InvalidEndpointResponse("another incarnation")
    return lines


def told_load(lines):
    value = dict(lines).get(b"md-load")
    try:
        load = float(value) if value is not None else None
    except ValueError:
        return None
    return load if load is not None and 0 <= load <= 1 else None
