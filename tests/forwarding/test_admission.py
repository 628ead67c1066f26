"""Admission to the wait queues: which calls may wait for a slot, in which order, until when."""

from __future__ import annotations

import sys

import pytest
from gates import default_items, gated, gateway_of, send_call, wait_until_done
from gateway_estimates import HIGH, LOW, set_hold_time, work_us_by_path
from item_builders import route

from meadowdock.forwarding.admission import MAX_REMEMBERED_ROUTES, Admission
from meadowdock.forwarding.call import Call
from meadowdock.forwarding.call_statistics import PriorityStatistics
from meadowdock.forwarding.caller_timeouts import CallerTimeouts
from meadowdock.forwarding.invariants import (
    LATE_BEFORE_IN_TIME,
    QUEUE_OVERCOMMITTED,
    SLOTS_DIFFER,
    WAITING_WITH_CAPACITY,
    Invariants,
)
from meadowdock.forwarding.wait_estimates import WaitEstimates
from meadowdock.forwarding.wait_queue import WaitQueue
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us


def make_call(priority=0, urgency=None, target_deadline=SECOND, **overrides):
    fields = {
        "join_deadline": SECOND,
        "wait_deadline": SECOND,
        "deadline": 2 * SECOND,
        "no_endpoint_deadline": 0,
        **overrides,
    }
    return Call(
        id=b"x",
        head=b"",
        body=b"",
        service="desk",
        idempotent=True,
        priority=priority,
        urgency=2 * priority if urgency is None else urgency,
        target_deadline=target_deadline,
        route="k",
        **fields,
    )


def test_queue_is_ordered_by_urgency_then_by_arrival():
    queue, calls = WaitQueue(), [make_call(urgency=urgency) for urgency in (3, 2, 2, 0)]
    for call in calls:
        queue.join(call)
    assert queue.waiting == {3: 1, 2: 2, 0: 1} and len(queue) == 4
    assert queue.in_order() == [calls[3], calls[1], calls[2], calls[0]]
    assert [queue.pop() for _ in range(5)] == [calls[3], calls[1], calls[2], calls[0], None]
    assert len(queue) == 0


def test_call_that_rejoins_has_only_the_last_position():
    queue, first, second = WaitQueue(), make_call(), make_call()
    queue.join(first)
    queue.join(second)
    queue.leave(first)
    queue.join(first)
    assert queue.in_order() == [second, first] and len(queue) == 2
    assert [queue.pop(), queue.pop(), queue.pop()] == [second, first, None]


def test_calls_that_have_left_are_not_kept_with_their_bodies():
    queue, waiting = WaitQueue(), [make_call(urgency=urgency) for urgency in (5, 1, 3)]
    for call in waiting:
        queue.join(call)
    for number in range(1000):
        gone = make_call(urgency=number % 7)
        queue.join(gone)
        queue.leave(gone)
    assert len(queue.heap) < 30
    assert [queue.pop() for _ in range(4)] == [waiting[1], waiting[2], waiting[0], None]


def test_a_call_that_has_left_is_released_at_once():
    """Seen: up to 16 calls that had left were held, each with its body (#50)."""
    queue, call = WaitQueue(), make_call()
    holders = sys.getrefcount(call)
    queue.join(call)
    queue.leave(call)
    assert sys.getrefcount(call) == holders


def test_queued_work_is_totalled_by_urgency():
    queue, first = WaitQueue(), make_call(hold_us=150)
    queue.join(first)
    queue.join(make_call(hold_us=15))
    queue.join(make_call(urgency=1, hold_us=7))
    assert queue.work_us == {0: 165, 1: 7}
    queue.leave(first)
    assert queue.work_us == {0: 15, 1: 7}


def test_calls_in_time_are_counted_up_to_a_priority():
    queue = WaitQueue()
    for urgency in (0, 1, 2, 4):
        queue.join(make_call(urgency=urgency))
    assert [queue.count_in_time(priority) for priority in (0, 1, 2)] == [1, 2, 3]


def test_slots_used_by_greater_urgencies_lengthen_the_estimated_wait():
    estimates, work = WaitEstimates(500 * MILLISECOND), {4: 10 * 150 * MILLISECOND}
    for _ in range(12):
        estimates.slot_acquired(2, 0)
    while_in_use = estimates.wait_us(work, 4, 150 * MILLISECOND, 16, 10 * SECOND)
    assert while_in_use == pytest.approx(11 * 150 * MILLISECOND / 4, rel=0.01)
    for _ in range(12):
        estimates.slot_released(2, 10 * SECOND)
    # ten seconds later the mean number of slots that priority 1 uses is close to 0
    while_idle = estimates.wait_us(work, 4, 150 * MILLISECOND, 16, 20 * SECOND)
    assert while_idle == pytest.approx(11 * 150 * MILLISECOND / 16, rel=0.01)


