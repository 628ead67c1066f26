"""The load sharing policy, as pure functions without I/O.

The policy follows Koegel, Wahl, Scharf and Necker (2009), sections IV-C and V-B. docs/design.md
lists where it follows the paper and where it differs.

>>> load_state(0.2, 0.8, 0.9), load_state(0.85, 0.8, 0.9), load_state(0.9, 0.8, 0.9)
('accepting', 'passive', 'offloading')
>>> round(best_omega(asymmetry=0.5, overhead=relocation_overhead(1000, 50)), 3)
0.976
"""

from meadowdock.load_sharing.gauge import Gauge, load_level
from meadowdock.load_sharing.policy import (
    ACCEPTING,
    FORWARD,
    LOCAL,
    OFFLOADING,
    PASSIVE,
    REJECT,
    Choice,
    LoadList,
    LocalEndpointState,
    NodeLoad,
    RoundRobin,
    choose,
    load_state,
)
from meadowdock.load_sharing.sizing import best_omega, relocation_overhead

__all__ = [
    "ACCEPTING",
    "FORWARD",
    "LOCAL",
    "OFFLOADING",
    "PASSIVE",
    "REJECT",
    "Choice",
    "Gauge",
    "LoadList",
    "LocalEndpointState",
    "NodeLoad",
    "RoundRobin",
    "best_omega",
    "choose",
    "load_level",
    "load_state",
    "relocation_overhead",
]
