"""A simulated core whose members know only their seeds."""

from __future__ import annotations

import trio
from facts import manifest, way

from meadowdock.runtime import MILLISECOND, SECOND
from meadowdock.settings import validate_settings
from meadowdock.simulator.world import KEY

SEEDS = range(1, 5)


def changed(number):
    return manifest([way(f"w{number}", "/balances")])


class Fleet:
    """mdconf that were told seeds only. Invariant: founding and told are what the next start of
    a process gets."""

    def __init__(self, world, core, losses=1, seeds=None):
        self.world, self.losses = world, losses
        self.hosts = [f"10.0.0.{n}" for n in range(1, core + 1)]
        self.told = seeds or self.hosts[:3]
        self.founding = True
        self.settings = {}  # further facts of an mdconf's boot
        world.boot = self.boot
        world.core = self.hosts

    def boot(self, role, host):
        return validate_settings(role, self.facts(role, host))

    def facts(self, role, host):
        facts = {
            "host": host,
            "hall": "a",
            "seeds": [f"{h}:7421" for h in self.told],
            "fleet_key": KEY,
        }
        if role == "mdconf":
            facts |= {"data": "sim", "founding": self.founding, "losses": self.losses}
            facts |= {"members": [], **self.settings}
        return facts

    async def up(self, hosts=None):
        async with trio.open_nursery() as nursery:
            for host in hosts or self.hosts:
                nursery.start_soon(self.world.start, "mdconf", host)

    async def founded(self, within=4 * SECOND):
        await self.up()
        took = await self.world.eventually(lambda: self.voting(self.hosts), within)
        self.founding = False
        return took

    def store(self, host):
        return self.world.daemon("mdconf", host).store

    def running(self):
        return [h for h in self.hosts if f"mdconf@{h}" in self.world.processes]

    def voting(self, hosts):
        """Each of these is ready and knows exactly these as the voters, under their disks."""
        wanted = {self.store(h).disk_id: f"{h}:7421" for h in hosts}
        return all(
            self.store(h).membership is not None
            and self.store(h).membership.voters == wanted
            and self.store(h).membership.next_voters is None
            and not self.world.node("mdconf", h).unready_reasons()
            for h in hosts
        )

    async def settle(self, hosts, within=4 * SECOND):
        return await self.world.eventually(lambda: self.voting(hosts), within, 10 * MILLISECOND)

    def memberships(self):
        return {h: self.store(h).membership for h in self.running()}


async def configure(world, number, host):
    world.core = [host]
    return await world.configure(changed(number))


async def read_back(world, host):
    world.core = [host]
    status, told = await world.operate("GET", "/manifest")
    assert status == 200, told
    return told["version"]
