"""Calls that a peer forwards to this proxy, for its local endpoint.

The peer's decision is not trusted: route, service, incarnation, draining, capacity and deadline are
checked again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from meadowdock.outcome import Rejection
from meadowdock.proxy.call import Call, EndpointResponse
from meadowdock.rpc import Handlers, Peer, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.proxy.forwarder import Forwarder
    from meadowdock.proxy.server import ProxyServer

FORWARD_METHOD = "call.run"
DEADLINE_MARGIN_US = 20 * MILLISECOND  # this proxy's attempt ends this long before the peer's

WireMap = dict[str, Any]


class PeerRequestHandler:
    """Handles the calls that peers forward."""

    handlers = Handlers()

    def __init__(self, server: ProxyServer) -> None:
        self.server = server

    @handlers.on(FORWARD_METHOD)
    async def on_forwarded_call(self, peer: Peer, wire: WireMap) -> WireMap:
        """Run a peer's call at the local endpoint.

        :raises Rejected: with a rejection code of meadowdock.outcome.
        """
        server = self.server
        routing_table = server.forwarder.routing_table
        if routing_table is None:
            raise Rejected("no_manifest")
        if server.node.stopping:
            raise Rejected("stopping")
        route, code = routing_table.find_route(wire["caller"], wire["method"], wire["path"])
        if route is None or route.service != wire["service"]:
            raise Rejected(code or "way_forbidden")
        server.delivery.on_version_seen(wire["version"], True)
        call = call_from_wire(wire, route, routing_table.version)
        server.forwarder.count("taken")
        return await self.answer(server.forwarder, call)

    async def answer(self, forwarder: Forwarder, call: Call) -> WireMap:
        """Return the endpoint's response.

        :raises Rejected: there is none.
        """
        outcome = await forwarder.run(call)
        if isinstance(outcome, Rejection):
            raise Rejected(outcome.code)
        return response_to_wire(outcome)


def call_from_wire(wire: WireMap, route: Any, version: int) -> Call:
    """Decode a forwarded call; its deadline is a little before that of the RPC."""
    remaining = trio.current_effective_deadline()
    if remaining < float("inf"):
        deadline = int(remaining * SECOND) - DEADLINE_MARGIN_US
    else:
        deadline = monotonic_us() + route.total_wait_us
    return Call(
        id=wire["id"],
        caller=wire["caller"],
        method=wire["method"],
        path=wire["path"],
        query=wire["query"],
        headers=[(bytes(name), bytes(value)) for name, value in wire["headers"]],
        body=bytes(wire["body"]),
        route=route,
        version=version,
        deadline=deadline,
        idempotency_key=wire["key"],
        arrived_here=False,
        incarnation=wire["incarnation"],
    )


def call_to_wire(call: Call, incarnation: str) -> WireMap:
    """Encode a call for the peer whose endpoint has this incarnation."""
    return {
        "id": call.id,
        "caller": call.caller,
        "method": call.method,
        "path": call.path,
        "query": call.query,
        "headers": [list(header) for header in call.headers],
        "body": call.body,
        "key": call.idempotency_key,
        "way": call.route.name,
        "service": call.route.service,
        "incarnation": incarnation,
        "version": call.version,
    }


def response_to_wire(response: EndpointResponse) -> WireMap:
    """Encode the endpoint's response."""
    return {
        "status": response.status,
        "headers": [list(header) for header in response.headers],
        "body": response.body,
    }


def response_from_wire(wire: WireMap) -> EndpointResponse:
    """Decode the endpoint's response."""
    headers = [(bytes(name), bytes(value)) for name, value in wire["headers"]]
    return EndpointResponse(wire["status"], headers, wire["body"])
