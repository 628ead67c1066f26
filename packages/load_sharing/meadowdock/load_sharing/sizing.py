"""Calculator for omega, section V-B, equations (5) and (10).

>>> round(best_omega(0.5, 1.05), 4)
0.9756
>>> best_omega(0.0, 1.05)
1.0
"""

from __future__ import annotations


def relocation_overhead(e: float, f: float) -> float:
    """b: what a relocated call costs in all, over what it costs where it is handled.

    >>> relocation_overhead(1000, 50)
    1.05
    """
    if e <= 0 or f < 0:
        raise ValueError("e must be above 0 and f not below 0")
    return 1 + f / e


def best_omega(x: float, b: float) -> float:
    """The threshold at which, with asymmetry x, the busy node is just full when its neighbour
    stops accepting. A little too low costs little, a little too high a lot: round down."""
    if not 0 <= x <= 1 or b < 1:
        raise ValueError("x must be in 0..1 and b at least 1")
    return 1 / (1 - x + b * x)
