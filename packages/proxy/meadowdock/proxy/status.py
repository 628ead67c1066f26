"""The status of a proxy, for operators and tests on its machine: GET /md/status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from meadowdock.admin_http import Request, Response, RouteTable
from meadowdock.proxy.registration import require_local, with_denial_responses

if TYPE_CHECKING:
    from meadowdock.proxy.server import ProxyServer

routes = RouteTable()


@routes.on("GET", "/md/status")
@with_denial_responses
async def status(server: ProxyServer, request: Request) -> Response:
    """Return the state of this proxy."""
    require_local(server, request)
    return Response(200, status_to_wire(server))


def status_to_wire(server: ProxyServer) -> dict[str, Any]:
    """Encode the status under the names that docs/operating.md gives."""
    forwarder = server.forwarder
    return {
        "version": server.delivery.version,
        "cut_off": server.delivery.cut_off,
        "listed": {
            service: [node.address for node in nodes]
            for service, nodes in forwarder.nodes_by_service.items()
        },
        "list": {"epoch": forwarder.load_list.epoch, "seq": forwarder.load_list.seq},
        "rho": {service: load.rho for service, load in server.endpoints.service_loads.items()},
        "calls_under_way": len(forwarder.slab),
        "counts": forwarder.counts,
        "second_tries": {
            "requests": forwarder.retry_budget.requests,
            "tries": forwarder.retry_budget.retries,
        },
        "neighbours": sorted(server.node.membership.entries),
    }
