"""Draw the planned work of a soak run from its seed: restarts and signals in series that overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass

RESTART_PROXY, RESTART_CORE, RELOAD = "restart proxy", "restart core", "reload"
MIN_GAP_S, MAX_GAP_S = 0.2, 1.0  # between the signals of a series; a stop takes longer
MAX_SERIES_SHARE = 0.5  # of the proxies that a series restarts
MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 3.0  # from the last signal of a series to the next series
SECOND_SIGTERM_SHARE = 0.3
WARMUP_S = 0.5


@dataclass(frozen=True)
class PlannedWork:
    """One planned restart or signal.

    start_s counts from the start of the load. again_after_s is the time after which SIGTERM is sent
    once more, None if it isn't.
    """

    kind: str
    start_s: float
    host: str
    again_after_s: float | None = None

    def __str__(self) -> str:
        again = "" if self.again_after_s is None else f", again after {self.again_after_s:.2f} s"
        return f"{self.start_s:5.2f} s {self.kind} {self.host}{again}"


def draw_planned_work(
    seed: int, seconds: float, core: list[str], proxies: list[str]
) -> list[PlannedWork]:
    """Return the planned work of a run, ordered by its start.

    Series of proxy restarts overlap with themselves, as the next signal comes before the last stop
    has ended, and with restarts of core machines and reloads, which go on all the time.
    """
    rng = random.Random(f"restarts{seed}")
    work = [
        *draw_restart_series(rng, seconds, proxies),
        *draw_singles(rng, RESTART_CORE, seconds, core, 7.0),
        *draw_singles(rng, RELOAD, seconds, [*core, *proxies], 1.0),
    ]
    return sorted(work, key=lambda each: each.start_s)


def draw_restart_series(
    rng: random.Random, seconds: float, proxies: list[str]
) -> list[PlannedWork]:
    """Return the restarts of proxies, one series after another."""
    work, start_s = [], WARMUP_S + rng.uniform(0, MAX_PAUSE_S)
    while start_s < seconds:
        count = rng.randint(1, max(1, int(MAX_SERIES_SHARE * len(proxies))))
        gap_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
        for host in rng.sample(proxies, count):
            again_s = rng.uniform(0.05, 3.0) if rng.random() < SECOND_SIGTERM_SHARE else None
            work.append(PlannedWork(RESTART_PROXY, round(start_s, 2), host, again_s))
            start_s += gap_s
        start_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return [each for each in work if each.start_s < seconds]


def draw_singles(
    rng: random.Random, kind: str, seconds: float, hosts: list[str], mean_gap_s: float
) -> list[PlannedWork]:
    """Return work of one kind at random hosts and intervals."""
    work, start_s = [], WARMUP_S + rng.expovariate(1 / mean_gap_s)
    while start_s < seconds:
        work.append(PlannedWork(kind, round(start_s, 2), rng.choice(hosts)))
        start_s += rng.expovariate(1 / mean_gap_s)
    return work
