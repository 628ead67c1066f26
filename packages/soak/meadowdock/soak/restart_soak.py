"""A soak run of planned work alone: restarts, reloads and changes that overlap must lose nothing."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin import SentRequest
from meadowdock.soak.fleet import SoakFleet, soak_topology
from meadowdock.soak.pauses import affected, read_pauses, record_pauses
from meadowdock.soak.persistent_callers import PersistentCallers
from meadowdock.soak.planned_work import RELOAD, RESTART_CORE, PlannedWork, draw_planned_work
from meadowdock.soak.soak import CORE_ROLES, Plan, Result, Soak
from meadowdock.soak.traffic import DEADLINE_MS

CHANGE_INTERVAL_US = 60 * MILLISECOND
EXIT_TIMEOUT_US = 30 * SECOND  # a process that has not ended by then hangs
EXIT_POLL_US = 20 * MILLISECOND
PERSISTENT_HOSTS_MAX = 12  # hosts with persistent callers, of a large fleet


class RestartSoak(Soak):
    """A soak run with planned work in the place of faults.

    Invariant: restarting holds the processes that were told to stop and are not started again yet.
    """

    def __init__(self, fleet: SoakFleet, seed: int, plan: Plan) -> None:
        super().__init__(fleet, seed, plan)
        self.result.faults = draw_planned_work(seed, plan.seconds, self.core, self.proxies)
        self.traffic.change_interval_us = CHANGE_INTERVAL_US
        self.persistent_callers = PersistentCallers(self.traffic)
        self.restarting: set[str] = set()

    def start_traffic(self, nursery: trio.Nursery) -> None:
        """Start the load, the changes and the persistent callers."""
        super().start_traffic(nursery)
        nursery.start_soon(record_pauses, "driver", self.fleet.pauses_file)
        for host in self.proxies[:PERSISTENT_HOSTS_MAX]:
            nursery.start_soon(self.persistent_callers.run, host, nursery)

    async def inject(self, work: PlannedWork, started_us: int) -> None:
        """Wait for the start of a planned restart or signal, and carry it out."""
        await sleep_us(started_us + int(work.start_s * SECOND) - monotonic_us())
        if work.kind == RELOAD:
            self.reload(work.host)
        elif work.kind == RESTART_CORE:
            async with self.core_lock:  # a core of three tolerates the loss of one machine
                for role in CORE_ROLES:
                    await self.restart(f"{role}-{work.host}", work)
        else:
            await self.restart(f"mdproxy-{work.host}", work)

    def reload(self, host: str) -> None:
        """Send SIGHUP to each process of a host that is running, also while it stops."""
        for name, process in self.fleet.processes.items():
            if name.endswith(f"-{host}") and process.handle.poll() is None:
                process.handle.send_signal(signal.SIGHUP)

    async def restart(self, name: str, work: PlannedWork) -> None:
        """Stop a process with SIGTERM, and start it again once it has ended."""
        handle = self.fleet.processes[name].handle
        if name in self.restarting:  # an earlier restart goes on: this only repeats its signal
            if handle.poll() is None:
                handle.send_signal(signal.SIGTERM)
            return
        self.restarting.add(name)
        handle.send_signal(signal.SIGTERM)
        if work.again_after_s is not None:
            await sleep_us(int(work.again_after_s * SECOND))
            if handle.poll() is None:
                handle.send_signal(signal.SIGTERM)
        deadline = monotonic_us() + EXIT_TIMEOUT_US
        while handle.poll() is None and monotonic_us() < deadline:
            await sleep_us(EXIT_POLL_US)
        # a process without signal handlers yet has taken nothing
        expected = (0,) if self.fleet.has_started(name) else (0, -signal.SIGTERM)
        self.check(handle.poll() in expected, f"{name} ended with {handle.poll()} after SIGTERM")
        if handle.poll() is None:
            handle.kill()
            handle.wait()
        role, _, host = name.partition("-")
        self.fleet.start_daemon(role, host)
        self.restarting.discard(name)

    async def check_results(self, healthy_from_us: int) -> None:
        """Check the invariants of every run, and that no request was lost."""
        await super().check_results(healthy_from_us)
        self.check_lost_requests()
        self.result.violations += [
            f"event {event}" for event in self.fleet.log_events(log_events.REQUEST_UNANSWERED)
        ]

    def check_lost_requests(self) -> None:
        """Record the requests that ran and were given up; during a pause they are only counted."""
        pauses = read_pauses(self.fleet.pauses_file)
        self.result.pauses = len(pauses)
        wall_offset_us = int(time.time() * SECOND) - monotonic_us()
        for call in self.lost_requests():
            started_us = call.at + wall_offset_us
            if affected(pauses, started_us, started_us + call.took):
                self.result.lost_in_pauses += 1
                continue
            self.result.violations.append(
                f"{call.id} to {call.target} ran, and ended with {call.status or call.ended} after "
                f"{call.took // MILLISECOND} ms"
            )

    def lost_requests(self) -> list[SentRequest]:
        """Return the requests that ran and were given up before their deadline."""
        executed = {execution.id for execution in self.traffic.request_audit.runs()}
        return [
            call
            for call in self.traffic.request_audit.asked
            if call.id in executed and call.status != 200 and call.took < DEADLINE_MS * MILLISECOND
        ]


@contextmanager
def sighup_ignored() -> Iterator[None]:
    """Let the processes that are started meanwhile ignore SIGHUP until they watch for it."""
    former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, former)


def run_restart_soak(
    seed: int, plan: Plan, net: str, folder: str, proxies: int = 4, core: int = 3
) -> Result:
    """Run one soak of planned work on a free loopback network, with its files in its own folder."""
    fleet = SoakFleet(soak_topology(net, proxies, core), folder)
    with sighup_ignored():
        try:
            fleet.start_daemons()
            return trio.run(RestartSoak(fleet, seed, plan).run)
        finally:
            fleet.stop_all()
