"""Which faults a soak has, and when: drawn from a seed, at most three at a time."""

from __future__ import annotations

import random
from dataclasses import dataclass

KINDS = ("kill proxy", "kill core", "pause proxy", "pause core", "cut", "lost answers")
MOST_AT_ONCE = 3
SHORTEST_S, LONGEST_S = 0.4, 2.5
CALM_FIRST_S = 1.0


@dataclass(frozen=True)
class Fault:
    """One fault. Seconds from the start of the load; hosts: one, or the two ends of a cut."""

    kind: str
    at_s: float
    for_s: float
    hosts: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.at_s:5.2f} s {self.kind} {' '.join(self.hosts)} for {self.for_s:.2f} s"


def fits(new: Fault, others: list[Fault]) -> bool:
    """Whether it overlaps with few enough, with no fault of a kind at the same place, and with
    none at another core machine: the loss of one is to be borne."""
    over = [
        t for t in others if t.at_s < new.at_s + new.for_s and new.at_s < t.at_s + t.for_s + 0.5
    ]
    if len(over) >= MOST_AT_ONCE:
        return False
    if new.kind == "cut" and any(t.kind == "cut" for t in over):
        return False
    if new.kind.endswith("core") and any(t.kind.endswith("core") for t in over):
        return False
    return not any(set(t.hosts) & set(new.hosts) and t.kind != "lost answers" for t in over)


def draw(seed: int, seconds: float, core: list[str], proxies: list[str], count: int) -> list[Fault]:
    """The faults of a soak, in order of time; about half of them overlap with another."""
    rng = random.Random(f"soak{seed}")
    found: list[Fault] = []
    for _ in range(20 * count):
        if len(found) == count:
            break
        kind = rng.choice(KINDS)
        at_s = rng.uniform(CALM_FIRST_S, seconds - LONGEST_S)
        if kind == "cut":  # between two proxies, which share no quorum
            hosts = tuple(rng.sample(proxies, 2))
        else:
            hosts = (rng.choice(core if kind.endswith("core") else proxies),)
        new = Fault(kind, round(at_s, 2), round(rng.uniform(SHORTEST_S, LONGEST_S), 2), hosts)
        if fits(new, found):
            found.append(new)
    return sorted(found, key=lambda t: t.at_s)
