"""All core processes of a first start are killed while they still import."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

from fleets import free_net

KILLED_AFTER_S = 0.1  # before anything is on a disk
BOOTSTRAP_S = 15.0  # recovery


def start(host: str, seeds: list[str], folder: Path, may_bootstrap: bool) -> subprocess.Popen:
    """Start a config store whose log goes to a file of its own."""
    boot_file = folder / f"{host}.toml"
    boot_file.write_text(
        f'host = "{host}"\nhall = "a"\nseeds = {seeds}\nmembers = []\nfleet_key = "{"5a" * 32}"\n'
        f'data = "{folder}/{host}"\nlinger_us = 1\nstop_us = 400000\n'
        f"founding = {str(may_bootstrap).lower()}\n"
    )
    command = [sys.executable, "-m", "meadowdock.config_store", "run", f"--boot={boot_file}"]
    with open(folder / f"{host}.log", "a", encoding="utf-8") as log:
        return subprocess.Popen(command, stderr=log)


def test_a_core_killed_while_its_processes_import_bootstraps_when_it_comes_back(tmp_path):
    net = free_net()
    hosts = [f"{net}.{number}" for number in (1, 2, 3)]
    seeds = [f"{host}:7421" for host in hosts]
    first = [start(host, seeds, tmp_path, may_bootstrap=True) for host in hosts]
    time.sleep(KILLED_AFTER_S)
    for process in first:
        process.kill()
        process.wait()
    second = [start(host, seeds, tmp_path, may_bootstrap=False) for host in hosts]
    try:
        deadline = time.monotonic() + BOOTSTRAP_S
        logs = [tmp_path / f"{host}.log" for host in hosts]
        while not any('"bootstrapped"' in log.read_text(encoding="utf-8") for log in logs):
            assert time.monotonic() < deadline, "no members were fixed"
            time.sleep(0.1)
    finally:
        for process in second:
            process.terminate()
            process.wait(timeout=30)
