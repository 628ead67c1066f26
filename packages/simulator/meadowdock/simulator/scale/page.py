"""The page docs/CAPACITY.md and its plot, filled from docs/capacity.json."""

from __future__ import annotations

import json
import os
from pathlib import Path

import leather

from meadowdock.simulator.scale.break_table import break_table
from meadowdock.simulator.scale.figures import (
    proxy_percent,
    proxy_total_kb_s,
    settled_values,
    sizes_of,
)
from meadowdock.simulator.scale.fitting import fit, fitted_function
from meadowdock.simulator.scale.measure import measure
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.tables import fault_table, hop_table, state_table, traffic_table
from meadowdock.simulator.scale.timed_tables import bounds_table, cost_table

PLOT_STEP = 16  # nodes
TABLES = {
    "breaks": break_table,
    "counted": traffic_table,
    "state": state_table,
    "timed": cost_table,
    "held": bounds_table,
    "faults": fault_table,
    "hops": hop_table,
}


def filled_page(page: str, measurements: dict) -> str:
    """Return the page with each table between its two markers replaced.

    :raises ValueError: if the page lacks the markers of a table.
    """
    for name, make in TABLES.items():
        begin, end = f"<!-- {name} -->\n", f"<!-- /{name} -->"
        head, _, after_begin = page.partition(begin)
        _, end_found, tail = after_begin.partition(end)
        if not end_found:
            raise ValueError(f"the page lacks the markers of table {name}")
        page = f"{head}{begin}\n{make(measurements)}\n\n{end}{tail}"
    return page


def plot(measurements: dict, path: str) -> None:
    """Plot a proxy's KB/s and share of a core by fleet size, with the fits and the bounds."""
    sizes, kb_s = sizes_of(measurements), proxy_total_kb_s(measurements["counted"])
    timed_sizes, percents = settled_values(measurements, "proxy_percent")
    percent, bound = proxy_percent(measurements), TARGET["core_percent"]
    grid = leather.Grid()
    grid.add_one(
        chart("KB/s a proxy", sizes, kb_s, fitted_function(fit(sizes, kb_s)), TARGET["kb_s"])
    )
    grid.add_one(chart("% of a core a proxy", timed_sizes, percents, percent, bound))
    grid.to_svg(path)


def chart(title, sizes, values, fitted, bound):
    """Return the chart of one figure by fleet size: measured values, their fit and the bound."""
    result, n = leather.Chart(f"{title}: measured, fit, bound"), TARGET["nodes"]
    result.add_x_axis(name="nodes")
    result.add_dots(list(zip(sizes, values, strict=True)), name="measured")
    result.add_line([(k, fitted(k)) for k in range(min(sizes), n + 1, PLOT_STEP)], name="fit")
    result.add_line([(0, bound), (n, bound)], name="bound")
    return result


def scale(folder: str = "docs", run: bool = False, write: bool = False) -> str:
    """Return the tables as text.

    :param run: whether to measure again first.
    :param write: whether to write the tables to the page too, and the plot.
    """
    file = Path(folder, "capacity.json")
    measurements = json.loads(file.read_text(encoding="utf-8")) if file.exists() else {}
    if run:
        measurements = {**measure(), "hops": measurements.get("hops")}
        file.write_text(json.dumps(measurements, indent=1) + "\n", encoding="utf-8")
    if write:
        page = Path(folder, "CAPACITY.md")
        page.write_text(
            filled_page(page.read_text(encoding="utf-8"), measurements), encoding="utf-8"
        )
        plot(measurements, os.path.join(folder, "capacity.svg"))
    return "\n\n".join(make(measurements) for make in TABLES.values())
