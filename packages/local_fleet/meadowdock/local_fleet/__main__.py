"""Command line of mdfleet: a whole deployment on this machine, on 127.0.0.0/8 addresses."""

from __future__ import annotations

import os
import signal
import sys
import threading

import fire

from meadowdock.local_fleet.fleet import AddressesInUse, Fleet, load_topology
from meadowdock.local_fleet.measure import large_change, measure, overload
from meadowdock.local_fleet.report import summary, table
from meadowdock.settings import VERSION


class Commands:
    """Run a deployment. TOPOLOGY is himal, sanad, or a file."""

    def up(self, topology, folder="run"):
        """Start and configure a deployment, and stop it when interrupted."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            version = fleet.start_all()
            print(
                f"{topology} is up at version {version}; facts in {folder}/fleet.json", flush=True
            )
            print(f"export MD_CORE={','.join(fleet.operator_addresses)}", flush=True)
            wait_for_signal(fleet.restart_requested)
        finally:
            fleet.stop_all()

    def load(self, topology, seconds=20, rate=1.0, folder="run"):
        """Start a deployment, run its callers for SECONDS, and print a table of their calls."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            fleet.start_all()
            for handle in fleet.start_callers(seconds, rate_factor=rate):
                handle.wait()
            print(table(summary(fleet.read_report_rows(), seconds)))
        finally:
            fleet.stop_all()

    def overload(self, topology, folder="run"):
        """Offer 0.5 to 3 times the capacity of the endpoints, one after another; print a table."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(overload(fleet))
        finally:
            fleet.stop_all()

    def large(self, topology, ways=30_000, folder="run"):
        """Confirm a very large manifest under load; print its rollout time and the calls' latency."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(large_change(fleet, ways))
        finally:
            fleet.stop_all()

    def measure(self, topology, folder="run", rate=1.0):
        """Measure steady load, a slow endpoint, a drained one and a restarted proxy; print tables."""
        fleet = Fleet(load_topology(topology), os.path.abspath(folder))
        try:
            print(measure(fleet, rate))
        finally:
            fleet.stop_all()


def wait_for_signal(poll):
    """Call `poll` five times a second until SIGINT or SIGTERM arrives."""
    received = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: received.set())
    while not received.wait(0.2):
        poll()


def main():
    """Run the command line."""
    os.environ.setdefault("PAGER", "cat")
    if sys.argv[1:] == ["--version"]:
        print(f"mdfleet {VERSION}")
        return
    try:
        fire.Fire(Commands, name="mdfleet")
    except AddressesInUse as error:
        print(f"mdfleet: {error}; is a fleet up already? Nothing was started.", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
