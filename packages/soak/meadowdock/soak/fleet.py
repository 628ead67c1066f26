"""The processes of a soak: mdfleet's, with gates and cuts."""

from __future__ import annotations

import json
import os
import subprocess

from meadowdock.local_fleet.fleet import Fleet
from meadowdock.soak.cuts import write_cuts

GATE_PORT, SERVICE, SLOTS = 7405, "desk", 6
RESERVE = 60  # retries that the fleet may make beyond its ratio, in a window


def topology(net: str, proxies: int = 4, core: int = 3) -> dict:
    """A deployment on one loopback net (three numbers), all proxies with an endpoint of SERVICE."""
    return {
        "name": "soak",
        "manifest": "",
        "core": {f"{net}.{n}": "abc"[n % 3] for n in range(1, core + 1)},
        "application": {
            f"{net}.{n}": ["abc"[n % 3], SERVICE, SLOTS, 0] for n in range(11, 11 + proxies)
        },
        "load": [],
    }


class SoakFleet(Fleet):
    """Invariant: as Fleet's: all processes that it started are in processes."""

    @property
    def cuts_file(self) -> str:
        """Where the cuts in force stand."""
        return os.path.join(self.folder, "cuts.json")

    def boot(self, role: str, host: str) -> str:
        """Write a boot file; gives its path."""
        lines = self.boot_lines(host, [f"{h}:7421" for h in self.core[:3]])
        if role == "mdconf":
            lines += [
                f"data = {json.dumps(os.path.join(self.folder, 'data', host))}",
                "members = []",  # found by the seeds
            ]
        if role == "mdproxy":
            lines += [
                f'gate = "{host}:{GATE_PORT}"',
                f'service = "{SERVICE}"',
                f"tries = {{ ratio = 0.2, window_us = 10000000, reserve = {RESERVE} }}",
            ]
        return self.write_boot(role, host, lines)

    def start_daemon(self, role: str, host: str) -> subprocess.Popen:
        """Start one process of a role."""
        argv = ["meadowdock.soak.daemon", role, self.boot(role, host), self.cuts_file]
        return self.spawn(f"{role}-{host}", argv)

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cut these pairs of hosts off from each other, and no others."""
        write_cuts(self.cuts_file, pairs)

    def events(self, *numbers: int) -> list[dict]:
        """All log events of these numbers, in every life of every process."""
        found = []
        folder = os.path.join(self.folder, "logs")
        for name in sorted(os.listdir(folder)):
            with open(os.path.join(folder, name), encoding="utf-8") as file:
                for line in file:
                    event = json.loads(line) if line.startswith("{") else {}
                    if event.get("number") in numbers:
                        found.append(event)
        return found

    def tracebacks(self) -> list[str]:
        """Lines of the logs that are no events: a process that broke."""
        found = []
        folder = os.path.join(self.folder, "logs")
        for name in sorted(os.listdir(folder)):
            with open(os.path.join(folder, name), encoding="utf-8") as file:
                found += [f"{name}: {line.rstrip()}" for line in file if not line.startswith("{")]
        return found
