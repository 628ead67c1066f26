"""Measurements of a deployment on one machine, from the reports of its callers.

Times in the reports are by the callers' clock, from the start of their load.
"""

from __future__ import annotations

import json
import os
import time

from meadowdock.local_fleet.fleet import TOPOLOGIES_FOLDER
from meadowdock.local_fleet.report import call_statistics, summary, table

# The length of each phase of `measure`, in seconds.
SETTLE_S, STEADY_S, SLOW_S, NORMAL_S, REPLACED_S, RESTARTED_S = 4, 15, 10, 8, 8, 10


class StatusSampler:
    """Sample the status of one proxy each second while the load runs."""

    def __init__(self, fleet, host, service):
        self.fleet, self.host, self.service = fleet, host, service
        self.samples = []  # (phase, rho of the service, counts)

    def sample(self, seconds, phase):
        """Take samples for the length of a phase."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status = self.fleet.proxy_status(self.host)
            if status:
                rho = round(status["rho"].get(self.service, 0), 3)
                self.samples.append((phase, rho, status["counts"]))
            time.sleep(1)

    def table(self):
        """Return a Markdown table of the highest rho and the number of calls by rule, per phase."""
        rows = ["| phase | highest rho | spilled | decided by |", "|---|---|---|---|"]
        previous = {}
        for phase in dict.fromkeys(sample[0] for sample in self.samples):
            samples = [sample for sample in self.samples if sample[0] == phase]
            last = samples[-1][2]
            increases = {key: count - previous.get(key, 0) for key, count in sorted(last.items())}
            rules = ", ".join(
                f"{key[5:]} {count}"
                for key, count in increases.items()
                if key[:5] == "rule." and count
            )
            highest = max(sample[1] for sample in samples)
            rows.append(f"| {phase} | {highest} | {increases.get('spilled', 0)} | {rules} |")
            previous = last
        return "\n".join(rows)


def measure(fleet, rate):
    """Run the phases of the measurement under load and return their tables as Markdown.

    One endpoint becomes slow and recovers, one is replaced, and one proxy is restarted.
    """
    fleet.start_all()
    service = next(iter(fleet.application.values()))[1]
    slow, drained, restarted = fleet.hosts_of(service)[:3]
    mean_us, capacity = fleet.application[slow][3], fleet.application[slow][2]
    rate_per_host = sum(
        stream["rate"] * rate / len(fleet.hosts_of(service))
        for stream in fleet.topology["load"]
        if stream["at"] == service and "by" not in stream
    )
    longest_s = 3 * (SETTLE_S + STEADY_S + SLOW_S + NORMAL_S + REPLACED_S + RESTARTED_S)
    started = time.monotonic()
    callers = fleet.start_callers(longest_s, rate_factor=rate)
    sampler = StatusSampler(fleet, slow, service)
    phases = []

    def run_phase(name, seconds, action=None):
        start = time.monotonic() - started
        if action:
            action()
        sampler.sample(seconds, name)
        phases.append((name, start, time.monotonic() - started))

    notes = []

    def replace_endpoint():
        status, duration_s = fleet.stop(f"endpoint-{drained}-8000")
        notes.append(f"drained endpoint: exit {status} after {duration_s:.2f} s")
        _, handle = fleet.start_endpoint(drained, 8001)
        fleet.tokens[drained] = json.loads(handle.stdout.readline())["token"]
        fleet.write_description()

    def restart_proxy():
        status, duration_s = fleet.stop(f"mdproxy-{restarted}")
        notes.append(f"restarted proxy: exit {status} after {duration_s:.2f} s")
        fleet.start_daemon("mdproxy", restarted)
        fleet.wait_ready([f"{restarted}:7400"])
        notes.append("restarted proxy: ready again")

    # With this service time, the calls of its own host alone need 1.5 times the endpoint's capacity.
    slow_mean_us = int(1.5 * capacity / rate_per_host * 1_000_000)
    run_phase("settle", SETTLE_S)
    run_phase("steady", STEADY_S)
    run_phase("slow endpoint", SLOW_S, lambda: fleet.set_knobs(slow, mean_us=slow_mean_us))
    run_phase("back to normal", NORMAL_S, lambda: fleet.set_knobs(slow, mean_us=mean_us))
    run_phase("endpoint replaced", REPLACED_S, replace_endpoint)
    run_phase("proxy restarted", RESTARTED_S, restart_proxy)
    cpu = cpu_by_kind(fleet)
    for handle in callers:
        handle.terminate()
        handle.wait()
    rows = fleet.read_report_rows()
    offered_per_s = sum(stream["rate"] for stream in fleet.topology["load"]) * rate
    return "\n\n".join(
        [
            f"## {fleet.topology['name']}: offered {offered_per_s:.0f} a second",
            f"slow endpoint: {slow}, mean {slow_mean_us / 1000:.0f} ms instead of {mean_us / 1000:.0f} ms",
            *phase_tables(rows, phases),
            f"### {slow} over the phases\n\n" + sampler.table(),
            "### Counts over the whole run\n\n" + totals(fleet, rows, notes, cpu),
        ]
    )


def phase_tables(rows, phases):
    """Yield a section with the table of the calls that were intended in each phase."""
    for name, start, end in phases:
        within = [row for row in rows if start * 1e6 <= row[2] < end * 1e6]
        yield f"### {name} ({end - start:.0f} s)\n\n" + table(summary(within, end - start))


def totals(fleet, rows, notes, cpu):
    """Return a Markdown list of the counts of all calls, of false verdicts, and of CPU seconds."""
    keys = [entry["key"] for entry in read_journals(fleet)]
    keys_not_run = {row[6] for row in rows if row[6] and row[5] == "not-run"}
    keys_ran = {row[6] for row in rows if row[6] and row[5] == "ran"}
    total = call_statistics(rows, 1)
    lines = [
        f"calls: {total['calls']}, verdicts: {total['verdicts']}, codes: {total['codes']}",
        f"run-once calls by key: {len(set(keys))} ran, {len(keys) - len(set(keys))} ran twice, "
        f"{len(keys_not_run & set(keys))} told not-run yet ran, "
        f"{len(keys_ran - set(keys))} told ran yet not in a journal",
        *notes,
        "CPU seconds by kind: " + ", ".join(f"{kind} {value:.1f}" for kind, value in cpu.items()),
    ]
    return "\n".join(f"- {line}" for line in lines)


def read_journals(fleet):
    """Yield the entries of all endpoints' journals."""
    for name in sorted(os.listdir(fleet.folder)):
        if name.startswith("journal-"):
            with open(os.path.join(fleet.folder, name), encoding="utf-8") as file:
                yield from map(json.loads, file)


