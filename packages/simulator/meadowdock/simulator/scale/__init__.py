"""How the control plane's cost grows with the fleet, and the page docs/CAPACITY.md that shows it.

A hollow node is the daemons' own Node and Daemon without traffic. Frames and bytes are counted on
the virtual clock and are exact under a seed. Processor time and memory are measured over loopback
sockets, with all proxies in one process and all core nodes in another.

- places, fleet: the layout and configuration of a fleet, and its hollow nodes
- meter: counting of frames and bytes on links
- count, faults, loopback, processes, lists: the measurements; measure runs them all
- fitting: functions of the fleet's size fitted to the measurements
- figures, text, tables, timed_tables, break_table, page: the report
"""

from meadowdock.simulator.scale.count import count_frames
from meadowdock.simulator.scale.faults import run_fault
from meadowdock.simulator.scale.fitting import crossing, fit, fitted_function
from meadowdock.simulator.scale.meter import Meter, MeteredStream
from meadowdock.simulator.scale.page import TABLES, filled_page, scale
from meadowdock.simulator.scale.places import places, services_of

__all__ = [
    "TABLES",
    "Meter",
    "MeteredStream",
    "count_frames",
    "crossing",
    "filled_page",
    "fit",
    "fitted_function",
    "places",
    "run_fault",
    "scale",
    "services_of",
]
