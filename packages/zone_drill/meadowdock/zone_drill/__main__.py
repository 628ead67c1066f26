"""Command line of mddrill: take one zone out of a running fleet, restore it, check the guarantees.

Exit status: 0 no guarantee was violated, 1 one was violated, 2 wrong usage.
"""

from __future__ import annotations

import os
import sys

import fire
import trio

from meadowdock.local_fleet.fleet import load_topology
from meadowdock.zone_drill.drill import EXTRA_STEPS, SIGNALS, Drill


def drill(folder="run", hall="a", how="kill", seconds=3, skip=""):
    """Take the zone HALL out of the fleet that `mdfleet up` runs in FOLDER.

    HOW is kill, freeze or stop. Before that, other steps run: an endpoint that drains (leaving), a
    slow one, one with malformed responses (garbage), calls with hardly any time left (hurried), and
    two operators that race. SKIP names the steps to leave out, separated by commas.
    """
    skipped = (
        skip if isinstance(skip, (tuple, list)) else [name for name in str(skip).split(",") if name]
    )
    if set(skipped) - set(EXTRA_STEPS):
        print(f"mddrill: skip takes {', '.join(EXTRA_STEPS)}", file=sys.stderr)
        sys.exit(2)
    if how not in SIGNALS:
        print(f"mddrill: how is one of {', '.join(SIGNALS)}", file=sys.stderr)
        sys.exit(2)
    try:
        zone_drill = Drill(os.path.abspath(folder), hall, how, seconds, skipped)
    except OSError as error:
        print(f"mddrill: no running fleet in {folder}: {error}", file=sys.stderr)
        sys.exit(2)
    if hall not in zone_drill.fleet["halls"].values():
        zones = sorted(set(zone_drill.fleet["halls"].values()))
        print(f"mddrill: no hall {hall}; there are {', '.join(zones)}", file=sys.stderr)
        sys.exit(2)
    topology = load_topology(zone_drill.fleet["topology"])
    streams = {
        host: [
            stream for stream in topology["load"] if stream["at"] == entry[1] and "by" not in stream
        ]
        for host, entry in topology["application"].items()
    }
    findings = trio.run(zone_drill.run, streams)
    for finding in findings:
        print(
            f"{finding.state:<14} {finding.guarantee}"
            + (f" ({finding.evidence})" if finding.evidence else "")
        )
    verdicts = {}
    for call in zone_drill.history.asked:
        key = f"{call.verdict} {call.code}"
        verdicts[key] = verdicts.get(key, 0) + 1
    print(f"calls: {verdicts}")
    print(f"ready again after us: {zone_drill.recovery_times_us}")
    sys.exit(1 if any(finding.state == "broken" for finding in findings) else 0)


def main():
    """Run the command line."""
    fire.Fire(drill, name="mddrill")


if __name__ == "__main__":
    main()
