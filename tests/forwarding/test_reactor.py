"""Timers and turns: order, cancellation, and exceptions in callbacks."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.reactor import Reactor


class FlushCounter:
    def __init__(self):
        self.flushed = 0

    def flush(self):
        self.flushed += 1


def test_timers_run_in_order_of_time_unless_cancelled():
    reactor, seen = Reactor(), []
    reactor.call_at(30, lambda: seen.append(30))
    reactor.call_at(10, lambda: seen.append(10))
    cancelled = reactor.call_at(20, lambda: seen.append(20))
    reactor.call_at(10, lambda: seen.append(11))
    cancelled.cancel()
    reactor.run_timers(29)
    assert seen == [10, 11]
    reactor.run_timers(30)
    assert seen == [10, 11, 30]


def test_exception_in_a_callback_ends_only_its_turn():
    logged, seen, outlet = [], [], FlushCounter()
    reactor = Reactor(lambda number, **fields: logged.append((number, fields["cause"])))

    def broken():
        reactor.flush_pending.append(outlet)
        raise ValueError("defect")

    reactor.call_at(1, broken)
    reactor.call_at(2, lambda: seen.append(2))
    reactor.run_timers(2)
    assert (logged, seen, outlet.flushed) == ([(801, "ValueError('defect')")], [2], 1)
    assert not reactor.turn(broken) and reactor.turn(seen.append, 3)


def test_exception_is_propagated_without_a_log():
    with pytest.raises(ValueError):
        Reactor().turn(int, "x")
