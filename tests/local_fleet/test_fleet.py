"""Starting a fleet whose addresses are in use fails at once and leaves the other fleet alone."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest
from fleets import free_net

from meadowdock.local_fleet.fleet import AddressesInUse, Fleet


def topology(net):
    return {
        "name": "small",
        "manifest": "himal.json",
        "core": {f"{net}.1": "a"},
        "application": {f"{net}.11": ["a", "member-desk", 4, 2000]},
        "load": [],
    }


def test_a_network_is_reserved_for_one_process_until_it_ends():
    """Another process that tries the same numbers first gets another network, even without fleet."""
    own_net = free_net()
    code = f"import os; os.getpid = lambda: {os.getpid()}; import fleets; print(fleets.free_net())"
    command = [sys.executable, "-c", code]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    process = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    assert process.stdout.strip() not in ("", own_net)


def test_addresses_in_use_are_reported_before_anything_is_started_or_removed(tmp_path):
    net, folder = free_net(), tmp_path / "run"
    folder.mkdir()
    (folder / "fleet.json").write_text("{}")
    fleet = Fleet(topology(net), str(folder))
    with (
        socket.create_server((f"{net}.11", 7400)),
        pytest.raises(AddressesInUse, match=f"{net}.11:7400"),
    ):
        fleet.start_daemons()
    assert fleet.processes == {} and (folder / "fleet.json").read_text() == "{}"
    assert fleet.addresses_in_use() == []


def test_the_command_reports_addresses_in_use_and_exits_with_status_1(tmp_path):
    net, file = free_net(), tmp_path / "small.toml"
    file.write_text(
        f'name = "small"\nmanifest = "himal.json"\nload = []\n[core]\n"{net}.1" = "a"\n'
        f'[application]\n"{net}.11" = ["a", "member-desk", 4, 2000]\n'
    )
    with socket.create_server((f"{net}.1", 7420)):
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "meadowdock.local_fleet",
                "load",
                str(file),
                f"--folder={tmp_path / 'run'}",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
    assert process.returncode == 1 and f"{net}.1:7420" in process.stderr
    assert "Traceback" not in process.stderr and "no_majority" not in process.stderr
