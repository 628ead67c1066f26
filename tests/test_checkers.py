"""Every checker catches a planted breach, and finds none in a good history."""

from __future__ import annotations

import copy

import pytest

from mdsim.checkers import CHECKS, verify
from mdsim.history import Asked, History, Operated, Ran

S = 1_000_000


def good():
    history = History(calm_from=10 * S, end=40 * S)

    def call(uid, kind, caller, sent, **facts):
        body = {"uid": uid, "caller": caller, "whole": True}
        asked = Asked(uid, "h", kind, caller, sent, sent + 1000, "ran", "200", body, 1)
        for name, value in facts.items():
            setattr(asked, name, value)
        service = "paper" if kind == "statements" else "desk"
        history.asked.append(asked)
        if asked.verdict != "not-run":
            history.ran.append(Ran(uid, kind, caller, sent + 500, service, "a:1", "i1"))

    call("u1", "balances", "guest", S)
    call("u2", "withdrawals", "guest", 2 * S)
    call("u3", "ledger", "paper", 3 * S)
    call("u4", "statements", "guest", 4 * S)
    call("u5", "balances", "guest", 5 * S, verdict="not-run", code="busy", body={}, version=2)
    call("u6", "balances", "guest", 30 * S, version=2)
    history.drains["i1"] = 29 * S
    history.operated += [
        Operated("confirm", 0, S // 10, "ok", 1, "m0"),
        Operated("confirm", 2 * S, 3 * S, "ok", 2, "m1"),
        Operated("read", 4 * S, 5 * S, "ok", 2, "m1"),
        Operated("read", 35 * S, 36 * S, "ok", 2, "m1"),
    ]
    return history


def ran(history, uid):
    return next(r for r in history.ran if r.uid == uid)


def asked(history, uid):
    return next(a for a in history.asked if a.uid == uid)


PLANTED = {
    "a run-once call runs at most once": lambda h: h.ran.append(copy.copy(ran(h, "u2"))),
    "a not-run answer is true for ever": lambda h: h.ran.append(
        Ran("u5", "balances", "guest", 39 * S, "desk", "a:1", "i2")
    ),
    "an answer is the caller's own, whole, and a success only of what ran": lambda h: asked(
        h, "u1"
    ).body.update(uid="u2"),
    "no call reaches a service it was not allowed to reach": lambda h: setattr(
        ran(h, "u4"), "service", "desk"
    ),
    "no service learns a false name of its caller": lambda h: setattr(
        asked(h, "u1"), "caller", "paper"
    ),
    "a leaving endpoint gets no new calls after 2 s": lambda h: h.drains.update(i1=27 * S),
    "an accepted change is in force everywhere within 2 s": lambda h: setattr(
        asked(h, "u6"), "version", 1
    ),
    "no machine slips back to an older change": lambda h: setattr(asked(h, "u3"), "version", 9),
    "reads are linearizable and give what was accepted, whole": lambda h: setattr(
        h.operated[2], "version", 1
    ),
    "the day's end reads back what was last accepted": lambda h: h.operated.pop(),
    "second tries stay within one in five and a few dozen in any 10 s": lambda h: h.ran.extend(
        Ran("u1", "balances", "guest", S + n, "desk", "a:1", "i1") for n in range(1, 60)
    ),
    "service returns within 15 s after the last fault": lambda h: setattr(
        asked(h, "u6"), "code", "500"
    ),
}


def test_a_good_history_has_no_breach():
    assert verify(good()) == []


def test_every_check_has_a_planted_breach():
    assert set(PLANTED) == set(CHECKS)


@pytest.mark.parametrize("promise", PLANTED)
def test_the_check_catches_it(promise):
    history = good()
    PLANTED[promise](history)
    assert promise in {breach.promise for breach in verify(history)}


LIES = {
    "a mixed content": lambda h: setattr(h.operated[2], "mark", "m7"),
    "two changes under one version": lambda h: h.operated.append(
        Operated("confirm", 2 * S, 3 * S, "ok", 2, "m1")
    ),
    "a refused change that is read": lambda h: setattr(h.operated[1], "outcome", "refused"),
}


@pytest.mark.parametrize("lie", LIES)
def test_the_linearizability_check_catches(lie):
    history = good()
    LIES[lie](history)
    promise = "reads are linearizable and give what was accepted, whole"
    assert promise in {breach.promise for breach in verify(history)}
