"""One daemon of a soak: python -m meadowdock.soak.daemon ROLE BOOT_FILE CUTS_FILE.

The product's own node and part; mdproxy with a gate, in the product's own names, and a door for the
beats of its endpoint, which are JSON of GatewayProxy.endpoint_heartbeat's facts.
"""

from __future__ import annotations

import sys
from importlib import import_module

import trio

from meadowdock.admin_http import Response, RouteTable
from meadowdock.forwarding import Dialect
from meadowdock.local_fleet.fleet import PROGRAM_PACKAGES
from meadowdock.process import Node, watch_signals
from meadowdock.proxy.endpoints import RegistrationDenied
from meadowdock.proxy.gateway import GatewayProxy
from meadowdock.runtime import Disk, NoDisk, Runtime
from meadowdock.settings import ProcessSettings, load
from meadowdock.soak.cuts import CutNet, Cuts

BEATS_PORT = 7403
DIALECT = Dialect(stamp=b"md-stamp")
beats = RouteTable()


@beats.on("POST", "/beat")
async def beat(daemon: SoakProxy, request: object) -> Response:
    """A beat of the endpoint beside."""
    import json

    try:
        daemon.endpoint_heartbeat(json.loads(await request.body(1 << 16)))
    except RegistrationDenied as denied:
        return Response(denied.status, {"code": denied.code})
    return Response(200, {})


class SoakProxy(GatewayProxy):
    """mdproxy with a gate and a door for beats."""

    dialect = DIALECT

    def listeners(self) -> dict:
        """The door for beats."""
        return {**super().listeners(), f"{self.node.settings.host}:{BEATS_PORT}": beats}


def part_of(role: str) -> type:
    """The part that a role is."""
    return SoakProxy if role == "mdproxy" else import_module(f"{PROGRAM_PACKAGES[role]}.part").Part


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
        await node.run(part_of(settings.role))


if __name__ == "__main__":
    trio.run(serve, load(sys.argv[1], sys.argv[2]), sys.argv[3])
