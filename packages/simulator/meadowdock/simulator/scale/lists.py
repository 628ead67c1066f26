"""Processor time of one load list at full size: to make it for one node, and to take it there."""

from __future__ import annotations

import time
from functools import partial

from meadowdock.rpc import Peer
from meadowdock.rpc.frame import LENGTH_SIZE, FrameAuthenticator
from meadowdock.rpc.messages import REQUEST, pack, unpack
from meadowdock.simulator.scale.fleet import Hollow, listed
from meadowdock.simulator.scale.places import places
from meadowdock.simulator.world import run

LIST_SIZES = (75, 150, 300, 600, 1200)
SMALL_FLEET = 6


def list_costs(sizes=LIST_SIZES, times: int = 40) -> list[dict]:
    """For each size of a list: [{"nodes", "tell_us", "take_us"}]."""
    return run(partial(list_scenario, sizes, times), 1)


async def list_scenario(sizes, times, world):
    """Lists of each size, given to one proxy of a small fleet."""
    fleet = Hollow(world, SMALL_FLEET)
    await fleet.up()
    daemon = fleet.proxies()[0].daemon
    proofs = [FrameAuthenticator(b"k" * 32, b"out") for _ in range(2)]
    return [await cost_of_list(daemon, proofs, n, times) for n in sizes]


async def cost_of_list(daemon, proofs, n, times):
    """Mean costs of a list of n endpoints."""
    sender, receiver = proofs
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
    made = time.process_time()
    for frame in frames:
        await daemon.on_list(peer, unpack(receiver.open(frame[LENGTH_SIZE:]))[3])
    taken = time.process_time()
    assert listed(daemon) == n
    return {
        "nodes": n,
        "tell_us": (made - begun) * 1e6 / times,
        "take_us": (taken - made) * 1e6 / times,
    }
