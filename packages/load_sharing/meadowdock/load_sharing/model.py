"""The paper's model of section V, to choose omega by: calls that hold resources, blocking, lists.

Not the daemons: thousands of calls in flight over simulated hours, which only this model reaches.
The policy it runs is the daemons' own `choose`. `python -m meadowdock.load_sharing.model` prints the tables.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from meadowdock.load_sharing.policy import (
    LoadList,
    LocalEndpointState,
    NodeLoad,
    RoundRobin,
    choose,
)


@dataclass(frozen=True)
class Setting:
    """One run of the model; single letters are the paper's."""

    nodes: int = 2
    load: float = 0.9  # A: offered over capacity, mean of all nodes
    asymmetry: float = 0.5  # x: half of the nodes get (1 + x) A, the others (1 - x) A
    capacity: int = 1_000_000  # c
    e: int = 1_000
    f: int = 50
    holding_us: int = 180_000_000  # h
    interval_us: int = 1_000_000  # u
    omega: float = 0.9
    phi: float = 0.9
    sharing: str = "paper"  # or "mesh", "none", or "even": every call to the next node in turn
    calls: int = 100_000
    warm: float = 0.2  # share of the calls that isn't counted
    seed: int = 1


def blocking(setting: Setting) -> tuple[float, float, float]:
    """(share of calls blocked, share relocated, changes of state a node per 1000 intervals)."""
    rng = random.Random(setting.seed)
    s, names = setting, [f"n{i:02d}" for i in range(setting.nodes)]
    offered = [s.load * (1 + s.asymmetry * (1 if i < s.nodes / 2 else -1)) for i in range(s.nodes)]
    rates = [a * s.capacity / s.e / s.holding_us for a in offered]
    # a node's own resources, and behind them what forwarding costs a proxy of the mesh: that is
    # not taken from its endpoint, but counts in rho
    used = [0] * 2 * s.nodes
    area, since = [0.0] * 2 * s.nodes, [0] * 2 * s.nodes
    rho = [0.0] * s.nodes
    wheels = [RoundRobin() for _ in names]
    turn = 0
    ends = []  # (time, node, resources)
    told = LoadList(1, 1, 0, tuple(NodeLoad(n, 0.0, "", False) for n in names))
    next_list = s.interval_us
    states = ["home"] * s.nodes
    flips = lists = 0
    at = blocked = relocated = counted = 0
    total = sum(rates)

    def use(node: int, amount: int, when: int) -> None:
        area[node] += used[node] * (when - since[node])
        since[node] = when
        used[node] += amount

    def fits(node: int, amount: int) -> bool:
        return node >= s.nodes or used[node] + amount <= s.capacity

    def place(home: int) -> int:
        """The node for a new call. "paper": chosen once, blocked if it is full there. "mesh": the
        daemons' walk, where a full home spills and a full neighbour sheds; nobody waits."""
        tried = set()
        while True:
            room = s.sharing == "paper" or fits(home, s.e)
            chosen = choose(
                LocalEndpointState(rho[home], room),
                told,
                wheels[home],
                at,
                names[home],
                s.phi,
                s.omega,
                1 << 62,
                frozenset(tried),
            )
            if chosen.target is None:
                return home
            target = names.index(chosen.target.address)
            if s.sharing == "paper" or fits(target, s.e):
                return target
            tried.add(chosen.target.address)
            if len(tried) == 2:  # the first neighbour and one second try
                return home

    for number in range(s.calls):
        at += int(rng.expovariate(total))
        while next_list <= at:
            while ends and ends[0][0] <= next_list:
                when, node, amount = heapq.heappop(ends)
                use(node, -amount, when)
            for node in range(2 * s.nodes):
                use(node, 0, next_list)
            for node in range(s.nodes):
                taken = area[node] + area[s.nodes + node]
                rho[node] = min(1.0, taken / s.interval_us / s.capacity)
                area[node] = area[s.nodes + node] = 0.0
                now_state = "away" if rho[node] >= s.omega else "home"
                flips += now_state != states[node]
                states[node] = now_state
            lists += 1
            told = LoadList(
                1,
                told.seq + 1,
                next_list,
                tuple(NodeLoad(n, r, "", False) for n, r in zip(names, rho, strict=True)),
            )
            next_list += s.interval_us
        while ends and ends[0][0] <= at:
            when, node, amount = heapq.heappop(ends)
            use(node, -amount, when)
        home = rng.choices(range(s.nodes), rates)[0]
        target = home
        if s.sharing == "even":
            turn = (turn + 1) % s.nodes
            target = turn
        elif s.sharing != "none":
            target = place(home)
        end = at + int(rng.expovariate(1 / s.holding_us))
        at_home = home + s.nodes * (s.sharing == "mesh")
        parts = [(home, s.e)] if target == home else [(at_home, s.f), (target, s.e)]
        counts = number >= s.warm * s.calls
        counted += counts
        if all(fits(node, amount) for node, amount in parts):
            for node, amount in parts:
                use(node, amount, at)
                heapq.heappush(ends, (end, node, amount))
            relocated += counts and target != home
        else:
            blocked += counts
    return (
        blocked / max(1, counted),
        relocated / max(1, counted),
        1000 * flips / max(1, lists) / s.nodes,
    )


