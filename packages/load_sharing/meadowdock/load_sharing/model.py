"""Simulates the model of Koegel, Wahl, Scharf and Necker (2009), section V, to choose omega.

The model covers fleets with thousands of calls in flight over simulated hours, more than the daemons
or the simulator can run. It places calls with the same `choose` as the daemons.
`python -m meadowdock.load_sharing.model` prints the tables of docs/measurements.md.
"""

from __future__ import annotations

import heapq
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from meadowdock.load_sharing.policy import (
    LoadList,
    LocalEndpointState,
    NodeLoad,
    RoundRobin,
    choose,
)

# How calls are distributed. "paper" places a call once and blocks it if the chosen node is full.
# "mesh" is what the daemons do, without queues: a full node forwards, and a full peer rejects.
# "even" sends calls to all nodes in turn. "none" leaves every call where it arrived.
Sharing = Literal["paper", "mesh", "even", "none"]

NEVER_STALE_US = 1 << 62
MAX_PEERS_TRIED = 2  # the first choice and one retry


@dataclass(frozen=True)
class Setting:
    """The parameters of one run. The comments give the paper's letters; times are in microseconds."""

    nodes: int = 2
    load: float = 0.9  # A: offered load relative to capacity, mean over all nodes
    asymmetry: float = 0.5  # x: half of the nodes get (1 + x) A, the others (1 - x) A
    capacity: int = 1_000_000  # c: resources of a node
    handling_cost: int = 1_000  # e: resources of a call at the node that handles it
    forwarding_cost: int = 50  # f: resources of a relocated call at the node where it arrived
    holding_us: int = 180_000_000  # h: mean time for which a call holds its resources
    interval_us: int = 1_000_000  # u: time between two load lists
    omega: float = 0.9
    phi: float = 0.9
    sharing: Sharing = "paper"
    calls: int = 100_000
    warm_up_share: float = 0.2  # this share of the calls, at the start, is left out of the results
    seed: int = 1


class RunResult(NamedTuple):
    """The results of one run."""

    blocked: float  # share of the calls
    relocated: float  # share of the calls
    state_changes: float  # how often a node started or stopped offloading, per 1000 intervals


class Release(NamedTuple):
    """The end of a call, at which it releases its resources; ordered by time."""

    ends_at: int
    account: int
    amount: int


class Accounts:
    """The resources in use and their integral over time.

    Each node has two accounts: `node` for the resources of its endpoint, and `nodes + node` for
    what forwarding costs its proxy. The latter takes nothing from the endpoint, but counts in rho.
    """

    def __init__(self, nodes: int, capacity: int) -> None:
        self.nodes, self.capacity = nodes, capacity
        self.used = [0] * 2 * nodes
        self.area = [0.0] * 2 * nodes
        self.updated_at = [0] * 2 * nodes
        self.releases: list[Release] = []  # a heap

    def change_usage(self, account: int, amount: int, now: int) -> None:
        """Add an amount, which may be negative, to the resources in use from now on."""
        self.area[account] += self.used[account] * (now - self.updated_at[account])
        self.updated_at[account] = now
        self.used[account] += amount

    def fits(self, account: int, amount: int) -> bool:
        """Return whether an account has an amount left; forwarding is never rejected."""
        return account >= self.nodes or self.used[account] + amount <= self.capacity

    def reserve(self, account: int, amount: int, now: int, until: int) -> None:
        """Reserve an amount from now until a later time."""
        self.change_usage(account, amount, now)
        heapq.heappush(self.releases, Release(until, account, amount))

    def release_ended(self, now: int) -> None:
        """Release the resources of all calls that have ended by now."""
        while self.releases and self.releases[0].ends_at <= now:
            release = heapq.heappop(self.releases)
            self.change_usage(release.account, -release.amount, release.ends_at)

    def end_interval(self, now: int, interval_us: int) -> list[float]:
        """End an interval and return each node's load level (rho) over it."""
        for account in range(2 * self.nodes):
            self.change_usage(account, 0, now)
        levels = []
        for node in range(self.nodes):
            area = self.area[node] + self.area[self.nodes + node]
            levels.append(min(1.0, area / interval_us / self.capacity))
        self.area = [0.0] * 2 * self.nodes
        return levels


