"""The HTTP API for the endpoints on this machine: registration, heartbeats and departure.

docs/endpoints.md describes it. Only processes on this machine may use it.
"""

from __future__ import annotations

import functools
import json
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from meadowdock.admin_http import Request, Response, RouteTable
from meadowdock.proxy.endpoints import HEARTBEAT_INTERVAL_US, HEARTBEAT_TIMEOUT_US
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.proxy.server import ProxyServer

MAX_BODY_BYTES = 65536
MAX_TOKEN_LENGTH = 1023  # characters
MAX_CAPACITY = 100_000  # concurrent calls of one endpoint
NAME_FORMAT = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
IP_ADDRESS_AND_PORT = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")

Fields = dict[str, Any]
RouteHandler = Callable[["ProxyServer", Request], Awaitable[Response]]

routes = RouteTable()


@dataclass(frozen=True, slots=True)
class FieldRule:
    """The requirement that a field of a request's body must meet."""

    accepts: Callable[[Any], bool]
    requirement: str
    required: bool = True


def is_token(value: object) -> bool:
    """Return whether a value has the form of a token."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TOKEN_LENGTH


def is_capacity(value: object) -> bool:
    """Return whether a value is a valid number of concurrent calls."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value <= MAX_CAPACITY


def is_load(value: object) -> bool:
    """Return whether a value is a load level in 0..1."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1


def is_address(value: object) -> bool:
    """Return whether a value is an IP address with a port."""
    return isinstance(value, str) and IP_ADDRESS_AND_PORT.match(value) is not None


def is_incarnation(value: object) -> bool:
    """Return whether a value has the form of an incarnation's name."""
    return isinstance(value, str) and NAME_FORMAT.match(value) is not None


TOKEN = FieldRule(is_token, "must be the token of enrolment")
CAPACITY = FieldRule(is_capacity, "must be a whole number from 1: calls at once")
REGISTRATION = {
    "service": FieldRule(lambda value: isinstance(value, str), "must be a name"),
    "address": FieldRule(is_address, "must be an IP number and port"),
    "capacity": CAPACITY,
    "incarnation": FieldRule(is_incarnation, "must be 1 to 128 of A-Z a-z 0-9 . _ : -"),
}
HEARTBEAT = {
    "token": TOKEN,
    "capacity": CAPACITY,
    "draining": FieldRule(
        lambda value: isinstance(value, bool), "must be true or false", required=False
    ),
    "load": FieldRule(is_load, "must be in 0..1", required=False),
}
DEPARTURE = {"token": TOKEN}


def with_denial_responses(handler: RouteHandler) -> RouteHandler:
    """Make a handler respond to a RegistrationDenied with its status, code and detail."""

    @functools.wraps(handler)
    async def answer(server: ProxyServer, request: Request) -> Response:
        try:
            return await handler(server, request)
        except RegistrationDenied as denied:
            return Response(denied.status, {"code": denied.code, "detail": denied.detail})

    return answer


def require_local(server: ProxyServer, request: Request) -> None:
    """Check that the request comes from this machine.

    :raises RegistrationDenied: not_local.
    """
    if request.peer not in server.node.settings.local_addresses:
        raise RegistrationDenied(
            403, "not_local", f"only this machine's endpoints, not {request.peer}"
        )


async def read_fields(server: ProxyServer, request: Request, rules: dict[str, FieldRule]) -> Fields:
    """Return the fields of a request's body, checked against the rules.

    :raises RegistrationDenied: not_local or malformed.
    """
    require_local(server, request)
    try:
        fields = json.loads(await request.body(MAX_BODY_BYTES))
    except ValueError:
        raise RegistrationDenied(400, "malformed", "body is no JSON") from None
    if not isinstance(fields, dict):
        raise RegistrationDenied(400, "malformed", "body is no object")
    errors = [
        *(
            f"{name}: {rule.requirement}"
            for name, rule in rules.items()
            if name in fields and not rule.accepts(fields[name])
        ),
        *(
            f"{name} is missing"
            for name, rule in rules.items()
            if name not in fields and rule.required
        ),
    ]
    if errors:
        raise RegistrationDenied(400, "malformed", "; ".join(errors))
    return fields


@routes.on("POST", "/md/enrol")
@with_denial_responses
async def register(server: ProxyServer, request: Request) -> Response:
    """Register an endpoint.

    The response holds its token and the heartbeat times in microseconds.
    """
    fields = await read_fields(server, request, REGISTRATION)
    routing_table = server.forwarder.routing_table
    if routing_table is None:
        raise RegistrationDenied(503, "no_manifest")
    if fields["service"] not in routing_table.services:
        raise RegistrationDenied(404, "service_unknown", fields["service"])
    server.require_local_address(fields["address"])
    token = server.endpoints.register(
        fields["service"],
        fields["address"],
        fields["incarnation"],
        fields["capacity"],
        monotonic_us(),
        server.node.runtime.wall_us(),
    )
    return Response(200, {"token": token, **heartbeat_times()})


@routes.on("POST", "/md/beat")
@with_denial_responses
async def heartbeat(server: ProxyServer, request: Request) -> Response:
    """Process a heartbeat of a registered endpoint."""
    fields = await read_fields(server, request, HEARTBEAT)
    claims = server.endpoints.tokens.verify(fields["token"])
    routing_table = server.forwarder.routing_table
    if claims and routing_table and claims.service not in routing_table.services:
        raise RegistrationDenied(404, "service_unknown", claims.service)
    server.endpoints.heartbeat(
        fields["token"],
        fields["capacity"],
        fields.get("draining", False),
        fields.get("load"),
        monotonic_us(),
    )
    return Response(200, heartbeat_times())


@routes.on("POST", "/md/leave")
@with_denial_responses
async def deregister(server: ProxyServer, request: Request) -> Response:
    """Remove a registered endpoint that shuts down."""
    fields = await read_fields(server, request, DEPARTURE)
    server.endpoints.deregister(fields["token"])
    return Response(200, {})


def heartbeat_times() -> dict[str, int]:
    """Return the heartbeat interval, and the silence after which an endpoint is removed."""
    return {"beat_us": HEARTBEAT_INTERVAL_US, "window_us": HEARTBEAT_TIMEOUT_US}
