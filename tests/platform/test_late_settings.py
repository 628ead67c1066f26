"""A settings file that is written after the process was started is waited for."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from meadowdock.logs import events as log_events

ROOT = Path(__file__).parents[2]
SETTINGS = """[localNode]
ipAddress = "127.0.9.1"
zone = "a"
bootstrap = true
[network]
internalPortRange = [9100, 9115]
seedNodes = ["127.0.9.1:9090"]
"""
LOAD = """
import signal, sys
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))  # as start.py does
import platform_adapter.settings
loaded = platform_adapter.settings.load_settings("mdreg")
print(loaded.process_settings.may_bootstrap, flush=True)
"""


def start(path: Path) -> subprocess.Popen:
    """Start a process that loads the settings file and prints its permission to bootstrap."""
    return subprocess.Popen(
        [sys.executable, "-c", LOAD],
        env={"MEADOWDOCK_CONFIG": str(path), "PYTHONPATH": str(ROOT / "platform")},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("written", (None, "", SETTINGS[:20], SETTINGS.partition("[network]")[0]))
def test_a_process_whose_settings_file_is_late_or_half_written_does_not_end(tmp_path, written):
    path = tmp_path / "local.toml"
    if written is not None:
        path.write_text(written)
    process = start(path)
    event = json.loads(process.stderr.readline())
    assert event["number"] == log_events.SETTINGS_WAITING
    assert event["errors"]
    assert event["path"] == str(path)
    path.write_text(SETTINGS)
    assert process.communicate(timeout=60) == ("True\n", ""), "the wait is logged once"
    assert process.returncode == 0


def test_a_wrong_value_ends_the_process_with_one_event(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace("[9100, 9115]", "[9100, 9101]"))
    process = start(path)
    event = json.loads(process.communicate(timeout=60)[1].splitlines()[-1])
    assert process.returncode == 2
    assert event["number"] == log_events.PROCESS_FAILED
    assert "network.internalPortRange" in event["cause"]


def test_a_process_that_waits_for_its_settings_can_be_told_to_stop(tmp_path):
    process = start(tmp_path / "local.toml")
    process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=60)
    assert process.returncode == 0
