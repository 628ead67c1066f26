"""One soak: start a fleet, load it, bring the faults about, heal, and judge."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.soak.faults import Fault, draw
from meadowdock.soak.fleet import SoakFleet, topology
from meadowdock.soak.traffic import DEADLINE_MS, Traffic, first_items

RECOVERY_S = 3.0
CALM_S = 2.0
READY_WITHIN = 20 * SECOND
PAUSES = {"pause proxy": "mdproxy", "pause core": "mdconf"}
CORE_ROLES = ("mdconf", "mdreg")


@dataclass(frozen=True)
class Plan:
    """What a soak is: seconds of faults, how many, the load, and what must be served afterwards."""

    seconds: float = 10.0
    faults: int = 8
    calls_per_s: float = 120.0  # three quarters of what the endpoints can do
    served_when_calm: float = 0.95


@dataclass
class Result:
    """What one soak found."""

    seed: int
    faults: list[Fault]
    calls: int = 0
    served: int = 0
    refused: int = 0
    orders: int = 0
    orders_acknowledged: int = 0
    calm_calls: int = 0
    calm_served: int = 0
    broken: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {len(self.faults)} faults, {self.calls} calls, "
            f"{self.served} served, {self.refused} refused, {self.orders_acknowledged} of "
            f"{self.orders} orders acknowledged, calm {self.calm_served}/{self.calm_calls}, "
            f"{len(self.broken)} broken"
        )


class Soak:
    """Invariant: cuts holds the pairs that are cut off from each other now."""

    def __init__(self, fleet: SoakFleet, seed: int, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.core, self.proxies = fleet.core, list(fleet.application)
        self.traffic = Traffic(self.core, self.proxies, seed)
        faults = draw(seed, plan.seconds, self.core, self.proxies, plan.faults)
        self.result = Result(seed, faults)
        self.cuts: list[tuple[str, ...]] = []
        # a fault that ends late must not meet the next one at its host
        self.at_host = {host: trio.Lock() for host in [*self.core, *self.proxies]}

    # ------------------------------------------------------------ faults

    async def bring_about(self, fault: Fault, begun: int) -> None:
        """Wait for a fault's moment, cause it, and end it."""
        await sleep_us(begun + int(fault.at_s * SECOND) - monotonic_us())
        if fault.kind == "cut":
            self.cuts.append(fault.hosts)
            self.fleet.cut(self.cuts)
            await sleep_us(int(fault.for_s * SECOND))
            self.cuts.remove(fault.hosts)
            self.fleet.cut(self.cuts)
        elif fault.kind == "lost answers":
            self.traffic.losing.add(fault.hosts[0])
            await sleep_us(int(fault.for_s * SECOND))
            self.traffic.losing.discard(fault.hosts[0])
        else:
            async with self.at_host[fault.hosts[0]]:
                if fault.kind in PAUSES:
                    await self.pause(f"{PAUSES[fault.kind]}-{fault.hosts[0]}", fault)
                else:
                    await self.kill(fault)

    async def pause(self, name: str, fault: Fault) -> None:
        """SIGSTOP, and SIGCONT when it is over."""
        handle = self.fleet.processes[name].handle
        handle.send_signal(signal.SIGSTOP)
        try:
            await sleep_us(int(fault.for_s * SECOND))
        finally:
            handle.send_signal(signal.SIGCONT)

    async def kill(self, fault: Fault) -> None:
        """SIGKILL of all daemons of a machine, and their start when it is over."""
        (host,) = fault.hosts
        roles = CORE_ROLES if fault.kind.endswith("core") else ("mdproxy",)
        for role in roles:
            self.fleet.stop(f"{role}-{host}", signal.SIGKILL)
        await sleep_us(int(fault.for_s * SECOND))
        for role in roles:
            self.fleet.start_daemon(role, host)

    # ------------------------------------------------------------ course

    async def run(self) -> Result:
        """The whole soak, on a fleet that is up."""
        async with trio.open_nursery() as nursery:
            for host in self.proxies:
                await self.traffic.start_endpoint(nursery, host)
            self.found(await self.traffic.order(first_items()), "the first order was not taken")
            await self.served_everywhere(nursery)
            nursery.start_soon(self.traffic.ask_all, nursery, self.plan.calls_per_s)
            nursery.start_soon(self.traffic.order_again_and_again)
            begun = monotonic_us()
            async with trio.open_nursery() as faults:
                for fault in self.result.faults:
                    faults.start_soon(self.bring_about, fault, begun)
            await sleep_us(begun + int((self.plan.seconds + RECOVERY_S) * SECOND) - monotonic_us())
            calm_from = monotonic_us()
            await sleep_us(int(CALM_S * SECOND))
            self.traffic.over.set()
            await sleep_us(2 * DEADLINE_MS * MILLISECOND)
            await self.judge(calm_from)
            nursery.cancel_scope.cancel()
        return self.result

    async def served_everywhere(self, nursery: trio.Nursery) -> None:
        """Until a call at each host is served."""
        until = monotonic_us() + READY_WITHIN
        for host in self.proxies:
            while True:
                asked = await self.traffic.call(nursery, host, "safe", 0)
                if asked is not None and asked.status == 200:
                    break
                if monotonic_us() > until:
                    self.found(False, f"no call was served at {host} within {READY_WITHIN} us")
                    return
                await sleep_us(100 * MILLISECOND)

    def found(self, good: object, what: str) -> None:
        """Note what is broken, unless it is good."""
        if not good:
            self.result.broken.append(what)

    async def judge(self, calm_from: int) -> None:
        """Hold what was seen against what must hold."""
        result, traffic = self.result, self.traffic
        result.broken += traffic.request_audit.broken(lambda a: not a.target.startswith(b"/once/"))
        result.broken += [
            f"event {event}"
            for event in self.fleet.events(
                log_events.TASK_FAILED, log_events.INTERNAL_ERROR, log_events.INVARIANT_VIOLATED
            )
        ]
        result.broken += self.fleet.tracebacks()
        for name, process in self.fleet.processes.items():
            self.found(process.handle.poll() is None, f"{name} ended by itself")
        asked = traffic.request_audit.asked
        for call in asked:
            self.found(call.done.is_set(), f"{call.id} got no answer")
        calm = [call for call in asked if call.at >= calm_from]
        result.calls, result.served = len(asked), sum(call.status == 200 for call in asked)
        result.refused = sum(call.status == 503 for call in asked)
        result.calm_calls = len(calm)
        result.calm_served = sum(call.status == 200 for call in calm)
        result.orders, result.orders_acknowledged = traffic.orders, traffic.orders_acknowledged
        enough = self.plan.served_when_calm * len(calm)
        self.found(result.calm_served >= enough, "too little served when calm")
        version = await traffic.read_back()
        self.found(
            traffic.acknowledged <= version <= traffic.version,
            f"version {version} is read back, {traffic.acknowledged} was acknowledged",
        )


def soak(seed: int, plan: Plan, net: str, folder: str) -> Result:
    """Run one soak on a free loopback net, with its files in a folder of its own."""
    fleet = SoakFleet(topology(net), folder)
    try:
        fleet.up()
        return trio.run(Soak(fleet, seed, plan).run)
    finally:
        fleet.down()
