"""Processor time of load lists up to the full size: to encode one for a node, and to apply it."""

from __future__ import annotations

import time
from functools import partial

from meadowdock.rpc import Peer
from meadowdock.rpc.frame import LENGTH_SIZE, FrameAuthenticator
from meadowdock.rpc.messages import REQUEST, pack, unpack
from meadowdock.simulator.scale.fleet import HollowFleet, listed_endpoints
from meadowdock.simulator.scale.places import places
from meadowdock.simulator.world import run

LIST_SIZES = (75, 150, 300, 600, 1200)
SMALL_FLEET = 6


def list_costs(sizes=LIST_SIZES, times: int = 40) -> list[dict]:
    """Measure lists of each size; return [{"nodes", "tell_us", "take_us"}]."""
    return run(partial(list_scenario, sizes, times), 1)


async def list_scenario(sizes, times, world):
    """Send lists of each size to one proxy of a small fleet."""
    fleet = HollowFleet(world, SMALL_FLEET)
    await fleet.start()
    daemon = fleet.proxies()[0].daemon
    authenticators = [FrameAuthenticator(b"k" * 32, b"out") for _ in range(2)]
    return [await cost_of_list(daemon, authenticators, n, times) for n in sizes]


async def cost_of_list(daemon, authenticators, n, times):
    """Measure the mean costs of encoding and applying a list of n endpoints."""
    sender, receiver = authenticators
    peer = Peer("collector", "10.0.0.1:7411")
    nodes = {
        f"{host}:7401": {service: [0.1, "hollow", False]} for host, service in places(n)[1].items()
    }
    message = {"epoch": daemon.forwarder.load_list.epoch, "nodes": nodes}
    first = daemon.forwarder.load_list.seq + 1
    begun = time.process_time()
    frames = [
        sender.seal(pack([REQUEST, [1, 1], "load.list", {**message, "seq": seq}, 1, 1]))
        for seq in range(first, first + times)
    ]
    encoded = time.process_time()
    for frame in frames:
        await daemon.on_list(peer, unpack(receiver.open(frame[LENGTH_SIZE:]))[3])
    applied = time.process_time()
    assert listed_endpoints(daemon) == n
    return {
        "nodes": n,
        "tell_us": (encoded - begun) * 1e6 / times,
        "take_us": (applied - encoded) * 1e6 / times,
    }
