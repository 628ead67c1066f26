"""Who may wait for a slot, in which order, and until when."""

from __future__ import annotations

import pytest
from gates import default_items, gated, gateway_of, send_call, wait_until_done
from gateway_estimates import HIGH, LOW, set_hold_time, work_us_by_path
from item_builders import route

from meadowdock.forwarding.admission import ROUTES_REMEMBERED, Admission
from meadowdock.forwarding.call import Call
from meadowdock.forwarding.caller_timeouts import CallerTimeouts
from meadowdock.forwarding.figures import PriorityFigures
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


def call(priority=0, urgency=None, target_deadline=SECOND, **facts):
    known = {
        "join_deadline": SECOND,
        "wait_deadline": SECOND,
        "deadline": 2 * SECOND,
        "early_deadline": 0,
        **facts,
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
        **known,
    )


# ---------------------------------------------------------------- the queue


def test_the_queue_goes_by_urgency_then_by_arrival():
    queue, calls = WaitQueue(), [call(urgency=u) for u in (3, 2, 2, 0)]
    for each in calls:
        queue.join(each)
    assert queue.waiting == {3: 1, 2: 2, 0: 1} and len(queue) == 4
    assert queue.in_order() == [calls[3], calls[1], calls[2], calls[0]]
    assert [queue.next() for _ in range(5)] == [calls[3], calls[1], calls[2], calls[0], None]
    assert len(queue) == 0


def test_who_left_and_came_again_has_one_place_the_last():
    queue, first, second = WaitQueue(), call(), call()
    queue.join(first)
    queue.join(second)
    queue.leave(first)
    queue.join(first)
    assert queue.in_order() == [second, first] and len(queue) == 2
    assert [queue.next(), queue.next(), queue.next()] == [second, first, None]


def test_the_work_that_waits_is_summed_up_by_urgency():
    queue, first = WaitQueue(), call(hold_us=150)
    queue.join(first)
    queue.join(call(hold_us=15))
    queue.join(call(urgency=1, hold_us=7))
    assert queue.work_us == {0: 165, 1: 7}
    queue.leave(first)
    assert queue.work_us == {0: 15, 1: 7}


def test_who_can_still_meet_its_target_is_counted_up_to_a_priority():
    queue = WaitQueue()
    for urgency in (0, 1, 2, 4):
        queue.join(call(urgency=urgency))
    assert [queue.in_time(priority) for priority in (0, 1, 2)] == [1, 2, 3]


# ---------------------------------------------------------------- the estimate


def test_slots_that_greater_urgencies_hold_are_not_counted_on():
    waits, work = WaitEstimates(500 * MILLISECOND), {4: 10 * 150 * MILLISECOND}
    for _ in range(12):
        waits.slot_taken(2, 0)
    alone = waits.wait_us(work, 4, 150 * MILLISECOND, 16, 10 * SECOND)
    assert alone == pytest.approx(11 * 150 * MILLISECOND / 4, rel=0.01)
    for _ in range(12):
        waits.slot_released(2, 10 * SECOND)
    # ten seconds later nobody of rank 1 has held a slot for long
    idle = waits.wait_us(work, 4, 150 * MILLISECOND, 16, 20 * SECOND)
    assert idle == pytest.approx(11 * 150 * MILLISECOND / 16, rel=0.01)


def test_a_greater_urgency_does_not_wait_for_lesser_ones():
    waits = WaitEstimates(500 * MILLISECOND)
    assert waits.wait_us({0: 0, 2: 5 * SECOND}, 0, 100 * MILLISECOND, 10, 0) == 10 * MILLISECOND


def test_with_all_slots_taken_by_greater_urgencies_the_wait_is_long_but_has_an_end():
    waits = WaitEstimates(500 * MILLISECOND)
    for _ in range(10):
        waits.slot_taken(0, 0)
    assert waits.wait_us({}, 2, 50 * MILLISECOND, 10, 60 * SECOND) == 50 * MILLISECOND / (0.05 * 10)


