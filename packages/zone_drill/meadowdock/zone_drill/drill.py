"""One drill: calls everywhere, a change by an operator, a hall taken out and brought back."""

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

RETURN_WITHIN = 15 * SECOND
EXTRAS = ("leaving", "slow", "garbage", "hurried", "race")
HOWS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP, "stop": signal.SIGTERM}


@dataclass(frozen=True)
class Finding:
    promise: str
    state: str  # "held", "broken" or "not exercised"
    evidence: str


class Drill:
    """Invariant: out holds the names of processes that this drill took out and did not bring
    back yet; it is empty when the drill ends."""

    def __init__(self, folder, hall, how, seconds, skip=()):
        self.folder, self.hall, self.how, self.seconds = folder, hall, how, seconds
        self.skip = skip
        self.left, self.raced, self.odd = [], [], []
        self.facts = self.read_facts()
        self.history = History()
        self.out = {}
        self.returned = {}
        self.tries = []
        self.ready = {}
        self.over = False
        self.out_at = 0
        self.number = 0
        self.tag = f"drill{os.getpid()}"
        self.keyed_kinds = set()

    def read_facts(self):
        with open(os.path.join(self.folder, "fleet.json"), encoding="utf-8") as file:
            return json.load(file)

    # ------------------------------------------------------------ load and operator

    async def calls(self, host, stream):
        while not self.over:
            if self.ready.get(host, True):
                await self.call(host, stream)
            await sleep_us(50 * MILLISECOND)  # the platform sends nobody to who is not ready

    async def call(self, host, stream, more=()):
        self.number += 1
        uid = f"{self.tag}-{self.number}"
        path = f"{stream['path']}/{uid}"
        asked = Asked(uid, host, stream["name"], "guest", monotonic_us(), path=path)
        connection = Net(host).http_connection(self.facts["proxies"][host])
        lines = [(b"md-key", uid.encode())] if stream.get("keyed") else []
        body = b'{"amount": 1}' if stream["method"] == "POST" else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        try:
            with deadline_scope(monotonic_us() + 6 * SECOND):
                status, headers, answer = await connection.request(
                    stream["method"], path, [*lines, *more], body, started
                )
                asked.heard(status, headers, answer)
        except HttpConnectionFailed:
            asked.broke(sent)
        finally:
            await connection.close()
        asked.answered = monotonic_us()
        self.history.asked.append(asked)

    async def probe(self, host, proxy):
        """As the platform: once a second."""
        while not self.over:
            self.ready[host] = (await fetch(Net(host), proxy, "/ready"))[0] == 200
            await sleep_us(SECOND)

    async def operate(self, method, path, facts=None):
        body = json.dumps(facts).encode() if facts is not None else b""
        return await trio.to_thread.run_sync(send_request, self.facts["core"], method, path, body)

    async def change(self):
        """A harmless change there and back: the share that a spilled call costs at home."""
        status, told = await self.operate("GET", "/manifest")
        if status != 200:
            return
        manifest = told["manifest"]
        share = manifest["load"]["share"]
        for value in (round(share + 0.001, 6), share):
            manifest["load"]["share"] = value
            status, planned = await self.operate("POST", "/plan", manifest)
            if status != 200 or not planned["plan"]:
                continue
            done = Operated("confirm", monotonic_us(), 0, "unclear", mark=str(value))
            self.history.operated.append(done)
            status, told = await self.operate("POST", "/confirm", {"plan": planned["plan"]})
            done.end = monotonic_us()
            if status == 200:
                done.outcome, done.version = "ok", told["version"]
            await sleep_us(3 * SECOND)

    async def read_back(self):
        done = Operated("read", monotonic_us(), 0, "refused")
        status, told = await self.operate("GET", "/manifest")
        if status == 200:
            done.outcome, done.version = "ok", told["version"]
            done.mark = str(told["manifest"]["load"]["share"])
        done.end = monotonic_us()
        self.history.operated.append(done)

    async def watch_tries(self):
        """Second tries of all proxies' windows together, each second."""
        while not self.over:
            requests = tries = 0
            for host, proxy in self.facts["proxies"].items():
                status, body = await fetch(Net(host), proxy, "/md/status", 500 * MILLISECOND)
                if status == 200:
                    window = json.loads(body)["second_tries"]
                    requests += window["requests"]
                    tries += window["tries"]
            self.tries.append((requests, tries))
            await sleep_us(SECOND)

    # ------------------------------------------------------------ beside the hall

    def outside(self, index):
        """An endpoint's machine outside the hall."""
        hosts = [
            name.split("-")[1]
            for name in sorted(self.facts["processes"])
            if name.startswith("endpoint-") and not self.inside(name)
        ]
        return hosts[index % len(hosts)]

    async def standin(self, host, **knobs):
        """Turn the knobs of a stand-in endpoint, or (none) read its counts."""
        connection = Net(host).http_connection(f"{host}:8000")
        try:
            with deadline_scope(monotonic_us() + 5 * SECOND):
                method, body = ("POST", json.dumps(knobs).encode()) if knobs else ("GET", b"")
                _, _, told = await connection.request(method, "/standin", [], body)
                return json.loads(told)
        finally:
            await connection.close()

    async def leaving(self):
        """One endpoint says that it leaves; later the fleet puts another in its place."""
        host = self.outside(0)
        await self.standin(host, draining=True)
        await sleep_us(2 * SECOND)
        before = (await self.standin(host))["ran"]
        await sleep_us(3 * SECOND)
        self.left.append((host, before, (await self.standin(host))["ran"]))
        self.ask_again(f"endpoint-{host}-8000")

    async def slow(self):
        await self.turned(self.outside(1), "mean_us", 800_000, self.facts["mean_us"])

    async def garbage(self):
        await self.turned(self.outside(2), "garbage", 0.5, 0.0)

    async def turned(self, host, knob, odd, good):
        value = good[host] if isinstance(good, dict) else good
        await self.standin(host, **{knob: odd})
        try:
            await sleep_us(3 * SECOND)
            self.odd.append((host, knob))
        finally:
            with trio.CancelScope(shield=True):
                await self.standin(host, **{knob: value})

    async def hurried(self):
        """Run-once calls whose due leaves them no time, or hardly any: not-run must be true."""
        host, stream = next(
            (h, s) for h, wanted in self.streams.items() for s in wanted if s.get("keyed")
        )
        for due_us in [0] * 10 + list(range(1_000, 31_000, 1_000)):
            await self.call(host, stream, [(b"md-due", str(due_us).encode())])

    async def race(self):
        """Two operators, one base: one of them is told that it is outdated."""
        status, told = await self.operate("GET", "/manifest")
        manifest, plans = told["manifest"], []
        share = manifest["load"]["share"]
        for value in (round(share + 0.002, 6), round(share + 0.003, 6)):
            manifest["load"]["share"] = value
            plans.append((await self.operate("POST", "/plan", manifest))[1]["plan"])

        async def confirm(plan):
            self.raced.append(await self.operate("POST", "/confirm", {"plan": plan}))

        async with trio.open_nursery() as nursery:
            for plan in plans:
                nursery.start_soon(confirm, plan)
        manifest["load"]["share"] = share
        _, planned = await self.operate("POST", "/plan", manifest)
        await self.operate("POST", "/confirm", {"plan": planned["plan"]})

    async def beside(self):
        for name in EXTRAS:
            if name not in self.skip:
                await getattr(self, name)()

    def ask_again(self, name):
        os.makedirs(os.path.join(self.folder, "again"), exist_ok=True)
        with open(os.path.join(self.folder, "again", name), "w", encoding="ascii"):
            pass

    # ------------------------------------------------------------ the hall

    def inside(self, name):
        parts = name.split("-")
        return parts[0] in ("mdproxy", "mdreg", "mdconf", "endpoint") and (
            self.facts["halls"].get(parts[1]) == self.hall
        )

    async def take_out(self):
        for name, process in self.facts["processes"].items():
            if self.inside(name):
                os.kill(process["pid"], HOWS[self.how])
                self.out[name] = process["pid"]
                self.history.away[name.split("-")[1]] = [
                    [monotonic_us(), monotonic_us() + 3600 * SECOND]
                ]

    async def bring_back(self):
        """Frozen ones go on; others are started again by the fleet that owns them."""
        self.history.calm_from = monotonic_us()
        for spans in self.history.away.values():
            spans[-1][1] = monotonic_us()
        if self.how == "freeze":
            for pid in self.out.values():
                os.kill(pid, signal.SIGCONT)
        else:
            for name in self.out:
                self.ask_again(name)
        self.out = {}
        with deadline_scope(monotonic_us() + 2 * RETURN_WITHIN):
            async with trio.open_nursery() as nursery:
                for host, proxy in self.facts["proxies"].items():
                    nursery.start_soon(self.wait_ready, host, proxy)

    async def wait_ready(self, host, proxy):
        while host not in self.returned:
            if (await fetch(Net(host), proxy, "/ready"))[0] == 200:
                self.returned[host] = monotonic_us() - self.history.calm_from
            await sleep_us(100 * MILLISECOND)

    async def run(self, streams):
        """streams: {host: [stream, ...]} of what guests may call there."""
        self.streams = streams
        try:
            async with trio.open_nursery() as nursery:
                self.keyed_kinds = {
                    s["name"] for w in streams.values() for s in w if s.get("keyed")
                }
                for host, wanted in streams.items():
                    for stream in wanted:
                        nursery.start_soon(self.calls, host, stream)
                for host, proxy in self.facts["proxies"].items():
                    nursery.start_soon(self.probe, host, proxy)
                nursery.start_soon(self.watch_tries)
                await sleep_us(3 * SECOND)
                await self.beside()
                self.out_at = monotonic_us()
                await self.take_out()
                await sleep_us(SECOND)
                with trio.move_on_after(15):
                    await self.change_if_possible()
                await sleep_us(self.seconds * SECOND)
                await self.bring_back()
                await sleep_us(
                    max(0, self.history.calm_from + RETURN_WITHIN - monotonic_us()) + 3 * SECOND
                )
                self.over = True
        finally:
            if self.out:
                with trio.CancelScope(shield=True):
                    await self.bring_back()
        try:
            await self.read_back()
        except (OutcomeUnknown, Unreachable):
            pass
        return self.findings()

    async def change_if_possible(self):
        try:
            await self.change()
        except (OutcomeUnknown, Unreachable):
            pass

    # ------------------------------------------------------------ findings

    def journal(self):
        """{key: executions} of this drill's own keys."""
        found = {}
        for name in sorted(os.listdir(self.folder)):
            if name.startswith("journal-"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as file:
                    for line in map(json.loads, file):
                        if line["key"].startswith(self.tag + "-"):
                            found.setdefault(line["key"], []).append(line)
        return found

    def findings(self):
        return [*self.calls_findings(), *self.manifest_findings(), *self.fleet_findings()]

    def calls_findings(self):
        ran, asked = self.journal(), self.history.asked
        keyed = [a for a in asked if a.uid in ran or a.kind in self.keyed_kinds]
        twice = [key for key, lines in ran.items() if len(lines) > 1]
        yield finding("a run-once call runs at most once", keyed, twice)
        not_run = [a for a in keyed if a.verdict == "not-run"]
        yield finding("a not-run answer is true", not_run, [a.uid for a in not_run if a.uid in ran])
        good = [a for a in asked if a.verdict == "ran" and a.code == "200"]
        yield finding(
            "an answer is the caller's own and whole",
            good,
            [a.uid for a in good if a.body.get("path") != a.path],
        )
        yield finding(
            "services hear the true name of their caller",
            good,
            [a.uid for a in good if a.body.get("caller") != a.caller],
        )
        stopped = [a for a in asked if self.how == "stop" and a.sent >= self.out_at]
        lost = [f"{a.uid} {a.code}" for a in stopped if a.verdict == "may-have-run"]
        yield finding("a planned stop drops no call in flight", stopped, lost)

    def manifest_findings(self):
        accepted = [o for o in self.history.operated if o.act == "confirm" and o.outcome == "ok"]
        yield finding(
            "an accepted change is in force within 2 s", accepted, list(in_force(self.history))
        )
        back = list(no_step_back(self.history))
        yield finding("no machine slips back to an older change", accepted, back)
        reads = [o for o in self.history.operated if o.act == "read" and o.outcome == "ok"]
        wrong = [
            f"read {reads[-1].version}, accepted {o.version}"
            for o in accepted
            if reads and reads[-1].version < o.version
        ]
        yield finding("read back is what was last accepted", accepted and reads, wrong)

    def fleet_findings(self):
        over = [f"{t} of {r}" for r, t in self.tries if t > 0.2 * r + 36]
        yield finding("second tries stay within one in five and a few dozen", self.tries, over)
        slow = [
            f"{host}: {self.returned.get(host, 'not')}"
            for host in self.facts["proxies"]
            if self.returned.get(host, RETURN_WITHIN + 1) > RETURN_WITHIN
        ]
        after = [
            a
            for a in self.history.asked
            if self.history.calm_from and a.sent > self.history.calm_from + RETURN_WITHIN
        ]
        failed = [f"{a.host} {a.code}" for a in after if a.verdict != "ran"]
        yield finding("service returns within 15 s", after, slow + failed)
        late = [f"{h}: {after - before} calls" for h, before, after in self.left if after > before]
        yield finding("a leaving endpoint gets no new calls after 2 s", self.left, late)
        codes = sorted(status for status, _ in self.raced)
        wrong = [str(self.raced)] if self.raced and codes != [200, 409] else []
        yield finding("of two racing changes one is accepted, the other told", self.raced, wrong)
        bad = [a for a in self.history.asked if a.code == "bad_answer"]
        told_ran = [f"{a.uid} {a.verdict}" for a in bad if a.verdict != "may-have-run"]
        yield finding("garbage is passed on to nobody", bad, told_ran)


def finding(promise, exercised, broken):
    """
    >>> finding("x", [], []).state, finding("x", [1], []).state, finding("x", [1], ["y"]).state
    ('not exercised', 'held', 'broken')
    """
    if broken:
        return Finding(promise, "broken", f"{len(broken)}: " + "; ".join(broken[:3]))
    if not exercised:
        return Finding(promise, "not exercised", "")
    return Finding(promise, "held", f"{len(exercised)} looked at")
