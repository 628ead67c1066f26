"""Stored files, rpc and HTTP messages, settings and events stay compatible with deployed processes.

The golden files hold them. golden_facts.py writes these files and says when to write them again.
"""

from __future__ import annotations

import json

import golden_facts
import pytest
from golden_facts import golden_json, golden_tree

CHANGES = 3  # made in the golden deployment


@pytest.fixture(scope="module")
def deployment():
    """Run the deployment of the golden files with the current code."""
    return golden_facts.run_deployment()


def assert_same(value, golden):
    """Assert that a value is the golden one, in the form of golden JSON files."""
    assert json.loads(golden_facts.as_text(value)) == golden


def assert_same_files(files, golden):
    """Assert that the same files hold the same bytes."""
    assert sorted(files) == sorted(golden)
    assert [name for name in golden if files[name] != golden[name]] == []


def test_each_stored_format_is_written_as_before():
    files = golden_facts.run_simulated(golden_facts.stored_formats)
    assert_same_files(files, golden_tree("formats"))


def test_each_stored_format_is_read_as_before():
    content = golden_facts.run_simulated(golden_facts.read_formats, golden_tree("formats"))
    assert_same(content, golden_json("formats.json"))


def test_a_damaged_stored_file_is_detected():
    files = golden_tree("formats")
    name = next(name for name in files if name.startswith("member/members/"))
    files[name] = files[name][:-1] + bytes([files[name][-1] ^ 1])
    content = golden_facts.run_simulated(golden_facts.read_formats, files)
    assert content["membership"] is None
    assert golden_json("formats.json")["membership"] is not None


def test_a_deployment_stores_the_same_files(deployment):
    """The simulation is deterministic: keys and signatures come from the fleet key and the seed."""
    assert_same_files(deployment.disks, golden_tree("disks"))


def test_a_deployment_with_golden_disks_starts_with_their_revision_and_audit_log():
    members = golden_facts.revision_and_audit(golden_tree("disks"))
    golden = golden_json("revision_and_audit.json")
    assert [(member["faults"], member["audit"]["version"]) for member in members] == [
        ([], CHANGES)
    ] * golden_facts.CORE
    assert all(len(member["audit"]["records"]) == CHANGES for member in members)
    assert_same(members, golden)


def test_frames_are_sealed_and_opened_as_before():
    golden = golden_json("frames.json")["sealed"]
    assert golden_facts.sealed_frames() == golden
    bodies = [{"hex": frame[40:]} for frame in golden]  # after 4 bytes of length and 16 of MAC
    assert golden_facts.opened_frames(golden) == bodies
    assert golden_facts.opened_frames([golden[1]]) == [None]  # out of sequence


def test_an_rpc_connection_sends_the_same_bytes():
    connection = golden_facts.run(golden_facts.link_conversation, golden_facts.SEED)
    assert_same(connection, golden_json("frames.json")["link"])


def test_lease_messages_are_encoded_as_before():
    assert_same(golden_facts.lease_messages(), golden_json("lease_messages.json"))


def test_rpc_requests_and_responses_are_the_same(deployment):
    golden = golden_json("rpc.json")
    assert sorted(deployment.rpc) == sorted(golden)
    for method, expected in golden.items():
        actual = deployment.rpc[method]
        assert golden_facts.decoded(actual) == golden_facts.decoded(expected), method
        assert actual == expected, method


def test_each_process_serves_the_same_rpc_methods(deployment):
    assert_same(deployment.methods, golden_json("methods.json"))


@pytest.mark.parametrize("listener", ["proxy", "operators"])
def test_an_http_listener_sends_the_same_responses(deployment, listener):
    golden = golden_json("http.json")[listener]
    assert sorted(deployment.http[listener]) == sorted(golden)
    for case, response in golden.items():
        assert_same(deployment.http[listener][case], response)


def test_gateways_send_the_same_bytes_to_callers_endpoints_and_peers():
    golden, sent = golden_json("gates.json"), golden_facts.run_gateways()
    assert sorted(sent["answers"]) == sorted(golden["answers"])
    for case, response in golden["answers"].items():
        assert_same(sent["answers"][case], response)
    assert_same(sent, golden)


@pytest.mark.parametrize("role", golden_facts.ROLES)
def test_settings_are_accepted_and_rejected_as_before(role):
    golden = golden_json("settings.json")
    for case, text in golden["inputs"][role].items():
        assert_same(golden_facts.accepted_settings(role, text), golden["outcomes"][role][case])


def test_every_event_keeps_its_number_and_name():
    assert golden_facts.event_names() == golden_json("events.json")["names"]


def test_events_have_the_same_fields(deployment):
    assert_same(deployment.events, golden_json("events.json")["fields"])
