"""Orders of legal size that are costly to parse end no process, and the next sound one is taken (#50).

The crowds and the bounds are fixed: memoryMb, watched or as RLIMIT_AS, and the next order.
"""

from __future__ import annotations

import http.client
import threading
from collections import Counter
from dataclasses import replace

import pytest
from crowds import CONTROL, MACHINE_LIMITS, Limits, deployment
from large_orders import ORDERS

pytestmark = pytest.mark.crowd

MEMORY_MB = 80
WATCHED = Limits(memory_mb=MEMORY_MB)
LIMITS = {
    "watched": WATCHED,
    "address space": replace(WATCHED, address_space_mb=MEMORY_MB),
}
# Smaller for more clients, so that the bytes alone are never what the limit is met by.
CROWDS = {1: 12 << 20, 3: 4 << 20, 6: 1 << 20}
LARGEST_BYTES = 60 << 20
DEADLINE_S = 120


def send_order(running, body: bytes, statuses: Counter) -> None:
    """Send an order, and count the status of its answer, 0 without one."""
    connection = http.client.HTTPConnection(running.core, CONTROL, timeout=DEADLINE_S)
    try:
        connection.request("POST", "/api/config/modify", body)
        statuses[connection.getresponse().status] += 1
    except (OSError, http.client.HTTPException):
        statuses[0] += 1
    finally:
        connection.close()


def send_orders(running, body: bytes, clients: int) -> Counter:
    """Send the same order from several clients at once, and return the statuses."""
    statuses: Counter[int] = Counter()
    threads = [
        threading.Thread(target=send_order, args=(running, body, statuses)) for _ in range(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def check_orders(running) -> None:
    """Check that the config store lives, within its limits, and takes the next sound order."""
    running.check("mdconf")
    running.wait_for(lambda: running.configure(version=8))
    running.check("mdconf")
    running.check_ordinary_callers()


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("clients", CROWDS)
@pytest.mark.parametrize("kind", ORDERS)
def test_costly_orders_end_no_process(tmp_path, kind, clients, limit):
    with deployment(tmp_path, limits=LIMITS[limit]) as running:
        send_orders(running, ORDERS[kind](CROWDS[clients]), clients)
        check_orders(running)


@pytest.mark.parametrize("kind", ORDERS)
def test_an_order_of_the_largest_size_ends_no_process(tmp_path, kind):
    with deployment(tmp_path, limits=MACHINE_LIMITS) as running:
        send_orders(running, ORDERS[kind](LARGEST_BYTES), 1)
        check_orders(running)


def test_an_order_of_a_thousand_routes_is_taken(tmp_path):
    with deployment(tmp_path, limits=MACHINE_LIMITS) as running:
        body = ORDERS["sound routes"](300 * 1000)
        assert send_orders(running, body, 1) == {200: 1}
        running.check("mdconf")


def test_orders_just_below_the_bound_are_taken_and_end_no_process(tmp_path):
    """As large an order as there is room for, alone and then from several operators at once."""
    with deployment(tmp_path, limits=MACHINE_LIMITS) as running:
        body = ORDERS["sound routes"](3 << 20)
        assert send_orders(running, body, 1) == {200: 1}
        send_orders(running, body, 3)
        for role in running.watched:
            running.check(role)
        check_orders(running)
