"""Delivery of a change to the proxies while members are gone, silent, slow or wrong, over slow links."""

from __future__ import annotations

import zlib
from collections import Counter

import ormsgpack
import pytest
import trio
from item_builders import dropped, route, service

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

APPLY = 2 * SECOND
SLOW_LINK = 3_250_000 // 8  # bytes a second
CORE_LINK = 120_000_000 // 8


def many(count, version=1):
    """Routes with texts as operators write them."""
    return [
        {
            **route(f"route-{n}", version, host=f"h{n % 7}.example", prefix=f"/area{n}/"),
            "source": f'{{"name": "route-{n}", "v": {version}, "note": "{fingerprint(b"%d" % n) * 8}"}}',
        }
        for n in range(count)
    ]


async def with_items(world, *items):
    """All processes up; these items in force on every proxy."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
    version = await world.set_items([service("desk"), *items])
    await in_force(world, version, 10 * SECOND)
    await sleep_us(3 * SECOND)


def deliveries(world):
    return [world.daemon("mdproxy", host).delivery for host in world.application]


async def in_force(world, version, within=APPLY // 2):
    """How long until it, or a newer one, is in force on every proxy."""

    def everywhere():
        return all(delivery.version >= version for delivery in deliveries(world))

    return await world.eventually(everywhere, within, every=MILLISECOND)


def make_dark(world, host):
    """A machine without power: what is sent to it is lost, and nobody is told."""
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)


PROXIES = ("desk",) * 6


@pytest.mark.parametrize("seed", range(4))
def test_a_member_that_lost_power_right_after_the_acknowledgement(seed):
    """And one more that is silent."""

    async def scenario(world):
        await with_items(world, *many(300))
        world.processes[f"mdconf@{world.core[1]}"].freeze()
        await sleep_us(world.rng.randrange(400) * MILLISECOND)
        version = await world.set_items(many(300, 2))
        make_dark(world, world.core[0])
        await in_force(world, version)

    run(scenario, seed, core=5, application=PROXIES)


@pytest.mark.parametrize("seed", range(2))
def test_one_silent_member(seed):
    async def scenario(world):
        await with_items(world, *many(300))
        for turn, host in enumerate(world.core):
            others = [c for c in world.core if c != host]
            version = await world.set_items(many(300, 2 + turn), world.core.index(others[0]))
            world.processes[f"mdconf@{host}"].freeze()
            await in_force(world, version)
            world.processes[f"mdconf@{host}"].wake()
            await sleep_us(2 * SECOND)

    run(scenario, seed, core=3, application=PROXIES)


@pytest.mark.parametrize("seed", range(2))
def test_a_member_whose_answers_come_late(seed):
    async def scenario(world):
        await with_items(world, *many(300))
        for turn, host in enumerate(world.core):
            version = await world.set_items(many(300, 2 + turn), turn)
            world.web.slow[host] = (900 * MILLISECOND, SECOND)  # also the one that acknowledged
            await in_force(world, version)
            del world.web.slow[host]
            await sleep_us(3 * SECOND)

    run(scenario, seed, application=PROXIES)


def corrupt(packed):
    return packed[:-3] + bytes([packed[-3] ^ 1]) + packed[-2:]


@pytest.mark.parametrize("wrong", [corrupt, lambda packed: packed[:-9], lambda packed: None])
def test_a_member_with_corrupt_or_missing_chunks_is_passed_by(wrong):
    async def scenario(world):
        await with_items(world, *many(300))
        for turn, host in enumerate(world.core):
            cache = world.daemon("mdconf", host).chunks.packed
            original = cache.get

            async def get(name, form, original=original):
                packed = await original(name, form)
                return packed and wrong(packed)

            cache.get = get
            took = await in_force(world, await world.set_items(many(300, 2 + turn), turn))
            assert took < 100 * MILLISECOND  # no wait for a silent one
            cache.get = original
            for delivery in deliveries(world):
                found = delivery.active.routing_table.items.find(b"h3.example", b"/area10/x")
                assert found.version == 2 + turn

    run(scenario, application=PROXIES)


def test_a_newer_head_does_not_wait_for_the_fetch_of_an_older_one():
    async def scenario(world):
        await with_items(world, *many(300))
        held = {name for delivery in deliveries(world) for name in delivery.stager.chunks}
        hanging, asked = True, set()
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                if form == ROUTING_FORM and hanging and name not in held:
                    asked.add(name)
                if name in asked:
                    await trio.sleep_forever()
                return await original(name, form)

            cache.get = get
        await world.set_items(many(300, 2), 0)
        await world.eventually(lambda: asked, every=MILLISECOND)
        hanging = False
        version = await world.set_items(many(300, 3), 1)
        took = await in_force(world, version)
        assert took < APPLY // 10
        assert all(len(delivery.stager.running) <= 2 for delivery in deliveries(world))

    run(scenario, application=PROXIES)


def test_a_staging_that_is_tried_again_fetches_only_what_it_lacks():
    async def scenario(world):
        await with_items(world, *many(1400))
        delivery = deliveries(world)[0]
        held, hanging, received = set(delivery.stager.chunks), set(), Counter()
        hanging_until = monotonic_us() + 3 * SECOND
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                if form == ROUTING_FORM and name not in held and not hanging:
                    hanging.add(name)
                if name in hanging and monotonic_us() < hanging_until:
                    await trio.sleep_forever()
                return await original(name, form)

            cache.get = get
        accept = delivery.stager.fetcher.accept

        def counted(name, packed, chunks):
            received[name] += 1
            return accept(name, packed, chunks)

        delivery.stager.fetcher.accept = counted
        version = await world.set_items(many(1400, 2))
        await world.eventually(lambda: monotonic_us() > hanging_until)
        await in_force(world, version)
        assert len(received) > 15
        assert max(received.values()) <= 2, received  # two, where a hedge came

    run(scenario, application=("desk",))


def test_a_chunk_that_cannot_be_decoded_is_fetched_again_and_ends_no_process():
    """Its checksum is right: the member that packed it was wrong."""

    async def scenario(world):
        await with_items(world, *many(300))
        wrong = 0
        for host in world.core:
            cache = world.daemon("mdconf", host).chunks.packed

            async def get(name, form, original=cache.get):
                nonlocal wrong
                if wrong == 8 or form == COMPLETE_FORM:
                    return await original(name, form)
                wrong += 1
                return checksum(name, b"\xc1", form) + zlib.compress(b"\xc1")

            cache.get = get
        await in_force(world, await world.set_items(many(300, 2)))
        assert wrong == 8

    run(scenario, application=("desk",))


def test_1400_routes_over_slow_links():
    async def scenario(world):
        await with_items(world, *many(440))
        for host in [*world.core, *world.application]:
            world.web.rates[host] = CORE_LINK if host in world.core else SLOW_LINK
        before = dict(world.web.received)
        largest = 0
        for host in world.core:
            daemon = world.daemon("mdconf", host)
            original = daemon.chunks.packed.get

            async def get(name, form, original=original):
                nonlocal largest
                packed = await original(name, form)
                largest = max(largest, len(packed or b""))
                return packed

            daemon.chunks.packed.get = get
        version = await world.set_items(many(1400)[440:])
        took = await in_force(world, version)
        received = max(world.web.received[h] - before[h] for h in world.application)
        items = {config_items.item_key(item): item for item in [service("desk"), *many(1400)]}
        whole = sum(len(body) for _, body in split_items(items))
        assert 0 < largest < MAX_FRAME_BYTES
        assert received < whole // 5, (received, whole, took)
        for delivery in deliveries(world):
            table = delivery.active.routing_table.items
            assert sum(len(prefixes) for prefixes in table.routes.values()) == 1400

    run(scenario, core=5, application=PROXIES)


def test_proxies_spread_over_the_members_and_ask_two_at_a_time():
    async def scenario(world):
        await with_items(world, *many(1400))
        served, under_way, most = Counter(), Counter(), 0
        for host in world.core:
            chunks = world.daemon("mdconf", host).chunks

            async def get(name, form, host=host, original=chunks.packed.get):
                served[host] += form == ROUTING_FORM
                return await original(name, form)

            chunks.packed.get = get
        for delivery in deliveries(world):
            fetcher = delivery.stager.fetcher

            async def request(*args, fetcher=fetcher, original=fetcher.request):
                nonlocal most
                under_way[fetcher] += 1
                most = max(most, under_way[fetcher])
                answer = await original(*args)
                under_way[fetcher] -= 1
                return answer

            fetcher.request = request
        await in_force(world, await world.set_items(many(1400, 2)))
        assert len(served) >= 4
        assert max(served.values()) < sum(served.values()) // 2, served
        assert most == 2

    run(scenario, core=5, application=("desk",) * 12)


def test_a_change_each_300_ms_over_slow_links():
    async def scenario(world):
        await with_items(world, *many(1400))
        for host in world.application:
            world.web.rates[host] = SLOW_LINK
        for turn in range(12):
            version = await world.set_items([many(1400, 2 + turn)[turn * 90]], turn % 3)
            begun = monotonic_us()
            await in_force(world, version)
            await sleep_us(300 * MILLISECOND - (monotonic_us() - begun))

    run(scenario, application=PROXIES)


def test_changes_faster_than_they_can_be_fetched_starve_no_proxy():
    """Each touches all chunks, and a proxy needs longer for them than until the next change."""

    async def scenario(world):
        await with_items(world, *many(1400))
        for host in world.application:
            world.web.rates[host] = SLOW_LINK // 6
        reached = []
        for turn in range(12):
            await world.set_items(many(1400, 2 + turn)[::3], turn % 3)
            await sleep_us(200 * MILLISECOND)
            reached.append(min(delivery.version for delivery in deliveries(world)))
            for delivery in deliveries(world):  # in force, staged, and two under way
                assert len(delivery.stager.chunks) <= 4 * len(delivery.active.revision["ranges"])
        assert len(set(reached)) > 3, reached

    run(scenario, application=("desk",) * 3)


def test_a_change_of_one_route_fetches_and_decodes_one_chunk(monkeypatch):
    parsed = []
    original = Stager.parse
    monkeypatch.setattr(
        Stager, "parse", lambda self, name: parsed.append(name) or original(self, name)
    )

    async def scenario(world):
        await with_items(world, *many(1400))
        assert len(parsed) > 15
        parsed.clear()
        former = deliveries(world)[0].active.routing_table.items
        await in_force(world, await world.set_items([many(1400, 2)[77]]))
        assert len(parsed) == 1
        table = deliveries(world)[0].active.routing_table.items
        assert table.find(b"h0.example", b"/area77/").version == 2
        assert table.routes[b"h1.example"] is former.routes[b"h1.example"]
        assert former.find(b"h0.example", b"/area77/").version == 1
        fetched = [line["fetched"] for _, line in world.trace.events(501)]
        assert fetched[-1] == 1

    run(scenario, application=("desk",))


def test_a_proxy_stages_from_members_of_the_former_version(monkeypatch):
    monkeypatch.delitem(ChunkService.handlers.table, "chunk.get")

    async def scenario(world):
        await with_items(world, *many(300))
        await in_force(world, await world.set_items(many(300, 2)))
        chunks = world.daemon("mdconf", world.core[2]).chunks
        assert len(await chunks.fetch([fingerprint(b"no chunk")])) == 0

    run(scenario, application=PROXIES)


def test_a_proxy_of_the_former_version_gets_whole_chunks():
    async def scenario(world):
        await with_items(world, *many(100))
        names = world.daemon("mdconf", world.core[0]).revisions.latest.chunks
        links = world.node("mdproxy", "10.0.1.1").rpc
        told = await links.call(f"{world.core[0]}:7421", "blob.get", names, monotonic_us() + SECOND)
        assert {fingerprint(bytes(body)) for body in told.values()} == set(names)

    run(scenario, application=("desk",))


@pytest.mark.parametrize("fault", ["frozen", "dark"])
def test_a_member_that_lacks_chunks_gets_them_past_a_silent_one(fault):
    async def scenario(world):
        await with_items(world, *many(300))
        mine = world.daemon("mdconf", world.core[0])
        names = mine.revisions.latest.chunks
        mine.chunks.recent.clear()
        disk = world.disks["mdconf", world.core[0]]
        for name in [n for n in disk.files if n.startswith("blob/")]:
            del disk.files[name]
        first = mine.chunks.fetcher.spread(mine.broadcast.peers().values())[0].partition(":")[0]
        if fault == "frozen":
            world.processes[f"mdconf@{first}"].freeze()
        else:
            make_dark(world, first)
        begun = monotonic_us()
        assert len(await mine.chunks.fetch(names)) == len(names)
        assert monotonic_us() - begun < APPLY // 4

    run(scenario, application=("desk",))


def test_a_disk_that_cannot_be_read_ends_no_process():
    async def scenario(world):
        await with_items(world, *many(300))
        mine = world.daemon("mdconf", world.core[0])
        names = mine.revisions.latest.chunks
        mine.chunks.recent.clear()

        async def read(name):
            raise OSError("input/output error")

        world.disks["mdconf", world.core[0]].read = read
        assert len(await mine.chunks.fetch(names)) == len(names)

    run(scenario, application=("desk",))


# ---------------------------------------------------------------- by themselves


def chunk_of(count, size=0):
    items = [{**item, "source": item["source"] + "x" * size} for item in many(count)]
    return max(
        split_items({config_items.item_key(i): i for i in items}), key=lambda made: len(made[1])
    )


def test_a_packed_chunk_is_small_the_same_everywhere_and_refused_when_altered():
    name, body = chunk_of(500)
    packed = pack_chunk(name, body, ROUTING_FORM)
    assert packed == pack_chunk(name, body, ROUTING_FORM)
    assert len(packed) < len(body) // 5
    for wrong in (corrupt(packed), packed[:-1], b"", packed[:20]):
        with pytest.raises(CorruptChunk):
            unpack_chunk(name, wrong, ROUTING_FORM)
    with pytest.raises(CorruptChunk):  # another chunk than was asked for
        unpack_chunk(fingerprint(b"other"), packed, ROUTING_FORM)
    with pytest.raises(CorruptChunk):
        unpack_chunk(name, packed, COMPLETE_FORM)


def test_what_no_proxy_needs_does_not_travel():
    items = [route("kept", 2), route("gone", 2)]
    held, _ = config_items.merge({}, [service("desk"), *items])
    held, _ = config_items.merge(held, [route("kept", 3), dropped(items[1], 3)])
    ((name, body),) = split_items(held)
    assert b"superseded" in body
    sent = ormsgpack.unpackb(
        unpack_chunk(name, pack_chunk(name, body, ROUTING_FORM), ROUTING_FORM)
    )[1]
    assert [item["name"] for item in sent] == ["kept", "desk"]
    assert all(item.keys() == {"kind", "name", "spec", "version"} for item in sent)


class Member:
    """Stands for links to one member that answers from these packed chunks."""

    def __init__(self, chunks):
        self.chunks, self.sizes = chunks, []

    async def call(self, address, method, args, deadline):
        async def packed(name, form):
            return self.chunks.get(name)

        answer = await serve_chunks(args, packed)
        self.sizes.append(sum(len(piece) for _, _, piece in answer["pieces"]))
        await trio.lowlevel.checkpoint()
        return answer


def test_a_chunk_larger_than_a_frame_comes_in_pieces_and_small_ones_share_frames():
    big = fingerprint(b"big")
    noise = b"".join(fingerprint(b"%d" % n).encode() for n in range(4000))
    chunks = {fingerprint(body): body for body in (b"%d" % n * 50 for n in range(40))}
    chunks[fingerprint(noise)] = noise
    packed = {name: pack_chunk(name, body, COMPLETE_FORM) for name, body in chunks.items()}
    member = Member(packed)

    async def main():
        fetch = ChunkFetch([*chunks, big], ["m"], {})
        await ChunkFetcher(member, "me", 100 * MILLISECOND, COMPLETE_FORM).run(
            fetch, monotonic_us() + SECOND
        )
        return fetch

    fetch = trio.run(main)
    assert fetch.found == chunks  # all but the one that nobody has
    assert max(member.sizes) <= MAX_FRAME_BYTES
    assert len(member.sizes) < 20


def test_a_member_that_answers_beside_the_question_is_asked_once():
    class Liar:
        asked = 0

        async def call(self, address, method, args, deadline):
            self.asked += 1
            await trio.lowlevel.checkpoint()
            return {"pieces": [["other", 3, b"abc"]], "missing": ["another"]}

    async def main():
        fetch = ChunkFetch([fingerprint(b"wanted")], ["m"], {})
        with trio.move_on_after(1):
            await ChunkFetcher(liar, "me", 100 * MILLISECOND, ROUTING_FORM).run(
                fetch, monotonic_us() + SECOND
            )
        return fetch.found

    liar = Liar()
    assert trio.run(main) == {}
    assert liar.asked == 1


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


def test_a_table_made_from_a_former_one_is_the_same_as_one_made_anew():
    clash = [route("a", 3, prefix="/same/"), route("b", 5, prefix="/same/")]
    chunks = {
        "one": config_items.parse_chunk([clash[0], service("desk")]),
        "two": config_items.parse_chunk([clash[1], route("c", host="other")]),
    }
    first = config_items.ItemTable(1, []).with_chunks(2, chunks)
    assert first.find(b"h.example", b"/same/").name == "b"
    second = first.with_chunks(3, {"one": chunks["one"]})
    assert second.find(b"h.example", b"/same/").name == "a"
    assert second.find(b"other", b"/p/") is None
    assert (second.version, second.services) == (3, {"desk": {}})
    anew = config_items.ItemTable(3, [clash[0], service("desk")])
    assert (second.routes, second.services, second.limits) == (
        anew.routes,
        anew.services,
        anew.limits,
    )
    assert first.find(b"other", b"/p/").name == "c"
