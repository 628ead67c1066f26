"""The table of what breaks first as the fleet grows."""

from __future__ import annotations

import math

from meadowdock.simulator.scale.figures import (
    at_all,
    collector_percent,
    good_runs,
    proxy_percent,
    settled_runs,
    sizes_of,
    whole_of_proxy,
    whole_of_role,
)
from meadowdock.simulator.scale.fitting import crossing, fit, told_by
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.text import markdown, shown

WAVE_US = 0.9e6  # for staging on all proxies
FRAMES_A_STAGE = 2
CONFIGURATION_KB = 10_000


def first_over(sizes, values, bound):
    """The first size at which the fit of the values is over a bound, as the page shows it."""
    return shown(crossing(told_by(fit(sizes, values)), bound))


def break_table(facts: dict) -> str:
    """What breaks, and from which size on."""
    rows = [*processor_rows(facts), *byte_rows(facts), *core_rows(facts), *other_rows(facts)]
    return markdown(["what", "first size", "how it breaks"], rows)


def processor_rows(facts):
    """A proxy's processor time."""
    over = crossing(proxy_percent(facts), TARGET["core_percent"])
    return [("a proxy's processor time, all parts", shown(over), "over 1.4 % of a core")]


def byte_rows(facts):
    """A proxy's bytes."""
    counts, sizes, bound = facts["counted"], sizes_of(facts), TARGET["kb_s"]
    whole = first_over(sizes, whole_of_proxy(counts), bound)
    lists = first_over(sizes, at_all(counts, "mdproxy", "lists", "kb_s"), bound)
    return [
        ("a proxy's bytes, all parts", whole, f"over {bound} KB/s"),
        ("lists alone, at a proxy", lists, f"over {bound} KB/s"),
    ]


def core_rows(facts):
    """The processes of the core."""
    collector = shown(crossing(collector_percent(facts), 100))
    registry = first_over(*good_runs(facts, "mdreg_percent"), 100)
    store = first_over(*good_runs(facts, "mdconf_percent"), 100)
    cost_us = us_a_frame(facts)
    staged = shown(math.floor(WAVE_US / FRAMES_A_STAGE / cost_us))
    staging = f"2 frames a proxy a wave at {shown(cost_us)} us each: over the 0.9 s of a wave"
    return [
        ("the collector's process", collector, "over one core"),
        ("an mdreg without that duty: beats, rosters", registry, "over one core"),
        ("an mdconf: asks for the head, rosters", store, "over one core"),
        ("one mdconf stages on all (reckoned)", staged, staging),
    ]


def us_a_frame(facts):
    """What a frame cost an mdconf in the largest real run."""
    last, counts = settled_runs(facts)[-1], facts["counted"]
    frames_s = told_by(fit(sizes_of(facts), whole_of_role(counts, "mdconf", "frames_s")))
    return last["mdconf_percent"] * 1e4 / frames_s(last["nodes"])


def other_rows(facts):
    """Retries, links and the size of the configuration."""
    counts, sizes = facts["counted"], sizes_of(facts)
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
            f"a proxy had {shown(links['mdproxy'])} of its own after {shown(links['age_s'])} s at "
            f"{sizes[-1]} nodes; in the end all others, both ways: over 1,024 files",
        ),
        (
            "a whole manifest on each node",
            first_over(sizes, configuration_kb, CONFIGURATION_KB),
            "over 10 MB packed; no bound of ours is near",
        ),
    ]
