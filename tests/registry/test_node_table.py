"""The node table: which heartbeats are recorded, and when a node is no longer alive."""

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


def test_only_the_first_heartbeat_of_an_incarnation_is_reported_as_new(table):
    assert [table.update(heartbeat(incarnation=number), 0) for number in (1, 1, 2, 2)] == [
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
    assert table.records[ADDRESS].received_at_us == 0


def test_a_node_that_shuts_down_is_removed_at_once(table):
    table.update(heartbeat(), 0)
    assert not table.update(heartbeat(leaving=True), 1)
    assert ADDRESS not in table
    assert not table.update(heartbeat(leaving=True), 2)


def test_a_node_is_alive_up_to_the_silence_limit_and_expires_after_it(table):
    table.update(heartbeat("b"), 0)
    table.update(heartbeat("a"), 1)
    assert table.live(ALIVE_WITHIN_US) == ["a", "b"]
    assert table.expire(ALIVE_WITHIN_US, paused_us=0) == []
    assert table.live(ALIVE_WITHIN_US + 1) == ["a"]
    expired = table.expire(ALIVE_WITHIN_US + 1, paused_us=0)
    assert [last_heartbeat.address for last_heartbeat in expired] == ["b"]
    assert list(table.records) == ["a"]


def test_a_pause_of_the_registry_itself_does_not_count_as_silence_of_the_nodes(table):
    table.update(heartbeat(), 0)
    pause_us = 10 * ALIVE_WITHIN_US
    assert table.expire(pause_us, paused_us=pause_us) == []
    assert table.live(pause_us + ALIVE_WITHIN_US) == [ADDRESS]
    assert len(table.expire(pause_us + ALIVE_WITHIN_US + 1, paused_us=0)) == 1


@pytest.mark.parametrize(
    ("in_flight", "capacity", "utilization"), [(3, 4, 0.75), (9, 4, 1.0), (1, 0, 1.0), (0, 0, 0.0)]
)
def test_node_loads_contain_the_utilization_of_each_endpoint(
    table, in_flight, capacity, utilization
):
    endpoint = {**ENDPOINT, "in_flight": in_flight, "capacity": capacity, "draining": True}
    table.update(heartbeat(endpoints=[endpoint]), 0)
    assert node_loads(table, 0) == {ADDRESS: {"desk": [utilization, 7, True, "a"]}}


def test_node_loads_omit_proxies_that_have_no_endpoints_or_are_not_alive(table):
    table.update(heartbeat("idle", endpoints=[]), ALIVE_WITHIN_US + 1)
    table.update(heartbeat("silent"), 0)
    table.update(heartbeat("live"), ALIVE_WITHIN_US + 1)
    assert list(node_loads(table, ALIVE_WITHIN_US + 1)) == ["live"]


def test_the_encoded_table_has_every_received_field_of_a_heartbeat_and_its_age(table):
    received = heartbeat()
    received.wire["field_of_a_later_release"] = 1
    table.update(received, 100)
    assert proxies_to_wire(table, 350) == {ADDRESS: {**received.wire, "heard_us_ago": 250}}
