"""Draw the first start of a deployment from a seed: any order, and processes that are disturbed."""

from __future__ import annotations

import random
from dataclasses import dataclass

KILL_CORE, KILL_ALL_CORE, KILL_PROXY = "kill core", "kill all core", "kill proxy"
STOP_EARLY, RELOAD, HOLD_PORT = "stop early", "reload", "hold port"
KINDS = (KILL_CORE, KILL_ALL_CORE, KILL_PROXY, STOP_EARLY, RELOAD, HOLD_PORT)
LOG_TO_FILE, LOG_TO_CLOSED_PIPE, LOG_TO_UNREAD_PIPE = "file", "closed pipe", "unread pipe"
LOG_OUTPUTS = (LOG_TO_FILE, LOG_TO_CLOSED_PIPE, LOG_TO_UNREAD_PIPE)
LOG_OUTPUT_WEIGHTS = (6, 1, 1)
MAX_START_DELAY_S = 2.0
MAX_FAULT_S = 3.0  # from the start of the first process
MIN_AWAY_S, MAX_AWAY_S = 0.1, 1.0  # how long a process stays away, or a port is held
MIN_FAULTS, MAX_FAULTS = 3, 8


@dataclass(frozen=True)
class StartFault:
    """One disturbance of the start.

    start_s counts from the start of the first process. name is that of a process ("mdconf-127.0.0.1")
    for all kinds but KILL_ALL_CORE. port counts the ports of that process.
    """

    kind: str
    start_s: float
    duration_s: float
    name: str
    port: int = 0

    def __str__(self) -> str:
        return f"{self.start_s:5.2f} s {self.kind} {self.name}, {self.duration_s:.2f} s"


@dataclass(frozen=True)
class StartPlan:
    """When each process starts for the first time, where its log goes, and what disturbs it."""

    delays_s: dict[str, float]
    log_outputs: dict[str, str]
    faults: list[StartFault]


def draw_start(seed: int, core: list[str], proxies: list[str]) -> StartPlan:
    """Return the plan of a seed, with its faults ordered by their start."""
    rng = random.Random(f"starts{seed}")
    mdconf = [f"mdconf-{host}" for host in core]
    mdproxy = [f"mdproxy-{host}" for host in proxies]
    names = [*mdconf, *(f"mdreg-{host}" for host in core), *mdproxy]
    spread_s = rng.choice([0.1, MAX_START_DELAY_S])
    delays_s = {name: round(rng.uniform(0, spread_s), 2) for name in names}
    log_outputs = {name: rng.choices(LOG_OUTPUTS, LOG_OUTPUT_WEIGHTS)[0] for name in names}
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(KINDS)
        pool = {KILL_CORE: mdconf, KILL_ALL_CORE: mdconf, KILL_PROXY: mdproxy}.get(kind, names)
        start_s = 0.0 if kind == HOLD_PORT else rng.uniform(0.02, MAX_FAULT_S)
        duration_s = rng.uniform(MIN_AWAY_S, MAX_AWAY_S) * (4 if kind == HOLD_PORT else 1)
        name = rng.choice(pool)
        faults.append(
            StartFault(kind, round(start_s, 2), round(duration_s, 2), name, rng.randrange(2))
        )
    return StartPlan(delays_s, log_outputs, sorted(faults, key=lambda fault: fault.start_s))
