"""Tables of the real processes' cost, and of whether they kept within the bounds."""

from __future__ import annotations

from meadowdock.simulator.scale.figures import (
    collector_percent,
    proxy_percent,
    proxy_total_kb_s,
    settled_values,
    sizes_of,
)
from meadowdock.simulator.scale.fitting import crossing, fit, fitted_function
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.text import format_number, format_series, formula, markdown_table

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


def cost_table(measurements: dict) -> str:
    """Format processor time and memory of each role."""
    rows = [cost_row(measurements, *row) for row in TIMES]
    rows += [list_row(measurements, key, role) for key, role in LIST_COSTS.items()]
    rows += [
        cost_with_lists_row("mdproxy", proxy_percent(measurements), TARGET["core_percent"]),
        cost_with_lists_row("mdreg that collects", collector_percent(measurements), ONE_CORE),
    ]
    head = ["role", "unit", "measured", "of n", "off at the largest", f"at {TARGET['nodes']}"]
    return markdown_table([*head, "over the bound"], rows)


def cost_row(measurements, key, role, unit, bound):
    """Format the row of one figure of the real runs."""
    sizes, values = settled_values(measurements, key)
    fitted = fit(sizes, values)
    over = crossing(fitted_function(fitted), bound)
    return (
        role,
        unit,
        format_series(sizes, values),
        formula(fitted),
        f"{fitted['miss_percent']:.0f} %",
        format_number(fitted["at"]),
        f"{bound} from {format_number(over)}" if over else f"{bound} never",
    )


def list_row(measurements, key, role):
    """Format the row of the cost of one list."""
    sizes = [cost["nodes"] for cost in measurements["lists"]]
    values = [cost[key] for cost in measurements["lists"]]
    fitted = fit(sizes, values)
    miss = f"{fitted['miss_percent']:.0f} %"
    return (
        role,
        "us",
        format_series(sizes, values),
        formula(fitted),
        miss,
        format_number(values[-1]),
        "",
    )


def cost_with_lists_row(role, percent, bound):
    """Format the row of the extrapolated processor time with lists of the full size."""
    return (
        f"{role}, with its lists (reckoned)",
        "% of a core",
        "",
        "of the rows above",
        "",
        format_number(percent(TARGET["nodes"])),
        f"{bound} from {format_number(crossing(percent, bound))}",
    )


def bounds_table(measurements: dict) -> str:
    """Format which bounds the real runs kept within."""
    kilobytes = dict(
        zip(sizes_of(measurements), proxy_total_kb_s(measurements["counted"]), strict=True)
    )
    rows = [bounds_row(run, kilobytes) for run in measurements["timed"]]
    head = ["nodes", "endpoints on the lists, mean", "change in force everywhere, s"]
    head += ["% of a core a node", "MB a process"]
    return markdown_table([*head, "KB/s a node", "all bounds held"], rows)


def bounds_row(run, kilobytes):
    """Format the row of one real run.

    :param kilobytes: {size: KB/s of a proxy, counted on the virtual clock}.
    """
    if "broke" in run:
        return run["nodes"], *"-----", "did not run to its end"
    memory_mb = run["base_mb"] + run["proxy_mb"]
    kb_s = kilobytes.get(run["nodes"], run["proxy_kb_s"])
    broken = broken_bounds(run, memory_mb, kb_s)
    return (
        run["nodes"],
        f"{100 * run['listed_share']:.0f} %",
        format_number(run["change_s"]),
        format_number(run["proxy_percent"]),
        format_number(memory_mb),
        format_number(kb_s),
        f"no: {', '.join(broken)}" if broken else "yes",
    )


def broken_bounds(run, memory_mb, kb_s):
    """Return the names of the bounds that a run exceeded."""
    late = run["change_s"] is None or run["change_s"] > TARGET["change_s"]
    broken = {
        "a list was not whole": not run["settled"],
        "change": late,
        "processor": run["proxy_percent"] > TARGET["core_percent"],
        "memory": memory_mb > TARGET["memory_mb"],
        "bytes": kb_s > TARGET["kb_s"],
    }
    return [name for name, is_broken in broken.items() if is_broken]
