"""A small fleet of real processes, on a net of its own."""

from __future__ import annotations

import contextlib
import os
import socket

from meadowdock.local_fleet.fleet import Fleet

RESERVING = 254, 7399  # host and port that no fleet uses: who listens there has the net
FLEET_HOSTS = 1, 11, 12
FLEET_PORTS = 7400, 7401, 7410, 7411, 7420, 7421, 8000
reservations = []  # this process's, kept until it ends


def free_net():
    """A 127.x.y with nobody on the fleet's ports, reserved for this process until it ends: tests
    run in several processes, and the ports are free again before the fleet takes them."""
    for number in range(os.getpid(), os.getpid() + 200):
        net = f"127.{1 + number % 250}.{1 + number // 250 % 250}"
        host, port = RESERVING
        with contextlib.ExitStack() as opened:
            try:
                reservation = socket.create_server((f"{net}.{host}", port))
            except OSError:
                continue
            opened.enter_context(reservation)
            try:
                for fleet_host in FLEET_HOSTS:
                    for fleet_port in FLEET_PORTS:
                        address = f"{net}.{fleet_host}", fleet_port
                        opened.enter_context(socket.create_server(address))
            except OSError:
                continue
            reservations.append(socket.socket(fileno=reservation.detach()))
            return net
    raise RuntimeError("no free loopback net")


@contextlib.contextmanager
def small_fleet(folder, manifest=None):
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
    made = Fleet(topology, str(folder / "run"))
    try:
        made.start_all(manifest)
        yield made
    finally:
        made.down()
