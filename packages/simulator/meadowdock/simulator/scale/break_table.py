"""The table of which bounds the fleet exceeds first as it grows."""

from __future__ import annotations

import math

from meadowdock.simulator.scale.figures import (
    collector_percent,
    mechanism_values,
    proxy_percent,
    proxy_total_kb_s,
    role_total,
    settled_runs,
    settled_values,
    sizes_of,
)
from meadowdock.simulator.scale.fitting import crossing, fit, fitted_function
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.text import format_number, markdown_table

STAGING_WAVE_US = 0.9e6  # the time in which a change is staged on all proxies
FRAMES_PER_STAGE = 2
CONFIGURATION_KB = 10_000


def first_size_over(sizes, values, bound):
    """Format the first size at which the fit of the values exceeds a bound."""
    return format_number(crossing(fitted_function(fit(sizes, values)), bound))


def break_table(measurements: dict) -> str:
    """Format what exceeds its bound, and from which size on."""
    rows = [
        *processor_rows(measurements),
        *byte_rows(measurements),
        *core_rows(measurements),
        *configuration_rows(measurements),
    ]
    return markdown_table(["what", "first size", "how it breaks"], rows)


def processor_rows(measurements):
    """Return the row of a proxy's processor time."""
    over = crossing(proxy_percent(measurements), TARGET["core_percent"])
    return [("a proxy's processor time, all parts", format_number(over), "over 1.4 % of a core")]


def byte_rows(measurements):
    """Return the rows of a proxy's bytes."""
    counts, sizes, bound = measurements["counted"], sizes_of(measurements), TARGET["kb_s"]
    total = first_size_over(sizes, proxy_total_kb_s(counts), bound)
    lists = first_size_over(sizes, mechanism_values(counts, "mdproxy", "lists", "kb_s"), bound)
    return [
        ("a proxy's bytes, all parts", total, f"over {bound} KB/s"),
        ("lists alone, at a proxy", lists, f"over {bound} KB/s"),
    ]


def core_rows(measurements):
    """Return the rows of the core's processes."""
    collector = format_number(crossing(collector_percent(measurements), 100))
    registry = first_size_over(*settled_values(measurements, "mdreg_percent"), 100)
    store = first_size_over(*settled_values(measurements, "mdconf_percent"), 100)
    cost_us = us_per_frame(measurements)
    staged = format_number(math.floor(STAGING_WAVE_US / FRAMES_PER_STAGE / cost_us))
    staging = (
        f"2 frames a proxy a wave at {format_number(cost_us)} us each: over the 0.9 s of a wave"
    )
    return [
        ("the collector's process", collector, "over one core"),
        ("an mdreg without that duty: beats, rosters", registry, "over one core"),
        ("an mdconf: asks for the head, rosters", store, "over one core"),
        ("one mdconf stages on all (reckoned)", staged, staging),
    ]


def us_per_frame(measurements):
    """Return the processor time per frame of an mdconf in the largest real run."""
    last, counts = settled_runs(measurements)[-1], measurements["counted"]
    frames_s = fitted_function(
        fit(sizes_of(measurements), role_total(counts, "mdconf", "frames_s"))
    )
    return last["mdconf_percent"] * 1e4 / frames_s(last["nodes"])


def configuration_rows(measurements):
    """Return the rows of retries, links and the size of the configuration."""
    counts, sizes = measurements["counted"], sizes_of(measurements)
    links = counts[-1]["links"]
    configuration_kb = [count["states"]["manifest"] / 1000 for count in counts]
    return [
        (
            "second tries (reckoned)",
            "25",
            "24 in all: under one a node, so a node has its ratio alone",
        ),
        (
            "links that are never closed (reckoned)",
            "513",
            f"a proxy had {format_number(links['mdproxy'])} of its own after {format_number(links['age_s'])} s at "
            f"{sizes[-1]} nodes; in the end all others, both ways: over 1,024 files",
        ),
        (
            "a whole manifest on each node",
            first_size_over(sizes, configuration_kb, CONFIGURATION_KB),
            "over 10 MB packed; no bound of ours is near",
        ),
    ]