def test_endpoints_are_compared_whatever_mix_of_calls_they_had():
    busy_with_short, busy_with_long = WaitEstimates(1), WaitEstimates(1)
    assert busy_with_long.mean_us() == 0
    for waits, short, long in ((busy_with_short, 50, 1), (busy_with_long, 1, 50)):
        for kind, took, times in (("short", 15, short), ("long", 150, long)):
            for _ in range(times):
                waits.hold(kind).learn(took * MILLISECOND)
    assert busy_with_short.mean_us() == busy_with_long.mean_us()
    busy_with_short.hold("never ran")
    assert busy_with_short.expected("never seen") == (busy_with_short.mean_us(),) * 2
    assert busy_with_short.expected("short")[0] == 15 * MILLISECOND
    assert busy_with_short.mean_us() == busy_with_long.mean_us()


# ---------------------------------------------------------------- who may join


def admission(hold_us, deviation_us=0):
    made = Admission()
    hold = made.estimates("desk").hold("k")
    hold.known, hold.mean_us, hold.deviation_us = True, hold_us, deviation_us
    return made


@pytest.mark.parametrize(
    ("wait_ms", "deviation_ms", "wanted"),
    [(590, 0, True), (610, 0, False), (490, 50, True), (510, 50, False)],
)
def test_a_call_joins_if_it_will_likely_meet_its_target(wait_ms, deviation_ms, wanted):
    made = admission(400 * MILLISECOND, deviation_ms * MILLISECOND)
    one = call()
    made.estimate(one, 0)
    assert made.may_join(one, wait_ms * MILLISECOND, 0) is wanted


def test_where_the_target_can_hardly_be_met_the_mean_decides():
    made = admission(800 * MILLISECOND, 300 * MILLISECOND)
    tight = call()
    made.estimate(tight, 0)
    assert made.may_join(tight, 190 * MILLISECOND, 0)
    assert not made.may_join(tight, 210 * MILLISECOND, 0)


def test_a_call_that_will_be_late_anyhow_joins_by_its_own_bound_alone():
    made, late = (
        admission(800 * MILLISECOND),
        call(urgency=1, target_deadline=0, join_deadline=300 * MILLISECOND),
    )
    assert made.may_join(late, 290 * MILLISECOND, 0)
    assert not made.may_join(late, 310 * MILLISECOND, 0)


def test_a_position_is_kept_while_the_target_can_be_met_and_a_late_one_while_it_may_wait():
    made = admission(400 * MILLISECOND)
    for facts, until_ms in (
        ({}, 600),
        ({"urgency": 1}, 1000),
        ({"wait_deadline": 100 * MILLISECOND}, 100),
        ({"urgency": 1, "deadline": 700 * MILLISECOND}, 300),
    ):
        assert (
            made.position_until(call(hold_us=400 * MILLISECOND, **facts)) == until_ms * MILLISECOND
        )


def test_time_spent_on_earlier_attempts_is_read_off_the_deadline_and_forgotten_with_the_route():
    made = Admission()
    assert made.time_spent_us("r", 1500) == 0
    assert made.time_spent_us("r", 1100) == 400
    assert made.time_spent_us("other", 1100) == 0
    made.estimates("desk").hold("r").learn(9)
    made.estimates("desk").hold("other").learn(9)
    made.forget_unused({"other"}, {"desk"})
    assert made.time_spent_us("r", 1100) == 0
    assert set(made.estimates("desk").holds) == {"other"}


def test_the_routes_used_last_are_remembered():
    made = Admission()
    for number in range(ROUTES_REMEMBERED):
        made.time_spent_us(str(number), 1500)
    made.time_spent_us("0", 1500)
    made.time_spent_us("one more", 1500)
    assert made.time_spent_us("0", 1100) == 400
    assert made.time_spent_us("1", 1100) == 0
    assert len(made.routes) == ROUTES_REMEMBERED


def test_a_service_is_forgotten_once_nobody_waits_for_it_or_holds_a_slot():
    made, one = Admission(), call()
    made.started(one, 0)
    made.forget_unused(set(), set())
    assert "desk" in made.services
    made.freed(one, 1)
    made.queue("desk").join(one)
    made.forget_unused(set(), set())
    assert "desk" in made.services
    made.queue("desk").leave(one)
    made.forget_unused(set(), {"desk"})
    assert "desk" in made.services
    made.forget_unused(set(), set())
    assert not made.services and not made.queues


