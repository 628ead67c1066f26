"""The liveness and readiness checks of each daemon, served at its own HTTP listener."""

from __future__ import annotations

from meadowdock.admin_http import Request, Response, RouteTable
from meadowdock.process.daemon import Daemon

health_checks = RouteTable()


@health_checks.on("GET", "/live")
async def live(daemon: Daemon, request: Request) -> Response:
    """Respond with 200 as long as the process serves requests at all."""
    return Response(200, {"live": True})


@health_checks.on("GET", "/ready")
async def ready(daemon: Daemon, request: Request) -> Response:
    """Respond with 200 if the node is ready, otherwise with 503 and the reasons."""
    reasons = daemon.node.unready_reasons()
    return Response(503 if reasons else 200, {"ready": not reasons, "why": reasons})


def with_health_checks(routes: RouteTable) -> RouteTable:
    """Return a daemon's routes together with the health checks; a daemon's routes take precedence."""
    combined = RouteTable()
    combined.exact = {**health_checks.exact, **routes.exact}
    combined.prefixes, combined.fallback = routes.prefixes, routes.fallback
    return combined
