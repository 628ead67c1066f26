"""Series of figures out of what docs/capacity.json holds, and functions of n that fit them."""

from __future__ import annotations

from collections.abc import Callable

from meadowdock.simulator.scale.fitting import fit, told_by

MOSTLY_LISTED = 0.9  # of the endpoints: real runs below this share are left out
LISTS_S = 2  # lists a second
US_PERCENT = 1e4  # microseconds a second that are one percent of a core


def sizes_of(facts: dict) -> list[int]:
    """The sizes at which frames were counted."""
    return [count["nodes"] for count in facts["counted"]]


def at_all(counts: list[dict], role: str, group: str, key: str) -> list[float]:
    """One figure of a role's mechanism, at all sizes."""
    return [count["roles"][role].get(group, {key: 0.0})[key] for count in counts]


def whole_of_role(counts: list[dict], role: str, key: str) -> list[float]:
    """One figure of all mechanisms of a role together, at all sizes."""
    return [sum(group[key] for group in count["roles"][role].values()) for count in counts]


def whole_of_proxy(counts: list[dict]) -> list[float]:
    """KB a second of a proxy, at all sizes."""
    return whole_of_role(counts, "mdproxy", "kb_s")


def good_runs(facts: dict, key: str) -> tuple[list[int], list[float]]:
    """Sizes and values of the real runs whose lists were nearly complete."""
    runs = [run for run in settled_runs(facts) if run.get(key) is not None]
    return [run["nodes"] for run in runs], [run[key] for run in runs]


def settled_runs(facts: dict) -> list[dict]:
    """The real runs whose lists were nearly complete."""
    return [run for run in facts["timed"] if run.get("listed_share", 0) >= MOSTLY_LISTED]


def list_fit(facts: dict, key: str) -> Callable[[float], float]:
    """The cost of a list as a function of its length."""
    lists = facts["lists"]
    return told_by(fit([cost["nodes"] for cost in lists], [cost[key] for cost in lists]))


def proxy_percent(facts: dict) -> Callable[[float], float]:
    """Of n: what a proxy alone in its process cost, and beyond it what longer lists cost there.
    Hollow proxies share a loop, which gets cheaper for each of them as they get more."""
    _, values = good_runs(facts, "proxy_percent")
    take = list_fit(facts, "take_us")
    return lambda n: values[0] + max(0, take(n)) * LISTS_S / US_PERCENT


def collector_percent(facts: dict) -> Callable[[float], float]:
    """Of n: the fit of the real runs, and beyond it what longer lists cost to make for each node."""
    sizes, values = good_runs(facts, "collector_percent")
    base, tell = told_by(fit(sizes, values)), list_fit(facts, "tell_us")
    measured = tell(max(sizes))
    return lambda n: base(n) + n * max(0, tell(n) - measured) * LISTS_S / US_PERCENT