def test_a_few_callers_with_long_deadlines_make_no_retries_of_the_others():
    timeouts = CallerTimeouts()
    spent = [timeouts.time_spent_us(60_000 if n % 20 == 5 else 1500) for n in range(200)]
    assert spent[100:] == [0] * 100


def test_while_one_in_five_is_a_first_attempt_it_is_told_from_the_others():
    timeouts = CallerTimeouts()
    for n in range(200):
        spent = timeouts.time_spent_us(1500 if n % 5 == 0 else 900)
        assert n < 20 or spent == (0 if n % 5 == 0 else 600)


def test_the_usual_time_follows_a_change():
    timeouts = CallerTimeouts()
    for left in (1500, 700):
        for _ in range(100):
            spent = timeouts.time_spent_us(left)
        assert spent == 0


# ---------------------------------------------------------------- in the gate


LONG_LOW = route("longlow", prefix="/longlow/", priority=3, timeout_us=20 * SECOND)
ONE_SLOT = {"slots": 1, "work_us": work_us_by_path(longlow=300, low=10)}


def test_a_retry_goes_behind_a_first_attempt_of_its_priority():
    async def scenario(world):
        host = list(world.application)[0]
        gate = gateway_of(world, host)
        gate.admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gate, 20 * MILLISECOND)
        calls = [(await world.caller(host)).ask(b"/low/again", due_ms=900)]
        await sleep_us(5 * MILLISECOND)
        calls.append((await world.caller(host)).ask(b"/low/fresh", due_ms=2000))
        await wait_until_done([first, *calls])
        assert [made.status for made in calls] == [200, 200]
        order = [ran.target for ran in world.ends[host].journal]
        assert order == [b"/longlow/x", b"/low/fresh", b"/low/again"]

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_a_call_whose_target_passes_in_the_queue_goes_behind_one_that_can_be_in_time():
    async def scenario(world):
        host = list(world.application)[0]
        gate = gateway_of(world, host)
        gate.admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gate, 100 * MILLISECOND)
        # its aim counts from a try 800 ms ago: after 100 ms it can't be met any more
        old = (await world.caller(host)).ask(b"/low/old", due_ms=1200)
        await sleep_us(120 * MILLISECOND)
        assert gate.admission.queue("desk").waiting == {6: 0, 7: 1}
        new = (await world.caller(host)).ask(b"/low/new", due_ms=2000)
        await wait_until_done([first, old, new])
        assert [made.status for made in (old, new)] == [200, 200]
        order = [ran.target for ran in world.ends[host].journal]
        assert order == [b"/longlow/x", b"/low/new", b"/low/old"]

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_a_peer_gets_the_target_and_orders_by_it():
    async def scenario(world):
        guest, there = list(world.application)
        gateway_of(world, guest).admission.time_spent_us("low", 2 * SECOND)
        first = (await world.caller(there)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gateway_of(world, there), 20 * MILLISECOND)
        calls = [(await world.caller(guest)).ask(b"/low/again", due_ms=900)]
        await sleep_us(20 * MILLISECOND)
        calls.append((await world.caller(guest)).ask(b"/low/fresh", due_ms=2000))
        await wait_until_done([first, *calls])
        assert [made.status for made in calls] == [200, 200]
        order = [ran.target for ran in world.ends[there].journal]
        assert order == [b"/longlow/x", b"/low/fresh", b"/low/again"]

    gated(scenario, application=("", "desk"), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)


def test_a_slot_in_use_without_an_answer_counts_for_the_hold_time():
    async def scenario(world):
        host = list(world.application)[0]
        gate, end = gateway_of(world, host), world.ends[host]
        await send_call(world, host)
        assert gate.slowness.hold_us("desk") < 50 * MILLISECOND
        end.faults["*"] = ["silence"] * 30
        for _ in range(30):
            made = await send_call(world, host, due_ms=300)
            assert made.status == 504
        assert gate.slowness.hold_us("desk") > 200 * MILLISECOND
        # so nobody is let in to wait for such a slot who would be late
        end.faults["*"] = ["silence"]
        held = (await world.caller(host)).ask(due_ms=300)
        await sleep_us(10 * MILLISECOND)
        made = await send_call(world, host, due_ms=300)
        assert made.status == 503 and made.took < 20 * MILLISECOND
        await wait_until_done([held])

    gated(scenario, application=("desk",), endpoint={"slots": 1, "work_us": 10 * MILLISECOND})


