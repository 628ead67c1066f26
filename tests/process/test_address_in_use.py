"""An address that another socket holds at the start of a process is listened on once it is free."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest
from fleets import free_net

from meadowdock.logs import events as log_events
from meadowdock.settings.model import DEFAULT_PORTS

HELD_S = 0.6
START_S = 30  # limit of a start, also on a busy machine


def held(address: tuple[str, int]) -> socket.socket:
    """Return a socket that holds an address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen()
    return sock


def start(host: str, folder: Path) -> subprocess.Popen:
    """Start a config store."""
    boot_file = folder / "mdconf.toml"
    boot_file.write_text(
        f'host = "{host}"\nhall = "a"\nseeds = ["{host}:7421"]\nmembers = []\n'
        f'fleet_key = "{"5a" * 32}"\ndata = "{folder}/data"\nlinger_us = 1\nstop_us = 400000\n'
    )
    return subprocess.Popen(
        [sys.executable, "-m", "meadowdock.config_store", "run", f"--boot={boot_file}"],
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_for_event(process: subprocess.Popen, number: int) -> dict:
    """Read the log up to the first event with a number, and return it."""
    for line in process.stderr:
        event = json.loads(line)
        if event["number"] == number:
            return event
    raise AssertionError(f"the log ended without event {number}")


def is_live(host: str) -> bool:
    """Return whether the process answers its health check."""
    try:
        with urllib.request.urlopen(f"http://{host}:{DEFAULT_PORTS['mdconf'][0]}/live", timeout=2):
            return True
    except OSError:
        return False


@pytest.mark.parametrize("port", DEFAULT_PORTS["mdconf"])
def test_a_process_waits_for_an_address_that_is_in_use(tmp_path, port):
    host = f"{free_net()}.1"
    with held((host, port)):
        process = start(host, tmp_path)
        waiting = wait_for_event(process, log_events.LISTENER_WAITING)
        time.sleep(HELD_S)
        assert process.poll() is None
    deadline = time.monotonic() + START_S
    while not is_live(host) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert is_live(host)
    process.send_signal(signal.SIGTERM)
    log = process.stderr.read()  # not communicate, which skips the lines that were read ahead
    assert process.wait(timeout=30) == 0
    assert waiting["address"] == f"{host}:{port}"
    numbers = [json.loads(line)["number"] for line in log.splitlines()]
    assert numbers.count(log_events.LISTENER_WAITING) == 0, "the wait is logged once"
    assert log_events.STARTED in numbers


def test_a_process_that_waits_for_an_address_ends_when_it_is_told_to(tmp_path):
    host = f"{free_net()}.1"
    with held((host, DEFAULT_PORTS["mdconf"][0])):
        process = start(host, tmp_path)
        wait_for_event(process, log_events.LISTENER_WAITING)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
    assert process.returncode == 0
