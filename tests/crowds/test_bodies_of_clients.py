"""Large bodies of legal size, for services beside, elsewhere, nowhere, or full (#50).

The crowds and the bounds are fixed. The bounds are memoryMb, watched or as RLIMIT_AS, and that ordinary
callers are answered afterwards. The table is generated: each place, form, end and kind of limit.
"""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import replace

import pytest
from body_crowds import PREFIXES, BodyClients, BodyForm, body_deployment
from crowds import MACHINE_LIMITS, OUTBOUND, Deployment, Limits

pytestmark = pytest.mark.crowd

MEMORY_MB = 80
BODY_BYTES = 8 << 20
ONE_BYTE_BODY_BYTES = 1 << 20  # in chunks of one byte, six bytes for each
CLIENTS, ROUNDS = 4, 6
DEADLINE_S = 3
WATCHED = Limits(memory_mb=MEMORY_MB, body_bytes=BODY_BYTES)
LIMITS = {
    "watched": WATCHED,
    "address space": replace(WATCHED, address_space_mb=MEMORY_MB),
}
FORMS = {
    "length": BodyForm("length", BODY_BYTES),
    "chunks": BodyForm("chunks", BODY_BYTES),
    "one-byte chunks": BodyForm("one-byte chunks", ONE_BYTE_BODY_BYTES),
}
# A closed connection, the endpoint's answer, and the refusals that promise that the request never ran;
# 504 is the deadline's.
EXPECTED_STATUSES = {0, 200, 408, 503, 504}
SPELLS = 10
GROWTH_KB = BODY_BYTES // 1000  # between the first spell and the last: less than one body
REST_S = 1.0  # after a spell, before memory is compared
CALM_DEADLINE_S = 60
LARGE_BYTES = 64 << 20
LINK_DEADLINE_S = 10


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("is_whole", (True, False), ids=("whole", "short"))
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("place", PREFIXES)
def test_bodies_of_legal_size_end_no_process(tmp_path, place, form, is_whole, limit):
    with body_deployment(tmp_path, LIMITS[limit]) as running:
        clients = BodyClients(running, place, FORMS[form], is_whole, DEADLINE_S)
        clients.run(CLIENTS, ROUNDS)
        running.check_limits()
        running.check_ordinary_callers()
        running.check_limits()
        assert set(clients.statuses) <= EXPECTED_STATUSES, clients.statuses


@pytest.mark.parametrize("place", PREFIXES)
def test_memory_after_ten_spells_is_what_it_was_after_the_first(tmp_path, place):
    with body_deployment(tmp_path, WATCHED) as running:
        after_spell = []
        for _ in range(SPELLS):
            BodyClients(running, place, FORMS["length"], True, DEADLINE_S).run(CLIENTS, 1)
            time.sleep(REST_S)
            after_spell.append(running.memory_kb())
        running.check_limits()
        first, last = after_spell[0], after_spell[-1]
        grown = {name: last[name] - first[name] for name in first}
        assert max(grown.values()) < GROWTH_KB, after_spell


@pytest.mark.parametrize("limit", (None, 300))
@pytest.mark.parametrize(
    ("form", "size"),
    [
        *itertools.product(("length", "chunks"), (1 << 20, 30 << 20, 34 << 20, LARGE_BYTES)),
        ("one-byte chunks", BODY_BYTES),
    ],
)
@pytest.mark.parametrize("place", ("beside", "elsewhere"))
def test_a_single_legal_body_is_served_in_calm(tmp_path, place, form, size, limit):
    limits = replace(MACHINE_LIMITS, address_space_mb=limit)
    with body_deployment(tmp_path, limits) as running:
        status = running.send_whole(place, BodyForm(form, size), CALM_DEADLINE_S)
        assert status == 200
        running.check_limits()


def test_one_client_with_the_largest_bodies_for_a_service_without_an_endpoint(tmp_path):
    with body_deployment(tmp_path, MACHINE_LIMITS) as running:
        clients = BodyClients(running, "nowhere", BodyForm("length", LARGE_BYTES), True, DEADLINE_S)
        clients.run(1, 6)
        running.check_limits()
        assert set(clients.statuses) == {503}


@pytest.mark.parametrize("limit", (None, 300))
@pytest.mark.parametrize(("count", "size"), ((1, LARGE_BYTES), (3, 30 << 20), (6, 30 << 20)))
def test_bodies_to_another_machine_cost_no_link(tmp_path, count, size, limit):
    """Ordinary callers of the same link are answered all the time, and the link stays."""
    limits = replace(MACHINE_LIMITS, address_space_mb=limit)
    with body_deployment(tmp_path, limits) as running:
        lost_before = running.lost_links()
        clients = BodyClients(running, "elsewhere", BodyForm("length", size), True, LINK_DEADLINE_S)
        crowd = threading.Thread(target=clients.run, args=(count, 4))
        crowd.start()
        ordinary = []
        while crowd.is_alive():
            ordinary.append(running.ask("/l/x", LINK_DEADLINE_S).status)
        running.check_limits()
        assert running.lost_links() == lost_before
        assert set(ordinary) == {200}, ordinary
        assert set(clients.statuses) <= {0, 200, 503}, clients.statuses


def test_a_legal_body_before_the_configuration_is_known_is_not_refused_for_good(tmp_path):
    """A proxy without a core knows no limits yet: 503, which may be repeated, and never 413."""
    running = Deployment(tmp_path, limits=MACHINE_LIMITS)
    try:
        running.start("mdproxy", running.side)
        form = BodyForm("length", 30 << 20)
        address = running.side, OUTBOUND
        body = bytes(form.size)
        statuses = set()

        def is_answered() -> bool:
            statuses.add(running.call(address, "POST", "/r/x", body, Host="a.example"))
            return 503 in statuses or 413 in statuses

        running.wait_for(is_answered)
        assert 413 not in statuses
        running.check("mdproxy")
    finally:
        for watched in running.watched.values():
            watched.process.kill()
            watched.process.wait()
        running.endpoint.server_close()