# ---------------------------------------------------------------- the invariants


def test_each_violation_is_counted_and_logged_once_a_second():
    logged = []
    found = Invariants(lambda number, **facts: logged.append((number, facts["invariant"])))
    made = Admission()
    made.queue("desk").join(call(priority=1))
    found.check_start(call(priority=1, target_deadline=5), made, 4)
    found.check_start(
        call(priority=0, target_deadline=5), made, 6
    )  # of a higher rank than who waits
    assert not found.violations
    found.check_start(call(priority=1, target_deadline=5), made, 6)
    found.check_start(call(priority=1, target_deadline=5), made, 7)
    found.check_idle_capacity("desk", 0, True, 8)
    found.check_idle_capacity("desk", 1, False, 8)
    found.check_idle_capacity("desk", 1, True, 8)
    made.started(call(), 9)
    found.check_slots(made, [call()], 10)
    assert found.violations == {LATE_BEFORE_IN_TIME: 2, WAITING_WITH_CAPACITY: 1, SLOTS_DIFFER: 1}
    assert logged == [(802, LATE_BEFORE_IN_TIME), (802, WAITING_WITH_CAPACITY), (802, SLOTS_DIFFER)]
    found.check_start(call(priority=1, target_deadline=5), made, 6 + SECOND)
    assert len(logged) == 4


def test_the_gate_checks_its_slots_while_it_runs():
    async def scenario(world):
        host = list(world.application)[0]
        gate = gateway_of(world, host)
        gate.admission.started(call(), monotonic_us())  # a slot that nobody holds
        await sleep_us(300 * MILLISECOND)
        assert gate.dispatcher.invariants.violations[SLOTS_DIFFER] >= 1
        assert len(world.trace.events(802)) == 1
        gate.admission.freed(call(), monotonic_us())
        world.trace.lines.clear()

    gated(scenario, application=("desk",), items=default_items(HIGH))


def figures(in_time, late):
    found = PriorityFigures()
    found.admitted_in_time, found.admitted_late = in_time, late
    return found


def test_a_queue_whose_calls_mostly_end_late_for_two_seconds_stands():
    found = Invariants(lambda number, **facts: None)
    for in_time, late, violations in (
        (0, 9, 0),  # too few to say
        (0, 99, 0),  # estimates may be behind a sudden change
        (99, 99, 0),  # not most
        (0, 99, 0),
        (5, 6, 1),
        (5, 6, 2),
    ):
        found.check_queue("desk", 2, figures(in_time, late), 0)
        assert found.violations[QUEUE_OVERCOMMITTED] == violations


def test_what_was_admitted_and_missed_its_target_is_counted():
    async def scenario(world):
        host = list(world.application)[0]
        gate = gateway_of(world, host)
        first = (await world.caller(host)).ask(b"/longlow/x", due_ms=None)
        await sleep_us(20 * MILLISECOND)
        set_hold_time(gate, 100 * MILLISECOND)  # in truth the slot is held for 300 ms
        gate.dispatcher.figures.services.clear()
        gate.dispatcher.figures.since = monotonic_us()
        calls = [(await world.caller(host)).ask(b"/low/x"), (await world.caller(host)).ask(b"/p/y")]
        await wait_until_done([first, *calls])
        ranks = gate.dispatcher.figures.services["desk"]
        assert [calls[0].status, calls[1].status] == [200, 200]
        assert (ranks[3].admitted_in_time, ranks[3].admitted_late) == (1, 0)
        assert ranks[0].started == 1 and ranks[0].admitted_in_time == 1

    gated(scenario, application=("desk",), items=default_items(LOW, LONG_LOW), endpoint=ONE_SLOT)
