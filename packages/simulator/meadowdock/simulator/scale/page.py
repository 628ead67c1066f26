"""The page docs/CAPACITY.md and its plot, filled from docs/capacity.json."""

from __future__ import annotations

import json
import os
from pathlib import Path

import leather

from meadowdock.simulator.scale.break_table import break_table
from meadowdock.simulator.scale.figures import good_runs, proxy_percent, sizes_of, whole_of_proxy
from meadowdock.simulator.scale.fitting import fit, told_by
from meadowdock.simulator.scale.measure import measure
from meadowdock.simulator.scale.places import TARGET
from meadowdock.simulator.scale.tables import counted_table, fault_table, hop_table, state_table
from meadowdock.simulator.scale.timed_tables import held_table, timed_table

PLOT_STEP = 16  # nodes
TABLES = {
    "breaks": break_table,
    "counted": counted_table,
    "state": state_table,
    "timed": timed_table,
    "held": held_table,
    "faults": fault_table,
    "hops": hop_table,
}


def filled(page: str, facts: dict) -> str:
    """The page with each table between its two marks made anew."""
    for name, make in TABLES.items():
        begin, end = f"<!-- {name} -->\n", f"<!-- /{name} -->"
        head, _, after_begin = page.partition(begin)
        _, found, tail = after_begin.partition(end)
        if not found:
            raise ValueError(f"the page has no place for the table {name}")
        page = f"{head}{begin}\n{make(facts)}\n\n{end}{tail}"
    return page


def plot(facts: dict, path: str) -> None:
    """Each proxy's KB/s and share of a core by the fleet's size, with the fits and the bounds."""
    sizes, kb_s = sizes_of(facts), whole_of_proxy(facts["counted"])
    timed_sizes, percents = good_runs(facts, "proxy_percent")
    percent, bound = proxy_percent(facts), TARGET["core_percent"]
    grid = leather.Grid()
    grid.add_one(chart("KB/s a proxy", sizes, kb_s, told_by(fit(sizes, kb_s)), TARGET["kb_s"]))
    grid.add_one(chart("% of a core a proxy", timed_sizes, percents, percent, bound))
    grid.to_svg(path)


def chart(title, sizes, values, tell, bound):
    """One figure by the fleet's size: measured, its fit and its bound."""
    made, n = leather.Chart(f"{title}: measured, fit, bound"), TARGET["nodes"]
    made.add_x_axis(name="nodes")
    made.add_dots(list(zip(sizes, values, strict=True)), name="measured")
    made.add_line([(k, tell(k)) for k in range(min(sizes), n + 1, PLOT_STEP)], name="fit")
    made.add_line([(0, bound), (n, bound)], name="bound")
    return made


def scale(folder: str = "docs", run: bool = False, write: bool = False) -> str:
    """The tables as text; with run measured anew first, with write also on the page and the plot."""
    file = Path(folder, "capacity.json")
    facts = json.loads(file.read_text(encoding="utf-8")) if file.exists() else {}
    if run:
        facts = {**measure(), "hops": facts.get("hops")}
        file.write_text(json.dumps(facts, indent=1) + "\n", encoding="utf-8")
    if write:
        page = Path(folder, "CAPACITY.md")
        page.write_text(filled(page.read_text(encoding="utf-8"), facts), encoding="utf-8")
        plot(facts, os.path.join(folder, "capacity.svg"))
    return "\n\n".join(make(facts) for make in TABLES.values())
