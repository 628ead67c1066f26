"""An address that another socket holds at the start of a process is listened on once it is free."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.request

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


def start(host: str, folder: str) -> subprocess.Popen:
    """Start a config store."""
    arguments = ["run", f"--host={host}", "--hall=a", f"--seeds={host}:7421", f"--data={folder}"]
    return subprocess.Popen(
        [sys.executable, "-m", "meadowdock.config_store", *arguments, f"--fleet_key={'5a' * 32}"],
        stderr=subprocess.PIPE,
        text=True,
    )


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
        process = start(host, str(tmp_path))
        waiting = json.loads(process.stderr.readline())
        time.sleep(HELD_S)
        assert process.poll() is None
    deadline = time.monotonic() + START_S
    while not is_live(host) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert is_live(host)
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=30)
    assert process.returncode == 0
    assert waiting["number"] == log_events.LISTENER_WAITING
    assert waiting["address"] == f"{host}:{port}"
    numbers = [json.loads(line)["number"] for line in log.splitlines()]
    assert numbers.count(log_events.LISTENER_WAITING) == 0, "the wait is logged once"
    assert log_events.STARTED in numbers


def test_a_process_that_waits_for_an_address_ends_when_it_is_told_to(tmp_path):
    host = f"{free_net()}.1"
    with held((host, DEFAULT_PORTS["mdconf"][0])):
        process = start(host, str(tmp_path))
        process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
    assert process.returncode == 0
