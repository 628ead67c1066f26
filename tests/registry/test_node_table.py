"""The node table: which heartbeats count, and when a node is no longer alive."""

from __future__ import annotations

import pytest

from meadowdock.registry.messages import ProxyHeartbeat
from meadowdock.registry.node_table import (
    ALIVE_WITHIN_US,
    NodeTable,
    node_loads,
    proxies_to_wire,
)
from meadowdock.rpc import Rejected

ADDRESS = "10.0.0.1:7401"
ENDPOINT = {
    "service": "desk",
    "address": "10.0.0.1:8000",
    "incarnation": 7,
    "in_flight": 3,
    "capacity": 4,
    "draining": False,
}


def heartbeat(address=ADDRESS, incarnation=1, leaving=False, endpoints=(ENDPOINT,)):
    return ProxyHeartbeat.from_wire(
        {
            "address": address,
            "role": "mdproxy",
            "hall": "a",
            "incarnation": incarnation,
            "version": 1,
            "leaving": leaving,
            "listless": None,
            "interval_us": None,
            "endpoints": list(endpoints),
        }
    )


@pytest.fixture
def table():
    return NodeTable()


def test_a_node_is_new_once_in_each_incarnation(table):
    assert [table.update(heartbeat(incarnation=i), 0) for i in (1, 1, 2, 2)] == [
        True,
        False,
        True,
        False,
    ]


def test_a_heartbeat_of_an_earlier_incarnation_is_rejected(table):
    table.update(heartbeat(incarnation=2), 0)
    with pytest.raises(Rejected, match="old_incarnation"):
        table.update(heartbeat(incarnation=1), 1)
    with pytest.raises(Rejected, match="old_incarnation"):
        table.update(heartbeat(incarnation=1, leaving=True), 1)
    assert table.records[ADDRESS].heartbeat.incarnation == 2
    assert table.records[ADDRESS].heard_at == 0


def test_a_node_that_shuts_down_is_removed_at_once(table):
    table.update(heartbeat(), 0)
    assert not table.update(heartbeat(leaving=True), 1)
    assert ADDRESS not in table
    assert not table.update(heartbeat(leaving=True), 2)


def test_a_node_is_alive_up_to_the_limit_and_expires_after_it(table):
    table.update(heartbeat("b"), 0)
    table.update(heartbeat("a"), 1)
    assert table.live(ALIVE_WITHIN_US) == ["a", "b"]
    assert table.expire(ALIVE_WITHIN_US, paused_us=0) == []
    assert table.live(ALIVE_WITHIN_US + 1) == ["a"]
    expired = table.expire(ALIVE_WITHIN_US + 1, paused_us=0)
    assert [silent.address for silent in expired] == ["b"]
    assert list(table.records) == ["a"]


def test_a_pause_of_the_registry_itself_is_no_silence_of_the_nodes(table):
    table.update(heartbeat(), 0)
    pause = 10 * ALIVE_WITHIN_US
    assert table.expire(pause, paused_us=pause) == []
    assert table.live(pause + ALIVE_WITHIN_US) == [ADDRESS]
    assert len(table.expire(pause + ALIVE_WITHIN_US + 1, paused_us=0)) == 1


@pytest.mark.parametrize(
    ("in_flight", "capacity", "utilization"), [(3, 4, 0.75), (9, 4, 1.0), (1, 0, 1.0), (0, 0, 0.0)]
)
def test_node_loads_give_the_utilization_of_each_endpoint(table, in_flight, capacity, utilization):
    endpoint = {**ENDPOINT, "in_flight": in_flight, "capacity": capacity, "draining": True}
    table.update(heartbeat(endpoints=[endpoint]), 0)
    assert node_loads(table, 0) == {ADDRESS: {"desk": [utilization, 7, True, "a"]}}


def test_node_loads_leave_out_proxies_without_endpoints_and_silent_ones(table):
    table.update(heartbeat("idle", endpoints=[]), ALIVE_WITHIN_US + 1)
    table.update(heartbeat("silent"), 0)
    table.update(heartbeat("live"), ALIVE_WITHIN_US + 1)
    assert list(node_loads(table, ALIVE_WITHIN_US + 1)) == ["live"]


def test_the_table_is_sent_with_every_field_of_a_heartbeat_and_its_age(table):
    sent = heartbeat()
    sent.wire["field_of_a_later_release"] = 1
    table.update(sent, 100)
    assert proxies_to_wire(table, 350) == {ADDRESS: {**sent.wire, "heard_us_ago": 250}}
