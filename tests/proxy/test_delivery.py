"""Delivery of a configuration change to the proxies while members are down, silent, slow or faulty.

Many of the tests run over slow links.
"""

from __future__ import annotations

import zlib
from collections import Counter

import ormsgpack
import pytest
import trio
from item_builders import removed_item, route, service

from meadowdock.config_store.chunks import ChunkService
from meadowdock.configuration import (
    COMPLETE_FORM,
    ROUTING_FORM,
    CorruptChunk,
    pack_chunk,
    split_items,
    unpack_chunk,
)
from meadowdock.configuration import items as config_items
from meadowdock.configuration.chunk_codec import checksum
from meadowdock.configuration.chunk_fetch import ChunkFetch, ChunkFetcher
from meadowdock.configuration.chunk_messages import MAX_FRAME_BYTES
from meadowdock.configuration.chunk_server import MAX_CACHE_BYTES, PackedChunkCache, serve_chunks
from meadowdock.proxy.staging import Stager
from meadowdock.runtime import MILLISECOND, SECOND, fingerprint, monotonic_us, sleep_us
from meadowdock.simulator import run

APPLY_US = 2 * SECOND
SLOW_LINK_BYTES_PER_S = 3_250_000 // 8  # 3.25 Mbit/s
CORE_LINK_BYTES_PER_S = 120_000_000 // 8  # 120 Mbit/s


def many_routes(count, version=1):
    """Return routes with source texts like those that operators write."""
    return [
        {
            **route(f"route-{n}", version, host=f"h{n % 7}.example", prefix=f"/area{n}/"),
            "source": f'{{"name": "route-{n}", "v": {version}, "note": "{fingerprint(b"%d" % n) * 8}"}}',
        }
        for n in range(count)
    ]


