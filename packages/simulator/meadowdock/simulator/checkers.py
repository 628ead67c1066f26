"""Checks of the mesh's guarantees over a recorded history.

Each check yields the details of its breaches; a correct history yields none. The checks know only
which callers the stand-ins may call (ACCESS_RULES), nothing of the mesh's own code.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from itertools import accumulate

SECOND = 1_000_000
MILLISECOND = 1_000
IN_FORCE_WITHIN_US = 2 * SECOND
STEP_BACK_TOLERANCE_US = 250 * MILLISECOND
# a proxy that has been partitioned from the core for this long must mark its answers as cut off
REPORTS_CUT_OFF_WITHIN_US = SECOND
RETRY_WINDOW_US = 10 * SECOND
RECOVERY_WITHIN_US = 15 * SECOND

RUN_ONCE_KINDS = {"withdrawals"}
# kind of call -> (the service that serves it, the callers that are allowed)
ACCESS_RULES = {
    "balances": ("desk", {"guest"}),
    "withdrawals": ("desk", {"guest"}),
    "ledger": ("desk", {"paper"}),
    "statements": ("paper", {"guest"}),
}


@dataclass(frozen=True)
class Breach:
    promise: str
    detail: str


CHECKS = {}  # promise -> its check


def check(promise):
    def register(function):
        CHECKS[promise] = function
        return function

    return register


def verify(history):
    return [Breach(promise, detail) for promise, find in CHECKS.items() for detail in find(history)]


@check("a run-once call runs at most once")
def at_most_once(history):
    counts = Counter(execution.uid for execution in history.ran if execution.kind in RUN_ONCE_KINDS)
    yield from (f"{uid} ran {n} times" for uid, n in counts.items() if n > 1)


@check("a not-run answer is true for ever")
def not_run_is_final(history):
    executions = {execution.uid: execution for execution in history.ran}
    yield from (
        f"{call.uid} was answered {call.code} not-run at {call.answered}, "
        f"ran at {executions[call.uid].at}"
        for call in history.asked
        if call.verdict == "not-run" and call.uid in executions
    )


@check("an answer is the caller's own, whole, and a success only of what ran")
def answers_match_calls(history):
    executed = {execution.uid for execution in history.ran}
    for call in history.asked:
        if call.verdict == "ran":
            if call.body != {"uid": call.uid, "caller": call.caller, "whole": True}:
                yield f"{call.uid} got {call.body}"
            if call.uid not in executed:
                yield f"{call.uid} was answered but never ran"


@check("no call reaches a service it was not allowed to reach")
def no_unauthorized_execution(history):
    for execution in history.ran:
        service, callers = ACCESS_RULES[execution.kind]
        if execution.service != service:
            yield (
                f"{execution.uid} of {execution.kind} reached {execution.service} "
                f"at {execution.address}"
            )
        if execution.caller not in callers:
            yield f"{execution.uid} of {execution.kind} ran for {execution.caller}"


@check("no service learns a false name of its caller")
def caller_identity(history):
    callers = {call.uid: call.caller for call in history.asked}
    yield from (
        f"{execution.uid} came from {callers[execution.uid]}, "
        f"the service was given {execution.caller}"
        for execution in history.ran
        if execution.uid in callers and execution.caller != callers[execution.uid]
    )


@check("a leaving endpoint gets no new calls after 2 s")
def no_calls_after_drain(history):
    yield from (
        f"{execution.uid} reached {execution.address} "
        f"{execution.at - history.drains[execution.endpoint]} us after its drain"
        for execution in history.ran
        if execution.endpoint in history.drains
        and execution.at > history.drains[execution.endpoint] + 2 * SECOND
    )


class RunningMaximum:
    """The highest value up to a time, from (time, value) pairs.

    Invariant: both lists are ordered by time.

    >>> highest = RunningMaximum([(5, 2), (1, 1), (7, 1)])
    >>> highest.value_at(0), highest.value_at(1), highest.value_at(9)
    (0, 1, 2)
    """

    def __init__(self, pairs):
        ordered = sorted(pairs)
        self.times = [time for time, _ in ordered]
        self.values = list(accumulate((value for _, value in ordered), max))

    def value_at(self, time):
        index = bisect_right(self.times, time)
        return self.values[index - 1] if index else 0


def answers_with_version(history):
    """Return the calls that were answered under a manifest.

    A proxy that has no manifest yet answers with version 0; such calls are left out.
    """
    return [call for call in history.asked if call.version]


def reachable_for(partitions, start, end, length):
    """Return whether some `length` between start and end overlaps none of the partitions.

    >>> reachable_for([[5, 9]], 0, 10, 5), reachable_for([[4, 9]], 0, 10, 5)
    (True, False)
    """
    for began, ended in partitions:
        if began >= start + length:
            break
        start = max(start, ended)
    return end - start >= length


@check("an accepted change is in force everywhere within 2 s")
def in_force(history):
    """Find answers under an older version than one accepted at least 2 s before the call.

    An older version is allowed only if the run itself partitioned the machine from the core
    (history.away), so that it had no 2 s of contact since the change was accepted. What the machine
    reports about itself is no excuse. If the partition had lasted for REPORTS_CUT_OFF_WITHIN_US, the
    answer must also be marked as cut off.
    """
    accepted = [o for o in history.operated if o.act == "confirm" and o.outcome == "ok"]
    newest = RunningMaximum((o.end + IN_FORCE_WITHIN_US, o.version) for o in accepted)
    for call in answers_with_version(history):
        if call.version >= newest.value_at(call.sent):
            continue
        partitions = history.away.get(call.host, [])
        for change in accepted:
            if change.version <= call.version or change.end + IN_FORCE_WITHIN_US > call.sent:
                continue
            if reachable_for(partitions, change.end, call.sent, IN_FORCE_WITHIN_US):
                yield (
                    f"{call.host} answered {call.uid} under version {call.version}, "
                    f"{change.version} was accepted"
                )
                break
        else:
            partitioned = any(
                began + REPORTS_CUT_OFF_WITHIN_US <= call.sent and call.answered <= ended
                for began, ended in partitions
            )
            if partitioned and not call.cut_off:
                yield (
                    f"{call.host} answered {call.uid} under version {call.version} "
                    "without marking it as cut off"
                )


@check("no machine slips back to an older change")
def no_step_back(history):
    by_host = defaultdict(list)
    for call in answers_with_version(history):
        by_host[call.host].append(call)
    for host, calls in by_host.items():
        newest = RunningMaximum((c.answered + STEP_BACK_TOLERANCE_US, c.version) for c in calls)
        for call in calls:
            if call.version < newest.value_at(call.sent):
                yield (
                    f"{host} answered {call.uid} under version {call.version} "
                    f"after {newest.value_at(call.sent)}"
                )


def activation_lags(history):
    """Return {version: us} for how long machines answered by older versions after it was in use.

    A lag runs from the first answer under the version to the start of the last call that was
    answered under an older one. Machines that the run partitioned from the core meanwhile don't
    count.
    """
    first_answers = {}
    for call in sorted(answers_with_version(history), key=lambda call: call.answered):
        first_answers.setdefault(call.version, call.answered)
    lags = {}
    for call in answers_with_version(history):
        partitions = history.away.get(call.host, [])
        for version, answered in first_answers.items():
            is_stale = call.version < version and call.sent > answered
            if is_stale and not any(
                began <= call.answered and ended + IN_FORCE_WITHIN_US > answered
                for began, ended in partitions
            ):
                lags[version] = max(lags.get(version, 0), call.sent - answered)
    return lags


@check("reads are linearizable and give what was accepted, whole")
def linearizable(history):
    """Check operators' reads and changes for linearizability.

    Versions only grow, so it is enough that a read returns at least the version of every change or
    read that ended before it began, returns no change that began after it ended, and that each
    version has one content.
    """
    marks = {}
    for operation in history.operated:
        if operation.outcome != "ok" or not operation.version:
            continue
        if marks.setdefault(operation.version, operation.mark) != operation.mark:
            yield (
                f"version {operation.version} is both {marks[operation.version]} "
                f"and {operation.mark}"
            )
    completed = sorted((o for o in history.operated if o.outcome == "ok"), key=lambda o: o.end)
    for read in completed:
        if read.act != "read":
            continue
        least = max((o.version for o in completed if o.end <= read.start), default=0)
        if read.version < least:
            yield f"read at {read.start} gave version {read.version}, {least} was known"
    confirmed = [o for o in history.operated if o.act == "confirm"]
    for read in completed:
        if read.act == "read" and read.mark:
            writers = [o for o in confirmed if o.mark == read.mark]
            if not any(o.start <= read.end and o.outcome != "refused" for o in writers):
                yield f"read gave {read.mark}, which no operator had confirmed"
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
        yield f"the last read gave version {reads[-1].version}, {accepted} was accepted"


@check("second tries stay within one in five and a few dozen in any 10 s")
def second_tries(history):
    """Check the retry budget over sliding windows.

    Retries are counted where they leave a process: each spill of a call after its first, and each
    sending of it to an endpoint after the first.
    """
    seen, retries = set(), []
    for sent_at, kind, call in sorted(history.sendings):
        if (kind, call) in seen:
            retries.append(sent_at)
        seen.add((kind, call))
    calls = sorted(call.sent for call in history.asked)
    for index, start in enumerate(retries):
        end = start + RETRY_WINDOW_US
        retry_count = bisect_right(retries, end - 1) - index
        call_count = bisect_right(calls, end - 1) - bisect_right(calls, start - 1)
        if retry_count > 0.2 * call_count + 36:
            yield f"{retry_count} retries for {call_count} calls in 10 s from {start}"
            return


@check("a planned stop drops no call in flight")
def stop_drops_no_call(history):
    for host, began, ended in history.stops:
        yield from (
            f"{call.uid} at {host}: {call.code} {call.verdict}, "
            f"sent {call.sent - began} us after the stop began"
            for call in history.asked
            if call.host == host
            and began <= call.answered
            and call.sent <= ended
            and (call.code, call.verdict) == ("proxy_lost", "may-have-run")
        )


@check("a broken change has no part and is never acknowledged")
def broken_changes(history):
    yield from (
        f"invalid manifest {mark} was answered {status}"
        for mark, status in history.broken
        if status < 400
    )
    marks = {mark for mark, _ in history.broken}
    yield from (
        f"version {operation.version} is the invalid manifest {operation.mark}"
        for operation in history.operated
        if operation.mark in marks and operation.outcome != "refused"
    )


@check("a member whose disk was lost or went bad votes again by itself")
def members_repaired(history):
    yield from (f"{host} did not vote again" for host in history.unrepaired)


@check("the audit trail is whole at the day's end")
def audit_trail_intact(history):
    yield from history.trail if history.trail is not None else ["the trail could not be read"]


def succeeded(call):
    return (call.verdict, call.code) == ("ran", "200")


def recovery_time(history):
    """Return how long after the last fault the last failing call was sent, in us."""
    failed = (
        call.sent
        for call in history.asked
        if call.sent >= history.calm_from and not succeeded(call)
    )
    return max(failed, default=history.calm_from) - history.calm_from


@check("service returns within 15 s after the last fault")
def recovers(history):
    late = [call for call in history.asked if call.sent >= history.calm_from + RECOVERY_WITHIN_US]
    failed = [call for call in late if not succeeded(call)]
    if failed:
        yield (
            f"{len(failed)} calls failed, the first at {failed[0].host}: "
            f"{failed[0].uid} {failed[0].code}"
        )
    silent = {call.host for call in history.asked} - {call.host for call in late}
    if silent or not late:
        yield f"no call was made after the recovery time at {sorted(silent) or 'any machine'}"
