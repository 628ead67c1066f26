"""A fleet of hollow nodes on the virtual clock."""

from __future__ import annotations

from functools import partial

import trio

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.net import SimNet
from meadowdock.simulator.scale.meter import Meter, Metered, metered
from meadowdock.simulator.scale.places import VOTERS, manifest, places
from meadowdock.simulator.world import owner

SETTLING = 6 * SECOND  # past every first greeting and the first epoch
CHANGE_WITHIN = 30 * SECOND
HOLLOW_CAPACITY = 4
HOLLOW_HEARTBEAT = 400 * MILLISECOND


def count_links(world, meter):
    """Stands where the world launches processes: each gets a net that counts."""
    original, kind = world.launch, metered(SimNet, Metered)

    def launch(name, host, work):
        process = original(name, host, work)
        process.net = kind(world.web, host)
        process.net.meter, process.net.node = meter, name
        process.net.set_task_owner = partial(owner.set, process)
        return process

    world.launch = launch


def fewer_voters(world):
    """Only the first core machines have an mdconf, and only these are the register's members."""
    original = world.boot

    def boot(role, host):
        core, world.core = world.core, world.core[:VOTERS]
        try:
            return original(role, host)
        finally:
            world.core = core

    world.boot = boot


async def stand_in(node, service):
    """An endpoint that is always there and idle, told to the proxy's book without a socket."""
    book, host = node.daemon.endpoints, node.settings.host
    token = book.register(
        service, f"{host}:8000", "hollow", HOLLOW_CAPACITY, monotonic_us(), node.runtime.wall_us()
    )
    while not node.stopping:
        book.heartbeat(token, HOLLOW_CAPACITY, False, 0.1, monotonic_us())
        await sleep_us(HOLLOW_HEARTBEAT)


def listed(daemon):
    """How many endpoints a proxy has on its load lists."""
    return sum(map(len, daemon.forwarder.nodes_by_service.values()))


class Hollow:
    """A fleet in a World: all nodes up, a configuration in force, every endpoint on every list."""

    def __init__(self, world, n):
        self.world, self.n, self.meter = world, n, Meter()
        world.core, world.application, world.zones = places(n)
        count_links(world, self.meter)
        fewer_voters(world)

    def proxies(self):
        """The nodes of the proxies that run."""
        return [
            self.world.node("mdproxy", host)
            for host in self.world.application
            if f"mdproxy@{host}" in self.world.processes
        ]

    def core(self, role):
        """The nodes of a core role."""
        hosts = self.world.core if role == "mdreg" else self.world.core[:VOTERS]
        return [self.world.node(role, host) for host in hosts]

    async def start_proxy(self, host):
        """Start a proxy with its endpoint."""
        process = await self.world.start("mdproxy", host)
        process.node.nursery.start_soon(stand_in, process.node, self.world.application[host])

    async def up(self):
        """Start and configure everything, and let it settle."""
        world = self.world
        async with trio.open_nursery() as nursery:
            for host in world.core:
                nursery.start_soon(world.start, "mdreg", host)
            for host in world.core[:VOTERS]:
                nursery.start_soon(world.start, "mdconf", host)
            for host in world.application:
                nursery.start_soon(self.start_proxy, host)
        await self.wanted(lambda: not any(node.unready_reasons() for node in self.core("mdconf")))
        await world.configure(manifest(self.n))
        await self.wanted(self.all_listed)
        await sleep_us(SETTLING)

    async def wanted(self, check, within=60 * SECOND):
        """Wait until check() is true; gives how long that took."""
        return await self.world.eventually(check, within=within)

    def all_listed(self):
        """Whether every proxy lists every endpoint that runs."""
        proxies = self.proxies()
        return all(listed(proxy.daemon) == len(proxies) for proxy in proxies)

    def in_force(self, version, among=None):
        """Whether a configuration is in force on all proxies, or on those given."""
        nodes = self.proxies() if among is None else among
        return all(node.daemon.delivery.version >= version for node in nodes)

    async def change(self, wait_us, core=0, among=None):
        """One change, from the operator's confirm until it is in force: (seconds, version)."""
        begun, version = monotonic_us(), None
        while version is None:
            try:
                version = await self.world.configure(manifest(self.n, wait_us), core)
            except AssertionError:  # refused while the register's majority forms again
                if monotonic_us() - begun > CHANGE_WITHIN:
                    raise
                await sleep_us(200 * MILLISECOND)
        await self.wanted(partial(self.in_force, version, among))
        return (monotonic_us() - begun) / SECOND, version