def cpu_by_kind(fleet):
    """Return the user and system time of the running processes in seconds, by role."""
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    seconds_by_kind = {}
    for name, process in fleet.processes.items():
        try:
            with open(f"/proc/{process.handle.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            continue
        kind = name.split("-")[0]
        cpu_s = (int(fields[11]) + int(fields[12])) / ticks_per_s
        seconds_by_kind[kind] = seconds_by_kind.get(kind, 0) + cpu_s
    return seconds_by_kind


def overload(fleet, factors=(0.5, 1.0, 2.0, 3.0), seconds=8):
    """Offer fractions and multiples of the endpoints' capacity and return a Markdown table.

    The endpoints are made so slow that the topology's load equals their capacity. The factors
    follow one another in one run.
    """
    fleet.start_all()
    for host, (_, service, capacity, _) in fleet.application.items():
        offered_per_s = sum(
            stream["rate"]
            for stream in fleet.topology["load"]
            if target_service(fleet, stream) == service
        )
        slots = capacity * len(fleet.hosts_of(service))
        fleet.set_knobs(host, mean_us=int(slots / offered_per_s * 1_000_000))
    lines = [
        "| offered, of capacity | calls | answered | of capacity | refused as not-run "
        "| may-have-run | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    capacity_calls = sum(stream["rate"] for stream in fleet.topology["load"]) * seconds
    for factor in factors:
        label = f"x{factor}"
        for handle in fleet.start_callers(seconds, rate_factor=factor, label=label):
            handle.wait()
        statistics = call_statistics(fleet.read_report_rows(label), seconds)
        verdicts = statistics["verdicts"]
        ran = verdicts.get("ran", 0)
        lines.append(
            f"| {factor} | {statistics['calls']} | {ran} | {ran / capacity_calls:.2f} "
            f"| {verdicts.get('not-run', 0)} | {verdicts.get('may-have-run', 0)} "
            f"| {(statistics['p99_us'] or 0) / 1000:.0f} |"
        )
    return "\n".join(lines)


def target_service(fleet, stream):
    """Return the service that a stream's path is routed to by the topology's own manifest."""
    with open(
        os.path.join(TOPOLOGIES_FOLDER, fleet.topology["manifest"]), encoding="utf-8"
    ) as file:
        routes = json.load(file)["ways"]
    prefix = "/" + stream["path"].split("/")[1]
    return next(route["service"] for route in routes if route["path"] == prefix)


def large_change(fleet, ways=30_000, seconds=6):
    """Plan and confirm a very large manifest under load and return a Markdown report.

    It says how soon the manifest is in force at all proxies, and how the p99 latency of the calls
    changes meanwhile, relative to that before.
    """
    fleet.start_all()
    with open(
        os.path.join(TOPOLOGIES_FOLDER, fleet.topology["manifest"]), encoding="utf-8"
    ) as file:
        manifest = json.load(file)
    template = manifest["ways"][0]
    manifest["ways"] += [
        {**template, "name": f"many-{n}", "path": f"/many/w{n}"} for n in range(ways)
    ]
    path = os.path.join(fleet.folder, "large.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(manifest, file)
    callers = fleet.start_callers(20 * seconds)
    started = time.monotonic()
    time.sleep(2 + seconds)
    phases = {"before": (2.0, time.monotonic() - started)}
    planned = fleet.run_mdctl("plan", path)
    phases["planned"] = (phases["before"][1], time.monotonic() - started)
    version = fleet.run_mdctl("confirm", planned["plan"])["version"]
    accepted = time.monotonic()
    behind = set(fleet.application)
    while behind and time.monotonic() - accepted < 20:
        behind = {
            host
            for host in behind
            if (fleet.proxy_status(host) or {"version": 0})["version"] < version
        }
    rollout_s = time.monotonic() - accepted
    phases["confirmed, staged and switched"] = (
        phases["planned"][1],
        max(time.monotonic() - started, phases["planned"][1] + 2),
    )
    time.sleep(seconds)
    phases["after"] = (
        phases["confirmed, staged and switched"][1] + 0.5,
        time.monotonic() - started,
    )
    for handle in callers:
        handle.terminate()
        handle.wait()
    rows = fleet.read_report_rows()
    statistics_by_phase = {
        name: call_statistics(
            [row for row in rows if start * 1e6 <= row[2] < end * 1e6], end - start
        )
        for name, (start, end) in phases.items()
    }
    p99_before_us = statistics_by_phase["before"]["p99_us"]
    lines = [
        f"{ways} ways, {os.path.getsize(path)} bytes; in force on all {len(fleet.application)} "
        f"machines {rollout_s:.2f} s after it was acknowledged; behind: {sorted(behind) or 'none'}",
        "",
        "| while | s | calls | codes | p99 over p99 before |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {phases[name][1] - phases[name][0]:.1f} | {statistics['calls']} "
        f"| {statistics['codes']} | {statistics['p99_us'] / p99_before_us:.2f} |"
        for name, statistics in statistics_by_phase.items()
    ]
    return "\n".join(lines)
