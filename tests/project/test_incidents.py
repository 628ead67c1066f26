"""Incidents of docs/incidents/README.md, each as short as it can be made to happen."""

from __future__ import annotations

import random

import pytest
import trio
from gates import SEEDS, gated, send_call, wait_until_listed

from meadowdock.membership import VIEW_MAX, GossipMembership, MemberEntry
from meadowdock.rpc import serve_connection
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

REGISTRIES_LATER = 450 * MILLISECOND  # as seen: they came up so much later than the proxies


def hosts(world):
    return list(world.application)


async def all_at_once(world):
    """Every process loses power at one moment; all come back, the registries a little later."""
    for name in list(world.processes):
        if name.startswith("mdconf"):
            world.power_off("mdconf", name.partition("@")[2])
        elif name.startswith("md"):
            world.kill(name)
    await sleep_us(2 * SECOND)
    async with trio.open_nursery() as nursery:
        for host in world.core:
            nursery.start_soon(world.start, "mdconf", host)
        for host in world.application:
            nursery.start_soon(world.start, "mdproxy", host)
        await sleep_us(REGISTRIES_LATER)
        for host in world.core:
            nursery.start_soon(world.start, "mdreg", host)


@pytest.mark.parametrize("seed", SEEDS)
def test_after_all_lost_power_every_gate_soon_knows_every_endpoint(seed):
    async def scenario(world):
        await all_at_once(world)
        began = monotonic_us()
        await wait_until_listed(world)
        took = monotonic_us() - began
        for host in hosts(world):
            made = await send_call(world, host, target=b"/paper/x")
            assert made.status == 200
        assert took <= 500 * MILLISECOND, took

    application = ("desk", "desk", "desk", "desk", "desk", "paper", "paper", "paper")
    gated(scenario, seed, core=3, application=application)


class Torn:
    """A stream whose other side sends bytes, or resets the connection."""

    def __init__(self, data):
        self.data = data

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        pass

    async def receive_some(self, size=None):
        await trio.lowlevel.checkpoint()
        if self.data:
            data, self.data = self.data, b""
            return data
        raise trio.BrokenResourceError("reset by the peer")


@pytest.mark.parametrize("data, told", [(b"", []), (b"GET / HTTP/1.1\r\n" * 9, [201])])
def test_only_a_failed_proof_is_told_as_one(data, told):
    """A reset while greeting was told as a peer that fails the fleet key's proof."""
    logged = []

    async def scenario():
        rng = random.Random(1)
        await serve_connection(
            Torn(data), b"k" * 32, rng, "me", {}, lambda n, **_: logged.append(n)
        )

    trio.run(scenario)
    assert logged == told


def entry(n, beat, incarnation=1, leaving=False):
    return MemberEntry(f"10.9.0.{n}:7402", "mdproxy", "a", incarnation, beat, leaving, 0)


def test_a_process_is_told_as_seen_once_a_life_however_often_its_entry_comes_and_goes():
    logged = []
    view = GossipMembership(
        entry(0, 0), (), random.Random(1), None, lambda n, peer, **_: logged.append((n, peer))
    )
    others = range(1, 3 * VIEW_MAX)
    for beat in range(1, 50):
        view.merge([entry(n, beat) for n in others], beat * SECOND)
    assert sorted(logged) == sorted((301, entry(n, 0).address) for n in others)
    del logged[:]
    view.merge([entry(1, 50, leaving=True), entry(99, 1, leaving=True)], 50 * SECOND)
    assert logged == [(302, entry(1, 0).address)]  # the other was never told of
    view.merge([entry(1, 1, incarnation=2), entry(1, 51)], 51 * SECOND)
    assert logged[1:] == [(301, entry(1, 0).address)]
