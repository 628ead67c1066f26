"""Endpoints that answer without end, or with large sound answers, cost their own callers alone.

Each kind, the number of callers and the bounds are fixed. The bounds are memoryMb, watched or as
address space, and that callers of a sound service are answered all the time.
"""

from __future__ import annotations

import resource
import time
from dataclasses import replace

import pytest
from crowds import MACHINE_LIMITS
from faulty_endpoints import (
    DEADLINE_S,
    Callers,
    faulty_callers,
    faulty_deployment,
    ordinary_callers,
    set_limit,
)

from meadowdock.simulator.standin.endless import ENDLESS, SOUND_BYTES

pytestmark = pytest.mark.crowd

CALLERS = 6
SPELL_S = 8.0
# What a sound endpoint may send as well, as far as it can be known: the answer ends by the deadline.
NOT_KNOWN_EARLY = ("chunks-of-one-byte", "large-chunks", "longer-than-said")
KNOWN_S = DEADLINE_S / 2  # by which an answer that can't become one is answered in its place
MACHINE_MB = 300
WATCHED = replace(MACHINE_LIMITS, memory_mb=MACHINE_MB)
IN_ADDRESS_SPACE = replace(WATCHED, address_space_mb=MACHINE_MB)
SPELLS = 10
SHORT_SPELL_S = 1.0
GROWTH_KB = 20_000  # between the first spell and the last
LATE_S = 1.0  # after its deadline, at which a caller must have an answer
SOUND_DEADLINE_S = 30
SOUND_SIZES = (1_000_000, 40_000_000, SOUND_BYTES)
SLOW_READ_BYTES = 65_536
SLOW_PAUSE_S = 0.002
# The deployment's own traffic goes on while a limit is lowered.
LIMITED_S = 4.0


def host_of(running, place: str) -> str:
    """Return at which machine the faulty endpoint's callers are."""
    return running.side if place == "beside" else running.second


def run_spell(running, kind: str, place: str, seconds: float, count: int = CALLERS) -> None:
    """Have the endpoint answer without end for a while, and check both kinds of callers."""
    running.desk.answer_endlessly(kind)
    host = host_of(running, place)
    with (
        ordinary_callers(running, running.side) as ordinary,
        faulty_callers(running, host, count) as faulty,
    ):
        time.sleep(seconds)
    running.desk.answer = running.desk.answer_soundly
    running.check_limits()
    assert set(ordinary.statuses()) == {(200, True)}, ordinary.statuses()
    assert len(ordinary.received) > seconds, "callers of the sound service were held up"
    late = [each for each in faulty.received if each.seconds > DEADLINE_S + LATE_S]
    assert not late, late
    assert all(each.status for each in faulty.received), faulty.statuses()
    if kind not in NOT_KNOWN_EARLY:
        assert {each.status for each in faulty.received} == {502}, faulty.statuses()
        assert max(each.seconds for each in faulty.received) < KNOWN_S


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endpoint_beside_that_sends_without_end(tmp_path, kind):
    with faulty_deployment(tmp_path, WATCHED) as running:
        run_spell(running, kind, "beside", SPELL_S)
        running.check_ordinary_callers()


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endpoint_at_another_machine_in_a_limited_address_space(tmp_path, kind):
    with faulty_deployment(tmp_path, IN_ADDRESS_SPACE) as running:
        run_spell(running, kind, "elsewhere", SPELL_S)
        running.check_ordinary_callers()


@pytest.mark.parametrize("limits", (WATCHED, IN_ADDRESS_SPACE), ids=("watched", "address-space"))
def test_memory_does_not_grow_with_the_number_of_spells(tmp_path, limits):
    """What was held for an answer that ended is released, not left to the garbage collector."""
    with faulty_deployment(tmp_path, limits) as running:
        held = []
        for number in range(SPELLS):
            kind = list(ENDLESS)[number % len(ENDLESS)]
            for place in ("beside", "elsewhere"):
                run_spell(running, kind, place, SHORT_SPELL_S)
            held.append(running.watched["mdproxy"].memory_kb())
        assert held[-1] <= held[0] + GROWTH_KB, held
        running.check_ordinary_callers()


@pytest.mark.parametrize("limits", (WATCHED, IN_ADDRESS_SPACE), ids=("watched", "address-space"))
@pytest.mark.parametrize("place", ("beside", "elsewhere"))
@pytest.mark.parametrize("is_chunked", (False, True), ids=("with-length", "chunked"))
def test_large_sound_answers_arrive_whole(tmp_path, limits, place, is_chunked):
    """Several at once, to callers that read at once and to one that reads slowly."""
    with faulty_deployment(tmp_path, limits) as running:
        host = host_of(running, place)
        for size in SOUND_SIZES:
            running.desk.answer_with(size, is_chunked)

            def ask(number, size=size):
                pause_s = SLOW_PAUSE_S if not number else 0.0
                return running.ask(host, "POST", "/r/x", SOUND_DEADLINE_S, pause_s, SLOW_READ_BYTES)

            with (
                ordinary_callers(running, host) as ordinary,
                Callers(ask, CALLERS) as callers,
            ):
                time.sleep(SPELL_S)
            running.check_limits()
            assert set(ordinary.statuses()) == {(200, True)}, ordinary.statuses()
            expected = {(200, True, size)}
            received = {(each.status, each.is_whole, each.body_bytes) for each in callers.received}
            assert received == expected, received
        running.desk.answer = running.desk.answer_soundly
        running.check_ordinary_callers()


def test_large_sound_answers_that_are_not_read(tmp_path):
    with faulty_deployment(tmp_path, WATCHED) as running:
        running.desk.answer_with(SOUND_BYTES)

        def ask_and_rest(number):
            return running.ask_without_reading(running.side, "/i/x", SPELL_S)

        with (
            ordinary_callers(running, running.side) as ordinary,
            Callers(ask_and_rest, CALLERS),
        ):
            time.sleep(SPELL_S)
        running.check_limits()
        assert set(ordinary.statuses()) == {(200, True)}, ordinary.statuses()
        running.desk.answer = running.desk.answer_soundly
        running.check_ordinary_callers()


@pytest.mark.parametrize("role", ("mdproxy", "mdconf", "mdreg"))
@pytest.mark.parametrize(
    "limit",
    (resource.RLIMIT_AS, resource.RLIMIT_NOFILE, resource.RLIMIT_FSIZE),
    ids=("address-space", "descriptors", "disk"),
)
def test_a_process_serves_again_once_a_limit_is_gone(tmp_path, role, limit):
    """A limit is met while the process serves, and is lifted again."""
    with faulty_deployment(tmp_path, IN_ADDRESS_SPACE) as running:
        watched = running.watched[role]
        process_id = watched.process.pid
        soft, _ = resource.prlimit(process_id, limit)
        used = {
            resource.RLIMIT_AS: watched.address_space_bytes(),
            resource.RLIMIT_NOFILE: watched.descriptors(),
            resource.RLIMIT_FSIZE: 0,
        }
        set_limit(process_id, limit, used[limit])
        ends_at = time.monotonic() + LIMITED_S
        with faulty_callers(running, running.side, CALLERS):
            while time.monotonic() < ends_at:
                running.configure()
                running.beat()
        set_limit(process_id, limit, soft)
        running.check_ordinary_callers()
        running.check_limits()
