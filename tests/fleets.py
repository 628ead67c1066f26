"""A small fleet of real processes, on a net of its own."""

from __future__ import annotations

import contextlib
import os
import socket

from mdfleet.fleet import Fleet


def free_net():
    """A 127.x.y with nobody on the fleet's ports."""
    for number in range(os.getpid(), os.getpid() + 200):
        net = f"127.{1 + number % 250}.{1 + number // 250 % 250}"
        with contextlib.ExitStack() as held:
            try:
                for host in (1, 11, 12):
                    for port in (7400, 7401, 7410, 7411, 7420, 7421, 8000):
                        held.enter_context(socket.create_server((f"{net}.{host}", port)))
            except OSError:
                continue
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
        made.whole(manifest)
        yield made
    finally:
        made.down()
