"""The daemons' own code on a virtual clock, net and disk, under a seed."""

from meadowdock.simulator.disk import SimDisk
from meadowdock.simulator.net import SimNet, Web
from meadowdock.simulator.world import World, run

__all__ = ["SimDisk", "SimNet", "Web", "World", "run"]
