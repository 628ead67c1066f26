"""mddrill: takes one hall out of a running fleet, brings it back, and says what held.

Exit status: 0 nothing broken, 1 a promise was broken, 2 wrong usage.
"""

from __future__ import annotations

import os
import sys

import fire
import trio

from meadowdock.local_fleet.fleet import load_topology
from meadowdock.zone_drill.drill import EXTRAS, HOWS, Drill


def drill(folder="run", hall="a", how="kill", seconds=3, skip=""):
    """Take HALL out of the fleet that `mdfleet up` runs in FOLDER: kill, freeze or stop. Before,
    a leaving, a slow and a garbage endpoint and two racing operators; SKIP names any of these."""
    skipped = skip if isinstance(skip, (tuple, list)) else [s for s in str(skip).split(",") if s]
    if set(skipped) - set(EXTRAS):
        print(f"mddrill: skip takes {', '.join(EXTRAS)}", file=sys.stderr)
        sys.exit(2)
    if how not in HOWS:
        print(f"mddrill: how is one of {', '.join(HOWS)}", file=sys.stderr)
        sys.exit(2)
    try:
        made = Drill(os.path.abspath(folder), hall, how, seconds, skipped)
    except OSError as cause:
        print(f"mddrill: no running fleet in {folder}: {cause}", file=sys.stderr)
        sys.exit(2)
    if hall not in made.facts["halls"].values():
        halls = sorted(set(made.facts["halls"].values()))
        print(f"mddrill: no hall {hall}; there are {', '.join(halls)}", file=sys.stderr)
        sys.exit(2)
    topology = load_topology(made.facts["topology"])
    streams = {
        host: [s for s in topology["load"] if s["at"] == facts[1] and "by" not in s]
        for host, facts in topology["application"].items()
    }
    findings = trio.run(made.run, streams)
    for found in findings:
        print(
            f"{found.state:<14} {found.promise}"
            + (f" ({found.evidence})" if found.evidence else "")
        )
    verdicts = {}
    for asked in made.history.asked:
        key = f"{asked.verdict} {asked.code}"
        verdicts[key] = verdicts.get(key, 0) + 1
    print(f"calls: {verdicts}")
    print(f"ready again after us: {made.returned}")
    sys.exit(1 if any(found.state == "broken" for found in findings) else 0)


def main():
    fire.Fire(drill, name="mddrill")


if __name__ == "__main__":
    main()
