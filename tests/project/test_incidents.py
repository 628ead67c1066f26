"""Regression tests for the incidents of docs/incidents/README.md."""

from __future__ import annotations

import random

import pytest
import trio
from gates import SEEDS, gated, send_call, wait_until_listed

from meadowdock.membership import VIEW_MAX, GossipMembership, MemberEntry
from meadowdock.rpc import serve_connection
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

# In the incident, the registries started this much later than the proxies.
REGISTRY_DELAY_US = 450 * MILLISECOND


def hosts(world):
    return list(world.application)


async def restart_everything(world):
    """Power off all processes at the same time and start them again, the registries last."""
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
        await sleep_us(REGISTRY_DELAY_US)
        for host in world.core:
            nursery.start_soon(world.start, "mdreg", host)


@pytest.mark.parametrize("seed", SEEDS)
def test_after_a_power_failure_every_gateway_soon_lists_every_endpoint(seed):
    async def scenario(world):
        await restart_everything(world)
        restarted_us = monotonic_us()
        await wait_until_listed(world)
        duration_us = monotonic_us() - restarted_us
        for host in hosts(world):
            exchange = await send_call(world, host, target=b"/paper/x")
            assert exchange.status == 200
        assert duration_us <= 500 * MILLISECOND, duration_us

    application = ("desk", "desk", "desk", "desk", "desk", "paper", "paper", "paper")
    gated(scenario, seed, core=3, application=application)


class ResetStream:
    """A stream that receives the given bytes, then a connection reset."""

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


@pytest.mark.parametrize("data, events", [(b"", []), (b"GET / HTTP/1.1\r\n" * 9, [201])])
def test_only_a_failed_authentication_is_logged_as_one(data, events):
    """A reset during the handshake was logged as a peer that failed the fleet key's authentication."""
    logged = []

    async def scenario():
        rng = random.Random(1)
        await serve_connection(
            ResetStream(data), b"k" * 32, rng, "me", {}, lambda number, **_: logged.append(number)
        )

    trio.run(scenario)
    assert logged == events


def entry(number, heartbeat, incarnation=1, leaving=False):
    address = f"10.9.0.{number}:7402"
    return MemberEntry(address, "mdproxy", "a", incarnation, heartbeat, leaving, 0)


def test_a_process_is_logged_as_seen_once_per_incarnation():
    """Its entry may be evicted from the partial view and come back any number of times."""
    logged = []
    view = GossipMembership(
        entry(0, 0),
        (),
        random.Random(1),
        None,
        lambda number, peer, **_: logged.append((number, peer)),
    )
    others = range(1, 3 * VIEW_MAX)
    for heartbeat in range(1, 50):
        view.merge([entry(number, heartbeat) for number in others], heartbeat * SECOND)
    assert sorted(logged) == sorted((301, entry(number, 0).address) for number in others)
    del logged[:]
    view.merge([entry(1, 50, leaving=True), entry(99, 1, leaving=True)], 50 * SECOND)
    assert logged == [(302, entry(1, 0).address)]  # the other was never logged as seen
    view.merge([entry(1, 1, incarnation=2), entry(1, 51)], 51 * SECOND)
    assert logged[1:] == [(301, entry(1, 0).address)]
