"""The load sharing policy: pure, no I/O. After Koegel, Wahl, Scharf, Necker (2009), sections
IV-C and V-B; docs/design.md tells what is kept and what is changed.

>>> state(0.2, 0.8, 0.9), state(0.85, 0.8, 0.9), state(0.9, 0.8, 0.9)
('accepting', 'passive', 'offloading')
>>> round(best_omega(x=0.5, b=relocation_overhead(e=1000, f=50)), 3)
0.976
"""

from meadowdock.load_sharing.gauge import Gauge, rho
from meadowdock.load_sharing.policy import (
    ACCEPTING,
    OFFLOADING,
    PASSIVE,
    Choice,
    Home,
    LoadList,
    Node,
    Wheel,
    choose,
    state,
)
from meadowdock.load_sharing.sizing import best_omega, relocation_overhead

__all__ = [
    "ACCEPTING",
    "OFFLOADING",
    "PASSIVE",
    "Choice",
    "Gauge",
    "Home",
    "LoadList",
    "Node",
    "Wheel",
    "best_omega",
    "choose",
    "relocation_overhead",
    "rho",
    "state",
]