def curve(settings: list[Setting]) -> list[tuple[Setting, tuple[float, float, float]]]:
    """[(setting, figures)] over several processors."""
    from concurrent.futures import ProcessPoolExecutor

    with ProcessPoolExecutor() as pool:
        return list(zip(settings, pool.map(blocking, settings), strict=True))


def main() -> None:
    """Print the tables of the paper's setting and of the deployments."""
    omegas = [0.80, 0.85, 0.90, 0.93, 0.95, 0.975, 0.99, 1.0]
    paper = [
        Setting(load=load, omega=w, phi=w, calls=150_000, seed=seed)
        for load in (0.85, 0.9, 0.95)
        for w in omegas
        for seed in (1, 2)
    ]
    print("### Two nodes, the paper's parameters: share of calls blocked\n")
    show(curve(paper), "omega", omegas, "load")
    for name, base in DEPLOYMENTS.items():
        print(f"\n### {name}\n")
        print("| load | sharing | omega | phi | interval s | blocked | relocated | flips |")
        print("|---|---|---|---|---|---|---|---|")
        tries = [
            Setting(**{**base, "load": load, **kind})
            for load in (0.6, 0.8, 0.9)
            for kind in (
                {"sharing": "none"},
                {"sharing": "even"},
                *({"omega": w, "phi": w} for w in (0.8, 0.9, 0.95)),
                *({"sharing": "mesh", "omega": w, "phi": w} for w in (0.8, 0.9, 0.95)),
                {"sharing": "mesh", "omega": 0.9, "phi": 0.8},
                {"sharing": "mesh", "omega": 0.95, "phi": 0.8},
                {"sharing": "mesh", "omega": 0.95, "phi": 0.9},
                {"sharing": "mesh", "omega": 0.95, "phi": 0.9, "interval_us": 250_000},
                {"sharing": "mesh", "omega": 0.95, "phi": 0.9, "interval_us": 1_000_000},
            )
        ]
        for s, (lost, moved, flips) in curve(tries):
            kind = [f"{s.omega} | {s.phi}"] if s.sharing in ("paper", "mesh") else ["- | -"]
            print(
                f"| {s.load} | {s.sharing} | {kind[0]} | {s.interval_us / 1e6} "
                f"| {lost:.4f} | {moved:.3f} | {flips:.0f} |"
            )


# capacity and effort such that a node holds as many calls as its endpoint's capacity
DEPLOYMENTS = {
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


def show(found: list, column: str, values: list[float], row: str) -> None:
    """Print the share of calls blocked by two fields of the settings."""
    rows = sorted({getattr(s, row) for s, _ in found})
    print(f"| {row} | " + " | ".join(f"{column} {v}" for v in values) + " |")
    print("|" + "---|" * (len(values) + 1))
    for r in rows:
        cells = []
        for v in values:
            lost = [x[0] for s, x in found if getattr(s, row) == r and getattr(s, column) == v]
            cells.append(f"{sum(lost) / len(lost):.4f}")
        print(f"| {r} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
