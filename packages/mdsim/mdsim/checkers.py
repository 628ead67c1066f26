"""Each promise as a check over a history. A check gives breaches; none is good.

The checks know the stand-ins' rules only (who may call what), not the mesh's code.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

SECOND = 1_000_000
MILLI = 1_000

ONCE = {"withdrawals"}
ALLOWED = {
    "balances": ("desk", {"guest"}),
    "withdrawals": ("desk", {"guest"}),
    "ledger": ("desk", {"paper"}),
    "statements": ("paper", {"guest"}),
}


@dataclass(frozen=True)
class Breach:
    promise: str
    detail: str


CHECKS = {}


def check(promise):
    def register(function):
        CHECKS[promise] = function
        return function

    return register


def verify(history):
    return [
        Breach(promise, detail) for promise, found in CHECKS.items() for detail in found(history)
    ]


@check("a run-once call runs at most once")
def at_most_once(history):
    counts = Counter(ran.uid for ran in history.ran if ran.kind in ONCE)
    yield from (f"{uid} ran {n} times" for uid, n in counts.items() if n > 1)


@check("a not-run answer is true for ever")
def not_run(history):
    ran = {r.uid: r for r in history.ran}
    yield from (
        f"{a.uid} was told {a.code} not-run at {a.answered}, ran at {ran[a.uid].at}"
        for a in history.asked
        if a.verdict == "not-run" and a.uid in ran
    )


@check("an answer is the caller's own, whole, and a success only of what ran")
def own_answer(history):
    ran = {r.uid for r in history.ran}
    for asked in history.asked:
        if asked.verdict == "ran":
            if asked.body != {"uid": asked.uid, "caller": asked.caller, "whole": True}:
                yield f"{asked.uid} got {asked.body}"
            if asked.uid not in ran:
                yield f"{asked.uid} was answered but never ran"


@check("no call reaches a service it was not allowed to reach")
def allowed(history):
    for ran in history.ran:
        service, callers = ALLOWED[ran.kind]
        if ran.service != service:
            yield f"{ran.uid} of {ran.kind} reached {ran.service} at {ran.address}"
        if ran.caller not in callers:
            yield f"{ran.uid} of {ran.kind} ran for {ran.caller}"


@check("no service learns a false name of its caller")
def names(history):
    true = {asked.uid: asked.caller for asked in history.asked}
    yield from (
        f"{ran.uid} came from {true[ran.uid]}, the service heard {ran.caller}"
        for ran in history.ran
        if ran.uid in true and ran.caller != true[ran.uid]
    )


@check("a leaving endpoint gets no new calls after 2 s")
def drained(history):
    yield from (
        f"{ran.uid} reached {ran.address} {ran.at - history.drains[ran.endpoint]} us after"
        for ran in history.ran
        if ran.endpoint in history.drains and ran.at > history.drains[ran.endpoint] + 2 * SECOND
    )


@check("an accepted change is in force everywhere within 2 s")
def in_force(history):
    accepted = [o for o in history.operated if o.act == "confirm" and o.outcome == "ok"]
    for asked in history.asked:
        if asked.version is None or asked.cut_off:
            continue  # a machine that is cut off says so
        due = max((o.version for o in accepted if o.end + 2 * SECOND <= asked.sent), default=0)
        if asked.version < due:
            yield f"{asked.host} answered {asked.uid} by {asked.version}, {due} was accepted"


@check("no machine slips back to an older change")
def no_step_back(history):
    by_host = defaultdict(list)
    for asked in history.asked:
        if asked.version is not None:
            by_host[asked.host].append(asked)
    for host, calls in by_host.items():
        seen = sorted((c.answered, c.version) for c in calls)
        for call in calls:
            if call.cut_off:
                continue
            newer = max((v for at, v in seen if at + 250 * MILLI <= call.sent), default=0)
            if call.version < newer:
                yield f"{host} answered {call.uid} by {call.version} after {newer}"


@check("reads are linearizable and give what was accepted, whole")
def linearizable(history):
    """Versions only grow, so: a read gives no less than any change or read that ended before it
    began, no more than changes that began before it ended, and each version one content."""
    marks = {}
    for done in history.operated:
        if done.outcome != "ok" or not done.version:
            continue
        if marks.setdefault(done.version, done.mark) != done.mark:
            yield f"version {done.version} is {marks[done.version]} and {done.mark}"
    over = sorted((o for o in history.operated if o.outcome == "ok"), key=lambda o: o.end)
    for read in over:
        if read.act != "read":
            continue
        least = max((o.version for o in over if o.end <= read.start), default=0)
        if read.version < least:
            yield f"read at {read.start} gave {read.version}, {least} was known"
    confirmed = [o for o in history.operated if o.act == "confirm"]
    for read in over:
        if read.act == "read" and read.mark:
            writers = [o for o in confirmed if o.mark == read.mark]
            if not any(o.start <= read.end and o.outcome != "refused" for o in writers):
                yield f"read gave {read.mark}, which nobody had confirmed"
    versions = Counter(o.version for o in confirmed if o.outcome == "ok")
    yield from (f"{n} changes became version {v}" for v, n in versions.items() if n > 1)


@check("the day's end reads back what was last accepted")
def read_back(history):
    reads = [o for o in history.operated if o.act == "read" and o.outcome == "ok"]
    accepted = max(
        (o.version for o in history.operated if o.act == "confirm" and o.outcome == "ok"), default=0
    )
    if not reads or reads[-1].end < history.calm_from:
        yield "no read at the end succeeded"
    elif reads[-1].version < accepted:
        yield f"read {reads[-1].version}, accepted {accepted}"


@check("second tries stay within one in five and a few dozen in any 10 s")
def second_tries(history):
    first = {}
    extra = []
    for ran in sorted(history.ran, key=lambda r: r.at):
        if first.setdefault(ran.uid, ran.at) != ran.at:
            extra.append(ran.at)
    sent = sorted(a.sent for a in history.asked)
    for start in extra:
        end = start + 10 * SECOND
        tries = sum(start <= at < end for at in extra)
        requests = sum(start - SECOND <= at < end for at in sent)
        if tries > 0.2 * requests + 36:
            yield f"{tries} second tries for {requests} requests from {start}"
            return


@check("service returns within 15 s after the last fault")
def returns(history):
    late = [
        a
        for a in history.asked
        if a.sent >= history.calm_from + 15 * SECOND and (a.verdict, a.code) != ("ran", "200")
    ]
    if late:
        yield f"{len(late)} calls failed, as {late[0].host} {late[0].uid}: {late[0].code}"
    if not any(a.sent >= history.calm_from + 15 * SECOND for a in history.asked):
        yield "no call was made so late"
