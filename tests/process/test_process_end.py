"""What a process logs about its own end, and about that of the process before it."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest
from fleets import free_net

from meadowdock.logs import events as log_events
from meadowdock.process.run_record import ENDINGS, FAILED, RUNNING, STOPPING

PROGRAM = """
import os, signal, sys
import trio
from meadowdock import process
from meadowdock.admin_http import RouteTable
from meadowdock.rpc import Handlers
from meadowdock.settings import validate_settings

class Example(process.Daemon):
    routes = RouteTable()

    def rpc_handlers(self):
        return Handlers()

    def background_tasks(self):
        return {"end": self.end}

    def unready_reasons(self):
        return []

    async def end(self):
        await trio.sleep(0.2)
        if HOW == "error":
            raise process_error()
        os.kill(os.getpid(), {"kill": signal.SIGKILL, "stop": signal.SIGTERM}[HOW])

def process_error():
    return SystemError("a defect")

HOW, HOST, FOLDER = sys.argv[1:]
class Made(Example):
    def __init__(self, node):
        self.node = node
        if HOW == "error":
            raise process_error()

settings = validate_settings("mdconf", {
    "host": HOST, "hall": "a", "seeds": [f"{HOST}:7421"], "fleet_key": "5a" * 32, "data": FOLDER,
    "members": [], "linger_us": 1, "stop_us": 400_000,
})
process.start(Made)(settings)
"""


def run_until_its_end(how: str, host: str, folder: str) -> tuple[int, list[dict], str]:
    """Run the program and return its exit status, its log events, and its other output."""
    process = subprocess.run(
        [sys.executable, "-c", PROGRAM, how, host, folder],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    lines = process.stderr.splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    others = "\n".join(line for line in lines if not line.startswith("{"))
    return process.returncode, events, others


def numbered(events: list[dict], number: int) -> list[dict]:
    """Return the events with a number."""
    return [event for event in events if event["number"] == number]


def test_a_process_that_an_error_ends_says_so_in_one_event(tmp_path):
    status, events, others = run_until_its_end("error", f"{free_net()}.1", str(tmp_path))
    (failed,) = numbered(events, log_events.PROCESS_FAILED)
    assert (status, failed["status"], others) == (1, 1, "")
    assert failed["cause"] == "SystemError('a defect')"
    assert failed["where"].endswith("__init__")
    assert len(failed["frames"]) > 2


@pytest.mark.parametrize(
    "how, state, cause",
    [
        ("error", FAILED, "SystemError('a defect')"),
        ("kill", RUNNING, ""),
        ("stop", STOPPING, ""),
    ],
)
def test_the_next_process_says_how_the_former_one_ended(tmp_path, how, state, cause):
    host = f"{free_net()}.1"
    _, events, _ = run_until_its_end(how, host, str(tmp_path))
    assert numbered(events, log_events.PREVIOUS_END) == []
    _, events, _ = run_until_its_end("stop", host, str(tmp_path))
    (previous,) = numbered(events, log_events.PREVIOUS_END)
    assert (previous["ending"], previous["cause"]) == (ENDINGS[state], cause)


def test_a_damaged_record_of_the_former_process_is_no_obstacle(tmp_path):
    (tmp_path / "run").write_bytes(b"\xff{")
    status, events, _ = run_until_its_end("stop", f"{free_net()}.1", str(tmp_path))
    (previous,) = numbered(events, log_events.PREVIOUS_END)
    assert status == 0
    assert "damaged" in previous["ending"]


def test_a_disk_that_does_not_answer_the_run_record_does_not_hold_up_the_start(tmp_path):
    """Its pipe blocks whoever reads it, until somebody writes."""
    os.mkfifo(tmp_path / "run")
    status, events, _ = run_until_its_end("stop", f"{free_net()}.1", str(tmp_path))
    assert numbered(events, log_events.STARTED)
    assert status == 0
