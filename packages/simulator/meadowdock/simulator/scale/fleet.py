"""A fleet of hollow nodes on the virtual clock."""

from __future__ import annotations

from functools import partial

import trio

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.net import SimNet
from meadowdock.simulator.scale.meter import Meter, MeteredStream, metered_net
from meadowdock.simulator.scale.places import VOTERS, manifest, places
from meadowdock.simulator.world import owner

SETTLING_US = 6 * SECOND  # all first handshakes and the first lease epoch are over by then
CHANGE_WITHIN_US = 30 * SECOND
ENDPOINT_CAPACITY = 4
HEARTBEAT_INTERVAL_US = 400 * MILLISECOND


def meter_links(world, meter):
    """Give each process that the world launches a network that counts frames."""
    original, net_class = world.launch, metered_net(SimNet, MeteredStream)

    def launch(name, host, work):
        process = original(name, host, work)
        process.net = net_class(world.web, host)
        process.net.meter, process.net.node = meter, name
        process.net.set_task_owner = partial(owner.set, process)
        return process

    world.launch = launch


def limit_voters(world):
    """Make only the first VOTERS core machines the register's members in all boot settings."""
    original = world.boot

    def boot(role, host):
        core, world.core = world.core, world.core[:VOTERS]
        try:
            return original(role, host)
        finally:
            world.core = core

    world.boot = boot


async def stand_in(node, service):
    """Register an idle endpoint with a proxy and send its heartbeats, without a socket."""
    endpoints, host = node.daemon.endpoints, node.settings.host
    token = endpoints.register(
        service, f"{host}:8000", "hollow", ENDPOINT_CAPACITY, monotonic_us(), node.runtime.wall_us()
    )
    while not node.stopping:
        endpoints.heartbeat(token, ENDPOINT_CAPACITY, False, 0.1, monotonic_us())
        await sleep_us(HEARTBEAT_INTERVAL_US)


def listed_endpoints(daemon):
    """Return how many endpoints a proxy has on its load lists."""
    return sum(map(len, daemon.forwarder.nodes_by_service.values()))


class HollowFleet:
    """A fleet of hollow nodes in a World.

    Once started, all nodes are up, a configuration is in force, and every proxy lists every
    endpoint.
    """

    def __init__(self, world, n):
        self.world, self.n, self.meter = world, n, Meter()
        world.core, world.application, world.zones = places(n)
        meter_links(world, self.meter)
        limit_voters(world)

    def proxies(self):
        """Return the nodes of the running proxies."""
        return [
            self.world.node("mdproxy", host)
            for host in self.world.application
            if f"mdproxy@{host}" in self.world.processes
        ]

    def core(self, role):
        """Return the nodes of a core role."""
        hosts = self.world.core if role == "mdreg" else self.world.core[:VOTERS]
        return [self.world.node(role, host) for host in hosts]

    async def start_proxy(self, host):
        """Start a proxy with its endpoint."""
        process = await self.world.start("mdproxy", host)
        process.node.nursery.start_soon(stand_in, process.node, self.world.application[host])

    async def start(self):
        """Start and configure all nodes, and wait until they have settled."""
        world = self.world
        async with trio.open_nursery() as nursery:
            for host in world.core:
                nursery.start_soon(world.start, "mdreg", host)
            for host in world.core[:VOTERS]:
                nursery.start_soon(world.start, "mdconf", host)
            for host in world.application:
                nursery.start_soon(self.start_proxy, host)
        await self.wait_until(
            lambda: not any(node.unready_reasons() for node in self.core("mdconf"))
        )
        await world.configure(manifest(self.n))
        await self.wait_until(self.all_listed)
        await sleep_us(SETTLING_US)

    async def wait_until(self, check, within=60 * SECOND):
        """Wait until check() is true; return how long that took in us."""
        return await self.world.eventually(check, within=within)

    def all_listed(self):
        """Return whether every proxy lists every running endpoint."""
        proxies = self.proxies()
        return all(listed_endpoints(proxy.daemon) == len(proxies) for proxy in proxies)

    def in_force(self, version, among=None):
        """Return whether a configuration is in force on all proxies, or on those given."""
        nodes = self.proxies() if among is None else among
        return all(node.daemon.delivery.version >= version for node in nodes)

    async def change(self, wait_us, core=0, among=None):
        """Change the configuration and wait until it is in force; return (seconds, version).

        The time includes retries of the operator while the register has no majority.
        """
        begun, version = monotonic_us(), None
        while version is None:
            try:
                version = await self.world.configure(manifest(self.n, wait_us), core)
            except AssertionError:  # refused while the register has no majority
                if monotonic_us() - begun > CHANGE_WITHIN_US:
                    raise
                await sleep_us(200 * MILLISECOND)
        await self.wait_until(partial(self.in_force, version, among))
        return (monotonic_us() - begun) / SECOND, version
