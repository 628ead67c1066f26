"""A soak run of the first start: whatever disturbs it, the deployment must come up and serve.

As on the users' platform, a process may bootstrap only at its first start.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
from dataclasses import dataclass, field

import trio

from meadowdock.local_fleet.fleet import CORE_PORTS
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.soak.fleet import SoakFleet, soak_topology
from meadowdock.soak.restart_soak import sighup_ignored
from meadowdock.soak.soak import CORE_ROLES, Plan, Result, Soak
from meadowdock.soak.start_plan import (
    HOLD_PORT,
    KILL_ALL_CORE,
    LOG_TO_CLOSED_PIPE,
    LOG_TO_FILE,
    LOG_TO_UNREAD_PIPE,
    RELOAD,
    STOP_EARLY,
    StartFault,
    StartPlan,
    draw_start,
)
from meadowdock.soak.traffic import initial_items

PORTS = {"mdconf": CORE_PORTS[2:], "mdreg": CORE_PORTS[:2], "mdproxy": (7400, 7401)}
GRANT_POLL_US = 10 * MILLISECOND
GRANT_TIMEOUT_US = 20 * SECOND
RECOVERY_US = 15 * SECOND  # the first order is acknowledged this long after the last disturbance
SIGNALLED = (0, -signal.SIGTERM)  # without a signal handler yet, the signal ends the process


@dataclass
class StartFleet(SoakFleet):
    """A fleet whose mdconf processes may bootstrap only at their first start.

    Invariants: started holds the names of all processes that were started before; pipes holds the
    reading ends of the logs that nobody reads.
    """

    log_outputs: dict[str, str] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)
    pipes: list[int] = field(default_factory=list)

    def save_boot_file(self, role: str, host: str, lines: list[str]) -> str:
        """Write the lines of a boot file, with the permission to bootstrap, and return its path."""
        name = f"{role}-{host}"
        if role == "mdconf":
            lines = [*lines, f"founding = {'false' if name in self.started else 'true'}"]
        self.started.add(name)
        path: str = super().save_boot_file(role, host, lines)
        return path

    def spawn(self, name: str, argv: list, stdout: object = None) -> subprocess.Popen:
        """Start a process whose log goes to a file, or to a pipe that nobody reads."""
        output = self.log_outputs.get(name, LOG_TO_FILE)
        if output == LOG_TO_FILE:
            return super().spawn(name, argv, stdout)
        reading, writing = os.pipe()
        try:
            handle: subprocess.Popen = self.spawn_to(name, argv, writing, writing)
        finally:
            os.close(writing)
        if output == LOG_TO_CLOSED_PIPE:
            os.close(reading)
        elif output == LOG_TO_UNREAD_PIPE:
            self.pipes.append(reading)
        return handle

    def has_grant(self, host: str) -> bool:
        """Return whether the config store of a host has its permission to bootstrap on disk."""
        return os.path.exists(os.path.join(self.folder, "data", host, "bootstrap"))

    def close_pipes(self) -> None:
        """Close the reading ends of the logs."""
        for reading in self.pipes:
            os.close(reading)
        self.pipes = []


class StartSoak(Soak):
    """A soak run that starts the fleet itself, and disturbs the start.

    Invariants: away holds the names of the processes that were ended on purpose and are not started
    again yet, or whose first start is still to come; without_grant holds the core hosts that were
    ended before their permission to bootstrap was on disk, a minority.
    """

    fleet: StartFleet

    def __init__(self, fleet: StartFleet, seed: int, plan: Plan, start: StartPlan) -> None:
        super().__init__(fleet, seed, plan)
        self.start = start
        self.result.faults = []
        self.away = set(start.delays_s)
        self.without_grant: set[str] = set()

    async def run(self) -> Result:
        """Start the fleet with its disturbances, then serve and check."""
        started_us = monotonic_us()
        async with trio.open_nursery() as nursery:
            for name, delay_s in self.start.delays_s.items():
                nursery.start_soon(self.first_start, name, started_us + int(delay_s * SECOND))
            for fault in self.start.faults:
                nursery.start_soon(self.disturb, fault, started_us)
        self.check(await self.send_first_order(), "the first order was not acknowledged in time")
        result = await super().run()
        result.faults = self.start.faults
        return result

    async def send_first_order(self) -> bool:
        """Send the first configuration until it is acknowledged; return whether it was, in time."""
        deadline = monotonic_us() + RECOVERY_US
        while monotonic_us() < deadline:
            if await self.traffic.send_change(initial_items()):
                return True
        return False

    async def first_start(self, name: str, at_us: int) -> None:
        """Start a process for the first time."""
        await sleep_us(at_us - monotonic_us())
        self.start_process(name)

    def start_process(self, name: str) -> None:
        """Start a process."""
        role, _, host = name.partition("-")
        self.fleet.start_daemon(role, host)
        self.away.discard(name)

    async def disturb(self, fault: StartFault, started_us: int) -> None:
        """Wait for the time of a fault, and inject it."""
        await sleep_us(started_us + int(fault.start_s * SECOND) - monotonic_us())
        if fault.kind == HOLD_PORT:
            await self.hold_port(fault)
        elif fault.kind == KILL_ALL_CORE:
            await self.wait_for_grants()
            async with trio.open_nursery() as nursery:
                for host in self.core:
                    for role in CORE_ROLES:
                        nursery.start_soon(self.end, f"{role}-{host}", fault, signal.SIGKILL)
        elif fault.kind == RELOAD:
            if fault.name not in self.away:
                self.fleet.processes[fault.name].handle.send_signal(signal.SIGHUP)
        else:
            number = signal.SIGTERM if fault.kind == STOP_EARLY else signal.SIGKILL
            await self.end(fault.name, fault, number)

    async def hold_port(self, fault: StartFault) -> None:
        """Listen on a port of a process for a while."""
        role, _, host = fault.name.partition("-")
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                holder.bind((host, PORTS[role][fault.port]))
            except OSError:
                return  # the process was faster
            holder.listen()
            await sleep_us(int(fault.duration_s * SECOND))

    async def wait_for_grants(self) -> None:
        """Wait until a majority of the core has the permission to bootstrap on disk.

        Nothing tells a majority that is killed before from one that has lost its disks.
        """
        deadline = monotonic_us() + GRANT_TIMEOUT_US
        while sum(map(self.fleet.has_grant, self.core)) <= len(self.core) // 2:
            if monotonic_us() > deadline:
                self.check(False, "the permission to bootstrap is not on disk in time")
                return
            await sleep_us(GRANT_POLL_US)

    async def keep_grants_of_majority(self, host: str) -> None:
        """Wait for the permission on the disk of a host, unless only a minority is without."""
        deadline = monotonic_us() + GRANT_TIMEOUT_US
        while not self.fleet.has_grant(host) and monotonic_us() < deadline:
            if len(self.without_grant | {host}) <= (len(self.core) - 1) // 2:
                self.without_grant.add(host)
                return
            await sleep_us(GRANT_POLL_US)

    async def end(self, name: str, fault: StartFault, number: signal.Signals) -> None:
        """End a process that runs, and start it again."""
        if name in self.away:
            return
        self.away.add(name)
        if name.startswith("mdconf-"):
            await self.keep_grants_of_majority(name.partition("-")[2])
        handle = self.fleet.processes[name].handle
        self.check(handle.poll() is None, f"{name} had ended with {handle.poll()}")
        handle.send_signal(number)
        while handle.poll() is None:
            await sleep_us(GRANT_POLL_US)
        if number == signal.SIGTERM:
            self.check(handle.poll() in SIGNALLED, f"{name}: {handle.poll()} after SIGTERM")
        await sleep_us(int(fault.duration_s * SECOND))
        self.start_process(name)

    async def check_results(self, healthy_from_us: int) -> None:
        """Check the invariants of every run, and that no process failed."""
        await super().check_results(healthy_from_us)
        self.result.violations += [
            f"event {event}" for event in self.fleet.log_events(log_events.PROCESS_FAILED)
        ]


def run_start_soak(
    seed: int, plan: Plan, net: str, folder: str, proxies: int = 4, core: int = 3
) -> Result:
    """Run one soak of the start on a free loopback network, with its files in its own folder."""
    topology = soak_topology(net, proxies, core)
    start = draw_start(seed, list(topology["core"]), list(topology["application"]))
    fleet = StartFleet(topology, folder, log_outputs=start.log_outputs)
    with sighup_ignored():
        try:
            fleet.prepare_folder()
            return trio.run(StartSoak(fleet, seed, plan, start).run)
        finally:
            fleet.stop_all()
            fleet.close_pipes()
