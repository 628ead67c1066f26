"""The endpoints on this machine: enrolment, beats, leaving, and connections to them."""

from __future__ import annotations

import base64
import binascii
import hmac
import json
from dataclasses import dataclass, field

import ormsgpack

from meadowdock.load_sharing import Gauge, rho
from meadowdock.rpc import derive_key
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us

BEAT = 500 * MILLISECOND
WINDOW = 1_500 * MILLISECOND  # three beats
STILL = 250 * MILLISECOND
NAME_GRACE = 5 * SECOND  # an endpoint that left may end its own calls under its name


class Denied(Exception):
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
    beat_at: int
    in_flight: int = 0
    draining: bool = False
    gone: bool = False
    doubted: bool = False  # took no connection; until its next beat
    told: float | None = None
    told_at: int = 0
    warm_at: int = 0  # it is slow until then
    idle: list = field(default_factory=list)

    @property
    def identity(self):
        return self.service, self.address, self.incarnation

    @property
    def present(self):
        return not (self.draining or self.gone or self.doubted)

    @property
    def room(self):
        return self.present and self.in_flight < self.capacity


class Occupation:
    """Gauges of one service on this node, and the rho of the last interval."""

    def __init__(self, at):
        self.flight, self.spilled = Gauge(at), Gauge(at)
        self.spilled_now = 0
        self.rho = 0.0


class Book:
    """Invariants: by_address holds at most one endpoint an address, never a gone one; a token is
    good only for the process it was made for: while that is enrolled, and after it left for
    NAME_GRACE unless another took its address."""

    def __init__(self, host, key, log):
        self.host, self.log = host, log
        self.key = derive_key(key, b"token", host.encode())
        self.by_address = {}
        self.occupations = {}
        self.waiters = {}  # service -> callables that may start a held call
        self.closing = []  # connections to close, by the loop that owns them
        self.last_issued = 0
        self.left = {}  # the facts of a token whose process left -> until when it is good
        self.still = PauseDetector(STILL, monotonic_us())
        self.window = WINDOW  # an endpoint that is silent for so long is gone

    # ------------------------------------------------------------ tokens

    def token(self, service, address, incarnation, issued):
        body = ormsgpack.packb([service, address, incarnation, issued])
        seal = hmac.digest(self.key, body, "sha256")[:16]
        return base64.urlsafe_b64encode(seal + body).decode()

    def read_token(self, token):
        """(service, address, incarnation, issued) or None."""
        try:
            raw = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
            seal, body = raw[:16], raw[16:]
            if not hmac.compare_digest(seal, hmac.digest(self.key, body, "sha256")[:16]):
                return None
            return tuple(ormsgpack.unpackb(body))
        except (binascii.Error, UnicodeEncodeError, ormsgpack.MsgpackDecodeError):
            return None

    def caller(self, token, young):
        """The name that a token proves, or None. A young process, which hasn't heard all beats
        yet, takes a good seal for an address that nobody else holds."""
        facts = self.read_token(token)
        if facts is None:
            return None
        held = self.by_address.get(facts[1])
        if held is None:
            return facts[0] if young or self.left.get(facts, 0) > monotonic_us() else None
        # the same process may have enrolled again meanwhile: no other has its incarnation
        return facts[0] if held.identity == facts[:3] else None

    # ------------------------------------------------------------ enrolment

    def enrol(self, service, address, incarnation, capacity, at, wall):
        self.last_issued = issued = max(self.last_issued + 1, wall)
        held = self.by_address.get(address)
        if held is not None and held.identity == (service, address, incarnation):
            held.capacity, held.beat_at = capacity, at
            return self.token(service, address, incarnation, held.issued)
        self.hold(Endpoint(service, address, incarnation, capacity, issued, at))
        return self.token(service, address, incarnation, issued)

    def hold(self, endpoint):
        held = self.by_address.get(endpoint.address)
        if held is not None:
            self.lose(held, "address taken")
        self.left = {f: until for f, until in self.left.items() if f[1] != endpoint.address}
        self.by_address[endpoint.address] = endpoint
        self.occupations.setdefault(endpoint.service, Occupation(endpoint.beat_at))
        self.log(
            401,
            service=endpoint.service,
            address=endpoint.address,
            incarnation=endpoint.incarnation,
        )
        self.freed(endpoint.service)

    def beat(self, token, capacity, draining, load, at):
        facts = self.read_token(token)
        if facts is None:
            raise Denied(401, "bad_token")
        service, address, incarnation, issued = facts
        held = self.by_address.get(address)
        if held is not None and held.issued > issued:
            raise Denied(409, "superseded", "another enrolment holds the address")
        if held is None or held.issued != issued:
            self.hold(Endpoint(service, address, incarnation, capacity, issued, at))
            self.last_issued = max(self.last_issued, issued)
            held = self.by_address[address]
        held.beat_at, held.capacity, held.doubted = at, capacity, False
        if load is not None:
            held.told, held.told_at = load, at
        if draining:
            self.drain(held)
        self.freed(service)

    def drain(self, endpoint):
        if not endpoint.draining:
            endpoint.draining = True
            self.log(402, service=endpoint.service, address=endpoint.address)
            self.freed(endpoint.service)

    def leave(self, token):
        facts = self.read_token(token)
        if facts is None:
            raise Denied(401, "bad_token")
        held = self.by_address.get(facts[1])
        if held is not None and (*held.identity, held.issued) == facts:
            self.left = {f: until for f, until in self.left.items() if until > monotonic_us()}
            self.left[facts] = monotonic_us() + NAME_GRACE
            self.lose(held, "left")

    def lose(self, endpoint, why):
        if endpoint.gone:
            return
        endpoint.gone = True
        self.by_address.pop(endpoint.address, None)
        self.closing += endpoint.idle
        endpoint.idle = []
        self.log(403, service=endpoint.service, address=endpoint.address, why=why)
        self.freed(endpoint.service)

    def doubt(self, endpoint):
        if not endpoint.doubted and not endpoint.gone:
            endpoint.doubted = True
            self.log(404, service=endpoint.service, address=endpoint.address)
            self.freed(endpoint.service)

    def expire(self, at):
        stood = self.still.look(at)  # beats may lie unread
        for endpoint in self.by_address.values():
            endpoint.beat_at += stood
        for endpoint in list(self.by_address.values()):
            if at - endpoint.beat_at > self.window:
                self.lose(endpoint, "no beat")

    # ------------------------------------------------------------ use

    def of(self, service):
        return [e for e in self.by_address.values() if e.service == service and e.present]

    def home(self, service):
        """The endpoint here that takes the next call: the emptiest of those present."""
        return min(self.of(service), key=lambda e: e.in_flight / e.capacity, default=None)

    def level(self, service, at):
        occupation = self.occupations.get(service)
        if occupation is not None:
            level = sum(e.in_flight for e in self.by_address.values() if e.service == service)
            occupation.flight.set(at, level)
            occupation.spilled.set(at, occupation.spilled_now)
        return occupation

    def enter(self, endpoint, at):
        endpoint.in_flight += 1
        self.level(endpoint.service, at)

    def leave_slot(self, endpoint, at):
        endpoint.in_flight -= 1
        self.level(endpoint.service, at)
        self.freed(endpoint.service)

    def spilled(self, service, change, at):
        occupation = self.occupations.setdefault(service, Occupation(at))
        occupation.spilled_now += change
        self.level(service, at)

    def freed(self, service):
        wake = self.waiters.get(service)
        if wake:
            wake()

    def measure(self, at, share):
        """Ends the interval: a new rho for every service that has an endpoint here."""
        for service, occupation in self.occupations.items():
            here = [e for e in self.by_address.values() if e.service == service]
            told = [e.told for e in here if e.told is not None and at - e.told_at < 2 * SECOND]
            occupation.rho = rho(
                occupation.flight.take(at),
                occupation.spilled.take(at),
                sum(e.capacity for e in here),
                share,
                sum(told) / len(told) if told else None,
            )
        return {
            service: [
                self.occupations[service].rho,
                (self.home(service) or here[0]).incarnation,
                self.home(service) is None,
            ]
            for service, here in self.services().items()
        }

    def services(self):
        found = {}
        for endpoint in self.by_address.values():
            found.setdefault(endpoint.service, []).append(endpoint)
        return found


