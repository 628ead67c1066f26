"""Tables of the counts on the virtual clock (traffic, states, faults), and of the hops' budget."""

from __future__ import annotations

from meadowdock.simulator.scale.figures import mechanism_values, proxy_total_kb_s, sizes_of
from meadowdock.simulator.scale.fitting import fit
from meadowdock.simulator.scale.places import CORE, TARGET
from meadowdock.simulator.scale.text import format_number, formula, markdown_table

# role, mechanism, the messages that carry it, what its bytes are counted per
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


def traffic_table(measurements: dict) -> str:
    """Format frames and bytes of each role's mechanisms."""
    rows = [traffic_row(measurements, *row) for row in ROWS]
    n, largest = TARGET["nodes"], sizes_of(measurements)[-1]
    head = ["role", "carried by", f"frames/s at {n}", f"KB/s at {largest}", "KB/s of n"]
    head += [f"off at {largest}", f"KB/s at {n}"]
    return markdown_table(head, [*rows, traffic_total_row(measurements)])


def traffic_row(measurements, role, group, carried, per):
    """Format the row of one mechanism of a role."""
    counts, sizes = measurements["counted"], sizes_of(measurements)
    frames = fit(sizes, mechanism_values(counts, role, group, "frames_s"))
    values = mechanism_values(counts, role, group, "kb_s")
    kilobytes = fit(sizes, values)
    at_target = format_number(kilobytes["at"])
    return (
        role,
        carried,
        format_number(frames["at"]),
        format_number(values[-1]),
        formula(kilobytes),
        f"{kilobytes['miss_percent']:.1f} %",
        f"{at_target} KB a {per}" if per == "change" else at_target,
    )


def traffic_total_row(measurements):
    """Format the row of all mechanisms of a proxy together."""
    values = proxy_total_kb_s(measurements["counted"])
    total_fit = fit(sizes_of(measurements), values)
    return (
        "mdproxy",
        "all of these together",
        "",
        format_number(values[-1]),
        formula(total_fit),
        f"{total_fit['miss_percent']:.1f} %",
        format_number(total_fit["at"]),
    )


def state_table(measurements: dict) -> str:
    """Format the size of the state that each role holds."""
    counts, sizes = measurements["counted"], sizes_of(measurements)
    rows = []
    for role, what in STATES.items():
        values = [count["states"][role] / 1000 for count in counts]
        fitted = fit(sizes, values)
        miss = f"{fitted['miss_percent']:.1f} %"
        rows.append(
            (
                role,
                what,
                format_number(values[-1]),
                formula(fitted),
                miss,
                format_number(fitted["at"]),
            )
        )
    head = ["held by", "state", f"KB at {sizes[-1]}", "KB of n", f"off at {sizes[-1]}"]
    return markdown_table([*head, f"KB at {TARGET['nodes']}"], rows)


def fault_table(measurements: dict) -> str:
    """Format the effects of faults."""
    rows = [
        (
            fault["fault"],
            fault["hit"],
            format_number(fault["change_s"]),
            format_number(fault["everywhere_after_heal_s"])
            if "everywhere_after_heal_s" in fault
            else "",
            format_number(fault["lists_right_s"]),
            format_number(fault["peak_kb_s"]),
        )
        for fault in measurements["faults"]
    ]
    head = [
        "fault",
        f"hit, of {measurements['faults'][0]['nodes']} proxies and {CORE} core machines",
    ]
    head += ["change in force on all that can hear, s", "on the rest after the heal, s"]
    return markdown_table([*head, "lists right again after, s", "most KB in a node's second"], rows)


def hop_table(measurements: dict) -> str:
    """Format the budget of latency and processor time for each hop.

    In the file, hops is {"p99_us": latency of one hop, "core_us": processor time of one hop}.
    """
    hops = measurements.get("hops") or {}
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
    return markdown_table(["latency and depth (reckoned but where it says measured)", ""], rows)


def hop_row(what, value, unit):
    """Format one figure, or that it was not measured."""
    return what, "**not run yet**" if value is None else f"{value:,.1f} {unit}"
