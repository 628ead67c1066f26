"""How the cost of control grows with the fleet, and the page docs/CAPACITY.md that shows it.

A hollow node is the daemons' own Node and Daemon without traffic. Frames and bytes are counted on
the virtual clock (exact under a seed); processor time and memory are taken over loopback sockets,
all proxies in one process and all core nodes in another.

- places, fleet: the places and configuration of a fleet, and its hollow nodes
- meter: counting of frames and bytes on links
- count, faults, loopback, processes, lists: the measurements; measure runs them all
- fitting: slopes, and where they lead
- figures, text, tables, timed_tables, break_table, page: the report
"""

from meadowdock.simulator.scale.count import counted
from meadowdock.simulator.scale.faults import trouble
from meadowdock.simulator.scale.fitting import crossing, fit, told_by
from meadowdock.simulator.scale.meter import Meter, Metered
from meadowdock.simulator.scale.page import TABLES, filled, scale
from meadowdock.simulator.scale.places import places, services_of

__all__ = [
    "TABLES",
    "Meter",
    "Metered",
    "counted",
    "crossing",
    "filled",
    "fit",
    "places",
    "scale",
    "services_of",
    "told_by",
    "trouble",
]
