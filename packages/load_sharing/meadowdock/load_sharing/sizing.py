"""Calculates omega after the paper's section V-B, equations (5) and (10).

>>> round(best_omega(0.5, 1.05), 4)
0.9756
>>> best_omega(0.0, 1.05)
1.0
"""

from __future__ import annotations


def relocation_overhead(handling_cost: float, forwarding_cost: float) -> float:
    """Return the total cost of a relocated call relative to the cost of a local one.

    This is the paper's b = 1 + f / e.

    :param handling_cost: the paper's e, the resources of a call at the node that handles it
    :param forwarding_cost: the paper's f, the resources of a relocated call at the node that forwards it
    :raises ValueError: a cost is out of range

    >>> relocation_overhead(1000, 50)
    1.05
    """
    if handling_cost <= 0 or forwarding_cost < 0:
        raise ValueError(
            "handling_cost must be above 0 and forwarding_cost at least 0, "
            f"got {handling_cost} and {forwarding_cost}"
        )
    return 1 + forwarding_cost / handling_cost


def best_omega(asymmetry: float, overhead: float) -> float:
    """Return the omega at which the busy node is just full when its peer stops accepting.

    An omega that is slightly too low costs little, one that is slightly too high costs a lot, so
    round the result down.

    :param asymmetry: the paper's x, how unevenly the load is distributed, in 0..1
    :param overhead: the paper's b, see `relocation_overhead`
    :raises ValueError: a parameter is out of range
    """
    if not 0 <= asymmetry <= 1 or overhead < 1:
        raise ValueError(
            f"asymmetry must be in 0..1 and overhead at least 1, got {asymmetry} and {overhead}"
        )
    return 1 / (1 - asymmetry + overhead * asymmetry)
