"""A soak run of endpoints that answer without end or at length, beside restarts, reloads and changes.

All processes have low limits of memory and descriptors, and callers keep using open connections.
"""

from __future__ import annotations

import random
import re
from dataclasses import dataclass, field
from pathlib import Path

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin.endless import ENDLESS
from meadowdock.soak.fleet import SoakFleet, soak_topology
from meadowdock.soak.planned_work import PlannedWork
from meadowdock.soak.restart_soak import RestartSoak, sighup_ignored
from meadowdock.soak.soak import Plan, Result, Soak

MEMORY_MB = 80  # memory_mb of each process; an idle one uses about a third of it
DESCRIPTORS = 400
LONG_BYTES = 2_000_000  # of a sound answer
# A stand-in's sound answer is not of this kind: its body is not the one that is expected.
KINDS = tuple(kind for kind in ENDLESS if kind != "longer-than-said")
FAULTY_HOSTS_MAX = 2  # at once, so that the service goes on at the others
FAULTY_SHARE = 0.7  # of the answers of a faulty endpoint
MIN_DURATION_S, MAX_DURATION_S = 0.4, 2.5
WATCH_INTERVAL_US = 50 * MILLISECOND
REDRAW_US = 50 * MILLISECOND


@dataclass(frozen=True)
class AnswerFault:
    """A time in which the endpoint of a host answers without end, or at length.

    :ivar kind: of the bytes, "" for sound answers of LONG_BYTES.
    :ivar start_s: since the start of the load.
    """

    kind: str
    start_s: float
    duration_s: float
    host: str

    def __str__(self) -> str:
        what = f"endless {self.kind}" if self.kind else "long answers"
        return f"{self.start_s:5.2f} s {what} {self.host} for {self.duration_s:.2f} s"

    def overlaps(self, other: AnswerFault) -> bool:
        """Return whether both hold at some moment."""
        return (
            self.start_s < other.start_s + other.duration_s
            and other.start_s < self.start_s + self.duration_s
        )


def draw_answer_faults(
    seed: int, seconds: float, hosts: list[str], count: int
) -> list[AnswerFault]:
    """Return the answer faults of a run, ordered by their start; they may overlap at two hosts."""
    rng = random.Random(f"answers{seed}")
    drawn: list[AnswerFault] = []
    for _ in range(20 * count):
        if len(drawn) == count:
            break
        new = AnswerFault(
            rng.choice((*KINDS, "", "", "")),
            round(rng.uniform(0, max(0.0, seconds - MAX_DURATION_S)), 2),
            round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
            rng.choice(hosts),
        )
        beside = {fault.host for fault in drawn if fault.overlaps(new)}
        if new.host not in beside and len(beside) < FAULTY_HOSTS_MAX:
            drawn.append(new)
    return sorted(drawn, key=lambda fault: fault.start_s)


@dataclass
class LimitedFleet(SoakFleet):
    """A fleet whose processes have low limits.

    :ivar peaks_kb: the most private memory of each process, without pages of files, by its name.
    """

    peaks_kb: dict[str, int] = field(default_factory=dict)

    def save_boot_file(self, role: str, host: str, lines: list[str]) -> str:
        """Write the lines of a boot file, with the limits, and return its path."""
        limits = [f"memory_mb = {MEMORY_MB}", f"descriptors = {DESCRIPTORS}"]
        path: str = super().save_boot_file(role, host, [*lines, *limits])
        return path

    def sample_memory(self) -> None:
        """Note what each process uses now."""
        for name, process in self.processes.items():
            try:
                status = Path(f"/proc/{process.handle.pid}/status").read_text(encoding="ascii")
            except OSError:
                continue
            used = re.search(r"^RssAnon:\s*(\d+)", status, re.MULTILINE)
            if used:  # a process that has ended has none
                self.peaks_kb[name] = max(self.peaks_kb.get(name, 0), int(used[1]))


class AnswerSoak(RestartSoak):
    """A soak run with planned work, and endpoints that answer without end or at length."""

    fleet: LimitedFleet

    def __init__(self, fleet: LimitedFleet, seed: int, plan: Plan) -> None:
        super().__init__(fleet, seed, plan)
        self.planned_work = self.result.faults
        self.answer_faults = draw_answer_faults(seed, plan.seconds, self.proxies, plan.faults)
        self.result.faults = [*self.planned_work, *self.answer_faults]

    def start_traffic(self, nursery: trio.Nursery) -> None:
        """Start the load, the changes, the persistent callers and the watch on memory."""
        super().start_traffic(nursery)
        nursery.start_soon(self.watch_memory)

    async def watch_memory(self) -> None:
        """Sample the memory of all processes until cancelled."""
        while True:
            self.fleet.sample_memory()
            await sleep_us(WATCH_INTERVAL_US)

    async def inject(self, work: PlannedWork | AnswerFault, started_us: int) -> None:
        """Wait for the start of planned work or of a fault, and carry it out."""
        if isinstance(work, PlannedWork):
            await super().inject(work, started_us)
            return
        await sleep_us(started_us + int(work.start_s * SECOND) - monotonic_us())
        endpoint = self.traffic.endpoints[work.host]
        ends_at = monotonic_us() + int(work.duration_s * SECOND)
        if not work.kind:
            endpoint.size = LONG_BYTES
            await sleep_us(ends_at - monotonic_us())
            endpoint.size = 0
            return
        endpoint.endless_kind = work.kind
        rng = self.traffic.rng
        while monotonic_us() < ends_at:
            endpoint.faults["*"] = [
                "endless" if rng.random() < FAULTY_SHARE else None for _ in range(3)
            ]
            await sleep_us(REDRAW_US)
        endpoint.faults.pop("*", None)

    async def check_results(self, healthy_from_us: int) -> None:
        """Check the invariants of every run, and the memory of all processes.

        Requests at a faulty endpoint run and have no answer, so these are not counted as lost.
        """
        await Soak.check_results(self, healthy_from_us)
        for name, peak_kb in self.fleet.peaks_kb.items():
            self.check(peak_kb <= MEMORY_MB * 1000, f"{name} used {peak_kb} kB of {MEMORY_MB} MB")
        self.result.violations += [
            f"event {event}" for event in self.fleet.log_events(log_events.PROCESS_FAILED)
        ]


def run_answer_soak(
    seed: int, plan: Plan, net: str, folder: str, proxies: int = 4, core: int = 3
) -> Result:
    """Run one soak of faulty answers on a free loopback network, with its files in its own folder."""
    fleet = LimitedFleet(soak_topology(net, proxies, core), folder)
    with sighup_ignored():
        try:
            fleet.start_daemons()
            return trio.run(AnswerSoak(fleet, seed, plan).run)
        finally:
            fleet.stop_all()
