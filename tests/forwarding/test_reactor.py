"""Turns: order, cancelling, and a defect that ends a turn but not the process."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.reactor import Reactor


class Outlet:
    def __init__(self):
        self.flushed = 0

    def flush(self):
        self.flushed += 1


def test_timers_run_in_order_of_time_and_never_when_cancelled():
    reactor, seen = Reactor(), []
    reactor.at(30, lambda: seen.append(30))
    reactor.at(10, lambda: seen.append(10))
    cancelled = reactor.at(20, lambda: seen.append(20))
    reactor.at(10, lambda: seen.append(11))
    cancelled.cancel()
    reactor.run_timers(29)
    assert seen == [10, 11]
    reactor.run_timers(30)
    assert seen == [10, 11, 30]


def test_a_defect_ends_its_turn_and_nothing_else():
    told, seen, outlet = [], [], Outlet()
    reactor = Reactor(lambda number, **facts: told.append((number, facts["cause"])))

    def broken():
        reactor.dirty.append(outlet)
        raise ValueError("defect")

    reactor.at(1, broken)
    reactor.at(2, lambda: seen.append(2))
    reactor.run_timers(2)
    assert (told, seen, outlet.flushed) == ([(801, "ValueError('defect')")], [2], 1)
    assert not reactor.turn(broken) and reactor.turn(seen.append, 3)


def test_without_a_log_a_defect_is_not_hidden():
    with pytest.raises(ValueError):
        Reactor().turn(int, "x")
