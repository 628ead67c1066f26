"""Pauses of processes: what counts as one, and which requests it may have affected."""

from __future__ import annotations

import time

import trio

from meadowdock.runtime import SECOND
from meadowdock.soak.pauses import AFTERMATH_US, Pause, affected, read_pauses, record_pauses


def pauses_while(tmp_path, stand_still):
    path = str(tmp_path / "pauses.jsonl")

    async def record():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_pauses, "mdproxy@a", path)
            await trio.sleep(0.1)
            stand_still()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(record)
    return read_pauses(path)


def work_for(seconds):
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


def test_a_process_that_gets_no_processor_pauses_and_one_that_works_does_not(tmp_path):
    (pause,) = pauses_while(tmp_path, lambda: time.sleep(0.5))
    assert pause.process == "mdproxy@a" and pause.end_us - pause.start_us >= 0.5 * SECOND
    # a slow machine may take the processor away meanwhile, but work alone is no pause
    (tmp_path / "working").mkdir()
    working = pauses_while(tmp_path / "working", lambda: work_for(0.5))
    assert all(each.end_us - each.start_us > 1.0 * SECOND for each in working)


def test_a_pause_affects_the_requests_during_it_and_shortly_after():
    pause = Pause("mdproxy@a", 10 * SECOND, 12 * SECOND)
    late = 12 * SECOND + AFTERMATH_US
    for start_us, end_us, expected in (
        (9 * SECOND, 10 * SECOND, True),
        (9 * SECOND, 10 * SECOND - 1, False),
        (11 * SECOND, 11 * SECOND, True),
        (late, late + SECOND, True),
        (late + 1, late + SECOND, False),
    ):
        assert affected([pause], start_us, end_us) == expected
    assert not affected([], 0, 20 * SECOND)
