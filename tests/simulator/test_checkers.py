"""Every check detects a planted breach, and finds none in a correct history."""

from __future__ import annotations

import copy

import pytest

from meadowdock.simulator.checkers import CHECKS, verify
from meadowdock.simulator.history import Asked, Execution, History, Operated

SECOND = 1_000_000


def correct_history():
    history = History(calm_from=10 * SECOND, end=40 * SECOND, trail=[])

    def add_call(uid, kind, caller, sent, **changes):
        body = {"uid": uid, "caller": caller, "whole": True}
        call = Asked(uid, "h", kind, caller, sent, sent + 1000, "ran", "200", body, 1)
        for name, value in changes.items():
            setattr(call, name, value)
        service = "paper" if kind == "statements" else "desk"
        history.asked.append(call)
        history.sendings.append((sent + 400, "endpoint", uid))
        if call.verdict != "not-run":
            history.ran.append(Execution(uid, kind, caller, sent + 500, service, "a:1", "i1"))

    add_call("u1", "balances", "guest", SECOND)
    add_call("u2", "withdrawals", "guest", 2 * SECOND)
    add_call("u3", "ledger", "paper", 3 * SECOND)
    add_call("u4", "statements", "guest", 4 * SECOND)
    add_call(
        "u5", "balances", "guest", 5 * SECOND, verdict="not-run", code="busy", body={}, version=2
    )
    add_call("u6", "balances", "guest", 30 * SECOND, version=2)
    history.drains["i1"] = 29 * SECOND
    history.operated += [
        Operated("confirm", 0, SECOND // 10, "ok", 1, "m0"),
        Operated("confirm", 2 * SECOND, 3 * SECOND, "ok", 2, "m1"),
        Operated("read", 4 * SECOND, 5 * SECOND, "ok", 2, "m1"),
        Operated("read", 35 * SECOND, 36 * SECOND, "ok", 2, "m1"),
    ]
    return history


def execution_of(history, uid):
    return next(execution for execution in history.ran if execution.uid == uid)


def call_of(history, uid):
    return next(call for call in history.asked if call.uid == uid)


# promise -> function that plants a breach of it in a history
PLANTED = {
    "a run-once call runs at most once": lambda h: h.ran.append(copy.copy(execution_of(h, "u2"))),
    "a not-run answer is true for ever": lambda h: h.ran.append(
        Execution("u5", "balances", "guest", 39 * SECOND, "desk", "a:1", "i2")
    ),
    "an answer is the caller's own, whole, and a success only of what ran": lambda h: call_of(
        h, "u1"
    ).body.update(uid="u2"),
    "no call reaches a service it was not allowed to reach": lambda h: setattr(
        execution_of(h, "u4"), "service", "desk"
    ),
    "no service learns a false name of its caller": lambda h: setattr(
        call_of(h, "u1"), "caller", "paper"
    ),
    "a leaving endpoint gets no new calls after 2 s": lambda h: h.drains.update(i1=27 * SECOND),
    "an accepted change is in force everywhere within 2 s": lambda h: setattr(
        call_of(h, "u6"), "version", 1
    ),
    "no machine slips back to an older change": lambda h: setattr(call_of(h, "u3"), "version", 9),
    "reads are linearizable and give what was accepted, whole": lambda h: setattr(
        h.operated[2], "version", 1
    ),
    "the day's end reads back what was last accepted": lambda h: h.operated.pop(),
    "second tries stay within one in five and a few dozen in any 10 s": lambda h: h.sendings.extend(
        (SECOND + n, "spill", "u1") for n in range(1, 60)
    ),
    "a planned stop drops no call in flight": lambda h: (
        h.stops.append(("h", 4 * SECOND - 10, 4 * SECOND + 10)),
        vars(call_of(h, "u4")).update(verdict="may-have-run", code="proxy_lost"),
    ),
    "a broken change has no part and is never acknowledged": lambda h: h.broken.append(("b", 200)),
    "the audit trail is whole at the day's end": lambda h: h.trail.append("record 1 is missing"),
    "a member whose disk was lost or went bad votes again by itself": lambda h: h.unrepaired.append(
        "c"
    ),
    "service returns within 15 s after the last fault": lambda h: setattr(
        call_of(h, "u6"), "code", "500"
    ),
}


def test_correct_history_has_no_breach():
    assert verify(correct_history()) == []


def test_every_check_has_a_planted_breach():
    assert set(PLANTED) == set(CHECKS)


@pytest.mark.parametrize("promise", PLANTED)
def test_check_detects_its_planted_breach(promise):
    history = correct_history()
    PLANTED[promise](history)
    assert promise in {breach.promise for breach in verify(history)}


# breaches that earlier versions of the checks missed: name -> (promise, function that plants it)
SUBTLE = {
    "a machine that was not cut off by the run says that it was": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: vars(call_of(h, "u6")).update(version=1, cut_off=True),
    ),
    "cut off from the core without saying so": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: (
            h.away.update(h=[[3 * SECOND, 31 * SECOND]]),
            vars(call_of(h, "u6")).update(version=1),
        ),
    ),
    "in contact with the core for two seconds since": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: (
            h.away.update(h=[[3 * SECOND, 27 * SECOND]]),
            vars(call_of(h, "u6")).update(version=1, cut_off=True),
        ),
    ),
    "a step back to an older version while cut off": (
        "no machine slips back to an older change",
        lambda h: (
            vars(call_of(h, "u3")).update(version=9),
            vars(call_of(h, "u6")).update(cut_off=True),
        ),
    ),
    "retries that never ran": (
        "second tries stay within one in five and a few dozen in any 10 s",
        lambda h: h.sendings.extend((SECOND + n, "endpoint", "u1") for n in range(1, 60)),
    ),
    "a machine that is never called again": (
        "service returns within 15 s after the last fault",
        lambda h: (
            h.asked.append(copy.copy(call_of(h, "u1"))),
            setattr(h.asked[-1], "host", "other"),
        ),
    ),
    "a refused manifest that is read": (
        "a broken change has no part and is never acknowledged",
        lambda h: h.broken.append(("m1", 422)),
    ),
}


@pytest.mark.parametrize("name", SUBTLE)
def test_check_detects_a_subtle_breach(name):
    promise, plant = SUBTLE[name]
    history = correct_history()
    plant(history)
    assert promise in {breach.promise for breach in verify(history)}


def test_older_version_is_allowed_while_the_run_cuts_a_machine_off():
    history = correct_history()
    history.away["h"] = [[3 * SECOND, 29 * SECOND]]
    for uid in ("u5", "u6"):
        vars(call_of(history, uid)).update(version=1, cut_off=True)
    assert verify(history) == []


# breaches of linearizability: name -> function that plants it
NOT_LINEARIZABLE = {
    "two contents under one version": lambda h: setattr(h.operated[2], "mark", "m7"),
    "two changes under one version": lambda h: h.operated.append(
        Operated("confirm", 2 * SECOND, 3 * SECOND, "ok", 2, "m1")
    ),
    "a refused change that is read": lambda h: setattr(h.operated[1], "outcome", "refused"),
}


@pytest.mark.parametrize("name", NOT_LINEARIZABLE)
def test_linearizability_check_detects(name):
    history = correct_history()
    NOT_LINEARIZABLE[name](history)
    promise = "reads are linearizable and give what was accepted, whole"
    assert promise in {breach.promise for breach in verify(history)}
