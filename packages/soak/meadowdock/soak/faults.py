"""Draw the schedule of faults of a soak run from its seed.

At most MAX_CONCURRENT_FAULTS faults are active at the same time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

KINDS = ("kill proxy", "kill core", "pause proxy", "pause core", "cut", "lost answers")
MAX_CONCURRENT_FAULTS = 3
MIN_DURATION_S, MAX_DURATION_S = 0.4, 2.5
WARMUP_S = 1.0


@dataclass(frozen=True)
class Fault:
    """One scheduled fault.

    start_s counts from the start of the load. hosts holds one host, or the two ends of a cut.
    """

    kind: str
    start_s: float
    duration_s: float
    hosts: tuple[str, ...]

    def __str__(self) -> str:
        return (
            f"{self.start_s:5.2f} s {self.kind} {' '.join(self.hosts)} for {self.duration_s:.2f} s"
        )


def is_allowed(new: Fault, others: list[Fault]) -> bool:
    """Return whether a fault may be scheduled beside the others.

    It may overlap with at most MAX_CONCURRENT_FAULTS - 1 of them, with no second cut, and with
    no other fault at the same host (lost responses excepted). Faults of core machines never
    overlap, because the core tolerates the loss of one machine only.
    """
    overlapping = [
        fault
        for fault in others
        if fault.start_s < new.start_s + new.duration_s
        and new.start_s < fault.start_s + fault.duration_s + 0.5
    ]
    if len(overlapping) >= MAX_CONCURRENT_FAULTS:
        return False
    if new.kind == "cut" and any(fault.kind == "cut" for fault in overlapping):
        return False
    if new.kind.endswith("core") and any(fault.kind.endswith("core") for fault in overlapping):
        return False
    return not any(
        set(fault.hosts) & set(new.hosts) and fault.kind != "lost answers" for fault in overlapping
    )


def draw_faults(
    seed: int, seconds: float, core: list[str], proxies: list[str], count: int
) -> list[Fault]:
    """Return the faults of a soak run, ordered by their start.

    About half of them overlap with another. There are fewer than `count` if not all of them fit.
    """
    rng = random.Random(f"soak{seed}")
    drawn: list[Fault] = []
    for _ in range(20 * count):
        if len(drawn) == count:
            break
        kind = rng.choice(KINDS)
        start_s = rng.uniform(WARMUP_S, seconds - MAX_DURATION_S)
        if kind == "cut":  # between two proxies, so that no quorum of the core is affected
            hosts = tuple(rng.sample(proxies, 2))
        else:
            hosts = (rng.choice(core if kind.endswith("core") else proxies),)
        new = Fault(
            kind, round(start_s, 2), round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2), hosts
        )
        if is_allowed(new, drawn):
            drawn.append(new)
    return sorted(drawn, key=lambda fault: fault.start_s)
