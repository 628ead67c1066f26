"""Tables of what was counted on the virtual clock: traffic, states, faults; and the hops' budget."""

from __future__ import annotations

from meadowdock.simulator.scale.figures import at_all, sizes_of, whole_of_proxy
from meadowdock.simulator.scale.fitting import fit
from meadowdock.simulator.scale.places import CORE, TARGET
from meadowdock.simulator.scale.text import formula, markdown, shown

# role, mechanism, what carries it, what it is counted by
ROWS = (
    ("mdproxy", "beats", "a direct beat to every mdreg, 2/s", "s"),
    ("mdproxy", "lists", "one ask and one combined list an interval (0.5 s)", "s"),
    ("mdproxy", "view", "shuffles with neighbours, 2/s", "s"),
    ("mdproxy", "head", "asks one mdconf for the head, 2.5/s", "s"),
    ("mdreg", "beats", "beats of all proxies, and of mdregs", "s"),
    ("mdreg", "view", "shuffles", "s"),
    ("mdreg", "roster", "whole roster to every mdconf, 1/s", "s"),
    ("collector", "lists", "asks all, tells all one list, each interval", "s"),
    ("seed", "view", "shuffles, also of whoever starts", "s"),
    ("mdconf", "head", "answers the proxies' asks", "s"),
    ("mdconf", "register", "majority reads for the asks, members, repair", "s"),
    ("mdconf", "roster", "rosters of all mdregs", "s"),
    ("deliverer", "delivery", "stages on all, then switches all", "change"),
)
STATES = {
    "mdproxy": "last list and view",
    "mdreg": "roster",
    "mdconf": "rosters of all mdregs",
    "manifest": "manifest, whole, on each proxy and register member",
}


def counted_table(facts: dict) -> str:
    """Frames and bytes of each role's mechanisms."""
    rows = [counted_row(facts, *row) for row in ROWS]
    n, largest = TARGET["nodes"], sizes_of(facts)[-1]
    head = ["role", "carried by", f"frames/s at {n}", f"KB/s at {largest}", "KB/s of n"]
    head += [f"off at {largest}", f"KB/s at {n}"]
    return markdown(head, [*rows, counted_whole(facts)])


def counted_row(facts, role, group, carried, per):
    """One mechanism of a role."""
    counts, sizes = facts["counted"], sizes_of(facts)
    frames = fit(sizes, at_all(counts, role, group, "frames_s"))
    values = at_all(counts, role, group, "kb_s")
    kilobytes = fit(sizes, values)
    at_target = shown(kilobytes["at"])
    return (
        role,
        carried,
        shown(frames["at"]),
        shown(values[-1]),
        formula(kilobytes),
        f"{kilobytes['miss_percent']:.1f} %",
        f"{at_target} KB a {per}" if per == "change" else at_target,
    )


def counted_whole(facts):
    """All mechanisms of a proxy together."""
    values = whole_of_proxy(facts["counted"])
    whole = fit(sizes_of(facts), values)
    return (
        "mdproxy",
        "all of these together",
        "",
        shown(values[-1]),
        formula(whole),
        f"{whole['miss_percent']:.1f} %",
        shown(whole["at"]),
    )


def state_table(facts: dict) -> str:
    """What each role holds."""
    counts, sizes = facts["counted"], sizes_of(facts)
    rows = []
    for role, what in STATES.items():
        values = [count["states"][role] / 1000 for count in counts]
        found = fit(sizes, values)
        miss = f"{found['miss_percent']:.1f} %"
        rows.append((role, what, shown(values[-1]), formula(found), miss, shown(found["at"])))
    head = ["held by", "state", f"KB at {sizes[-1]}", "KB of n", f"off at {sizes[-1]}"]
    return markdown([*head, f"KB at {TARGET['nodes']}"], rows)


def fault_table(facts: dict) -> str:
    """What faults did."""
    rows = [
        (
            fault["fault"],
            fault["hit"],
            shown(fault["change_s"]),
            shown(fault["everywhere_after_heal_s"]) if "everywhere_after_heal_s" in fault else "",
            shown(fault["lists_right_s"]),
            shown(fault["peak_kb_s"]),
        )
        for fault in facts["faults"]
    ]
    head = ["fault", f"hit, of {facts['faults'][0]['nodes']} proxies and {CORE} core machines"]
    head += ["change in force on all that can hear, s", "on the rest after the heal, s"]
    return markdown([*head, "lists right again after, s", "most KB in a node's second"], rows)


def hop_table(facts: dict) -> str:
    """hops in the file: {"p99_us": of one hop, "core_us": processor time of one hop}."""
    hops = facts.get("hops") or {}
    p99_us, core_us = hops.get("p99_us"), hops.get("core_us")
    depth, added_us = TARGET["depth"], TARGET["added_us"]
    each = TARGET["calls_s"] / TARGET["nodes"]
    chain_us = None if p99_us is None else 19 * p99_us
    chain = "19 hops, if all are at their 99 in 100 (no chain is slower so often)"
    if chain_us is None:
        chain = "19 hops, all at their 99 in 100"
    rows = [
        hop_row("calls a second that enter at a node: 55,000 / 1,200", each, "calls/s"),
        hop_row("hops a second at a node, all calls 19 deep: x 19", each * depth, "hops/s"),
        hop_row("budget a hop, if 0.88 ms is for a whole chain: 880 / 19", added_us / depth, "us"),
        hop_row("a chain of 19, if 0.88 ms is for each hop: 19 x 0.88", depth * 0.88, "ms"),
        hop_row("processor time a hop that fills one core: 10^6 / hops", 1e6 / each / depth, "us"),
        hop_row("measured: one hop, 99 in 100", p99_us, "us"),
        hop_row("measured: processor time of one hop", core_us, "us"),
        hop_row(chain, chain_us, "us"),
    ]
    return markdown(["latency and depth (reckoned but where it says measured)", ""], rows)


def hop_row(what, value, unit):
    """One figure, or that it wasn't measured."""
    return what, "**not run yet**" if value is None else f"{value:,.1f} {unit}"
