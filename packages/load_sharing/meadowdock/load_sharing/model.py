"""The model of the paper's section V, from which omega is chosen: calls, blocking, load lists.

It stands for whole fleets with thousands of calls in flight over simulated hours, which neither the
daemons nor the simulator reach. The policy in it is the daemons' own `choose`.
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

# How calls are shared. The paper's way places a call once, and blocks it if the node is full. In the
# mesh, as the daemons do it, a full node forwards and a full peer rejects; nobody waits. With "even"
# every call goes to the next node in turn; with "none" every call stays where it arrived.
Sharing = Literal["paper", "mesh", "even", "none"]

NEVER_STALE_US = 1 << 62
MAX_PEERS_TRIED = 2  # the first peer and one retry


@dataclass(frozen=True)
class Setting:
    """One run of the model; the letters are the paper's. Times are in microseconds."""

    nodes: int = 2
    load: float = 0.9  # A: offered over capacity, mean of all nodes
    asymmetry: float = 0.5  # x: half of the nodes get (1 + x) A, the others (1 - x) A
    capacity: int = 1_000_000  # c: resources of a node
    e: int = 1_000  # resources of a call where it is handled
    f: int = 50  # resources of a relocated call at the node where it arrived
    holding_us: int = 180_000_000  # h: mean time that a call holds its resources
    interval_us: int = 1_000_000  # u: between two load lists
    omega: float = 0.9
    phi: float = 0.9
    sharing: Sharing = "paper"
    calls: int = 100_000
    warm: float = 0.2  # share of the calls, from the beginning, that isn't counted
    seed: int = 1


class Figures(NamedTuple):
    """What came of one run."""

    blocked: float  # share of the calls
    relocated: float  # share of the calls
    state_changes: float  # between offloading and not, a node per 1000 intervals


class Release(NamedTuple):
    """When a call gives its resources back; in order of time."""

    at: int
    account: int
    amount: int


class Accounts:
    """The resources in use, and their integral over time.

    Each node has two accounts: `node` for its own resources, and `nodes + node` for what forwarding
    costs a proxy of the mesh. The latter is not taken from its endpoint, but counts in rho.
    """

    def __init__(self, nodes: int, capacity: int) -> None:
        self.nodes, self.capacity = nodes, capacity
        self.used = [0] * 2 * nodes
        self.area = [0.0] * 2 * nodes
        self.updated_at = [0] * 2 * nodes
        self.releases: list[Release] = []  # a heap

    def use(self, account: int, amount: int, at: int) -> None:
        """So much more is in use from a moment on."""
        self.area[account] += self.used[account] * (at - self.updated_at[account])
        self.updated_at[account] = at
        self.used[account] += amount

    def fits(self, account: int, amount: int) -> bool:
        """Whether a node has so much left; forwarding is never refused."""
        return account >= self.nodes or self.used[account] + amount <= self.capacity

    def reserve(self, account: int, amount: int, at: int, until: int) -> None:
        """Use so much from a moment until another."""
        self.use(account, amount, at)
        heapq.heappush(self.releases, Release(until, account, amount))

    def release_until(self, at: int) -> None:
        """End the calls whose time has come."""
        while self.releases and self.releases[0].at <= at:
            release = heapq.heappop(self.releases)
            self.use(release.account, -release.amount, release.at)

    def take_rho(self, at: int, interval_us: int) -> list[float]:
        """The load level of each node over the interval that ends now."""
        for account in range(2 * self.nodes):
            self.use(account, 0, at)
        levels = []
        for node in range(self.nodes):
            area = self.area[node] + self.area[self.nodes + node]
            levels.append(min(1.0, area / interval_us / self.capacity))
        self.area = [0.0] * 2 * self.nodes
        return levels


