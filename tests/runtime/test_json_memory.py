"""What JSON takes once it is parsed is bounded before, and held in the account meanwhile."""

from __future__ import annotations

import json
import tracemalloc

import pytest
from large_orders import ORDERS

from meadowdock.runtime.client_memory import MEGABYTE, ClientMemory
from meadowdock.runtime.exceptions import NoMemoryNow, TooCostlyToParse
from meadowdock.runtime.json_memory import parsed_size, room_to_parse

SIZE = 300_000  # bytes


@pytest.mark.parametrize("kind", ORDERS)
def test_no_json_takes_more_than_its_bound(kind):
    body = ORDERS[kind](SIZE)
    tracemalloc.start()
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        pass
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak <= parsed_size(body) + 100_000  # of the parser itself


def test_room_is_held_while_a_body_is_parsed():
    memory = ClientMemory(30)
    with room_to_parse(b"[1,2]", memory):
        assert memory.total == parsed_size(b"[1,2]")
    assert memory.total == 0


def test_a_body_that_never_fits_is_told_from_one_that_does_not_fit_now(monkeypatch):
    monkeypatch.setattr("meadowdock.runtime.client_memory.monotonic_us", lambda: 0)
    memory = ClientMemory(3)  # a third of it for clients
    with pytest.raises(TooCostlyToParse), room_to_parse(b"[" + b"1," * 10_000 + b"1]", memory):
        pass
    memory.total = MEGABYTE - 100
    with pytest.raises(NoMemoryNow), room_to_parse(b"[1,2]", memory):
        pass
    assert memory.total == MEGABYTE - 100