def test_greater_urgency_does_not_wait_for_lesser_ones():
    estimates = WaitEstimates(500 * MILLISECOND)
    assert estimates.wait_us({0: 0, 2: 5 * SECOND}, 0, 100 * MILLISECOND, 10, 0) == 10 * MILLISECOND


def test_estimated_wait_is_finite_when_greater_urgencies_use_all_slots():
    estimates = WaitEstimates(500 * MILLISECOND)
    for _ in range(10):
        estimates.slot_acquired(0, 0)
    assert estimates.wait_us({}, 2, 50 * MILLISECOND, 10, 60 * SECOND) == 50 * MILLISECOND / (
        0.05 * 10
    )


def test_mean_hold_time_does_not_depend_on_the_mix_of_calls():
    busy_with_short, busy_with_long = WaitEstimates(1), WaitEstimates(1)
    assert busy_with_long.mean_us() == 0
    for estimates, short, long in ((busy_with_short, 50, 1), (busy_with_long, 1, 50)):
        for kind, held_ms, times in (("short", 15, short), ("long", 150, long)):
            for _ in range(times):
                estimates.hold_time(kind).observe(held_ms * MILLISECOND)
    assert busy_with_short.mean_us() == busy_with_long.mean_us()
    busy_with_short.hold_time("never ran")
    assert busy_with_short.expected_hold_us("never seen") == (busy_with_short.mean_us(),) * 2
    assert busy_with_short.expected_hold_us("short")[0] == 15 * MILLISECOND
    assert busy_with_short.mean_us() == busy_with_long.mean_us()


def new_admission(hold_us, deviation_us=0):
    admission = Admission()
    hold = admission.estimates("desk").hold_time("k")
    hold.has_samples, hold.mean_us, hold.deviation_us = True, hold_us, deviation_us
    return admission


@pytest.mark.parametrize(
    ("wait_ms", "deviation_ms", "expected"),
    [(590, 0, True), (610, 0, False), (490, 50, True), (510, 50, False)],
)
def test_call_joins_if_it_will_likely_meet_its_target(wait_ms, deviation_ms, expected):
    admission = new_admission(400 * MILLISECOND, deviation_ms * MILLISECOND)
    queued_call = make_call()
    admission.estimate(queued_call, 0)
    assert admission.may_join(queued_call, wait_ms * MILLISECOND, 0) is expected


def test_tight_target_is_judged_by_the_mean_hold_time():
    admission = new_admission(800 * MILLISECOND, 300 * MILLISECOND)
    tight = make_call()
    admission.estimate(tight, 0)
    assert admission.may_join(tight, 190 * MILLISECOND, 0)
    assert not admission.may_join(tight, 210 * MILLISECOND, 0)


def test_call_that_will_be_late_joins_by_its_join_deadline_alone():
    admission, late = (
        new_admission(800 * MILLISECOND),
        make_call(urgency=1, target_deadline=0, join_deadline=300 * MILLISECOND),
    )
    assert admission.may_join(late, 290 * MILLISECOND, 0)
    assert not admission.may_join(late, 310 * MILLISECOND, 0)


def test_position_deadline_of_calls_in_time_and_late():
    admission = new_admission(400 * MILLISECOND)
    for overrides, until_ms in (
        ({}, 600),
        ({"urgency": 1}, 1000),
        ({"wait_deadline": 100 * MILLISECOND}, 100),
        ({"urgency": 1, "deadline": 700 * MILLISECOND}, 300),
    ):
        assert (
            admission.position_deadline(make_call(hold_us=400 * MILLISECOND, **overrides))
            == until_ms * MILLISECOND
        )


def test_time_spent_is_estimated_by_route_and_forgotten_with_it():
    admission = Admission()
    assert admission.time_spent_us("r", 1500) == 0
    assert admission.time_spent_us("r", 1100) == 400
    assert admission.time_spent_us("other", 1100) == 0
    admission.estimates("desk").hold_time("r").observe(9)
    admission.estimates("desk").hold_time("other").observe(9)
    admission.forget_unused({"other"}, {"desk"})
    assert admission.time_spent_us("r", 1100) == 0
    assert set(admission.estimates("desk").hold_times) == {"other"}


