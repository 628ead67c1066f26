"""Messages of the registry: their names on the wire, and missing and optional fields."""

from __future__ import annotations

import pytest

from meadowdock.registry.messages import (
    CollectionSummary,
    HeartbeatReply,
    LoadList,
    ProxyHeartbeat,
    RegistryHeartbeat,
    decode_heartbeat,
)

REGISTRY = {
    "address": "10.0.0.1:7411",
    "role": "mdreg",
    "hall": "a",
    "incarnation": 5,
    "leaving": False,
    "seen_epoch": 3,
    "collector": None,
}
PROXY = {
    "address": "10.0.0.4:7401",
    "role": "mdproxy",
    "hall": "b",
    "incarnation": 6,
    "leaving": True,
    "version": 9,
    "interval_us": 500_000,
    "endpoints": [],
}


def test_a_registrys_heartbeat_is_encoded_as_it_was_decoded():
    heartbeat = decode_heartbeat(REGISTRY)
    assert heartbeat == RegistryHeartbeat("10.0.0.1:7411", "a", 5, False, 3, None)
    assert list(heartbeat.to_wire().items()) == list(REGISTRY.items())


def test_a_proxys_heartbeat_keeps_the_received_fields():
    heartbeat = decode_heartbeat(PROXY)
    assert isinstance(heartbeat, ProxyHeartbeat)
    assert heartbeat.wire is PROXY
    assert (heartbeat.shutting_down, heartbeat.configuration_version) == (True, 9)
    assert heartbeat.nodes_known is None  # earlier releases don't send it


@pytest.mark.parametrize(
    ("wire", "field"),
    [
        (REGISTRY, "role"),
        (REGISTRY, "address"),
        (REGISTRY, "incarnation"),
        (REGISTRY, "seen_epoch"),
        (PROXY, "leaving"),
        (PROXY, "interval_us"),
    ],
)
def test_a_heartbeat_without_a_required_field_is_refused(wire, field):
    with pytest.raises(KeyError, match=field):
        decode_heartbeat({name: value for name, value in wire.items() if name != field})


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (HeartbeatReply(), {}),
        (HeartbeatReply(0), {"epoch": 0}),
        (HeartbeatReply(4, {}), {"epoch": 4, "nodes": {}}),
        (LoadList(4, 2, {"x": {}}), {"epoch": 4, "seq": 2, "nodes": {"x": {}}}),
        (CollectionSummary(3, 2, 17, 1), {"asked": 3, "answered": 2, "at": 17, "shed": 1}),
    ],
)
def test_messages_are_encoded_as_specified(message, wire):
    assert list(message.to_wire().items()) == list(wire.items())
