"""One daemon of a soak: python -m meadowdock.soak.daemon ROLE BOOT_FILE CUTS_FILE.

The product's own node and daemon; the proxy with its forwarding path, in the product's own names, and a listener for the
heartbeats of its endpoint, which are JSON of GatewayProxy.endpoint_heartbeat's facts.
"""

from __future__ import annotations

import sys

import trio

from meadowdock.admin_http import Response, RouteTable
from meadowdock.config_store.server import ConfigStore
from meadowdock.forwarding import Dialect
from meadowdock.process import Node, watch_signals
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.proxy.gateway import GatewayProxy
from meadowdock.registry.server import RegistryServer
from meadowdock.runtime import Disk, NoDisk, Runtime
from meadowdock.settings import ProcessSettings, load_settings
from meadowdock.soak.cuts import CutNet, Cuts

HEARTBEATS_PORT = 7403
DIALECT = Dialect(stamp=b"md-stamp")
endpoint_routes = RouteTable()


@endpoint_routes.on("POST", "/beat")
async def heartbeat(daemon: SoakProxy, request: object) -> Response:
    """A heartbeat of the endpoint beside."""
    import json

    try:
        daemon.endpoint_heartbeat(json.loads(await request.body(1 << 16)))
    except RegistrationDenied as denied:
        return Response(denied.status, {"code": denied.code})
    return Response(200, {})


class SoakProxy(GatewayProxy):
    """mdproxy with a gate and a listener for heartbeats."""

    dialect = DIALECT

    def listeners(self) -> dict:
        """The listener for heartbeats."""
        return {
            **super().listeners(),
            f"{self.node.settings.host}:{HEARTBEATS_PORT}": endpoint_routes,
        }


def daemon_type(role: str) -> type:
    """The daemon of a role."""
    return {"mdproxy": SoakProxy, "mdreg": RegistryServer, "mdconf": ConfigStore}[role]


async def serve(settings: ProcessSettings, cuts_file: str) -> None:
    """Run until told to stop."""
    cuts = Cuts(cuts_file, settings.host)
    async with trio.open_nursery() as nursery:
        if settings.role != "mdproxy":  # the gate's network watches for itself
            nursery.start_soon(cuts.watch, lambda: None)
        runtime = Runtime(
            CutNet(settings.host, cuts), Disk(settings.data) if settings.data else NoDisk()
        )
        node = Node(settings, runtime, nursery)
        nursery.start_soon(watch_signals, node)
        await node.run(daemon_type(settings.role))


if __name__ == "__main__":
    trio.run(serve, load_settings(sys.argv[1], sys.argv[2]), sys.argv[3])