# ---------------------------------------------------------------- the endpoint's answer


class BadAnswer(Exception):
    pass


def no_constant(word):
    raise ValueError(word)


def check_answer(endpoint, service, call_id, status, headers, body):
    """Raises BadAnswer unless the answer is whole and is this call's. Gives lower-case headers."""
    lines = [(name.lower(), value) for name, value in headers]
    facts = dict(lines)
    chunked = facts.get(b"transfer-encoding", b"").lower() == b"chunked"
    if b"content-length" not in facts and not chunked and status not in (204, 304):
        raise BadAnswer("no length, so nobody knows if it is whole")
    if not 200 <= status <= 599:
        raise BadAnswer(f"status {status}")
    if facts.get(b"content-encoding", b"identity").lower() != b"identity":
        raise BadAnswer("encoded body")
    if body:
        try:
            json.loads(body, parse_constant=no_constant)
        except (ValueError, RecursionError):
            raise BadAnswer("body is no JSON") from None
    elif status not in (204, 304):
        raise BadAnswer("empty body")
    told_call = facts.get(b"md-call")
    if (service["echo"] or told_call is not None) and told_call != call_id.encode():
        raise BadAnswer("another call's id")
    told_incarnation = facts.get(b"md-incarnation")
    if told_incarnation is not None and told_incarnation != endpoint.incarnation.encode():
        raise BadAnswer("another incarnation")
    return lines


def told_load(lines):
    value = dict(lines).get(b"md-load")
    try:
        load = float(value) if value is not None else None
    except ValueError:
        return None
    return load if load is not None and 0 <= load <= 1 else None
