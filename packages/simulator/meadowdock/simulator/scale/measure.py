"""All measurements of the control plane's cost."""

from __future__ import annotations

import multiprocessing

from meadowdock.simulator.scale.count import count_frames
from meadowdock.simulator.scale.faults import FAULTS, run_fault
from meadowdock.simulator.scale.lists import list_costs
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.processes import measure_processes

SIZES = (12, 24, 34, 60, 120)
REAL_SIZES = (1, 8, 16, 24, 34, 60)
FAULT_SIZE = 36


def measure(sizes=SIZES, real=REAL_SIZES, fault_size: int = FAULT_SIZE, seed: int = 1) -> dict:
    """Take all measurements; return them as docs/capacity.json holds them.

    The runs in real processes come first, one at a time, so that nothing disturbs them.
    """
    lists, runs = list_costs(), [measure_processes(n) for n in real]
    context = multiprocessing.get_context("spawn")
    with context.Pool(2, maxtasksperchild=1) as pool:
        counts = [pool.apply_async(count_frames, (n, seed)) for n in sorted(sizes, reverse=True)]
        faults = [pool.apply_async(run_fault, (kind, fault_size, seed)) for kind in FAULTS]
        counts = sorted((count.get() for count in counts), key=lambda count: count["nodes"])
        faults = [fault.get() for fault in faults]
    return {
        "seed": seed,
        "target": TARGET,
        "counted": counts,
        "timed": runs,
        "lists": lists,
        "faults": faults,
    }
