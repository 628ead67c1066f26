"""Run one daemon of a soak run: python -m meadowdock.soak.daemon ROLE BOOT_FILE CUTS_FILE PAUSES_FILE.

Node and daemon are the product's own. The proxy runs with its forwarding path, under the product's
own header names, and with a listener for the heartbeats of its local endpoint: the body is the
argument of GatewayProxy.endpoint_heartbeat as JSON.
"""

from __future__ import annotations

import signal
import sys

import trio

from meadowdock.admin_http import Response, RouteTable
from meadowdock.config_store.server import ConfigStore
from meadowdock.forwarding import Dialect
from meadowdock.process import Node, watch_signals
from meadowdock.process.early_signals import EarlySignals
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.proxy.gateway import GatewayProxy
from meadowdock.registry.server import RegistryServer
from meadowdock.runtime import Disk, NoDisk, Runtime
from meadowdock.settings import ProcessSettings, load_settings
from meadowdock.soak.cuts import PartitionableNet, Partitions
from meadowdock.soak.pauses import record_pauses

HEARTBEATS_PORT = 7403
DIALECT = Dialect(stamp=b"md-stamp")
endpoint_routes = RouteTable()


@endpoint_routes.on("POST", "/beat")
async def heartbeat(daemon: SoakProxy, request: object) -> Response:
    """Take a heartbeat of the local endpoint."""
    import json

    try:
        daemon.endpoint_heartbeat(json.loads(await request.body(1 << 16)))
    except RegistrationDenied as denied:
        return Response(denied.status, {"code": denied.code})
    return Response(200, {})


class SoakProxy(GatewayProxy):
    """mdproxy with its gateway and a listener for the heartbeats of endpoints."""

    dialect = DIALECT

    def listeners(self) -> dict:
        """Return the listeners of mdproxy and the one for heartbeats."""
        return {
            **super().listeners(),
            f"{self.node.settings.host}:{HEARTBEATS_PORT}": endpoint_routes,
        }


def daemon_type(role: str) -> type:
    """Return the daemon class of a role."""
    return {"mdproxy": SoakProxy, "mdreg": RegistryServer, "mdconf": ConfigStore}[role]


async def watch_reload(node: Node, boot_file: str) -> None:
    """Read the boot file again at each SIGHUP."""
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        async for _ in received:
            node.apply_settings(load_settings(node.settings.role, boot_file))


async def serve(
    settings: ProcessSettings,
    earlier: EarlySignals,
    boot_file: str,
    partitions_file: str,
    pauses_file: str,
) -> None:
    """Run the daemon until a signal stops it."""
    partitions = Partitions(partitions_file, settings.host)
    async with trio.open_nursery() as nursery:
        if settings.role != "mdproxy":  # the gateway's network starts its own watcher
            nursery.start_soon(partitions.watch, lambda: None)
        runtime = Runtime(
            PartitionableNet(settings.host, partitions),
            Disk(settings.data) if settings.data else NoDisk(),
        )
        node = Node(settings, runtime, nursery)
        nursery.start_soon(watch_signals, node, earlier)
        nursery.start_soon(watch_reload, node, boot_file)
        nursery.start_soon(record_pauses, settings.node_name, pauses_file)
        await node.run(daemon_type(settings.role))


if __name__ == "__main__":
    early_signals = EarlySignals()
    early_signals.watch()
    trio.run(serve, load_settings(sys.argv[1], sys.argv[2]), early_signals, *sys.argv[2:])
