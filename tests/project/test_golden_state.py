"""What deployed processes have stored, say on links and by HTTP, and take as settings stays as the
golden files have it. golden_facts.py makes the files and says when to make them anew."""

from __future__ import annotations

import json

import golden_facts as facts
import pytest
from golden_facts import golden_json, golden_tree

STARTED = "revision_and_audit.json"
CHANGES = 3  # made in the golden deployment


@pytest.fixture(scope="module")
def played():
    """The deployment of the golden files, played by the code as it is."""
    return facts.played_deployment()


def same(made, golden):
    """Assert that a value is the golden one, in the form of golden JSON files."""
    assert json.loads(facts.as_text(made)) == golden


def same_files(made, golden):
    """Assert that the same files hold the same bytes."""
    assert sorted(made) == sorted(golden)
    assert [name for name in golden if made[name] != golden[name]] == []


# ---------------------------------------------------------------- stored files


def test_each_stored_format_is_written_as_before():
    same_files(facts.in_world(facts.stored_formats), golden_tree("formats"))


def test_each_stored_format_is_read_as_before():
    told = facts.in_world(facts.read_formats, golden_tree("formats"))
    same(told, golden_json("formats.json"))


def test_a_damaged_stored_file_is_seen():
    files = golden_tree("formats")
    name = next(name for name in files if name.startswith("member/members/"))
    files[name] = files[name][:-1] + bytes([files[name][-1] ^ 1])
    told = facts.in_world(facts.read_formats, files)
    assert told["membership"] is None
    assert golden_json("formats.json")["membership"] is not None


def test_a_deployment_stores_the_same_files(played):
    """The simulation is deterministic: keys and signatures come from the fleet key and the seed."""
    same_files(played.disks, golden_tree("disks"))


def test_a_deployment_stored_before_starts_with_its_revision_and_audit_trail():
    told, golden = facts.revision_and_audit(golden_tree("disks")), golden_json(STARTED)
    assert [(member["faults"], member["audit"]["version"]) for member in told] == [
        ([], CHANGES)
    ] * facts.CORE
    assert all(len(member["audit"]["records"]) == CHANGES for member in told)
    same(told, golden)


# ---------------------------------------------------------------- links


def test_frames_are_sealed_and_opened_as_before():
    golden = golden_json("frames.json")["sealed"]
    assert facts.sealed_frames() == golden
    bodies = [{"hex": frame[40:]} for frame in golden]  # after 4 bytes of length, 16 of proof
    assert facts.opened_frames(golden) == bodies
    assert facts.opened_frames([golden[1]]) == [None]  # out of its place


def test_a_link_is_greeted_and_used_as_before():
    same(facts.run(facts.link_conversation, facts.SEED), golden_json("frames.json")["link"])


def test_lease_messages_are_encoded_as_before():
    same(facts.lease_messages(), golden_json("lease_messages.json"))


def test_the_same_methods_are_asked_and_answered(played):
    golden = golden_json("rpc.json")
    assert sorted(played.rpc) == sorted(golden)
    for method, expected in golden.items():
        assert facts.decoded(played.rpc[method]) == facts.decoded(expected), method
        assert played.rpc[method] == expected, method


def test_each_process_answers_the_same_methods(played):
    same(played.methods, golden_json("methods.json"))


# ---------------------------------------------------------------- HTTP, settings, events


@pytest.mark.parametrize("door", ["proxy", "operators"])
def test_a_door_gives_the_same_answers(played, door):
    golden = golden_json("http.json")[door]
    assert sorted(played.http[door]) == sorted(golden)
    for case, answer in golden.items():
        same(played.http[door][case], answer)


def test_gates_say_the_same_bytes_to_callers_endpoints_and_neighbours():
    golden, made = golden_json("gates.json"), facts.played_gates()
    assert sorted(made["answers"]) == sorted(golden["answers"])
    for case, answer in golden["answers"].items():
        same(made["answers"][case], answer)
    same(made, golden)


@pytest.mark.parametrize("role", facts.ROLES)
def test_settings_are_accepted_and_refused_as_before(role):
    golden = golden_json("settings.json")
    for case, text in golden["inputs"][role].items():
        same(facts.accepted_settings(role, text), golden["outcomes"][role][case])


def test_every_event_keeps_its_number_and_name():
    assert facts.event_names() == golden_json("events.json")["names"]


def test_events_have_the_same_fields(played):
    same(played.events, golden_json("events.json")["fields"])