def test_most_recently_used_routes_are_remembered():
    admission = Admission()
    for number in range(MAX_REMEMBERED_ROUTES):
        admission.time_spent_us(str(number), 1500)
    admission.time_spent_us("0", 1500)
    admission.time_spent_us("one more", 1500)
    assert admission.time_spent_us("0", 1100) == 400
    assert admission.time_spent_us("1", 1100) == 0
    assert len(admission.routes) == MAX_REMEMBERED_ROUTES


def test_service_is_forgotten_once_no_call_waits_or_holds_a_slot():
    admission, queued_call = Admission(), make_call()
    admission.slot_acquired(queued_call, 0)
    admission.forget_unused(set(), set())
    assert "desk" in admission.services
    admission.slot_released(queued_call, 1)
    admission.queue("desk").join(queued_call)
    admission.forget_unused(set(), set())
    assert "desk" in admission.services
    admission.queue("desk").leave(queued_call)
    admission.forget_unused(set(), {"desk"})
    assert "desk" in admission.services
    admission.forget_unused(set(), set())
    assert not admission.services and not admission.queues


def test_few_long_deadlines_do_not_affect_the_time_spent_of_others():
    timeouts = CallerTimeouts()
    spent = [timeouts.time_spent_us(60_000 if number % 20 == 5 else 1500) for number in range(200)]
    assert spent[100:] == [0] * 100


def test_retries_are_recognized_while_one_request_in_five_is_a_first_attempt():
    timeouts = CallerTimeouts()
    for number in range(200):
        spent = timeouts.time_spent_us(1500 if number % 5 == 0 else 900)
        assert number < 20 or spent == (0 if number % 5 == 0 else 600)


def test_usual_timeout_follows_a_change():
    timeouts = CallerTimeouts()
    for left_us in (1500, 700):
        for _ in range(100):
            spent = timeouts.time_spent_us(left_us)
        assert spent == 0


LONG_LOW = route("longlow", prefix="/longlow/", priority=3, timeout_us=20 * SECOND)
ONE_SLOT = {"slots": 1, "work_us": work_us_by_path(longlow=300, low=10)}


