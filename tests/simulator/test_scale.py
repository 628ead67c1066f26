"""The fleet's growth: counts are exact, fits find what made them, the page says what was measured."""

from __future__ import annotations

import json
import os

import pytest
import trio
import trio.testing

from meadowdock.rpc import ConnectionPool, Peer, serve_connection
from meadowdock.rpc.frame import FrameAuthenticator
from meadowdock.simulator.scale import (
    TABLES,
    Meter,
    Metered,
    counted,
    crossing,
    filled,
    fit,
    places,
    services_of,
    told_by,
)

DOCS = os.path.join(os.path.dirname(__file__), "..", "..", "docs")
SECONDS = 10  # of counted's window
REGS, ROUNDS = 5, 20  # mdregs; a list each 0.5 s


@pytest.fixture(scope="module", params=[6, 12])
def counts(request):
    return counted(request.param, seed=3)


def kept(name):
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return file.read()


def test_each_interval_every_proxy_is_asked_and_told_once(counts):
    n = counts["nodes"]
    assert counts["rounds"] == ROUNDS
    assert counts["lists_told"] == ROUNDS * n
    # an ask, its answer, a list, its answer
    lists = 4 * ROUNDS / SECONDS
    assert counts["roles"]["collector"]["lists"]["frames_s"] == pytest.approx(lists * n)
    assert counts["roles"]["mdproxy"]["lists"]["frames_s"] == pytest.approx(lists)


def test_every_proxy_beats_to_every_mdreg(counts):
    n = counts["nodes"]
    each = 2 * 2  # two beats a second, each answered
    assert counts["roles"]["mdproxy"]["beats"]["frames_s"] == pytest.approx(each * REGS, rel=0.03)
    # of each mdreg: from all proxies, and to and from the other mdregs
    wanted = each * (n + 2 * (REGS - 1))
    assert counts["roles"]["mdreg"]["beats"]["frames_s"] == pytest.approx(wanted, rel=0.03)


def test_a_change_is_staged_and_switched_on_every_proxy(counts):
    assert counts["roles"]["deliverer"]["delivery"]["frames_s"] == 4 * counts["nodes"]
    assert counts["change_s"] < 11


def test_counts_are_the_same_under_the_same_seed():
    assert counted(6, seed=5, window=2_000_000) == counted(6, seed=5, window=2_000_000)


def test_both_ends_of_a_link_count_the_same_frames():
    key, meter = b"k" * 32, Meter()

    class Log:
        def __call__(self, *_, **__):
            pass

    class Rng:
        randbytes = staticmethod(os.urandom)

    class Handlers:
        async def answer(peer, args):  # noqa: N805
            return [args, "x" * 100]

        table = {"some.method": answer}

    class Net:
        def __init__(self, nursery):
            self.nursery = nursery

        async def open_stream(self, address):
            mine, theirs = trio.testing.memory_stream_pair()
            far = Metered(theirs, meter, "far", opener=False)
            self.nursery.start_soon(serve_connection, far, key, Rng, "far", Handlers, Log())
            return Metered(mine, meter, "near", opener=True)

    async def main():
        async with trio.open_nursery() as nursery:
            links = ConnectionPool(nursery, Net(nursery), key, Rng, Peer("near", "n:1"), Log())
            due = round(trio.current_time() * 1e6) + 5_000_000
            for size in (1, 1000, 70_000):
                await links.call("f:1", "some.method", "y" * size, due)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())
    for method, frames in (("greeting", (2, 1)), ("some.method", (3, 3))):
        for one, other in (("near", "far"), ("far", "near")):
            assert meter.frames[one, method, "sent"] == frames[one == "far"]
            for table in (meter.frames, meter.bytes):
                assert table[one, method, "sent"] == table[other, method, "received"]
    plain = FrameAuthenticator(b"", b"")
    assert meter.bytes["near", "some.method", "sent"] > 71_001 + 3 * len(plain.seal(b""))


def test_the_fleet_has_its_services_and_zones():
    core, application, zones = places(1200)
    assert len(application) == 1200 and len(core) == 5
    assert len(set(application.values())) == services_of(1200) == 190
    assert set(zones.values()) == set("abcdef")


@pytest.mark.parametrize(
    "form, tell", [("a + b n", lambda n: 7 + 0.5 * n), ("a n + b n^2", lambda n: 2 * n + n * n / 8)]
)
def test_a_fit_finds_what_made_the_values(form, tell):
    sizes = [10, 20, 40, 80]
    found = fit(sizes, [tell(n) for n in sizes])
    assert found["form"] == form
    assert found["miss_percent"] < 1e-6
    assert found["at"] == pytest.approx(tell(1200))
    first = crossing(told_by(found), 500)
    assert tell(first) > 500 >= tell(first - 1)


def test_a_fit_says_how_far_off_it_was():
    assert fit([10, 20, 40, 80], [10, 20, 40, 100])["miss_percent"] > 5


def test_what_never_grows_never_crosses():
    assert crossing(told_by(fit([10, 20, 40, 80], [3, 3, 3, 3])), 4) is None


def test_what_falls_is_not_followed_below_zero():
    found = fit([10, 20, 40, 80], [9, 8, 6, 2])
    assert found["form"] == "a" and found["at"] == pytest.approx(25 / 4)


def test_the_page_shows_what_was_measured():
    facts, page = json.loads(kept("capacity.json")), kept("CAPACITY.md")
    assert filled(page, facts) == page


def test_a_page_of_other_figures_is_told():
    facts, page = json.loads(kept("capacity.json")), kept("CAPACITY.md")
    facts["counted"][-1]["roles"]["mdproxy"]["beats"]["kb_s"] += 1
    assert filled(page, facts) != page


def test_a_page_without_a_place_is_refused():
    with pytest.raises(ValueError, match=next(iter(TABLES))):
        filled("# Capacity\n", json.loads(kept("capacity.json")))


def test_at_least_four_sizes_over_a_factor_of_ten():
    sizes = [c["nodes"] for c in json.loads(kept("capacity.json"))["counted"]]
    assert len(sizes) >= 4 and max(sizes) >= 10 * min(sizes)
