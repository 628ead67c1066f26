"""A process at its limit of memory says so, and doesn't run what would crash."""

from __future__ import annotations

import json
import subprocess
import sys
import threading

import pytest
import trio

from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.process import runner
from meadowdock.process.failure import ProcessFailure
from meadowdock.runtime import Disk

LIMIT_MB = 200
USE_UP_THE_ADDRESS_SPACE = f"""
import resource
resource.setrlimit(resource.RLIMIT_AS, ({LIMIT_MB} << 20, {LIMIT_MB} << 20))
from meadowdock.runtime import address_space
from meadowdock.runtime.http_request_reader import RequestReader
assert address_space.has_headroom()
assert 0 < address_space.usable_bytes(8) < address_space.LIMIT_BYTES
held = []
try:
    while True:
        held.append(bytearray(1 << 20))
except MemoryError:
    pass
reader = RequestReader()
reader.feed(b"GET / HTTP/1.1\\r\\n" + b"a: b\\r\\n" * 1000)
print(reader.events[0].status)
"""


def test_parser_that_crashes_once_the_address_space_is_used_up():
    done = subprocess.run(
        [sys.executable, "-c", USE_UP_THE_ADDRESS_SPACE], capture_output=True, text=True
    )
    assert (done.returncode, done.stdout.strip()) == (0, "503"), done.stderr


def test_process_that_ends_without_a_word_as_there_is_no_memory_to_log(monkeypatch, capfd):
    def fail(error):
        raise MemoryError

    log = Log("mdconf@x")
    last_words = ProcessFailure((repr(MemoryError()),), "", ()).encoded(log)
    monkeypatch.setattr(ProcessFailure, "from_exception", fail)
    runner.log_failure(MemoryError(), log, last_words)
    event = json.loads(capfd.readouterr().err)
    assert (event["event"], event["cause"]) == ("process_failed", "MemoryError()")


def test_disk_access_that_ends_a_task_as_no_thread_can_be_started(tmp_path, monkeypatch):
    """It fails as a disk does, which all callers expect."""

    def start_thread(self):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", start_thread)
    monkeypatch.setattr(trio._core._thread_cache.THREAD_CACHE, "_idle_workers", {})
    with pytest.raises(OSError, match="can't start new thread"):
        trio.run(Disk(str(tmp_path)).write, "name", b"data")


SERVE_AGAIN_AFTER_THE_ADDRESS_SPACE_WAS_USED_UP = f"""
import gc
import resource
resource.setrlimit(resource.RLIMIT_AS, ({LIMIT_MB} << 20, {LIMIT_MB} << 20))
from meadowdock.runtime import address_space
address_space.prepare_allocator()
events = []
address_space.reclaimer.report_to(lambda number, **fields: events.append((number, fields["why"])))
gc.disable()


class Cycle:
    def __init__(self):
        self.itself, self.data = self, bytearray(1 << 20)


held = []
try:
    while True:
        held.append(Cycle())
except MemoryError:
    pass
refused = not address_space.has_headroom()
address_space.reclaimer.reclaimed_at -= address_space.RECLAIM_INTERVAL_US
held.clear()
print(refused, events, address_space.has_headroom())
"""


def test_process_that_refuses_for_ever_as_nothing_runs_the_garbage_collector():
    done = subprocess.run(
        [sys.executable, "-c", SERVE_AGAIN_AFTER_THE_ADDRESS_SPACE_WAS_USED_UP],
        capture_output=True,
        text=True,
    )
    expected = f"True [({log_events.ADDRESS_SPACE_USED_UP}, {{'refused': 1}})] True"
    assert (done.returncode, done.stdout.strip()) == (0, expected), done.stderr