def test_late_retry_is_queued_behind_a_first_attempt_of_its_priority():
    async def scenario(world):
        host = list(world.application)[0]
        gateway = gateway_of(world, host)
        gateway.admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gateway, 20 * MILLISECOND)
        calls = [(await world.caller(host)).ask(b"/low/again", due_ms=900)]
        await sleep_us(5 * MILLISECOND)
        calls.append((await world.caller(host)).ask(b"/low/fresh", due_ms=2000))
        await wait_until_done([first, *calls])
        assert [exchange.status for exchange in calls] == [200, 200]
        order = [ran.target for ran in world.ends[host].journal]
        assert order == [b"/longlow/x", b"/low/fresh", b"/low/again"]

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_call_that_can_no_longer_meet_its_target_is_demoted_in_the_queue():
    async def scenario(world):
        host = list(world.application)[0]
        gateway = gateway_of(world, host)
        gateway.admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gateway, 100 * MILLISECOND)
        # its target counts from an attempt 800 ms ago: after 100 ms it can't be met any more
        old = (await world.caller(host)).ask(b"/low/old", due_ms=1200)
        await sleep_us(120 * MILLISECOND)
        assert gateway.admission.queue("desk").waiting == {6: 0, 7: 1}
        new = (await world.caller(host)).ask(b"/low/new", due_ms=2000)
        await wait_until_done([first, old, new])
        assert [exchange.status for exchange in (old, new)] == [200, 200]
        order = [ran.target for ran in world.ends[host].journal]
        assert order == [b"/longlow/x", b"/low/new", b"/low/old"]

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_queue_at_a_peer_is_ordered_by_latency_target():
    async def scenario(world):
        local, peer = list(world.application)
        gateway_of(world, local).admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(peer)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gateway_of(world, peer), 20 * MILLISECOND)
        calls = [(await world.caller(local)).ask(b"/low/again", due_ms=900)]
        await sleep_us(20 * MILLISECOND)
        calls.append((await world.caller(local)).ask(b"/low/fresh", due_ms=2000))
        await wait_until_done([first, *calls])
        assert [exchange.status for exchange in calls] == [200, 200]
        order = [ran.target for ran in world.ends[peer].journal]
        assert order == [b"/longlow/x", b"/low/fresh", b"/low/again"]

    gated(scenario, application=("", "desk"), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_calls_without_a_response_count_for_the_hold_time():
    async def scenario(world):
        host = list(world.application)[0]
        gateway, end = gateway_of(world, host), world.ends[host]
        await send_call(world, host)
        assert gateway.slowness.hold_us("desk") < 50 * MILLISECOND
        end.faults["*"] = ["silence"] * 30
        for _ in range(30):
            exchange = await send_call(world, host, due_ms=300)
            assert exchange.status == 504
        assert gateway.slowness.hold_us("desk") > 200 * MILLISECOND
        # a call that would be late is not queued for such a slot
        end.faults["*"] = ["silence"]
        occupying = (await world.caller(host)).ask(due_ms=300)
        await sleep_us(10 * MILLISECOND)
        exchange = await send_call(world, host, due_ms=300)
        assert exchange.status == 503 and exchange.took < 20 * MILLISECOND
        await wait_until_done([occupying])

    gated(scenario, application=("desk",), endpoint={"slots": 1, "work_us": 10 * MILLISECOND})


def test_violations_are_counted_and_logged_once_a_second():
    logged = []
    invariants = Invariants(lambda number, **fields: logged.append((number, fields["invariant"])))
    admission = Admission()
    admission.queue("desk").join(make_call(priority=1))
    invariants.check_start(make_call(priority=1, target_deadline=5), admission, 4)
    # this call has a higher priority than the waiting one
    invariants.check_start(make_call(priority=0, target_deadline=5), admission, 6)
    assert not invariants.violations
    invariants.check_start(make_call(priority=1, target_deadline=5), admission, 6)
    invariants.check_start(make_call(priority=1, target_deadline=5), admission, 7)
    invariants.check_idle_capacity("desk", 0, True, 8)
    invariants.check_idle_capacity("desk", 1, False, 8)
    invariants.check_idle_capacity("desk", 1, True, 8)
    admission.slot_acquired(make_call(), 9)
    invariants.check_slots(admission, [make_call()], 10)
    assert invariants.violations == {
        LATE_BEFORE_IN_TIME: 2,
        WAITING_WITH_CAPACITY: 1,
        SLOTS_DIFFER: 1,
    }
    assert logged == [(802, LATE_BEFORE_IN_TIME), (802, WAITING_WITH_CAPACITY), (802, SLOTS_DIFFER)]
    invariants.check_start(make_call(priority=1, target_deadline=5), admission, 6 + SECOND)
    assert len(logged) == 4


def test_gateway_checks_its_slots_periodically():
    async def scenario(world):
        host = list(world.application)[0]
        gateway = gateway_of(world, host)
        gateway.admission.slot_acquired(make_call(), monotonic_us())  # a slot that no call holds
        await sleep_us(300 * MILLISECOND)
        assert gateway.dispatcher.invariants.violations[SLOTS_DIFFER] >= 1
        assert len(world.trace.events(802)) == 1
        gateway.admission.slot_released(make_call(), monotonic_us())
        world.trace.lines.clear()

    gated(scenario, application=("desk",), items=default_items(HIGH))


def new_figures(in_time, late):
    statistics = PriorityStatistics()
    statistics.admitted_in_time, statistics.admitted_late = in_time, late
    return statistics


def test_queue_whose_calls_mostly_end_late_for_two_intervals_is_a_violation():
    invariants = Invariants(lambda number, **fields: None)
    for in_time, late, violations in (
        (0, 9, 0),  # too few calls
        (0, 99, 0),  # the first interval: the estimates may lag behind a sudden change
        (99, 99, 0),  # not the majority
        (0, 99, 0),
        (5, 6, 1),
        (5, 6, 2),
    ):
        invariants.check_queue("desk", 2, new_figures(in_time, late), 0)
        assert invariants.violations[QUEUE_OVERCOMMITTED] == violations


def test_admitted_calls_are_counted_as_in_time_or_late():
    async def scenario(world):
        host = list(world.application)[0]
        gateway = gateway_of(world, host)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gateway, 100 * MILLISECOND)  # the slot is actually held for 300 ms
        gateway.dispatcher.call_statistics.services.clear()
        gateway.dispatcher.call_statistics.since = monotonic_us()
        calls = [(await world.caller(host)).ask(b"/low/x"), (await world.caller(host)).ask(b"/p/y")]
        await wait_until_done([first, *calls])
        by_priority = gateway.dispatcher.call_statistics.services["desk"]
        assert [calls[0].status, calls[1].status] == [200, 200]
        assert (by_priority[3].admitted_in_time, by_priority[3].admitted_late) == (1, 0)
        assert by_priority[0].started == 1 and by_priority[0].admitted_in_time == 1

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)
