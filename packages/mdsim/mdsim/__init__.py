"""The daemons' own code on a virtual clock, net and disk, under a seed."""

from mdsim.disk import SimDisk
from mdsim.net import SimNet, Web
from mdsim.world import World, run

__all__ = ["SimDisk", "SimNet", "Web", "World", "run"]
