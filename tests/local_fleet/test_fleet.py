"""A fleet beside one that holds its addresses: told at once, and nothing of it is touched."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

import pytest
from fleets import free_net

from meadowdock.local_fleet.fleet import Fleet, Taken


def topology(net):
    return {
        "name": "small",
        "manifest": "himal.json",
        "core": {f"{net}.1": "a"},
        "application": {f"{net}.11": ["a", "member-desk", 4, 2000]},
        "load": [],
    }


def test_a_net_is_given_to_one_process_until_it_ends():
    """A process that looks at the same numbers first gets another net, though no fleet is up."""
    mine = free_net()
    code = f"import os; os.getpid = lambda: {os.getpid()}; import fleets; print(fleets.free_net())"
    other = [sys.executable, "-c", code]
    paths = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    ended = subprocess.run(other, env=paths, capture_output=True, text=True, check=True)
    assert ended.stdout.strip() not in ("", mine)


def test_taken_addresses_are_told_before_anything_is_started_or_removed(tmp_path):
    net, folder = free_net(), tmp_path / "run"
    folder.mkdir()
    (folder / "fleet.json").write_text("{}")
    made = Fleet(topology(net), str(folder))
    with (
        socket.create_server((f"{net}.11", 7400)),
        pytest.raises(Taken, match=f"{net}.11:7400"),
    ):
        made.up()
    assert made.processes == {} and (folder / "fleet.json").read_text() == "{}"
    assert made.taken() == []


def test_the_command_says_so_and_ends_with_status_1(tmp_path):
    net, file = free_net(), tmp_path / "small.toml"
    file.write_text(
        f'name = "small"\nmanifest = "himal.json"\nload = []\n[core]\n"{net}.1" = "a"\n'
        f'[application]\n"{net}.11" = ["a", "member-desk", 4, 2000]\n'
    )
    with socket.create_server((f"{net}.1", 7420)):
        told = subprocess.run(
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
    assert told.returncode == 1 and f"{net}.1:7420" in told.stderr
    assert "Traceback" not in told.stderr and "no_majority" not in told.stderr
