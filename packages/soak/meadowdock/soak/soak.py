"""One soak run: start a fleet, load it, inject faults, let it recover, and check the invariants."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.soak.faults import Fault, draw_faults
from meadowdock.soak.fleet import SoakFleet, soak_topology
from meadowdock.soak.traffic import DEADLINE_MS, Traffic, initial_items

RECOVERY_S = 3.0
HEALTHY_PERIOD_S = 2.0  # after the recovery: nearly all calls must be served
READY_TIMEOUT_US = 20 * SECOND
READY_TIMEOUT_PER_HOST_US = SECOND
PAUSED_ROLES = {"pause proxy": "mdproxy", "pause core": "mdconf"}
CORE_ROLES = ("mdconf", "mdreg")


@dataclass(frozen=True)
class Plan:
    """The parameters of a soak run.

    They are the length of the phase with faults, the number of faults, the load, and the share of
    calls that must be served once the fleet has recovered.
    """

    seconds: float = 10.0
    faults: int = 8
    calls_per_s: float = 120.0  # three quarters of the capacity of the endpoints
    min_served_share: float = 0.95


@dataclass
class Result:
    """Counts and violations of one soak run.

    :ivar faults: what was drawn for the run, in the types of its soak.
    """

    seed: int
    faults: list
    calls: int = 0
    served: int = 0
    refused: int = 0
    changes: int = 0
    changes_acknowledged: int = 0
    healthy_calls: int = 0
    healthy_served: int = 0
    pauses: int = 0  # of processes that got no processor
    lost_in_pauses: int = 0  # requests that ran and were given up during one of them
    violations: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {len(self.faults)} faults, {self.calls} calls, "
            f"{self.served} served, {self.refused} refused, {self.changes_acknowledged} of "
            f"{self.changes} orders acknowledged, calm {self.healthy_served}/{self.healthy_calls}, "
            f"{self.pauses} pauses, {self.lost_in_pauses} lost in them, "
            f"{len(self.violations)} broken"
        )


class Soak:
    """A soak run on a fleet that has been started.

    Invariant: partitions holds the pairs of hosts that are partitioned from each other now.
    """

    def __init__(self, fleet: SoakFleet, seed: int, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.core, self.proxies = fleet.core, list(fleet.application)
        self.traffic = Traffic(self.core, self.proxies, seed)
        faults = draw_faults(seed, plan.seconds, self.core, self.proxies, plan.faults)
        self.result = Result(seed, faults)
        self.partitions: list[tuple[str, ...]] = []
        # A fault that ends late must not overlap with the next one at the same host.
        self.host_locks = {host: trio.Lock() for host in [*self.core, *self.proxies]}
        self.core_lock = trio.Lock()

    async def inject(self, fault: Fault, started_us: int) -> None:
        """Wait for the start of a fault, inject it, and end it."""
        await sleep_us(started_us + int(fault.start_s * SECOND) - monotonic_us())
        if fault.kind == "cut":
            self.partitions.append(fault.hosts)
            self.fleet.set_partitions(self.partitions)
            await sleep_us(int(fault.duration_s * SECOND))
            self.partitions.remove(fault.hosts)
            self.fleet.set_partitions(self.partitions)
        elif fault.kind == "lost answers":
            self.traffic.hosts_losing_responses.add(fault.hosts[0])
            await sleep_us(int(fault.duration_s * SECOND))
            self.traffic.hosts_losing_responses.discard(fault.hosts[0])
        else:
            async with self.host_locks[fault.hosts[0]]:
                if fault.kind in PAUSED_ROLES:
                    await self.pause(f"{PAUSED_ROLES[fault.kind]}-{fault.hosts[0]}", fault)
                else:
                    await self.kill(fault)

    async def pause(self, name: str, fault: Fault) -> None:
        """Stop a process with SIGSTOP and resume it with SIGCONT when the fault ends."""
        handle = self.fleet.processes[name].handle
        handle.send_signal(signal.SIGSTOP)
        try:
            await sleep_us(int(fault.duration_s * SECOND))
        finally:
            handle.send_signal(signal.SIGCONT)

    async def kill(self, fault: Fault) -> None:
        """Kill all daemons of a machine and start them when the fault ends."""
        (host,) = fault.hosts
        roles = CORE_ROLES if fault.kind.endswith("core") else ("mdproxy",)
        for role in roles:
            self.fleet.stop(f"{role}-{host}", signal.SIGKILL)
        await sleep_us(int(fault.duration_s * SECOND))
        for role in roles:
            self.fleet.start_daemon(role, host)

    async def run(self) -> Result:
        """Run the soak on the started fleet and return its result."""
        async with trio.open_nursery() as nursery:
            for host in self.proxies:
                await self.traffic.start_endpoint(nursery, host)
            self.check(
                await self.traffic.send_change(initial_items()),
                "the initial configuration was not acknowledged",
            )
            await self.wait_until_served(nursery)
            self.start_traffic(nursery)
            started_us = monotonic_us()
            async with trio.open_nursery() as faults:
                for fault in self.result.faults:
                    faults.start_soon(self.inject, fault, started_us)
            await sleep_us(
                started_us + int((self.plan.seconds + RECOVERY_S) * SECOND) - monotonic_us()
            )
            healthy_from_us = monotonic_us()
            await sleep_us(int(HEALTHY_PERIOD_S * SECOND))
            self.traffic.stopping.set()
            await sleep_us(2 * DEADLINE_MS * MILLISECOND)
            await self.check_results(healthy_from_us)
            nursery.cancel_scope.cancel()
        return self.result

    def start_traffic(self, nursery: trio.Nursery) -> None:
        """Start the load and the changes; both go on until the traffic stops."""
        nursery.start_soon(self.traffic.send_calls, nursery, self.plan.calls_per_s)
        nursery.start_soon(self.traffic.change_route_repeatedly)

    async def wait_until_served(self, nursery: trio.Nursery) -> None:
        """Wait until a call at each host has been served."""
        deadline = monotonic_us() + READY_TIMEOUT_US + READY_TIMEOUT_PER_HOST_US * len(self.proxies)
        for host in self.proxies:
            while True:
                call = await self.traffic.call(nursery, host, "safe", 0)
                if call is not None and call.status == 200:
                    break
                if monotonic_us() > deadline:
                    self.check(False, f"no call was served at {host} in time")
                    return
                await sleep_us(100 * MILLISECOND)

    def check(self, holds: object, violation: str) -> None:
        """Record a violation unless the condition holds."""
        if not holds:
            self.result.violations.append(violation)

    async def check_results(self, healthy_from_us: int) -> None:
        """Count the calls and check the invariants of the run."""
        result, traffic = self.result, self.traffic
        result.violations += traffic.request_audit.broken(
            lambda call: not call.target.startswith(b"/once/")
        )
        result.violations += [
            f"event {event}"
            for event in self.fleet.log_events(
                log_events.TASK_FAILED, log_events.INTERNAL_ERROR, log_events.INVARIANT_VIOLATED
            )
        ]
        result.violations += self.fleet.tracebacks()
        for name, process in self.fleet.processes.items():
            self.check(process.handle.poll() is None, f"{name} exited unexpectedly")
        calls = traffic.request_audit.asked
        for call in calls:
            self.check(call.done.is_set(), f"call {call.id} got no response")
        healthy = [call for call in calls if call.at >= healthy_from_us]
        result.calls, result.served = len(calls), sum(call.status == 200 for call in calls)
        result.refused = sum(call.status == 503 for call in calls)
        result.healthy_calls = len(healthy)
        result.healthy_served = sum(call.status == 200 for call in healthy)
        result.changes, result.changes_acknowledged = (
            traffic.changes_sent,
            traffic.changes_acknowledged,
        )
        required = self.plan.min_served_share * len(healthy)
        self.check(
            result.healthy_served >= required,
            f"only {result.healthy_served} of {len(healthy)} calls were served after the recovery",
        )
        version = await traffic.read_route_version()
        self.check(
            traffic.acknowledged_version <= version <= traffic.sent_version,
            f"version {version} was read, but {traffic.acknowledged_version} was acknowledged and "
            f"{traffic.sent_version} sent",
        )


def run_soak(seed: int, plan: Plan, net: str, folder: str) -> Result:
    """Run one soak on a free loopback network, with its files in a folder of its own."""
    fleet = SoakFleet(soak_topology(net), folder)
    try:
        fleet.start_daemons()
        return trio.run(Soak(fleet, seed, plan).run)
    finally:
        fleet.stop_all()
