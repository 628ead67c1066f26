"""Each promise as a check over a history. A check gives breaches; none is good.

The checks know the stand-ins' rules only (who may call what), not the mesh's code.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from itertools import accumulate

SECOND = 1_000_000
MILLISECOND = 1_000
IN_FORCE = 2 * SECOND
STEP_BACK = 250 * MILLISECOND
TELLS = SECOND  # a proxy kept from the core for so long must say so with an older version
WINDOW = 10 * SECOND
RETURN = 15 * SECOND

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


class Steps:
    """The highest value so far, over time. Invariant: both lists are in order of time.

    >>> steps = Steps([(5, 2), (1, 1), (7, 1)])
    >>> steps.at(0), steps.at(1), steps.at(9)
    (0, 1, 2)
    """

    def __init__(self, pairs):
        ordered = sorted(pairs)
        self.times = [at for at, _ in ordered]
        self.values = list(accumulate((value for _, value in ordered), max))

    def at(self, at):
        index = bisect_right(self.times, at)
        return self.values[index - 1] if index else 0


def versioned(history):
    """What was decided by a manifest; version 0 is a proxy that says it has none yet."""
    return [a for a in history.asked if a.version]


def in_reach(away, start, end, length):
    """Was there a whole `length` between start and end that lies in no span of `away`?

    >>> in_reach([[5, 9]], 0, 10, 5), in_reach([[4, 9]], 0, 10, 5)
    (True, False)
    """
    for begin, over in away:
        if begin >= start + length:
            break
        start = max(start, over)
    return end - start >= length


@check("an accepted change is in force everywhere within 2 s")
def in_force(history):
    """A machine excuses nothing by its own word: only what the run itself kept from the core for
    so long that 2 s in reach did not fit since, and that said so, may answer by an older one."""
    accepted = [o for o in history.operated if o.act == "confirm" and o.outcome == "ok"]
    newest = Steps((o.end + IN_FORCE, o.version) for o in accepted)
    for asked in versioned(history):
        if asked.version >= newest.at(asked.sent):
            continue
        away = history.away.get(asked.host, [])
        for done in accepted:
            if done.version <= asked.version or done.end + IN_FORCE > asked.sent:
                continue
            if in_reach(away, done.end, asked.sent, IN_FORCE):
                yield (
                    f"{asked.host} answered {asked.uid} by {asked.version}, "
                    f"{done.version} was accepted"
                )
                break
        else:
            kept = any(b + TELLS <= asked.sent and asked.answered <= e for b, e in away)
            if kept and not asked.cut_off:
                yield f"{asked.host} answered {asked.uid} by {asked.version} and did not say so"


@check("no machine slips back to an older change")
def no_step_back(history):
    by_host = defaultdict(list)
    for asked in versioned(history):
        by_host[asked.host].append(asked)
    for host, calls in by_host.items():
        seen = Steps((c.answered + STEP_BACK, c.version) for c in calls)
        for call in calls:
            if call.version < seen.at(call.sent):
                yield f"{host} answered {call.uid} by {call.version} after {seen.at(call.sent)}"


def lags(history):
    """{version: us} from the first answer by it to the last by an older one that was asked for
    later, on machines that the run had left in reach since."""
    first = {}
    for asked in sorted(versioned(history), key=lambda a: a.answered):
        first.setdefault(asked.version, asked.answered)
    found = {}
    for asked in versioned(history):
        away = history.away.get(asked.host, [])
        for version, at in first.items():
            later = asked.version < version and asked.sent > at
            if later and not any(b <= asked.answered and e + IN_FORCE > at for b, e in away):
                found[version] = max(found.get(version, 0), asked.sent - at)
    return found


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
    """Counted where they leave: each spill of a call after its first, and each sending of it to
    an endpoint after the first."""
    first, extra = set(), []
    for at, kind, call in sorted(history.sendings):
        if (kind, call) in first:
            extra.append(at)
        first.add((kind, call))
    sent = sorted(a.sent for a in history.asked)
    for index, start in enumerate(extra):
        end = start + WINDOW
        tries = bisect_right(extra, end - 1) - index
        requests = bisect_right(sent, end - 1) - bisect_right(sent, start - 1)
        if tries > 0.2 * requests + 36:
            yield f"{tries} second tries for {requests} requests from {start}"
            return


@check("a planned stop drops no call in flight")
def stops(history):
    for host, begun, over in history.stops:
        yield from (
            f"{a.uid} at {host}: {a.code} {a.verdict}, asked {a.sent - begun} us after the stop"
            for a in history.asked
            if a.host == host
            and begun <= a.answered
            and a.sent <= over
            and (a.code, a.verdict) == ("proxy_lost", "may-have-run")
        )


@check("a broken change has no part and is never acknowledged")
def broken_changes(history):
    yield from (f"{mark} was answered {status}" for mark, status in history.broken if status < 400)
    marks = {mark for mark, _ in history.broken}
    yield from (
        f"version {done.version} is {done.mark}, which is broken"
        for done in history.operated
        if done.mark in marks and done.outcome != "refused"
    )


@check("a member whose disk was lost or went bad votes again by itself")
def repaired(history):
    yield from (f"{host} does not" for host in history.unrepaired)


@check("the audit trail is whole at the day's end")
def trail(history):
    yield from history.trail if history.trail is not None else ["it could not be read"]


def good(asked):
    return (asked.verdict, asked.code) == ("ran", "200")


def returned(history):
    """How long after the last fault the last call was asked that did not end well; us."""
    failed = (a.sent for a in history.asked if a.sent >= history.calm_from and not good(a))
    return max(failed, default=history.calm_from) - history.calm_from


@check("service returns within 15 s after the last fault")
def returns(history):
    late = [a for a in history.asked if a.sent >= history.calm_from + RETURN]
    failed = [a for a in late if not good(a)]
    if failed:
        yield f"{len(failed)} calls failed, as {failed[0].host} {failed[0].uid}: {failed[0].code}"
    silent = {a.host for a in history.asked} - {a.host for a in late}
    if silent or not late:
        yield f"no call was made so late at {sorted(silent) or 'any machine'}"
