"""One drill: calls at all proxies and operator changes while a zone is taken out and restored."""

from __future__ import annotations

import json
import os
import signal
from dataclasses import dataclass

import trio

from meadowdock.cli.exceptions import OutcomeUnknown, Unreachable
from meadowdock.cli.operator_client import send_request
from meadowdock.local_fleet.caller import fetch
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    Net,
    deadline_scope,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator.checkers import in_force, no_step_back
from meadowdock.simulator.history import Asked, History, Operated

RECOVERY_LIMIT_US = 15 * SECOND  # from the restoration of the zone until its proxies are ready
EXTRA_STEPS = ("leaving", "slow", "garbage", "hurried", "race")  # methods of Drill, in their order
SIGNALS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP, "stop": signal.SIGTERM}


@dataclass(frozen=True)
class Finding:
    """What a drill found about one guarantee."""

    guarantee: str
    state: str  # "held", "broken" or "not exercised"
    evidence: str


class Drill:
    """A drill on the running fleet of a folder.

    Invariant: stopped maps the names of the processes that this drill took out and has not restored
    yet to their ids; it is empty when the drill ends.
    """

    def __init__(self, folder, zone, how, seconds, skip=()):
        self.folder, self.zone, self.how, self.seconds = folder, zone, how, seconds
        self.skip = skip
        self.drained_endpoints = []  # (host, executions 2 s and 5 s after it announced draining)
        self.race_responses = []  # (status, body) of two concurrent confirmations
        self.injected_knobs = []  # (host, knob)
        self.fleet = self.read_fleet()
        self.history = History()
        self.stopped = {}
        self.recovery_times_us = {}  # by host
        self.retry_windows = []  # (requests, retries) of all proxies together, each second
        self.ready = {}
        self.finished = False
        self.outage_start_us = 0
        self.call_count = 0
        self.uid_prefix = f"drill{os.getpid()}"
        self.keyed_kinds = set()

    def read_fleet(self):
        """Return the description of the fleet from its folder."""
        with open(os.path.join(self.folder, "fleet.json"), encoding="utf-8") as file:
            return json.load(file)

    async def call_repeatedly(self, host, stream):
        """Call a stream's path at a proxy again and again.

        Like the platform, send nothing to a proxy that is not ready.
        """
        while not self.finished:
            if self.ready.get(host, True):
                await self.call(host, stream)
            await sleep_us(50 * MILLISECOND)

    async def call(self, host, stream, more_headers=()):
        """Make one call and add it to the history."""
        self.call_count += 1
        uid = f"{self.uid_prefix}-{self.call_count}"
        path = f"{stream['path']}/{uid}"
        request = Asked(uid, host, stream["name"], "guest", monotonic_us(), path=path)
        connection = Net(host).http_connection(self.fleet["proxies"][host])
        headers = [(b"md-key", uid.encode())] if stream.get("keyed") else []
        body = b'{"amount": 1}' if stream["method"] == "POST" else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        try:
            with deadline_scope(monotonic_us() + 6 * SECOND):
                status, response_headers, response = await connection.request(
                    stream["method"], path, [*headers, *more_headers], body, started
                )
                request.heard(status, response_headers, response)
        except HttpConnectionFailed:
            request.broke(sent)
        finally:
            await connection.close()
        request.answered = monotonic_us()
        self.history.asked.append(request)

    async def probe(self, host, proxy):
        """Check once a second whether a proxy is ready, as the platform does."""
        while not self.finished:
            self.ready[host] = (await fetch(Net(host), proxy, "/ready"))[0] == 200
            await sleep_us(SECOND)

    async def operate(self, method, path, content=None):
        """Send an operator's request to the core and return (status, body)."""
        body = json.dumps(content).encode() if content is not None else b""
        return await trio.to_thread.run_sync(send_request, self.fleet["core"], method, path, body)

    async def change(self):
        """Make a harmless change of the configuration and undo it.

        It changes the weight that a forwarded call keeps in the load of the node that forwarded it.
        """
        status, current = await self.operate("GET", "/manifest")
        if status != 200:
            return
        manifest = current["manifest"]
        share = manifest["load"]["share"]
        for value in (round(share + 0.001, 6), share):
            manifest["load"]["share"] = value
            status, planned = await self.operate("POST", "/plan", manifest)
            if status != 200 or not planned["plan"]:
                continue
            operation = Operated("confirm", monotonic_us(), 0, "unclear", mark=str(value))
            self.history.operated.append(operation)
            status, body = await self.operate("POST", "/confirm", {"plan": planned["plan"]})
            operation.end = monotonic_us()
            if status == 200:
                operation.outcome, operation.version = "ok", body["version"]
            await sleep_us(3 * SECOND)

    async def read_manifest(self):
        """Read the configuration in force and add the read to the history."""
        operation = Operated("read", monotonic_us(), 0, "refused")
        status, body = await self.operate("GET", "/manifest")
        if status == 200:
            operation.outcome, operation.version = "ok", body["version"]
            operation.mark = str(body["manifest"]["load"]["share"])
        operation.end = monotonic_us()
        self.history.operated.append(operation)

    async def watch_retries(self):
        """Record each second how many requests and retries all proxies' windows hold together."""
        while not self.finished:
            requests = retries = 0
            for host, proxy in self.fleet["proxies"].items():
                status, body = await fetch(Net(host), proxy, "/md/status", 500 * MILLISECOND)
                if status == 200:
                    window = json.loads(body)["second_tries"]
                    requests += window["requests"]
                    retries += window["tries"]
            self.retry_windows.append((requests, retries))
            await sleep_us(SECOND)

    def host_outside_zone(self, index):
        """Return the host of an endpoint outside the zone."""
        hosts = [
            name.split("-")[1]
            for name in sorted(self.fleet["processes"])
            if name.startswith("endpoint-") and not self.is_in_zone(name)
        ]
        return hosts[index % len(hosts)]

    async def access_stand_in(self, host, **knobs):
        """Set knobs of a stand-in endpoint; without knobs, return its counts."""
        connection = Net(host).http_connection(f"{host}:8000")
        try:
            with deadline_scope(monotonic_us() + 5 * SECOND):
                method, body = ("POST", json.dumps(knobs).encode()) if knobs else ("GET", b"")
                _, _, response = await connection.request(method, "/standin", [], body)
                return json.loads(response)
        finally:
            await connection.close()

    async def leaving(self):
        """Let one endpoint announce that it is draining; later the fleet replaces it."""
        host = self.host_outside_zone(0)
        await self.access_stand_in(host, draining=True)
        await sleep_us(2 * SECOND)
        before = (await self.access_stand_in(host))["ran"]
        await sleep_us(3 * SECOND)
        self.drained_endpoints.append((host, before, (await self.access_stand_in(host))["ran"]))
        self.request_restart(f"endpoint-{host}-8000")

    async def slow(self):
        """Let one endpoint be slow for a while."""
        await self.set_knob_for_a_while(
            self.host_outside_zone(1), "mean_us", 800_000, self.fleet["mean_us"]
        )

    async def garbage(self):
        """Let one endpoint send malformed responses for a while."""
        await self.set_knob_for_a_while(self.host_outside_zone(2), "garbage", 0.5, 0.0)

    async def set_knob_for_a_while(self, host, knob, faulty, normal):
        """Set a knob to a faulty value for three seconds, then to its normal value (by host)."""
        value = normal[host] if isinstance(normal, dict) else normal
        await self.access_stand_in(host, **{knob: faulty})
        try:
            await sleep_us(3 * SECOND)
            self.injected_knobs.append((host, knob))
        finally:
            with trio.CancelScope(shield=True):
                await self.access_stand_in(host, **{knob: value})

    async def hurried(self):
        """Make calls with an idempotency key and from 0 to 30 ms until their deadline.

        A verdict not-run must be true for them.
        """
        host, stream = next(
            (host, stream)
            for host, streams in self.streams.items()
            for stream in streams
            if stream.get("keyed")
        )
        for due_us in [0] * 10 + list(range(1_000, 31_000, 1_000)):
            await self.call(host, stream, [(b"md-due", str(due_us).encode())])

    async def race(self):
        """Confirm two plans on the same base version concurrently: one must be rejected."""
        status, current = await self.operate("GET", "/manifest")
        manifest, plans = current["manifest"], []
        share = manifest["load"]["share"]
        for value in (round(share + 0.002, 6), round(share + 0.003, 6)):
            manifest["load"]["share"] = value
            plans.append((await self.operate("POST", "/plan", manifest))[1]["plan"])

        async def confirm(plan):
            self.race_responses.append(await self.operate("POST", "/confirm", {"plan": plan}))

        async with trio.open_nursery() as nursery:
            for plan in plans:
                nursery.start_soon(confirm, plan)
        manifest["load"]["share"] = share
        _, planned = await self.operate("POST", "/plan", manifest)
        await self.operate("POST", "/confirm", {"plan": planned["plan"]})

    async def run_extras(self):
        """Run the steps of EXTRA_STEPS that aren't skipped."""
        for name in EXTRA_STEPS:
            if name not in self.skip:
                await getattr(self, name)()

    def request_restart(self, name):
        """Ask the fleet to restart a process."""
        os.makedirs(os.path.join(self.folder, "again"), exist_ok=True)
        with open(os.path.join(self.folder, "again", name), "w", encoding="ascii"):
            pass

    def is_in_zone(self, name):
        """Return whether a process belongs to the zone of the drill."""
        parts = name.split("-")
        return parts[0] in ("mdproxy", "mdreg", "mdconf", "endpoint") and (
            self.fleet["halls"].get(parts[1]) == self.zone
        )

    async def stop_zone(self):
        """Kill, freeze or stop all processes of the zone."""
        for name, process in self.fleet["processes"].items():
            if self.is_in_zone(name):
                os.kill(process["pid"], SIGNALS[self.how])
                self.stopped[name] = process["pid"]
                self.history.away[name.split("-")[1]] = [
                    [monotonic_us(), monotonic_us() + 3600 * SECOND]
                ]

    async def restore_zone(self):
        """Restore the zone and wait until its proxies are ready.

        Frozen processes continue; others are restarted by the fleet that started them.
        """
        self.history.calm_from = monotonic_us()
        for spans in self.history.away.values():
            spans[-1][1] = monotonic_us()
        if self.how == "freeze":
            for pid in self.stopped.values():
                os.kill(pid, signal.SIGCONT)
        else:
            for name in self.stopped:
                self.request_restart(name)
        self.stopped = {}
        with deadline_scope(monotonic_us() + 2 * RECOVERY_LIMIT_US):
            async with trio.open_nursery() as nursery:
                for host, proxy in self.fleet["proxies"].items():
                    nursery.start_soon(self.wait_ready, host, proxy)

    async def wait_ready(self, host, proxy):
        """Wait until a proxy is ready and record how long that took since the restoration."""
        while host not in self.recovery_times_us:
            if (await fetch(Net(host), proxy, "/ready"))[0] == 200:
                self.recovery_times_us[host] = monotonic_us() - self.history.calm_from
            await sleep_us(100 * MILLISECOND)

    async def run(self, streams):
        """Run the drill and return its findings.

        streams maps each host to the streams that guests may call there.
        """
        self.streams = streams
        try:
            async with trio.open_nursery() as nursery:
                self.keyed_kinds = {
                    stream["name"]
                    for host_streams in streams.values()
                    for stream in host_streams
                    if stream.get("keyed")
                }
                for host, host_streams in streams.items():
                    for stream in host_streams:
                        nursery.start_soon(self.call_repeatedly, host, stream)
                for host, proxy in self.fleet["proxies"].items():
                    nursery.start_soon(self.probe, host, proxy)
                nursery.start_soon(self.watch_retries)
                await sleep_us(3 * SECOND)
                await self.run_extras()
                self.outage_start_us = monotonic_us()
                await self.stop_zone()
                await sleep_us(SECOND)
                with trio.move_on_after(15):
                    await self.change_if_possible()
                await sleep_us(self.seconds * SECOND)
                await self.restore_zone()
                await sleep_us(
                    max(0, self.history.calm_from + RECOVERY_LIMIT_US - monotonic_us()) + 3 * SECOND
                )
                self.finished = True
        finally:
            if self.stopped:
                with trio.CancelScope(shield=True):
                    await self.restore_zone()
        try:
            await self.read_manifest()
        except (OutcomeUnknown, Unreachable):
            pass
        return self.findings()

    async def change_if_possible(self):
        """Make the change, unless the core is unreachable or the outcome stays unknown."""
        try:
            await self.change()
        except (OutcomeUnknown, Unreachable):
            pass

    def read_journals(self):
        """Return the endpoints' journal entries of this drill's calls, by key."""
        entries_by_key = {}
        for name in sorted(os.listdir(self.folder)):
            if name.startswith("journal-"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as file:
                    for entry in map(json.loads, file):
                        if entry["key"].startswith(self.uid_prefix + "-"):
                            entries_by_key.setdefault(entry["key"], []).append(entry)
        return entries_by_key

    def findings(self):
        """Return the findings about all guarantees."""
        return [*self.calls_findings(), *self.manifest_findings(), *self.fleet_findings()]

    def calls_findings(self):
        """Yield the findings about the outcomes of calls."""
        executions, calls = self.read_journals(), self.history.asked
        keyed = [call for call in calls if call.uid in executions or call.kind in self.keyed_kinds]
        twice = [key for key, entries in executions.items() if len(entries) > 1]
        yield finding("a run-once call runs at most once", keyed, twice)
        not_run = [call for call in keyed if call.verdict == "not-run"]
        yield finding(
            "a not-run answer is true",
            not_run,
            [call.uid for call in not_run if call.uid in executions],
        )
        served = [call for call in calls if call.verdict == "ran" and call.code == "200"]
        yield finding(
            "an answer is the caller's own and whole",
            served,
            [call.uid for call in served if call.body.get("path") != call.path],
        )
        yield finding(
            "services hear the true name of their caller",
            served,
            [call.uid for call in served if call.body.get("caller") != call.caller],
        )
        during_stop = [
            call for call in calls if self.how == "stop" and call.sent >= self.outage_start_us
        ]
        lost = [f"{call.uid} {call.code}" for call in during_stop if call.verdict == "may-have-run"]
        yield finding("a planned stop drops no call in flight", during_stop, lost)

    def manifest_findings(self):
        """Yield the findings about the operators' changes."""
        operations = self.history.operated
        accepted = [
            operation
            for operation in operations
            if operation.act == "confirm" and operation.outcome == "ok"
        ]
        yield finding(
            "an accepted change is in force within 2 s", accepted, list(in_force(self.history))
        )
        regressions = list(no_step_back(self.history))
        yield finding("no machine slips back to an older change", accepted, regressions)
        reads = [
            operation
            for operation in operations
            if operation.act == "read" and operation.outcome == "ok"
        ]
        wrong = [
            f"read {reads[-1].version}, accepted {operation.version}"
            for operation in accepted
            if reads and reads[-1].version < operation.version
        ]
        yield finding("read back is what was last accepted", accepted and reads, wrong)

    def fleet_findings(self):
        """Yield the findings about retries, recovery, draining, races and malformed responses."""
        exceeded = [
            f"{retries} of {requests}"
            for requests, retries in self.retry_windows
            if retries > 0.2 * requests + 36
        ]
        yield finding(
            "second tries stay within one in five and a few dozen", self.retry_windows, exceeded
        )
        slow = [
            f"{host}: {self.recovery_times_us.get(host, 'not')}"
            for host in self.fleet["proxies"]
            if self.recovery_times_us.get(host, RECOVERY_LIMIT_US + 1) > RECOVERY_LIMIT_US
        ]
        after_recovery = [
            call
            for call in self.history.asked
            if self.history.calm_from and call.sent > self.history.calm_from + RECOVERY_LIMIT_US
        ]
        failed = [f"{call.host} {call.code}" for call in after_recovery if call.verdict != "ran"]
        yield finding("service returns within 15 s", after_recovery, slow + failed)
        late = [
            f"{host}: {after - before} calls"
            for host, before, after in self.drained_endpoints
            if after > before
        ]
        yield finding(
            "a leaving endpoint gets no new calls after 2 s", self.drained_endpoints, late
        )
        statuses = sorted(status for status, _ in self.race_responses)
        wrong = [str(self.race_responses)] if self.race_responses and statuses != [200, 409] else []
        yield finding(
            "of two racing changes one is accepted, the other told", self.race_responses, wrong
        )
        malformed = [call for call in self.history.asked if call.code == "bad_answer"]
        wrong_verdicts = [
            f"{call.uid} {call.verdict}" for call in malformed if call.verdict != "may-have-run"
        ]
        yield finding("garbage is passed on to nobody", malformed, wrong_verdicts)


def finding(guarantee, exercised, violations):
    """Return the finding about a guarantee from the observations that exercised or broke it.

    >>> finding("x", [], []).state, finding("x", [1], []).state, finding("x", [1], ["y"]).state
    ('not exercised', 'held', 'broken')
    """
    if violations:
        return Finding(guarantee, "broken", f"{len(violations)}: " + "; ".join(violations[:3]))
    if not exercised:
        return Finding(guarantee, "not exercised", "")
    return Finding(guarantee, "held", f"{len(exercised)} looked at")