async def start_with_items(world, *items):
    """Start all processes and put these items in force on every proxy."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
    version = await world.set_items([service("desk"), *items])
    await wait_until_in_force(world, version, 10 * SECOND)
    await sleep_us(3 * SECOND)


def deliveries(world):
    return [world.daemon("mdproxy", host).delivery for host in world.application]


async def wait_until_in_force(world, version, timeout_us=APPLY_US // 2):
    """Return how long it takes until this or a newer version is in force on every proxy."""

    def everywhere():
        return all(delivery.version >= version for delivery in deliveries(world))

    return await world.eventually(everywhere, timeout_us, every=MILLISECOND)


def isolate(world, host):
    """Cut all links of a machine without closing its connections, as a power failure does."""
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)


SIX_PROXIES = ("desk",) * 6


@pytest.mark.parametrize("seed", range(4))
def test_a_change_is_delivered_although_the_acknowledging_member_lost_power(seed):
    """One more member is silent."""

    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        world.processes[f"mdconf@{world.core[1]}"].freeze()
        await sleep_us(world.rng.randrange(400) * MILLISECOND)
        version = await world.set_items(many_routes(300, 2))
        isolate(world, world.core[0])
        await wait_until_in_force(world, version)

    run(scenario, seed, core=5, application=SIX_PROXIES)


@pytest.mark.parametrize("seed", range(2))
def test_a_change_is_delivered_past_a_silent_member(seed):
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        for round_index, host in enumerate(world.core):
            others = [c for c in world.core if c != host]
            version = await world.set_items(
                many_routes(300, 2 + round_index), world.core.index(others[0])
            )
            world.processes[f"mdconf@{host}"].freeze()
            await wait_until_in_force(world, version)
            world.processes[f"mdconf@{host}"].wake()
            await sleep_us(2 * SECOND)

    run(scenario, seed, core=3, application=SIX_PROXIES)


@pytest.mark.parametrize("seed", range(2))
def test_a_change_is_delivered_past_a_slow_member(seed):
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        for round_index, host in enumerate(world.core):
            version = await world.set_items(many_routes(300, 2 + round_index), round_index)
            world.web.slow[host] = (900 * MILLISECOND, SECOND)  # also the member that acknowledged
            await wait_until_in_force(world, version)
            del world.web.slow[host]
            await sleep_us(3 * SECOND)

    run(scenario, seed, application=SIX_PROXIES)


def flip_bit(packed):
    return packed[:-3] + bytes([packed[-3] ^ 1]) + packed[-2:]


@pytest.mark.parametrize("damage", [flip_bit, lambda packed: packed[:-9], lambda packed: None])
def test_a_member_with_corrupt_or_missing_chunks_is_skipped(damage):
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        for round_index, host in enumerate(world.core):
            cache = world.daemon("mdconf", host).chunks.packed
            original = cache.get

            async def get(name, form, original=original):
                packed = await original(name, form)
                return packed and damage(packed)

            cache.get = get
            elapsed_us = await wait_until_in_force(
                world, await world.set_items(many_routes(300, 2 + round_index), round_index)
            )
            assert elapsed_us < 100 * MILLISECOND  # no timeout of a silent member was waited for
            cache.get = original
            for delivery in deliveries(world):
                changed = delivery.active.routing_table.items.find_route(
                    b"h3.example", b"/area10/x"
                )
                assert changed.version == 2 + round_index

    run(scenario, application=SIX_PROXIES)


def test_a_newer_revision_does_not_wait_for_the_fetch_of_an_older_one():
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        known_chunks = {name for delivery in deliveries(world) for name in delivery.stager.chunks}
        hanging, requested = True, set()
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                if form == ROUTING_FORM and hanging and name not in known_chunks:
                    requested.add(name)
                if name in requested:
                    await trio.sleep_forever()
                return await original(name, form)

            cache.get = get
        await world.set_items(many_routes(300, 2), 0)
        await world.eventually(lambda: requested, every=MILLISECOND)
        hanging = False
        version = await world.set_items(many_routes(300, 3), 1)
        elapsed_us = await wait_until_in_force(world, version)
        assert elapsed_us < APPLY_US // 10
        assert all(len(delivery.stager.running) <= 2 for delivery in deliveries(world))

    run(scenario, application=SIX_PROXIES)


def test_a_retried_staging_fetches_only_the_missing_chunks():
    async def scenario(world):
        await start_with_items(world, *many_routes(1400))
        delivery = deliveries(world)[0]
        known_chunks, blocked, received = set(delivery.stager.chunks), set(), Counter()
        blocked_until = monotonic_us() + 3 * SECOND
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                if form == ROUTING_FORM and name not in known_chunks and not blocked:
                    blocked.add(name)
                if name in blocked and monotonic_us() < blocked_until:
                    await trio.sleep_forever()
                return await original(name, form)

            cache.get = get
        accept = delivery.stager.fetcher.accept

        def count_and_accept(name, packed, chunks):
            received[name] += 1
            return accept(name, packed, chunks)

        delivery.stager.fetcher.accept = count_and_accept
        version = await world.set_items(many_routes(1400, 2))
        await world.eventually(lambda: monotonic_us() > blocked_until)
        await wait_until_in_force(world, version)
        assert len(received) > 15
        assert max(received.values()) <= 2, received  # two if a hedged request was sent

    run(scenario, application=("desk",))


def test_a_chunk_that_cannot_be_decoded_is_fetched_again_and_crashes_no_process():
    """Its checksum is right, because the member that packed it made the error."""

    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        malformed_count = 0
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                nonlocal malformed_count
                if malformed_count == 8 or form == COMPLETE_FORM:
                    return await original(name, form)
                malformed_count += 1
                return checksum(name, b"\xc1", form) + zlib.compress(b"\xc1")

            cache.get = get
        await wait_until_in_force(world, await world.set_items(many_routes(300, 2)))
        assert malformed_count == 8

    run(scenario, application=("desk",))


def test_a_change_of_1400_routes_is_delivered_over_slow_links():
    async def scenario(world):
        await start_with_items(world, *many_routes(440))
        for host in [*world.core, *world.application]:
            world.web.rates[host] = (
                CORE_LINK_BYTES_PER_S if host in world.core else SLOW_LINK_BYTES_PER_S
            )
        received_before = dict(world.web.received)
        largest_bytes = 0
        for host in world.core:
            daemon = world.daemon("mdconf", host)
            original = daemon.chunks.packed.get

            async def get(name, form, original=original):
                nonlocal largest_bytes
                packed = await original(name, form)
                largest_bytes = max(largest_bytes, len(packed or b""))
                return packed

            daemon.chunks.packed.get = get
        version = await world.set_items(many_routes(1400)[440:])
        elapsed_us = await wait_until_in_force(world, version)
        received = max(world.web.received[h] - received_before[h] for h in world.application)
        items = {
            config_items.item_key(item): item for item in [service("desk"), *many_routes(1400)]
        }
        unpacked_bytes = sum(len(body) for _, body in split_items(items))
        assert 0 < largest_bytes < MAX_FRAME_BYTES
        assert received < unpacked_bytes // 5, (received, unpacked_bytes, elapsed_us)
        for delivery in deliveries(world):
            table = delivery.active.routing_table.items
            assert sum(len(prefixes) for prefixes in table.routes.values()) == 1400

    run(scenario, core=5, application=SIX_PROXIES)


def test_proxies_spread_their_requests_over_the_members_with_two_in_flight():
    async def scenario(world):
        await start_with_items(world, *many_routes(1400))
        served, in_flight, max_in_flight = Counter(), Counter(), 0
        for host in world.core:
            chunks = world.daemon("mdconf", host).chunks

            async def get(name, form, host=host, original=chunks.packed.get):
                served[host] += form == ROUTING_FORM
                return await original(name, form)

            chunks.packed.get = get
        for delivery in deliveries(world):
            fetcher = delivery.stager.fetcher

            async def request(*args, fetcher=fetcher, original=fetcher.request):
                nonlocal max_in_flight
                in_flight[fetcher] += 1
                max_in_flight = max(max_in_flight, in_flight[fetcher])
                reply = await original(*args)
                in_flight[fetcher] -= 1
                return reply

            fetcher.request = request
        await wait_until_in_force(world, await world.set_items(many_routes(1400, 2)))
        assert len(served) >= 4
        assert max(served.values()) < sum(served.values()) // 2, served
        assert max_in_flight == 2

    run(scenario, core=5, application=("desk",) * 12)


def test_a_change_every_300_ms_is_delivered_over_slow_links():
    async def scenario(world):
        await start_with_items(world, *many_routes(1400))
        for host in world.application:
            world.web.rates[host] = SLOW_LINK_BYTES_PER_S
        for round_index in range(12):
            version = await world.set_items(
                [many_routes(1400, 2 + round_index)[round_index * 90]], round_index % 3
            )
            started_at = monotonic_us()
            await wait_until_in_force(world, version)
            await sleep_us(300 * MILLISECOND - (monotonic_us() - started_at))

    run(scenario, application=SIX_PROXIES)


def test_changes_faster_than_they_can_be_fetched_starve_no_proxy():
    """Each change touches all chunks; the next one comes before a proxy has fetched them."""

    async def scenario(world):
        await start_with_items(world, *many_routes(1400))
        for host in world.application:
            world.web.rates[host] = SLOW_LINK_BYTES_PER_S // 6
        lowest_versions = []
        for round_index in range(12):
            await world.set_items(many_routes(1400, 2 + round_index)[::3], round_index % 3)
            await sleep_us(200 * MILLISECOND)
            lowest_versions.append(min(delivery.version for delivery in deliveries(world)))
            # A proxy has the chunks in force, the staged ones, and those of two running stagings.
            for delivery in deliveries(world):
                assert len(delivery.stager.chunks) <= 4 * len(delivery.active.revision["ranges"])
        assert len(set(lowest_versions)) > 3, lowest_versions

    run(scenario, application=("desk",) * 3)


def test_a_change_of_one_route_fetches_and_decodes_one_chunk(monkeypatch):
    parsed = []
    original = Stager.parse
    monkeypatch.setattr(
        Stager, "parse", lambda self, name: parsed.append(name) or original(self, name)
    )

    async def scenario(world):
        await start_with_items(world, *many_routes(1400))
        assert len(parsed) > 15
        parsed.clear()
        former_table = deliveries(world)[0].active.routing_table.items
        await wait_until_in_force(world, await world.set_items([many_routes(1400, 2)[77]]))
        assert len(parsed) == 1
        table = deliveries(world)[0].active.routing_table.items
        assert table.find_route(b"h0.example", b"/area77/").version == 2
        assert table.routes[b"h1.example"] is former_table.routes[b"h1.example"]
        assert former_table.find_route(b"h0.example", b"/area77/").version == 1
        fetched = [line["fetched"] for _, line in world.trace.events(501)]
        assert fetched[-1] == 1

    run(scenario, application=("desk",))


def test_a_proxy_stages_from_members_without_the_chunk_get_method(monkeypatch):
    monkeypatch.delitem(ChunkService.handlers.table, "chunk.get")

    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        await wait_until_in_force(world, await world.set_items(many_routes(300, 2)))
        chunks = world.daemon("mdconf", world.core[2]).chunks
        assert len(await chunks.fetch([fingerprint(b"no chunk")])) == 0

    run(scenario, application=SIX_PROXIES)


def test_a_proxy_of_the_former_version_gets_complete_chunks_by_blob_get():
    async def scenario(world):
        await start_with_items(world, *many_routes(100))
        names = world.daemon("mdconf", world.core[0]).revisions.latest.chunks
        rpc = world.node("mdproxy", "10.0.1.1").rpc
        bodies = await rpc.call(f"{world.core[0]}:7421", "blob.get", names, monotonic_us() + SECOND)
        assert {fingerprint(bytes(body)) for body in bodies.values()} == set(names)

    run(scenario, application=("desk",))


@pytest.mark.parametrize("fault", ["frozen", "isolated"])
def test_a_member_fetches_missing_chunks_past_a_silent_one(fault):
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        config_store = world.daemon("mdconf", world.core[0])
        names = config_store.revisions.latest.chunks
        config_store.chunks.recent.clear()
        disk = world.disks["mdconf", world.core[0]]
        for name in [n for n in disk.files if n.startswith("blob/")]:
            del disk.files[name]
        first_source = config_store.chunks.fetcher.order_members_by_hash(
            config_store.broadcast.peers().values()
        )[0].partition(":")[0]
        if fault == "frozen":
            world.processes[f"mdconf@{first_source}"].freeze()
        else:
            isolate(world, first_source)
        started_at = monotonic_us()
        assert len(await config_store.chunks.fetch(names)) == len(names)
        assert monotonic_us() - started_at < APPLY_US // 4

    run(scenario, application=("desk",))


def test_an_unreadable_disk_crashes_no_process():
    async def scenario(world):
        await start_with_items(world, *many_routes(300))
        config_store = world.daemon("mdconf", world.core[0])
        names = config_store.revisions.latest.chunks
        config_store.chunks.recent.clear()

        async def read(name):
            raise OSError("input/output error")

        world.disks["mdconf", world.core[0]].read = read
        assert len(await config_store.chunks.fetch(names)) == len(names)

    run(scenario, application=("desk",))


def largest_chunk(count, extra_source_length=0):
    """Return (name, body) of the largest chunk of a configuration with this many routes."""
    items = [
        {**item, "source": item["source"] + "x" * extra_source_length}
        for item in many_routes(count)
    ]
    return max(
        split_items({config_items.item_key(i): i for i in items}), key=lambda chunk: len(chunk[1])
    )


def test_a_packed_chunk_is_small_deterministic_and_rejected_when_altered():
    name, body = largest_chunk(500)
    packed = pack_chunk(name, body, ROUTING_FORM)
    assert packed == pack_chunk(name, body, ROUTING_FORM)
    assert len(packed) < len(body) // 5
    for altered in (flip_bit(packed), packed[:-1], b"", packed[:20]):
        with pytest.raises(CorruptChunk):
            unpack_chunk(name, altered, ROUTING_FORM)
    with pytest.raises(CorruptChunk):  # not the chunk that was requested
        unpack_chunk(fingerprint(b"other"), packed, ROUTING_FORM)
    with pytest.raises(CorruptChunk):
        unpack_chunk(name, packed, COMPLETE_FORM)


def test_the_routing_form_omits_sources_and_removed_items():
    items = [route("kept", 2), route("gone", 2)]
    stored, _ = config_items.merge_items({}, [service("desk"), *items])
    stored, _ = config_items.merge_items(stored, [route("kept", 3), removed_item(items[1], 3)])
    ((name, body),) = split_items(stored)
    assert b"superseded" in body
    sent = ormsgpack.unpackb(
        unpack_chunk(name, pack_chunk(name, body, ROUTING_FORM), ROUTING_FORM)
    )[1]
    assert [item["name"] for item in sent] == ["kept", "desk"]
    assert all(item.keys() == {"kind", "name", "spec", "version"} for item in sent)


class MemberStub:
    """RPC connections to one member that serves these packed chunks."""

    def __init__(self, chunks):
        self.chunks, self.reply_sizes = chunks, []

    async def call(self, address, method, args, deadline):
        async def packed(name, form):
            return self.chunks.get(name)

        reply = await serve_chunks(args, packed)
        self.reply_sizes.append(sum(len(piece) for _, _, piece in reply["pieces"]))
        await trio.lowlevel.checkpoint()
        return reply


def test_a_chunk_larger_than_a_frame_is_split_and_small_ones_share_frames():
    unknown_name = fingerprint(b"big")
    incompressible = b"".join(fingerprint(b"%d" % n).encode() for n in range(4000))
    chunks = {fingerprint(body): body for body in (b"%d" % n * 50 for n in range(40))}
    chunks[fingerprint(incompressible)] = incompressible
    packed = {name: pack_chunk(name, body, COMPLETE_FORM) for name, body in chunks.items()}
    member = MemberStub(packed)

    async def main():
        fetch = ChunkFetch([*chunks, unknown_name], ["m"], {})
        await ChunkFetcher(member, "me", 100 * MILLISECOND, COMPLETE_FORM).run(
            fetch, monotonic_us() + SECOND
        )
        return fetch

    fetch = trio.run(main)
    assert fetch.found == chunks  # all but the chunk that no member has
    assert max(member.reply_sizes) <= MAX_FRAME_BYTES
    assert len(member.reply_sizes) < 20


def test_a_member_that_returns_other_chunks_is_asked_once():
    class OtherChunksStub:
        calls = 0

        async def call(self, address, method, args, deadline):
            self.calls += 1
            await trio.lowlevel.checkpoint()
            return {"pieces": [["other", 3, b"abc"]], "missing": ["another"]}

    async def main():
        fetch = ChunkFetch([fingerprint(b"wanted")], ["m"], {})
        with trio.move_on_after(1):
            await ChunkFetcher(member, "me", 100 * MILLISECOND, ROUTING_FORM).run(
                fetch, monotonic_us() + SECOND
            )
        return fetch.found

    member = OtherChunksStub()
    assert trio.run(main) == {}
    assert member.calls == 1


def test_the_cache_of_packed_chunks_is_bounded_by_bytes():
    bodies = {}
    for n in range(200):
        body = b"".join(fingerprint(b"%d %d" % (n, k)).encode() for k in range(1000))
        bodies[fingerprint(body)] = body

    async def read(name):
        return bodies.get(name)

    async def main():
        cache = PackedChunkCache(read)
        for name in bodies:
            assert (
                unpack_chunk(name, await cache.get(name, COMPLETE_FORM), COMPLETE_FORM)
                == bodies[name]
            )
            assert cache.size_bytes == sum(map(len, cache.packed.values())) <= MAX_CACHE_BYTES
        assert await cache.get(fingerprint(b"none"), COMPLETE_FORM) is None
        return len(cache.packed)

    assert 0 < trio.run(main) < 200


def test_a_table_derived_from_a_former_one_equals_a_rebuilt_one():
    conflicting = [route("a", 3, prefix="/same/"), route("b", 5, prefix="/same/")]
    chunks = {
        "one": config_items.parse_chunk([conflicting[0], service("desk")]),
        "two": config_items.parse_chunk([conflicting[1], route("c", host="other")]),
    }
    first = config_items.ItemTable(1, []).with_chunks(2, chunks)
    assert first.find_route(b"h.example", b"/same/").name == "b"
    second = first.with_chunks(3, {"one": chunks["one"]})
    assert second.find_route(b"h.example", b"/same/").name == "a"
    assert second.find_route(b"other", b"/p/") is None
    assert (second.version, second.services) == (3, {"desk": {}})
    rebuilt = config_items.ItemTable(3, [conflicting[0], service("desk")])
    assert (second.routes, second.services, second.limits) == (
        rebuilt.routes,
        rebuilt.services,
        rebuilt.limits,
    )
    assert first.find_route(b"other", b"/p/").name == "c"
