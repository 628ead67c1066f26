"""A simulated core whose members find each other through their seeds."""

from __future__ import annotations

import trio
from manifests import manifest, manifest_route

from meadowdock.runtime import MILLISECOND, SECOND
from meadowdock.settings import validate_settings
from meadowdock.simulator.world import KEY

SEEDS = range(1, 5)


def manifest_with_route(number):
    """Return a manifest whose only route has this number in its name."""
    return manifest([manifest_route(f"w{number}", "/balances")])


class SimulatedCore:
    """The mdconf processes of a fleet; their settings name seeds, but no members.

    Invariant: may_bootstrap and seed_hosts are part of the settings of the next process start.
    """

    def __init__(self, world, core, losses=1, seeds=None):
        self.world, self.losses = world, losses
        self.hosts = [f"10.0.0.{n}" for n in range(1, core + 1)]
        self.seed_hosts = seeds or self.hosts[:3]
        self.may_bootstrap = True
        self.extra_settings = {}  # further settings of each mdconf
        world.boot = self.boot
        world.core = self.hosts

    def boot(self, role, host):
        """Return the validated settings of a process."""
        return validate_settings(role, self.raw_settings(role, host))

    def raw_settings(self, role, host):
        """Return the settings of a process as its boot file has them."""
        settings = {
            "host": host,
            "hall": "a",
            "seeds": [f"{h}:7421" for h in self.seed_hosts],
            "fleet_key": KEY,
        }
        if role == "mdconf":
            settings |= {"data": "sim", "founding": self.may_bootstrap, "losses": self.losses}
            settings |= {"members": [], **self.extra_settings}
        return settings

    async def start(self, hosts=None):
        """Start the mdconf processes of some hosts, or of all."""
        async with trio.open_nursery() as nursery:
            for host in hosts or self.hosts:
                nursery.start_soon(self.world.start, "mdconf", host)

    async def bootstrap(self, within=4 * SECOND):
        """Start all processes, wait until all are voters, and return how long that took."""
        await self.start()
        duration_us = await self.world.eventually(lambda: self.are_voters(self.hosts), within)
        self.may_bootstrap = False
        return duration_us

    def store(self, host):
        return self.world.daemon("mdconf", host).store

    def running_hosts(self):
        """Return the hosts whose process runs."""
        return [host for host in self.hosts if f"mdconf@{host}" in self.world.processes]

    def are_voters(self, hosts):
        """Return whether each of these hosts is ready and knows exactly them as the voters."""
        expected_voters = {self.store(host).disk_id: f"{host}:7421" for host in hosts}
        return all(
            self.store(host).membership is not None
            and self.store(host).membership.voters == expected_voters
            and self.store(host).membership.next_voters is None
            and not self.world.node("mdconf", host).unready_reasons()
            for host in hosts
        )

    async def wait_until_voters(self, hosts, within=4 * SECOND):
        """Wait until exactly these hosts are the voters, and return how long that took."""
        return await self.world.eventually(lambda: self.are_voters(hosts), within, 10 * MILLISECOND)

    def memberships(self):
        """Return the membership that each running process knows, by host."""
        return {host: self.store(host).membership for host in self.running_hosts()}


async def configure_at(world, number, host):
    """Put the manifest of a number in force through one core host, and return its version."""
    world.core = [host]
    return await world.configure(manifest_with_route(number))


async def read_version(world, host):
    """Return the version of the manifest in force, read from one core host."""
    world.core = [host]
    status, body = await world.operate("GET", "/manifest")
    assert status == 200, body
    return body["version"]
