"""A log that nobody reads neither ends a process nor holds it up."""

from __future__ import annotations

import fcntl
import json
import os
import select
import subprocess
import sys

import pytest

from meadowdock.logs import events as log_events

PAGE = 4096  # bytes, the smallest size of a pipe
EVENTS = 300  # of some 150 bytes each
TIMEOUT_S = 20  # of a program that is held up
PROGRAM = f"""
import sys
from meadowdock.logs import Log
log = Log("mdreg@x")
for number in range({EVENTS}):
    log(101, role="mdreg", count=number, text="x" * 60)
sys.stdout.write("went on\\n")
sys.stdout.flush()
sys.stdin.readline()
log(103, requests_in_flight=0)
"""


def start(stderr: int | None, **options: object) -> subprocess.Popen:
    """Start the program with its standard error at this descriptor."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=stderr,
        text=True,
        **options,
    )


def small_pipe() -> tuple[int, int]:
    """Return the reading and the writing end of a pipe of one page."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PAGE)
    return reading, writing


def test_a_log_whose_reader_has_gone_does_not_end_the_process():
    reading, writing = os.pipe()
    process = start(writing)
    os.close(writing)
    os.close(reading)
    output, _ = process.communicate("\n", timeout=TIMEOUT_S)
    assert (output, process.returncode) == ("went on\n", 0)


def test_a_closed_standard_error_does_not_end_the_process():
    process = start(None, preexec_fn=lambda: os.close(2))
    output, _ = process.communicate("\n", timeout=TIMEOUT_S)
    assert (output, process.returncode) == ("went on\n", 0)


def test_the_log_is_not_written_to_a_socket_that_got_the_number_of_a_closed_standard_error():
    program = (
        "import socket\nfrom meadowdock.logs import Log\nlog = Log('mdreg@x')\n"
        "one, other = socket.socketpair()\nlog(101)\nother.setblocking(False)\n"
        "try: print('received', one.fileno(), other.recv(100))\n"
        "except BlockingIOError: print('nothing')\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program],
        stdout=subprocess.PIPE,
        preexec_fn=lambda: os.close(2),
        text=True,
        check=True,
        timeout=TIMEOUT_S,
    )
    assert process.stdout == "nothing\n"


def test_a_log_that_nobody_reads_does_not_hold_the_process_up():
    reading, writing = small_pipe()
    process = start(writing)
    os.close(writing)
    try:
        assert select.select([process.stdout], [], [], TIMEOUT_S)[0], "the program is held up"
        assert process.stdout.readline() == "went on\n"
        first_part = os.read(reading, 2 * PAGE)
        process.communicate("\n", timeout=TIMEOUT_S)
        rest = b""
        while part := os.read(reading, 2 * PAGE):
            rest += part
    finally:
        os.close(reading)
        process.kill()
        process.communicate()
    kept = [json.loads(line) for line in first_part.splitlines()]
    dropped, stopped = [json.loads(line) for line in rest.splitlines()]
    assert process.returncode == 0
    assert [line["count"] for line in kept] == list(range(len(kept)))
    assert 0 < len(kept) < EVENTS
    assert dropped["number"] == log_events.LOG_LINES_DROPPED
    assert dropped["count"] == EVENTS - len(kept)
    assert stopped["number"] == log_events.STOPPED


@pytest.mark.parametrize("size", (100, 10_000))
def test_all_lines_of_a_log_that_is_read_arrive_whole(size):
    """Lines may be longer than what a pipe takes at once."""
    program = (
        "from meadowdock.logs import Log\nlog = Log('mdreg@x')\n"
        f"for number in range(5): log(101, count=number, text='x' * {size})\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        timeout=TIMEOUT_S,
    )
    lines = [json.loads(line) for line in process.stderr.splitlines()]
    assert [(line["count"], len(line["text"])) for line in lines] == [(n, size) for n in range(5)]
