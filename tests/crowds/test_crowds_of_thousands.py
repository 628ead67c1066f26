"""Crowds of thousands at every listener, under the limits of the users' example machine.

The crowds of `test_crowds.py` are small and its limits low, so that the bound on connections hides what
each connection holds. Crowd and bounds are fixed here, too: memoryMb, maxFileDescriptors, and, where a
test says so, the address space. While the crowd stays, and after it, ordinary callers are answered.
"""

from __future__ import annotations

import contextlib
from dataclasses import replace

import pytest
from crowds import (
    CONTROL,
    INTERNAL_PORTS,
    MACHINE_LIMITS,
    OUTBOUND,
    READY,
    Crowd,
    Limits,
    deployment,
)

pytestmark = pytest.mark.crowd

CROWD = 4_000  # connections
CROWD_A_PORT = 1_500  # where each internal port of a machine has one
IDLE_CROWD_A_PORT = 4_000
HEAD = b"GET / HTTP/1.1\r\nHost: c\r\n"
REFUSED_HEAD = HEAD + b"a: b\r\n" * 21_800  # 128 KiB without an end: over the limit
PIPELINE_CROWD = 600  # more than the connections that an HTTP listener takes
PIPELINE = b"GET /nowhere HTTP/1.1\r\nHost: c\r\n\r\n" * 200_000
FRAME_CROWD_A_PORT = 500
UNFINISHED_FRAME = (1 << 24).to_bytes(4, "big") + b"x" * 1_000_000
INCOMPLETE_HEAD = HEAD + b"a: b\r\n" * 10_000  # inside the limit
CORE_ROLES, SIDE_ROLES = ("mdconf", "mdreg"), ("mdproxy",)
IN_ADDRESS_SPACE = replace(MACHINE_LIMITS, address_space_mb=MACHINE_LIMITS.memory_mb)
LISTENERS = {
    "control-plane-of-the-core": (CORE_ROLES, (CONTROL,), CROWD),
    "control-plane-of-a-sidecar": (SIDE_ROLES, (CONTROL,), CROWD),
    "readiness": (SIDE_ROLES, (READY,), CROWD),
    "outbound-proxy": (SIDE_ROLES, (OUTBOUND,), CROWD),
    "internal-ports-of-the-core": (CORE_ROLES, INTERNAL_PORTS["core"], CROWD_A_PORT),
    "internal-ports-of-a-sidecar": (SIDE_ROLES, INTERNAL_PORTS["sidecar"], CROWD_A_PORT),
}


def run_crowd(folder, listener: str, limits: Limits, data: bytes) -> None:
    """Send a crowd to a listener, and check the processes there, also while the crowd stays."""
    roles, ports, count = LISTENERS[listener]
    run_crowds(folder, roles, ports, count, limits, data)


def run_crowds(folder, roles, ports, count: int, limits: Limits, data: bytes) -> None:
    """Send a crowd to each port, and check the processes, also while the crowds stay."""
    with deployment(folder, limits=limits) as running, contextlib.ExitStack() as crowds:
        host = running.core if roles is CORE_ROLES else running.side
        for port in ports:
            crowd = Crowd((host, port), count)
            crowds.callback(crowd.close)
            crowd.send(data)
        for role in roles:
            running.check(role)
        running.check_ordinary_callers()
        crowds.close()
        running.check_ordinary_callers()
        for role in roles:
            running.check(role)


@pytest.mark.parametrize("listener", LISTENERS)
def test_heads_of_short_lines_that_are_refused(tmp_path, listener):
    """What a refused head was parsed into is not held while its connection closes."""
    run_crowd(tmp_path, listener, MACHINE_LIMITS, REFUSED_HEAD)


@pytest.mark.parametrize("listener", LISTENERS)
def test_heads_of_short_lines_that_are_given_up(tmp_path, listener):
    """What a head that is given up was parsed into does not wait for the garbage collector."""
    run_crowd(tmp_path, listener, MACHINE_LIMITS, INCOMPLETE_HEAD)


@pytest.mark.parametrize("listener", LISTENERS)
def test_heads_of_short_lines_in_a_limited_address_space(tmp_path, listener):
    """A process whose memory is limited as address space does not end with a segmentation fault."""
    run_crowd(tmp_path, listener, IN_ADDRESS_SPACE, REFUSED_HEAD)


@pytest.mark.parametrize(("machine", "roles"), [("core", CORE_ROLES), ("sidecar", SIDE_ROLES)])
def test_idle_connections_at_the_internal_ports_that_take_all_descriptors(tmp_path, machine, roles):
    run_crowds(tmp_path, roles, INTERNAL_PORTS[machine], IDLE_CROWD_A_PORT, MACHINE_LIMITS, b"")


@pytest.mark.parametrize("listener", LISTENERS)
def test_whole_requests_of_short_lines_whose_connections_stay(tmp_path, listener):
    """The head of a request is not held after its answer."""
    run_crowd(tmp_path, listener, MACHINE_LIMITS, INCOMPLETE_HEAD + b"\r\n")


@pytest.mark.parametrize("listener", LISTENERS)
def test_pipelined_requests_whose_answers_are_not_read(tmp_path, listener):
    """A client that reads no answer does not hold its connection against all others."""
    roles, ports, _ = LISTENERS[listener]
    run_crowds(tmp_path, roles, ports, PIPELINE_CROWD, MACHINE_LIMITS, PIPELINE)


@pytest.mark.parametrize(("machine", "roles"), [("core", CORE_ROLES), ("sidecar", SIDE_ROLES)])
def test_frames_without_an_end_at_the_internal_ports(tmp_path, machine, roles):
    """What a peer that has proved nothing sends is bounded."""
    ports = INTERNAL_PORTS[machine]
    run_crowds(tmp_path, roles, ports, FRAME_CROWD_A_PORT, MACHINE_LIMITS, UNFINISHED_FRAME)