class Model:
    """Runs the model once.

    Invariant: all random numbers come from rng, in the order of the calls.
    """

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.rng = random.Random(setting.seed)
        self.names = [f"n{number:02d}" for number in range(setting.nodes)]
        self.index_of = {name: index for index, name in enumerate(self.names)}
        self.accounts = Accounts(setting.nodes, setting.capacity)
        self.rho = [0.0] * setting.nodes
        self.round_robins = [RoundRobin() for _ in self.names]
        self.last_even_node = 0
        self.load_list = self.new_load_list(1, 0)
        self.next_list_at = setting.interval_us
        self.offloading = [False] * setting.nodes
        self.state_changes = self.lists_sent = 0
        self.blocked = self.relocated = self.measured_calls = 0

    def run(self) -> RunResult:
        """Simulate all calls and return the results."""
        setting = self.setting
        rates = self.arrival_rates()
        total_rate = sum(rates)
        now = 0
        for number in range(setting.calls):
            now += int(self.rng.expovariate(total_rate))
            self.send_load_lists(now)
            self.accounts.release_ended(now)
            origin = self.rng.choices(range(setting.nodes), rates)[0]
            is_measured = number >= setting.warm_up_share * setting.calls
            self.handle_call(origin, now, is_measured)
        return RunResult(
            self.blocked / max(1, self.measured_calls),
            self.relocated / max(1, self.measured_calls),
            1000 * self.state_changes / max(1, self.lists_sent) / setting.nodes,
        )

    def arrival_rates(self) -> list[float]:
        """Return the rate at which calls arrive at each node, per microsecond."""
        setting = self.setting
        offered = [
            setting.load * (1 + setting.asymmetry * (1 if node < setting.nodes / 2 else -1))
            for node in range(setting.nodes)
        ]
        return [
            load * setting.capacity / setting.handling_cost / setting.holding_us for load in offered
        ]

    def send_load_lists(self, now: int) -> None:
        """Send the load list of each interval that has ended by now."""
        while self.next_list_at <= now:
            self.accounts.release_ended(self.next_list_at)
            self.rho = self.accounts.end_interval(self.next_list_at, self.setting.interval_us)
            self.count_state_changes()
            self.lists_sent += 1
            self.load_list = self.new_load_list(self.load_list.seq + 1, self.next_list_at)
            self.next_list_at += self.setting.interval_us

    def count_state_changes(self) -> None:
        """Count the nodes that started or stopped offloading."""
        offloading = [rho >= self.setting.omega for rho in self.rho]
        self.state_changes += sum(
            now != before for now, before in zip(offloading, self.offloading, strict=True)
        )
        self.offloading = offloading

    def new_load_list(self, seq: int, now: int) -> LoadList:
        """Return a load list of the current load levels."""
        nodes = (
            NodeLoad(name, rho, "", False) for name, rho in zip(self.names, self.rho, strict=True)
        )
        return LoadList(1, seq, now, tuple(nodes))

    def handle_call(self, origin: int, now: int, is_measured: bool) -> None:
        """Place a call that arrived at a node and reserve its resources, or block it.

        :param is_measured: whether the call counts in the results; those of the warm-up don't
        """
        target = self.choose_target(origin, now)
        until = now + int(self.rng.expovariate(1 / self.setting.holding_us))
        self.measured_calls += is_measured
        costs = self.reservations(origin, target)
        if not all(self.accounts.fits(account, amount) for account, amount in costs):
            self.blocked += is_measured
            return
        for account, amount in costs:
            self.accounts.reserve(account, amount, now, until)
        self.relocated += is_measured and target != origin

    def reservations(self, origin: int, target: int) -> list[tuple[int, int]]:
        """Return the resources that a call needs as (account, amount) pairs."""
        setting = self.setting
        if target == origin:
            return [(origin, setting.handling_cost)]
        forwarding = origin + setting.nodes if setting.sharing == "mesh" else origin
        return [(forwarding, setting.forwarding_cost), (target, setting.handling_cost)]

    def choose_target(self, origin: int, now: int) -> int:
        """Return the node that a new call is sent to."""
        if self.setting.sharing == "none":
            return origin
        if self.setting.sharing == "even":
            self.last_even_node = (self.last_even_node + 1) % self.setting.nodes
            return self.last_even_node
        return self.place(origin, now)

    def place(self, origin: int, now: int) -> int:
        """Return the node at which the policy places a call; see `Sharing`."""
        setting = self.setting
        tried: set[str] = set()
        while len(tried) < MAX_PEERS_TRIED:
            has_capacity = setting.sharing == "paper" or self.accounts.fits(
                origin, setting.handling_cost
            )
            chosen = choose(
                LocalEndpointState(self.rho[origin], has_capacity),
                self.load_list,
                self.round_robins[origin],
                now,
                self.names[origin],
                setting.phi,
                setting.omega,
                NEVER_STALE_US,
                tried,
            )
            if chosen.target is None:
                return origin
            target = self.index_of[chosen.target.address]
            if setting.sharing == "paper" or self.accounts.fits(target, setting.handling_cost):
                return target
            tried.add(chosen.target.address)
        return origin


