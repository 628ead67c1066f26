"""The whole job on one machine, phase by phase, from the callers' own records.

Times in the report are by the callers' clock, from the moment when their load began.
"""

from __future__ import annotations

import json
import os
import time

from meadowdock.local_fleet.fleet import HERE
from meadowdock.local_fleet.report import figures, summary, table

SETTLE, STEADY, SLOW, BACK, DRAIN, RESTART = 4, 15, 10, 8, 8, 10


class Watch:
    """Samples one proxy's status each second, beside the load."""

    def __init__(self, fleet, host, service):
        self.fleet, self.host, self.service = fleet, host, service
        self.lines = []

    def over(self, seconds, phase):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status = self.fleet.proxy_status(self.host)
            if status:
                rho = round(status["rho"].get(self.service, 0), 3)
                self.lines.append((phase, rho, status["counts"]))
            time.sleep(1)

    def table(self):
        """Per phase: the highest rho, and how many calls each rule decided."""
        rows = ["| phase | highest rho | spilled | decided by |", "|---|---|---|---|"]
        before = {}
        for phase in dict.fromkeys(line[0] for line in self.lines):
            lines = [line for line in self.lines if line[0] == phase]
            last = lines[-1][2]
            grown = {k: n - before.get(k, 0) for k, n in sorted(last.items())}
            rules = ", ".join(f"{k[5:]} {n}" for k, n in grown.items() if k[:5] == "rule." and n)
            highest = max(line[1] for line in lines)
            rows.append(f"| {phase} | {highest} | {grown.get('spilled', 0)} | {rules} |")
            before = last
        return "\n".join(rows)


def measure(fleet, rate):
    fleet.start_all()
    service = next(iter(fleet.application.values()))[1]
    slow, drained, restarted = fleet.hosts_of(service)[:3]
    mean_us, capacity = fleet.application[slow][3], fleet.application[slow][2]
    own_rate = sum(
        s["rate"] * rate / len(fleet.hosts_of(service))
        for s in fleet.topology["load"]
        if s["at"] == service and "by" not in s
    )
    longest = 3 * (SETTLE + STEADY + SLOW + BACK + DRAIN + RESTART)
    begun = time.monotonic()
    callers = fleet.start_callers(longest, rate_factor=rate)
    watch = Watch(fleet, slow, service)
    phases = []

    def phase(name, seconds, act=None):
        start = time.monotonic() - begun
        if act:
            act()
        watch.over(seconds, name)
        phases.append((name, start, time.monotonic() - begun))

    notes = []

    def drain():
        status, took = fleet.stop(f"endpoint-{drained}-8000")
        notes.append(f"drained endpoint: exit {status} after {took:.2f} s")
        _, handle = fleet.start_endpoint(drained, 8001)
        fleet.tokens[drained] = json.loads(handle.stdout.readline())["token"]
        fleet.note()

    def restart():
        status, took = fleet.stop(f"mdproxy-{restarted}")
        notes.append(f"restarted proxy: exit {status} after {took:.2f} s")
        fleet.start_daemon("mdproxy", restarted)
        fleet.wait_ready([f"{restarted}:7400"])
        notes.append("restarted proxy: ready again")

    # as slow as fills the endpoint one and a half times over
    slowed = int(1.5 * capacity / own_rate * 1_000_000)
    phase("settle", SETTLE)
    phase("steady", STEADY)
    phase("slow endpoint", SLOW, lambda: fleet.knobs(slow, mean_us=slowed))
    phase("back to normal", BACK, lambda: fleet.knobs(slow, mean_us=mean_us))
    phase("endpoint replaced", DRAIN, drain)
    phase("proxy restarted", RESTART, restart)
    cpu = cpu_by_kind(fleet)
    for handle in callers:
        handle.terminate()
        handle.wait()
    rows = fleet.rows()
    return "\n\n".join(
        [
            f"## {fleet.topology['name']}: offered {sum(s['rate'] for s in fleet.topology['load']) * rate:.0f} a second",
            f"slow endpoint: {slow}, mean {slowed / 1000:.0f} ms instead of {mean_us / 1000:.0f} ms",
            *phase_tables(rows, phases),
            f"### {slow} over the phases\n\n" + watch.table(),
            "### Counts over the whole run\n\n" + totals(fleet, rows, notes, cpu),
        ]
    )


def phase_tables(rows, phases):
    for name, start, end in phases:
        within = [row for row in rows if start * 1e6 <= row[2] < end * 1e6]
        yield f"### {name} ({end - start:.0f} s)\n\n" + table(summary(within, end - start))


def totals(fleet, rows, notes, cpu):
    keys = [line["key"] for line in journal(fleet)]
    said_not_run = {row[6] for row in rows if row[6] and row[5] == "not-run"}
    said_ran = {row[6] for row in rows if row[6] and row[5] == "ran"}
    whole = figures(rows, 1)
    lines = [
        f"calls: {whole['calls']}, verdicts: {whole['verdicts']}, codes: {whole['codes']}",
        f"run-once calls by key: {len(set(keys))} ran, {len(keys) - len(set(keys))} ran twice, "
        f"{len(said_not_run & set(keys))} told not-run yet ran, "
        f"{len(said_ran - set(keys))} told ran yet not in a journal",
        *notes,
        "CPU seconds by kind: " + ", ".join(f"{k} {v:.1f}" for k, v in cpu.items()),
    ]
    return "\n".join(f"- {line}" for line in lines)


