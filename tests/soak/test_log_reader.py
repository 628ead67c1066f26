"""The logs of processes that were killed while they wrote a line."""

from __future__ import annotations

from meadowdock.logs import events as log_events
from meadowdock.soak.fleet import SoakFleet, soak_topology

LOST = '{"of": "mdreg@a", "number": 202, "cause": "{\\"of\\": 1}", "event": "connection_lost"}'
STARTED = '{"of": "mdreg@a", "number": 101, "event": "started"}'
VIOLATED = '{"of": "mdreg@a", "number": 802, "which": "held_slots_differ", "count": 3}'


def fleet_with_log(tmp_path, text):
    folder = tmp_path / "logs"
    folder.mkdir()
    (folder / "mdreg-a.log").write_text(text, encoding="utf-8")
    return SoakFleet(soak_topology("127.0.0"), str(tmp_path))


def test_a_kill_between_an_event_and_its_newline_hides_no_event(tmp_path):
    fleet = fleet_with_log(tmp_path, f"{LOST}{STARTED}\n{VIOLATED}\n")
    numbers = [event["number"] for event in fleet.log_events(101, 202, 802)]
    assert numbers == [202, 101, 802]
    assert fleet.tracebacks() == []


def test_a_kill_inside_an_event_hides_neither_its_number_nor_the_next_start(tmp_path):
    for length in range(1, len(VIOLATED)):
        folder = tmp_path / str(length)
        folder.mkdir()
        fleet = fleet_with_log(folder, f"{STARTED}\n{VIOLATED[:length]}{STARTED}\n")
        assert len(fleet.log_events(log_events.STARTED)) == 2
        number_written = length > VIOLATED.index("802") + 3
        assert len(fleet.log_events(log_events.INVARIANT_VIOLATED)) == number_written
        assert fleet.tracebacks() == []


def test_a_traceback_behind_a_torn_event_is_found(tmp_path):
    fleet = fleet_with_log(tmp_path, f"{LOST}Traceback (most recent call last):\n  File x\n")
    assert fleet.tracebacks() == [
        "mdreg-a.log: Traceback (most recent call last):",
        "mdreg-a.log: File x",
    ]
