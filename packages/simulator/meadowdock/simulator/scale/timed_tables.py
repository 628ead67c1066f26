"""Tables of what the real processes cost, and of the bounds that they held."""

from __future__ import annotations

from meadowdock.simulator.scale.figures import (
    collector_percent,
    good_runs,
    proxy_percent,
    sizes_of,
    whole_of_proxy,
)
from meadowdock.simulator.scale.fitting import crossing, fit, told_by
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.text import formula, markdown, shown, shown_series

ONE_CORE = 100  # percent
TIMES = (  # key of a timed run, role, unit, bound
    ("proxy_percent", "mdproxy", "% of a core", TARGET["core_percent"]),
    ("mdreg_percent", "mdreg", "% of a core", ONE_CORE),
    ("collector_percent", "mdreg that collects", "% of a core", ONE_CORE),
    ("mdconf_percent", "mdconf", "% of a core", ONE_CORE),
    ("proxy_mb", "mdproxy, beyond an idle process", "MB", TARGET["memory_mb"]),
    ("core_mb", "mdreg or mdconf, beyond an idle process", "MB", TARGET["memory_mb"]),
)
LIST_COSTS = {
    "tell_us": "collector, one list for one node",
    "take_us": "mdproxy, one list",
}


def timed_table(facts: dict) -> str:
    """Processor time and memory of each role."""
    rows = [timed_row(facts, *row) for row in TIMES]
    rows += [list_row(facts, key, role) for key, role in LIST_COSTS.items()]
    rows += [
        with_lists_row("mdproxy", proxy_percent(facts), TARGET["core_percent"]),
        with_lists_row("mdreg that collects", collector_percent(facts), ONE_CORE),
    ]
    head = ["role", "unit", "measured", "of n", "off at the largest", f"at {TARGET['nodes']}"]
    return markdown([*head, "over the bound"], rows)


def timed_row(facts, key, role, unit, bound):
    """One figure of the real runs."""
    sizes, values = good_runs(facts, key)
    found = fit(sizes, values)
    over = crossing(told_by(found), bound)
    return (
        role,
        unit,
        shown_series(sizes, values),
        formula(found),
        f"{found['miss_percent']:.0f} %",
        shown(found["at"]),
        f"{bound} from {shown(over)}" if over else f"{bound} never",
    )


def list_row(facts, key, role):
    """The cost of one list."""
    sizes = [cost["nodes"] for cost in facts["lists"]]
    values = [cost[key] for cost in facts["lists"]]
    found = fit(sizes, values)
    miss = f"{found['miss_percent']:.0f} %"
    return role, "us", shown_series(sizes, values), formula(found), miss, shown(values[-1]), ""


def with_lists_row(role, tell, bound):
    """Processor time with the lists of the full size, reckoned."""
    return (
        f"{role}, with its lists (reckoned)",
        "% of a core",
        "",
        "of the rows above",
        "",
        shown(tell(TARGET["nodes"])),
        f"{bound} from {shown(crossing(tell, bound))}",
    )


def held_table(facts: dict) -> str:
    """Which bounds the real runs held."""
    kilobytes = dict(zip(sizes_of(facts), whole_of_proxy(facts["counted"]), strict=True))
    rows = [held_row(run, kilobytes) for run in facts["timed"]]
    head = ["nodes", "endpoints on the lists, mean", "change in force everywhere, s"]
    head += ["% of a core a node", "MB a process"]
    return markdown([*head, "KB/s a node", "all bounds held"], rows)


def held_row(run, kilobytes):
    """One real run. kilobytes: {size: KB/s of a proxy, counted on the virtual clock}."""
    if "broke" in run:
        return run["nodes"], *"-----", "did not run to its end"
    memory_mb = run["base_mb"] + run["proxy_mb"]
    kb_s = kilobytes.get(run["nodes"], run["proxy_kb_s"])
    broken = broken_bounds(run, memory_mb, kb_s)
    return (
        run["nodes"],
        f"{100 * run['listed_share']:.0f} %",
        shown(run["change_s"]),
        shown(run["proxy_percent"]),
        shown(memory_mb),
        shown(kb_s),
        f"no: {', '.join(broken)}" if broken else "yes",
    )


def broken_bounds(run, memory_mb, kb_s):
    """The names of the bounds that a run did not hold."""
    late = run["change_s"] is None or run["change_s"] > TARGET["change_s"]
    broken = {
        "a list was not whole": not run["settled"],
        "change": late,
        "processor": run["proxy_percent"] > TARGET["core_percent"],
        "memory": memory_mb > TARGET["memory_mb"],
        "bytes": kb_s > TARGET["kb_s"],
    }
    return [name for name, is_broken in broken.items() if is_broken]
