"""Control-plane cost by fleet size: exact counts, fits, and the page docs/CAPACITY.md."""

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
    MeteredStream,
    count_frames,
    crossing,
    filled_page,
    fit,
    fitted_function,
    places,
    services_of,
)

DOCS = os.path.join(os.path.dirname(__file__), "..", "..", "docs")
WINDOW_S = 10  # the default of count_frames
REGISTRIES, ROUNDS = 5, 20  # a round of load lists each 0.5 s


@pytest.fixture(scope="module", params=[6, 12])
def counts(request):
    return count_frames(request.param, seed=3)


def read_doc(name):
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return file.read()


def test_collector_asks_and_informs_every_proxy_once_per_interval(counts):
    n = counts["nodes"]
    assert counts["rounds"] == ROUNDS
    assert counts["lists_told"] == ROUNDS * n
    frames_s = 4 * ROUNDS / WINDOW_S  # load.ask, its answer, load.list, its answer
    assert counts["roles"]["collector"]["lists"]["frames_s"] == pytest.approx(frames_s * n)
    assert counts["roles"]["mdproxy"]["lists"]["frames_s"] == pytest.approx(frames_s)


def test_every_proxy_sends_heartbeats_to_every_registry(counts):
    n = counts["nodes"]
    frames_s = 2 * 2  # two heartbeats a second, each answered
    assert counts["roles"]["mdproxy"]["beats"]["frames_s"] == pytest.approx(
        frames_s * REGISTRIES, rel=0.03
    )
    # of each registry: from all proxies, and to and from the other registries
    expected = frames_s * (n + 2 * (REGISTRIES - 1))
    assert counts["roles"]["mdreg"]["beats"]["frames_s"] == pytest.approx(expected, rel=0.03)


def test_change_is_staged_and_switched_on_every_proxy(counts):
    assert counts["roles"]["deliverer"]["delivery"]["frames_s"] == 4 * counts["nodes"]
    assert counts["change_s"] < 11


def test_counts_are_the_same_under_the_same_seed():
    assert count_frames(6, seed=5, window=2_000_000) == count_frames(6, seed=5, window=2_000_000)


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
            near, far = trio.testing.memory_stream_pair()
            server = MeteredStream(far, meter, "far", opener=False)
            self.nursery.start_soon(serve_connection, server, key, Rng, "far", Handlers, Log())
            return MeteredStream(near, meter, "near", opener=True)

    async def main():
        async with trio.open_nursery() as nursery:
            links = ConnectionPool(nursery, Net(nursery), key, Rng, Peer("near", "n:1"), Log())
            deadline = round(trio.current_time() * 1e6) + 5_000_000
            for size in (1, 1000, 70_000):
                await links.call("f:1", "some.method", "y" * size, deadline)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())
    for method, frames in (("greeting", (2, 1)), ("some.method", (3, 3))):
        for sender, receiver in (("near", "far"), ("far", "near")):
            assert meter.frames[sender, method, "sent"] == frames[sender == "far"]
            for counters in (meter.frames, meter.bytes):
                assert counters[sender, method, "sent"] == counters[receiver, method, "received"]
    authenticator = FrameAuthenticator(b"", b"")
    assert meter.bytes["near", "some.method", "sent"] > 71_001 + 3 * len(authenticator.seal(b""))


def test_fleet_has_the_planned_services_and_zones():
    core, application, zones = places(1200)
    assert len(application) == 1200 and len(core) == 5
    assert len(set(application.values())) == services_of(1200) == 190
    assert set(zones.values()) == set("abcdef")


@pytest.mark.parametrize(
    "form, function",
    [("a + b n", lambda n: 7 + 0.5 * n), ("a n + b n^2", lambda n: 2 * n + n * n / 8)],
)
def test_fit_finds_the_function_behind_the_values(form, function):
    sizes = [10, 20, 40, 80]
    fitted = fit(sizes, [function(n) for n in sizes])
    assert fitted["form"] == form
    assert fitted["miss_percent"] < 1e-6
    assert fitted["at"] == pytest.approx(function(1200))
    first = crossing(fitted_function(fitted), 500)
    assert function(first) > 500 >= function(first - 1)


def test_fit_reports_by_how_much_it_misses():
    assert fit([10, 20, 40, 80], [10, 20, 40, 100])["miss_percent"] > 5


def test_constant_values_never_cross_a_bound():
    assert crossing(fitted_function(fit([10, 20, 40, 80], [3, 3, 3, 3])), 4) is None


def test_falling_values_are_not_extrapolated():
    fitted = fit([10, 20, 40, 80], [9, 8, 6, 2])
    assert fitted["form"] == "a" and fitted["at"] == pytest.approx(25 / 4)


def test_page_shows_the_measurements():
    measurements, page = json.loads(read_doc("capacity.json")), read_doc("CAPACITY.md")
    assert filled_page(page, measurements) == page


def test_page_of_other_measurements_differs():
    measurements, page = json.loads(read_doc("capacity.json")), read_doc("CAPACITY.md")
    measurements["counted"][-1]["roles"]["mdproxy"]["beats"]["kb_s"] += 1
    assert filled_page(page, measurements) != page


def test_page_without_markers_is_refused():
    with pytest.raises(ValueError, match=next(iter(TABLES))):
        filled_page("# Capacity\n", json.loads(read_doc("capacity.json")))


def test_measured_sizes_are_at_least_four_and_span_a_factor_of_ten():
    sizes = [count["nodes"] for count in json.loads(read_doc("capacity.json"))["counted"]]
    assert len(sizes) >= 4 and max(sizes) >= 10 * min(sizes)
