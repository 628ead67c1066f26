"""Every checker catches a planted breach, and finds none in a good history."""

from __future__ import annotations

import copy

import pytest

from meadowdock.simulator.checkers import CHECKS, verify
from meadowdock.simulator.history import Asked, Execution, History, Operated

S = 1_000_000


def good():
    history = History(calm_from=10 * S, end=40 * S, trail=[])

    def call(uid, kind, caller, sent, **facts):
        body = {"uid": uid, "caller": caller, "whole": True}
        asked = Asked(uid, "h", kind, caller, sent, sent + 1000, "ran", "200", body, 1)
        for name, value in facts.items():
            setattr(asked, name, value)
        service = "paper" if kind == "statements" else "desk"
        history.asked.append(asked)
        history.sendings.append((sent + 400, "endpoint", uid))
        if asked.verdict != "not-run":
            history.ran.append(Execution(uid, kind, caller, sent + 500, service, "a:1", "i1"))

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
        Execution("u5", "balances", "guest", 39 * S, "desk", "a:1", "i2")
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
    "second tries stay within one in five and a few dozen in any 10 s": lambda h: h.sendings.extend(
        (S + n, "spill", "u1") for n in range(1, 60)
    ),
    "a planned stop drops no call in flight": lambda h: (
        h.stops.append(("h", 4 * S - 10, 4 * S + 10)),
        vars(asked(h, "u4")).update(verdict="may-have-run", code="proxy_lost"),
    ),
    "a broken change has no part and is never acknowledged": lambda h: h.broken.append(("b", 200)),
    "the audit trail is whole at the day's end": lambda h: h.trail.append("record 1 is missing"),
    "a member whose disk was lost or went bad votes again by itself": lambda h: h.unrepaired.append(
        "c"
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


UNSEEN = {
    "a machine excuses itself": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: vars(asked(h, "u6")).update(version=1, cut_off=True),
    ),
    "kept from the core, and not saying so": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: (h.away.update(h=[[3 * S, 31 * S]]), vars(asked(h, "u6")).update(version=1)),
    ),
    "two seconds in reach since": (
        "an accepted change is in force everywhere within 2 s",
        lambda h: (
            h.away.update(h=[[3 * S, 27 * S]]),
            vars(asked(h, "u6")).update(version=1, cut_off=True),
        ),
    ),
    "a step back, cut off": (
        "no machine slips back to an older change",
        lambda h: (
            vars(asked(h, "u3")).update(version=9),
            vars(asked(h, "u6")).update(cut_off=True),
        ),
    ),
    "tries that never ran": (
        "second tries stay within one in five and a few dozen in any 10 s",
        lambda h: h.sendings.extend((S + n, "endpoint", "u1") for n in range(1, 60)),
    ),
    "a machine that is not heard of again": (
        "service returns within 15 s after the last fault",
        lambda h: (
            h.asked.append(copy.copy(asked(h, "u1"))),
            setattr(h.asked[-1], "host", "other"),
        ),
    ),
    "a broken manifest that is read": (
        "a broken change has no part and is never acknowledged",
        lambda h: h.broken.append(("m1", 422)),
    ),
}


@pytest.mark.parametrize("lie", UNSEEN)
def test_what_earlier_checkers_did_not_see(lie):
    promise, plant = UNSEEN[lie]
    history = good()
    plant(history)
    assert promise in {breach.promise for breach in verify(history)}


def test_only_the_run_excuses_a_machine_and_only_for_so_long():
    history = good()
    history.away["h"] = [[3 * S, 29 * S]]
    for uid in ("u5", "u6"):
        vars(asked(history, uid)).update(version=1, cut_off=True)
    assert verify(history) == []


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