def simulate(setting: Setting) -> RunResult:
    """Run the model with one setting."""
    return Model(setting).run()


def simulate_all(settings: list[Setting]) -> list[tuple[Setting, RunResult]]:
    """Run the model with each of the settings, in parallel processes."""
    with ProcessPoolExecutor() as pool:
        return list(zip(settings, pool.map(simulate, settings), strict=True))


PAPER_LOADS = (0.85, 0.9, 0.95)
PAPER_OMEGAS = (0.80, 0.85, 0.90, 0.93, 0.95, 0.975, 0.99, 1.0)
PAPER_SEEDS = (1, 2)
PAPER_CALLS = 150_000

# Capacity and handling cost are such that a node holds as many calls as its endpoint's capacity.
DEPLOYMENTS: dict[str, dict[str, Any]] = {
    "Himal's member desk: 5 nodes of 16 calls, 100 ms": {
        "nodes": 5,
        "capacity": 16_000,
        "holding_us": 100_000,
        "interval_us": 500_000,
        "calls": 100_000,
    },
    "Sanad's signing: 6 nodes of 12 calls, 150 ms": {
        "nodes": 6,
        "capacity": 12_000,
        "holding_us": 150_000,
        "interval_us": 500_000,
        "calls": 100_000,
    },
}
DEPLOYMENT_LOADS = (0.6, 0.8, 0.9)
DEPLOYMENT_VARIANTS: tuple[dict[str, Any], ...] = (
    {"sharing": "none"},
    {"sharing": "even"},
    *({"omega": omega, "phi": omega} for omega in (0.8, 0.9, 0.95)),
    *({"sharing": "mesh", "omega": omega, "phi": omega} for omega in (0.8, 0.9, 0.95)),
    {"sharing": "mesh", "omega": 0.9, "phi": 0.8},
    {"sharing": "mesh", "omega": 0.95, "phi": 0.8},
    {"sharing": "mesh", "omega": 0.95, "phi": 0.9},
    {"sharing": "mesh", "omega": 0.95, "phi": 0.9, "interval_us": 250_000},
    {"sharing": "mesh", "omega": 0.95, "phi": 0.9, "interval_us": 1_000_000},
)


def main() -> None:
    """Print the tables for the paper's parameters and for the deployments."""
    print("### Two nodes, the paper's parameters: share of calls blocked\n")
    print_paper_table()
    for name, base in DEPLOYMENTS.items():
        print(f"\n### {name}\n")
        print_deployment_table(base)


def print_paper_table() -> None:
    """Print the share of calls blocked for each load and omega, averaged over the seeds."""
    results = simulate_all(
        [
            Setting(load=load, omega=omega, phi=omega, calls=PAPER_CALLS, seed=seed)
            for load in PAPER_LOADS
            for omega in PAPER_OMEGAS
            for seed in PAPER_SEEDS
        ]
    )
    print("| load | " + " | ".join(f"omega {omega}" for omega in PAPER_OMEGAS) + " |")
    print("|" + "---|" * (len(PAPER_OMEGAS) + 1))
    for load in PAPER_LOADS:
        cells = []
        for omega in PAPER_OMEGAS:
            blocked = [
                result.blocked
                for setting, result in results
                if setting.load == load and setting.omega == omega
            ]
            cells.append(f"{sum(blocked) / len(blocked):.4f}")
        print(f"| {load} | " + " | ".join(cells) + " |")


def print_deployment_table(base: dict[str, Any]) -> None:
    """Print the results for one deployment by load and kind of sharing."""
    print("| load | sharing | omega | phi | interval s | blocked | relocated | flips |")
    print("|---|---|---|---|---|---|---|---|")
    settings = [
        Setting(**{**base, "load": load, **variant})
        for load in DEPLOYMENT_LOADS
        for variant in DEPLOYMENT_VARIANTS
    ]
    for setting, result in simulate_all(settings):
        by_policy = setting.sharing in ("paper", "mesh")
        thresholds = f"{setting.omega} | {setting.phi}" if by_policy else "- | -"
        print(
            f"| {setting.load} | {setting.sharing} | {thresholds} | {setting.interval_us / 1e6} "
            f"| {result.blocked:.4f} | {result.relocated:.3f} | {result.state_changes:.0f} |"
        )


if __name__ == "__main__":
    main()