class Model:
    """One run. Invariant: everything random comes from rng, in the order of the calls."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.rng = random.Random(setting.seed)
        self.names = [f"n{number:02d}" for number in range(setting.nodes)]
        self.index_of = {name: index for index, name in enumerate(self.names)}
        self.accounts = Accounts(setting.nodes, setting.capacity)
        self.rho = [0.0] * setting.nodes
        self.round_robins = [RoundRobin() for _ in self.names]
        self.even_turn = 0
        self.load_list = self.new_load_list(1, 0)
        self.next_list_at = setting.interval_us
        self.offloading = [False] * setting.nodes
        self.state_changes = self.lists = 0
        self.blocked = self.relocated = self.counted = 0

    def run(self) -> Figures:
        """Play all calls."""
        setting = self.setting
        rates = self.arrival_rates()
        total_rate = sum(rates)
        at = 0
        for number in range(setting.calls):
            at += int(self.rng.expovariate(total_rate))
            self.send_load_lists(at)
            self.accounts.release_until(at)
            origin = self.rng.choices(range(setting.nodes), rates)[0]
            counts = number >= setting.warm * setting.calls
            self.play_call(origin, at, counts)
        return Figures(
            self.blocked / max(1, self.counted),
            self.relocated / max(1, self.counted),
            1000 * self.state_changes / max(1, self.lists) / setting.nodes,
        )

    def arrival_rates(self) -> list[float]:
        """Calls per microsecond that arrive at each node."""
        s = self.setting
        offered = [
            s.load * (1 + s.asymmetry * (1 if node < s.nodes / 2 else -1))
            for node in range(s.nodes)
        ]
        return [load * s.capacity / s.e / s.holding_us for load in offered]

    # ------------------------------------------------------------ load lists

    def send_load_lists(self, at: int) -> None:
        """End the intervals that lie before a moment."""
        while self.next_list_at <= at:
            self.accounts.release_until(self.next_list_at)
            self.rho = self.accounts.take_rho(self.next_list_at, self.setting.interval_us)
            self.count_state_changes()
            self.lists += 1
            self.load_list = self.new_load_list(self.load_list.seq + 1, self.next_list_at)
            self.next_list_at += self.setting.interval_us

    def count_state_changes(self) -> None:
        """Count the nodes that began or ceased to offload."""
        offloading = [rho >= self.setting.omega for rho in self.rho]
        self.state_changes += sum(
            now != before for now, before in zip(offloading, self.offloading, strict=True)
        )
        self.offloading = offloading

    def new_load_list(self, seq: int, at: int) -> LoadList:
        """The list of the current load levels."""
        nodes = (
            NodeLoad(name, rho, "", False) for name, rho in zip(self.names, self.rho, strict=True)
        )
        return LoadList(1, seq, at, tuple(nodes))

    # ------------------------------------------------------------ calls

    def play_call(self, origin: int, at: int, counts: bool) -> None:
        """Place one call that arrived at a node, and reserve its resources if there are enough."""
        target = self.target_of(origin, at)
        until = at + int(self.rng.expovariate(1 / self.setting.holding_us))
        self.counted += counts
        costs = self.costs(origin, target)
        if not all(self.accounts.fits(account, amount) for account, amount in costs):
            self.blocked += counts
            return
        for account, amount in costs:
            self.accounts.reserve(account, amount, at, until)
        self.relocated += counts and target != origin

    def costs(self, origin: int, target: int) -> list[tuple[int, int]]:
        """[(account, amount)] of a call."""
        s = self.setting
        if target == origin:
            return [(origin, s.e)]
        forwarding = origin + s.nodes if s.sharing == "mesh" else origin
        return [(forwarding, s.f), (target, s.e)]

    def target_of(self, origin: int, at: int) -> int:
        """The node that a new call goes to."""
        if self.setting.sharing == "none":
            return origin
        if self.setting.sharing == "even":
            self.even_turn = (self.even_turn + 1) % self.setting.nodes
            return self.even_turn
        return self.place(origin, at)

    def place(self, origin: int, at: int) -> int:
        """The node that the policy places a call at; see Sharing."""
        s = self.setting
        tried: set[str] = set()
        while len(tried) < MAX_PEERS_TRIED:
            has_capacity = s.sharing == "paper" or self.accounts.fits(origin, s.e)
            chosen = choose(
                LocalEndpointState(self.rho[origin], has_capacity),
                self.load_list,
                self.round_robins[origin],
                at,
                self.names[origin],
                s.phi,
                s.omega,
                NEVER_STALE_US,
                tried,
            )
            if chosen.target is None:
                return origin
            target = self.index_of[chosen.target.address]
            if s.sharing == "paper" or self.accounts.fits(target, s.e):
                return target
            tried.add(chosen.target.address)
        return origin


def simulate(setting: Setting) -> Figures:
    """Run the model."""
    return Model(setting).run()


def simulate_all(settings: list[Setting]) -> list[tuple[Setting, Figures]]:
    """Run the model with each of the settings, over several processors."""
    with ProcessPoolExecutor() as pool:
        return list(zip(settings, pool.map(simulate, settings), strict=True))


# ------------------------------------------------------------ the tables

PAPER_LOADS = (0.85, 0.9, 0.95)
PAPER_OMEGAS = (0.80, 0.85, 0.90, 0.93, 0.95, 0.975, 0.99, 1.0)
PAPER_SEEDS = (1, 2)
PAPER_CALLS = 150_000

# capacity and effort such that a node holds as many calls as its endpoint's capacity
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
    """Print the tables of the paper's setting and of the deployments."""
    print("### Two nodes, the paper's parameters: share of calls blocked\n")
    print_paper_table()
    for name, base in DEPLOYMENTS.items():
        print(f"\n### {name}\n")
        print_deployment_table(base)


def print_paper_table() -> None:
    """The share of calls blocked by load and omega, mean over the seeds."""
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
                figures.blocked
                for setting, figures in results
                if setting.load == load and setting.omega == omega
            ]
            cells.append(f"{sum(blocked) / len(blocked):.4f}")
        print(f"| {load} | " + " | ".join(cells) + " |")


def print_deployment_table(base: dict[str, Any]) -> None:
    """The figures of one deployment by load and way of sharing."""
    print("| load | sharing | omega | phi | interval s | blocked | relocated | flips |")
    print("|---|---|---|---|---|---|---|---|")
    settings = [
        Setting(**{**base, "load": load, **variant})
        for load in DEPLOYMENT_LOADS
        for variant in DEPLOYMENT_VARIANTS
    ]
    for setting, figures in simulate_all(settings):
        by_policy = setting.sharing in ("paper", "mesh")
        thresholds = f"{setting.omega} | {setting.phi}" if by_policy else "- | -"
        print(
            f"| {setting.load} | {setting.sharing} | {thresholds} | {setting.interval_us / 1e6} "
            f"| {figures.blocked:.4f} | {figures.relocated:.3f} | {figures.state_changes:.0f} |"
        )


if __name__ == "__main__":
    main()
