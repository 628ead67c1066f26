"""mdfleet: a whole deployment on this machine, on 127.0.0.0/8 addresses."""

from __future__ import annotations

import os
import signal
import sys
import threading

import fire

from meadowdock.local_fleet.fleet import Fleet, Taken, load_topology
from meadowdock.local_fleet.measure import large_change, measure, overload
from meadowdock.local_fleet.report import summary, table
from meadowdock.settings import VERSION


class Commands:
    """TOPOLOGY is himal, sanad, or a file."""

    def up(self, topology, folder="run"):
        """Start everything, configure it, and stay until interrupted; then end it all."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            version = fleet.start_all()
            print(
                f"{topology} is up at version {version}; facts in {folder}/fleet.json", flush=True
            )
            print(f"export MD_CORE={','.join(fleet.conf_http)}", flush=True)
            wait_for_signal(fleet.again)
        finally:
            fleet.down()

    def load(self, topology, seconds=20, rate=1.0, folder="run"):
        """Start everything, serve the topology's load for a while, print what was seen."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            fleet.start_all()
            for handle in fleet.start_callers(seconds, rate_factor=rate):
                handle.wait()
            print(table(summary(fleet.rows(), seconds)))
        finally:
            fleet.down()

    def overload(self, topology, folder="run"):
        """0.5 to 3 times of what the endpoints can do, one after another; as a table."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(overload(fleet))
        finally:
            fleet.down()

    def large(self, topology, ways=30_000, folder="run"):
        """A very large manifest confirmed under load: how soon in force, what calls feel."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(large_change(fleet, ways))
        finally:
            fleet.down()

    def measure(self, topology, folder="run", rate=1.0):
        """The whole job: steady load, one slow endpoint, a drain, a proxy restarted; as tables."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(measure(fleet, rate))
        finally:
            fleet.down()


def wait_for_signal(meanwhile):
    asked = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: asked.set())
    while not asked.wait(0.2):
        meanwhile()


def main():
    os.environ.setdefault("PAGER", "cat")
    if sys.argv[1:] == ["--version"]:
        print(f"mdfleet {VERSION}")
        return
    try:
        fire.Fire(Commands, name="mdfleet")
    except Taken as taken:
        print(f"mdfleet: {taken}; is a fleet up already? Nothing was started.", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
