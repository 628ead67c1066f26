"""Series of figures from docs/capacity.json, and functions of the fleet's size that fit them."""

from __future__ import annotations

from collections.abc import Callable

from meadowdock.simulator.scale.fitting import fit, fitted_function

MOSTLY_LISTED = 0.9  # real runs whose lists held a smaller share of the endpoints are left out
LISTS_PER_S = 2
US_PER_PERCENT = 1e4  # microseconds in a second that are one percent of a core


def sizes_of(measurements: dict) -> list[int]:
    """Return the sizes at which frames were counted."""
    return [count["nodes"] for count in measurements["counted"]]


def mechanism_values(counts: list[dict], role: str, group: str, key: str) -> list[float]:
    """Return one figure of a role's mechanism, at all sizes."""
    return [count["roles"][role].get(group, {key: 0.0})[key] for count in counts]


def role_total(counts: list[dict], role: str, key: str) -> list[float]:
    """Return the sum of one figure over all mechanisms of a role, at all sizes."""
    return [sum(group[key] for group in count["roles"][role].values()) for count in counts]


def proxy_total_kb_s(counts: list[dict]) -> list[float]:
    """Return a proxy's KB per second, at all sizes."""
    return role_total(counts, "mdproxy", "kb_s")


def settled_values(measurements: dict, key: str) -> tuple[list[int], list[float]]:
    """Return sizes and values of the real runs whose lists were nearly complete."""
    runs = [run for run in settled_runs(measurements) if run.get(key) is not None]
    return [run["nodes"] for run in runs], [run[key] for run in runs]


def settled_runs(measurements: dict) -> list[dict]:
    """Return the real runs whose lists were nearly complete."""
    return [run for run in measurements["timed"] if run.get("listed_share", 0) >= MOSTLY_LISTED]


def list_fit(measurements: dict, key: str) -> Callable[[float], float]:
    """Return the cost of a list as a function of its length."""
    lists = measurements["lists"]
    return fitted_function(fit([cost["nodes"] for cost in lists], [cost[key] for cost in lists]))


def proxy_percent(measurements: dict) -> Callable[[float], float]:
    """Return a proxy's percentage of a core as a function of n.

    It is the cost of a proxy alone in its process plus the cost of applying lists of n endpoints.
    Measurements of several proxies are not used, because hollow proxies share an event loop, which
    gets cheaper for each proxy the more there are.
    """
    _, values = settled_values(measurements, "proxy_percent")
    apply_us = list_fit(measurements, "take_us")
    return lambda n: values[0] + max(0, apply_us(n)) * LISTS_PER_S / US_PER_PERCENT


def collector_percent(measurements: dict) -> Callable[[float], float]:
    """Return the collector's percentage of a core as a function of n.

    It is the fit of the real runs plus what encoding longer lists for each node costs beyond them.
    """
    sizes, values = settled_values(measurements, "collector_percent")
    base, encode_us = fitted_function(fit(sizes, values)), list_fit(measurements, "tell_us")
    measured = encode_us(max(sizes))
    return lambda n: base(n) + n * max(0, encode_us(n) - measured) * LISTS_PER_S / US_PER_PERCENT
