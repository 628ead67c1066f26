"""A small fleet of real processes on a loopback network of its own."""

from __future__ import annotations

import contextlib
import os
import socket

from meadowdock.local_fleet.fleet import Fleet

# Host and port that no fleet uses: the process that listens there has reserved the network.
RESERVATION_ADDRESS = 254, 7399
FLEET_HOSTS = 1, 11, 12
FLEET_PORTS = 7400, 7401, 7410, 7411, 7420, 7421, 8000
NETWORKS_TRIED = 10_000  # each test of a process takes one, and keeps it until the process ends
reservations = []  # listening sockets of this process, open until it ends


def free_net():
    """Return a loopback network 127.x.y, reserved for this process until it ends.

    Nobody listens on the fleet's ports in it. It must be reserved because tests run in several
    processes, and the ports are free again until the fleet listens on them.
    """
    for number in range(os.getpid(), os.getpid() + NETWORKS_TRIED):
        net = f"127.{1 + number % 250}.{1 + number // 250 % 250}"
        host, port = RESERVATION_ADDRESS
        with contextlib.ExitStack() as listeners:
            try:
                reservation = socket.create_server((f"{net}.{host}", port))
            except OSError:
                continue
            listeners.enter_context(reservation)
            try:
                for fleet_host in FLEET_HOSTS:
                    for fleet_port in FLEET_PORTS:
                        address = f"{net}.{fleet_host}", fleet_port
                        listeners.enter_context(socket.create_server(address))
            except OSError:
                continue
            reservations.append(socket.socket(fileno=reservation.detach()))
            return net
    raise RuntimeError(f"no free loopback network after {NETWORKS_TRIED} tries")


@contextlib.contextmanager
def small_fleet(folder, manifest=None):
    """Run a fleet of one core machine and two application machines, with endpoints."""
    net = free_net()
    topology = {
        "name": "small",
        "manifest": "himal.json",
        "core": {f"{net}.1": "a"},
        "application": {
            f"{net}.11": ["a", "member-desk", 4, 2000],
            f"{net}.12": ["b", "statement", 4, 2000],
        },
        "load": [],
    }
    fleet = Fleet(topology, str(folder / "run"))
    try:
        fleet.start_all(manifest)
        yield fleet
    finally:
        fleet.stop_all()