def journal(fleet):
    for name in sorted(os.listdir(fleet.folder)):
        if name.startswith("journal-"):
            with open(os.path.join(fleet.folder, name), encoding="utf-8") as file:
                yield from map(json.loads, file)


def cpu_by_kind(fleet):
    """User and system time so far of the processes that run, by what they are."""
    tick = os.sysconf("SC_CLK_TCK")
    found = {}
    for name, process in fleet.processes.items():
        try:
            with open(f"/proc/{process.handle.pid}/stat", encoding="ascii") as file:
                parts = file.read().rpartition(")")[2].split()
        except OSError:
            continue
        kind = name.split("-")[0]
        found[kind] = found.get(kind, 0) + (int(parts[11]) + int(parts[12])) / tick
    return found


def overload(fleet, factors=(0.5, 1.0, 2.0, 3.0), seconds=8):
    """Endpoints so slow that the topology's load is all that they can do; then parts and multiples
    of that load, one after another in one run."""
    fleet.start_all()
    for host, (_, service, capacity, _) in fleet.application.items():
        offered = sum(s["rate"] for s in fleet.topology["load"] if target(fleet, s) == service)
        slots = capacity * len(fleet.hosts_of(service))
        fleet.knobs(host, mean_us=int(slots / offered * 1_000_000))
    lines = [
        "| offered, of capacity | calls | answered | of capacity | refused as not-run "
        "| may-have-run | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    whole = sum(s["rate"] for s in fleet.topology["load"]) * seconds
    for factor in factors:
        label = f"x{factor}"
        for handle in fleet.start_callers(seconds, rate_factor=factor, label=label):
            handle.wait()
        found = figures(fleet.rows(label), seconds)
        verdicts = found["verdicts"]
        ran = verdicts.get("ran", 0)
        lines.append(
            f"| {factor} | {found['calls']} | {ran} | {ran / whole:.2f} "
            f"| {verdicts.get('not-run', 0)} | {verdicts.get('may-have-run', 0)} "
            f"| {(found['p99_us'] or 0) / 1000:.0f} |"
        )
    return "\n".join(lines)


def target(fleet, stream):
    """The service that a stream's path leads to, by the topology's own manifest."""
    with open(os.path.join(HERE, fleet.topology["manifest"]), encoding="utf-8") as file:
        ways = json.load(file)["ways"]
    first = "/" + stream["path"].split("/")[1]
    return next(way["service"] for way in ways if way["path"] == first)


def large_change(fleet, ways=30_000, seconds=6):
    """A very large manifest is planned and confirmed under load; how soon it is in force
    everywhere, and the calls' p99 while that goes on over the p99 before, in one run."""
    fleet.start_all()
    with open(os.path.join(HERE, fleet.topology["manifest"]), encoding="utf-8") as file:
        manifest = json.load(file)
    like = manifest["ways"][0]
    manifest["ways"] += [{**like, "name": f"many-{n}", "path": f"/many/w{n}"} for n in range(ways)]
    path = os.path.join(fleet.folder, "large.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(manifest, file)
    callers = fleet.start_callers(20 * seconds)
    begun = time.monotonic()
    time.sleep(2 + seconds)
    marks = {"before": (2.0, time.monotonic() - begun)}
    planned = fleet.ctl("plan", path)
    marks["planned"] = (marks["before"][1], time.monotonic() - begun)
    version = fleet.ctl("confirm", planned["plan"])["version"]
    accepted = time.monotonic()
    behind = set(fleet.application)
    while behind and time.monotonic() - accepted < 20:
        behind = {
            h for h in behind if (fleet.proxy_status(h) or {"version": 0})["version"] < version
        }
    in_force = time.monotonic() - accepted
    marks["confirmed, staged and switched"] = (
        marks["planned"][1],
        max(time.monotonic() - begun, marks["planned"][1] + 2),
    )
    time.sleep(seconds)
    marks["after"] = (marks["confirmed, staged and switched"][1] + 0.5, time.monotonic() - begun)
    for handle in callers:
        handle.terminate()
        handle.wait()
    rows = fleet.rows()
    found = {
        name: figures([r for r in rows if a * 1e6 <= r[2] < b * 1e6], b - a)
        for name, (a, b) in marks.items()
    }
    usual = found["before"]["p99_us"]
    lines = [
        f"{ways} ways, {os.path.getsize(path)} bytes; in force on all {len(fleet.application)} "
        f"machines {in_force:.2f} s after it was acknowledged; behind: {sorted(behind) or 'none'}",
        "",
        "| while | s | calls | codes | p99 over p99 before |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {marks[name][1] - marks[name][0]:.1f} | {f['calls']} "
        f"| {f['codes']} | {f['p99_us'] / usual:.2f} |"
        for name, f in found.items()
    ]
    return "\n".join(lines)
