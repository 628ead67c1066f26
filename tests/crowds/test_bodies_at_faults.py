"""Large bodies for endpoints that don't read them, and clients, machines and listeners at odds (#50).

The crowds and the bounds are fixed: memoryMb, watched or as RLIMIT_AS, and that ordinary callers are
answered afterwards. What was "not tried by anyone" in the report of #50 is played here.
"""

from __future__ import annotations

import signal
import threading
import time
from dataclasses import replace

import pytest
from body_crowds import PREFIXES, SERVICES, BodyClients, BodyForm, Passers, body_deployment
from crowds import (
    CONTROL,
    INBOUND,
    INTERNAL_PORTS,
    MACHINE_LIMITS,
    READY,
    Crowd,
    Limits,
    deployment,
)
from large_orders import ORDERS

pytestmark = pytest.mark.crowd

MEMORY_MB = 80
BODY_BYTES = 8 << 20
WATCHED = Limits(memory_mb=MEMORY_MB, body_bytes=BODY_BYTES)
LIMITS = {
    "watched": WATCHED,
    "address space": replace(WATCHED, address_space_mb=MEMORY_MB),
}
CLIENTS, ROUNDS = 4, 4
DEADLINE_S = 2
SEED = 50
WHOLE = BodyForm("length", BODY_BYTES)
JSON_BYTES = 6 << 20
JSON_CLIENTS = 4
PATHS = ("/items", "/plan", "/confirm", "/members", "/md/register", "/api/instances/i-1/heartbeat")
STOPS = 3
STOP_INTERVAL_S = 1.0


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("answers_early", (False, True), ids=("reads nothing", "answers early"))
@pytest.mark.parametrize("place", ("beside", "elsewhere"))
def test_bodies_for_an_endpoint_that_does_not_read_them(tmp_path, place, answers_early, limit):
    head_endpoints = {SERVICES[place]: answers_early}
    with body_deployment(tmp_path, LIMITS[limit], head_endpoints) as running:
        BodyClients(running, place, WHOLE, True, DEADLINE_S).run(CLIENTS, ROUNDS)
        running.check_limits()
        running.check_ordinary_callers()
        running.check_limits()


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("form", ("length", "chunks"))
@pytest.mark.parametrize("place", PREFIXES)
def test_clients_that_come_and_go_all_the_time(tmp_path, place, form, limit):
    with body_deployment(tmp_path, LIMITS[limit]) as running:
        Passers(running, place, BodyForm(form, BODY_BYTES), SEED).run(2 * CLIENTS, 10 * ROUNDS)
        running.check_limits()
        running.check_ordinary_callers()
        running.check_limits()


def test_bodies_for_a_machine_that_stops_and_comes_back(tmp_path):
    """Its peers hold the bodies meanwhile, and place them again."""
    with body_deployment(tmp_path, WATCHED) as running:
        clients = BodyClients(running, "elsewhere", WHOLE, True, DEADLINE_S)
        crowd = threading.Thread(target=clients.run, args=(CLIENTS, 5 * ROUNDS))
        crowd.start()
        for _ in range(STOPS):
            time.sleep(STOP_INTERVAL_S)
            stopped = running.watched["mdproxy-ledger"].process
            stopped.send_signal(signal.SIGTERM)
            stopped.wait()
            running.start("mdproxy", running.second, name="mdproxy-ledger", service="ledger")
        crowd.join()
        running.check_limits()
        running.check_ordinary_callers()
        running.check_limits()


@pytest.mark.parametrize("kind", ("list of objects", "object of names", "one text beyond Latin"))
@pytest.mark.parametrize("role", ("core", "sidecar"))
def test_costly_json_at_every_listener(tmp_path, role, kind):
    with deployment(tmp_path, limits=WATCHED) as running:
        host = running.core if role == "core" else running.side
        ports = (CONTROL, READY, INBOUND) + INTERNAL_PORTS[role]
        body = ORDERS[kind](JSON_BYTES)
        for port in ports:
            for path in PATHS:
                head = f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n"
                crowd = Crowd((host, port), JSON_CLIENTS)
                crowd.send(head.encode() + body, quiet_s=0.3)
                crowd.close()
        for name in running.watched:
            running.check(name)
        running.check_ordinary_callers()


def test_bodies_at_a_proxy_that_is_not_ready_yet(tmp_path):
    with body_deployment(tmp_path, WATCHED) as running:
        first = running.watched["mdproxy"].process
        first.kill()
        first.wait()
        running.start("mdproxy", running.side)
        clients = BodyClients(running, "elsewhere", WHOLE, True, DEADLINE_S)
        clients.run(CLIENTS, 5 * ROUNDS)
        running.check_limits()
        running.check_ordinary_callers()
        assert not {400, 404, 413} & set(clients.statuses), clients.statuses


@pytest.mark.parametrize("method", ("PUT", "PATCH", "DELETE"))
def test_bodies_of_other_methods_are_served_from_another_machine(tmp_path, method):
    with body_deployment(tmp_path, MACHINE_LIMITS) as running:
        assert running.send_whole("elsewhere", WHOLE, DEADLINE_S * 10, method) == 200
        running.check_limits()
