"""The start of a process from the deployed files."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from meadowdock.logs import CATALOGUE
from meadowdock.logs import events as log_events

START = Path(__file__).parents[2] / "platform" / "start.py"


def start_with_a_slow_import(tmp_path: Path) -> tuple[subprocess.Popen, Path]:
    """Start a role whose imports wait until a file exists, and return that file, too."""
    sent = tmp_path / "sent"
    settings_module = tmp_path / "target" / "lib" / "meadowdock" / "settings"
    settings_module.mkdir(parents=True)
    (settings_module / "__init__.py").write_text("")
    (settings_module / "deferred_imports.py").write_text(
        "import pathlib, sys, time\n"
        "print('importing', flush=True)\n"
        f"while not pathlib.Path({str(sent)!r}).exists(): time.sleep(0.01)\n"
        "print('went on', flush=True)\n"
        "sys.exit(0)\n"
    )
    program = tmp_path / "platform" / "start.py"
    program.parent.mkdir()
    program.write_text(START.read_text())
    process = subprocess.Popen(
        [sys.executable, str(program), "mdproxy"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": ""},
    )
    assert process.stdout.readline() == "importing\n"
    return process, sent


def test_a_process_that_is_told_to_reload_while_it_starts_goes_on(tmp_path):
    process, sent = start_with_a_slow_import(tmp_path)
    process.send_signal(signal.SIGHUP)
    sent.touch()
    assert process.communicate()[0] == "went on\n"
    assert process.returncode == 0


@pytest.mark.parametrize("number", (signal.SIGTERM, signal.SIGINT))
def test_a_process_that_is_told_to_stop_while_it_starts_ends_with_status_0(tmp_path, number):
    process, _ = start_with_a_slow_import(tmp_path)
    process.send_signal(number)
    assert process.communicate(timeout=30)[0] == ""
    assert process.returncode == 0


def test_a_role_whose_libraries_can_not_be_loaded_says_so_in_one_event(tmp_path):
    """As with compiled parts that were built for another kind of machine."""
    settings_module = tmp_path / "target" / "lib" / "meadowdock" / "settings"
    settings_module.mkdir(parents=True)
    (settings_module / "__init__.py").write_text("import httptools_of_another_machine\n")
    (tmp_path / "target" / "deps").mkdir()
    (tmp_path / "target" / "deps" / ".made").write_text("cpython-311 linux-other\n")
    program = tmp_path / "platform" / "start.py"
    program.parent.mkdir()
    program.write_text(START.read_text())
    process = subprocess.run(
        [sys.executable, str(program), "mdproxy"],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": ""},
    )
    (event,) = [json.loads(line) for line in process.stderr.splitlines()]
    assert (process.returncode, event["status"]) == (1, 1)
    assert (event["number"], event["event"]) == (
        log_events.PROCESS_FAILED,
        CATALOGUE[log_events.PROCESS_FAILED].name,
    )
    assert "httptools_of_another_machine" in event["cause"]
    assert event["built_for"] == "cpython-311 linux-other"
    assert event["runs_on"].startswith(sys.implementation.cache_tag)
