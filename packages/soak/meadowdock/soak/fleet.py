"""The processes of a soak run: those of mdfleet, with gateways and network partitions."""

from __future__ import annotations

import json
import os
import subprocess
from dataclasses import dataclass, field

from meadowdock.local_fleet.fleet import Fleet
from meadowdock.logs import events as log_events
from meadowdock.soak.cuts import write_partitions
from meadowdock.soak.log_reader import read_log, read_logs

GATEWAY_PORT, SERVICE, ENDPOINT_CAPACITY = 7405, "desk", 6
RETRY_RESERVE = 60  # retries per window that the fleet may make beyond its ratio of the requests


def soak_topology(net: str, proxies: int = 4, core: int = 3) -> dict:
    """Return the topology of a deployment in which each proxy has an endpoint of SERVICE.

    net is the prefix of its loopback addresses, for example "127.66.1".
    """
    return {
        "name": "soak",
        "manifest": "",
        "core": {f"{net}.{n}": "abc"[n % 3] for n in range(1, core + 1)},
        "application": {
            f"{net}.{n}": ["abc"[n % 3], SERVICE, ENDPOINT_CAPACITY, 0]
            for n in range(11, 11 + proxies)
        },
        "load": [],
    }


@dataclass
class SoakFleet(Fleet):
    """A fleet whose daemons are those of meadowdock.soak.daemon.

    Invariants: as that of Fleet, processes holds all running processes that it started;
    earlier_starts holds, for each of them, how often its name had logged a start before.
    """

    earlier_starts: dict[str, int] = field(default_factory=dict)

    @property
    def partitions_file(self) -> str:
        """Path of the file that holds the current partitions."""
        return os.path.join(self.folder, "cuts.json")

    def write_boot_file(self, role: str, host: str) -> str:
        """Write the boot file of a daemon and return its path."""
        lines = self.common_boot_lines(host, [f"{h}:7421" for h in self.core[:3]])
        if role == "mdconf":
            lines += [
                f"data = {json.dumps(os.path.join(self.folder, 'data', host))}",
                "members = []",  # the members find each other through the seeds
            ]
        if role == "mdproxy":
            lines += [
                f'gate = "{host}:{GATEWAY_PORT}"',
                f'service = "{SERVICE}"',
                f"tries = {{ ratio = 0.2, window_us = 10000000, reserve = {RETRY_RESERVE} }}",
            ]
        return self.save_boot_file(role, host, lines)

    def start_daemon(self, role: str, host: str) -> subprocess.Popen:
        """Start the daemon of a role on a host."""
        argv = [
            "meadowdock.soak.daemon",
            role,
            self.write_boot_file(role, host),
            self.partitions_file,
            self.pauses_file,
        ]
        return self.spawn(f"{role}-{host}", argv)

    def spawn(self, name: str, argv: list, stdout: object = None) -> subprocess.Popen:
        """Start a Python module as a process of the fleet and return its handle."""
        self.earlier_starts[name] = self.count_starts(name)
        handle: subprocess.Popen = super().spawn(name, argv, stdout)
        return handle

    def count_starts(self, name: str) -> int:
        """Return how often a process of this name has logged that it serves."""
        path = os.path.join(self.logs_folder, f"{name}.log")
        if not os.path.exists(path):
            return 0
        return sum(
            event["number"] == log_events.STARTED
            for line in read_log(path)
            for event in line.events
        )

    def has_started(self, name: str) -> bool:
        """Return whether the latest process of this name has logged that it serves."""
        return self.count_starts(name) > self.earlier_starts[name]

    def set_partitions(self, pairs: list[tuple[str, str]]) -> None:
        """Partition exactly these pairs of hosts from each other."""
        write_partitions(self.partitions_file, pairs)

    @property
    def pauses_file(self) -> str:
        """Path of the file to which the processes append their pauses."""
        return os.path.join(self.folder, "pauses.jsonl")

    @property
    def logs_folder(self) -> str:
        """Path of the folder with the log of each process."""
        return os.path.join(self.folder, "logs")

    def log_events(self, *numbers: int) -> list[dict]:
        """Return all log events of these numbers, of every run of every process."""
        return [
            event
            for _, line in read_logs(self.logs_folder)
            for event in line.events
            if event["number"] in numbers
        ]

    def tracebacks(self) -> list[str]:
        """Return the texts in the logs that are not events, such as tracebacks of a crash."""
        return [
            f"{name}: {line.other_text}"
            for name, line in read_logs(self.logs_folder)
            if line.other_text
        ]
