"""The collector's lease: at any moment at most one process holds it."""

from __future__ import annotations

import random

import pytest
import trio
from lease_checks import isolate, lease_holders, wait_for_single_holder
from mesh import hosts, serving

from meadowdock.config_store.lease import CLOCK_DRIFT_DIVISOR, LeaseService
from meadowdock.config_store.lease_messages import (
    COLLECTOR_KEY,
    LEASE_HELD,
    LEASE_LOST,
    RENEW,
    AcquireLease,
    LeaseRecord,
    ReleaseLease,
    RenewLease,
)
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.world import WALL, Clock

LEASE_DURATION_US = 2 * SECOND
TAKEOVER_LIMIT_US = 5 * SECOND
DAY_US = 86_400 * SECOND


async def assert_single_holder(world, epochs):
    """Fail the run at the first moment with two holders.

    :param epochs: collects all epochs, in order
    """
    while True:
        epoch_by_host = lease_holders(world)
        assert len(epoch_by_host) <= 1, (monotonic_us(), epoch_by_host)
        for epoch in epoch_by_host.values():
            assert not epochs or epoch >= epochs[-1], (epoch, epochs)
            if not epochs or epoch > epochs[-1]:
                epochs.append(epoch)
        await sleep_us(2 * MILLISECOND)


async def start_watching(world):
    epochs = []
    world.nursery.start_soon(assert_single_holder, world, epochs)
    return epochs


@pytest.mark.parametrize("seed", range(8))
def test_a_holder_cut_off_from_the_majority_stops_before_another_acquires(seed):
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        await sleep_us(world.rng.randrange(SECOND))
        isolate(world, host)
        cut_at_us = monotonic_us()
        await world.eventually(lambda: not lease_holders(world))
        assert monotonic_us() - cut_at_us <= LEASE_DURATION_US
        await world.eventually(lambda: lease_holders(world), TAKEOVER_LIMIT_US)
        assert host not in lease_holders(world)
        await sleep_us(5 * SECOND)
        world.web.heal()
        await sleep_us(5 * SECOND)
        (after,) = lease_holders(world).values()
        assert after > epoch

    run(scenario, seed, application=("desk",))


async def partition_host(world, host, duration_us):
    isolate(world, host)
    await sleep_us(duration_us)
    world.web.heal()


async def drop_lease_responses(world, host, duration_us):
    """Drop the lease responses from all mdconf; everything else gets through."""
    rpc = world.node("mdreg", host).rpc
    original = rpc.call

    async def call(address, method, args, deadline):
        answer = await original(address, method, args, deadline)
        if method.startswith("lease."):
            raise ConnectionFailed(True, "its answer was lost")
        return answer

    rpc.call = call
    await sleep_us(duration_us)
    rpc.call = original


async def freeze_registry(world, host, duration_us):
    process = world.processes[f"mdreg@{host}"]
    process.freeze()
    await sleep_us(duration_us)
    process.wake()


async def freeze_mdconf(world, host, duration_us):
    process = world.processes[f"mdconf@{host}"]
    process.freeze()
    await sleep_us(duration_us)
    process.wake()


async def kill_registry(world, host, duration_us):
    world.kill(f"mdreg@{host}")
    await sleep_us(duration_us)
    await world.start("mdreg", host)


async def power_cycle_mdconf(world, host, duration_us):
    world.power_off("mdconf", host)
    await sleep_us(duration_us)
    await world.start("mdconf", host)


FAULTS = (
    partition_host,
    drop_lease_responses,
    freeze_registry,
    freeze_mdconf,
    kill_registry,
    power_cycle_mdconf,
)


@pytest.mark.parametrize("seed", range(12))
def test_at_most_one_holder_under_random_faults(seed):
    async def scenario(world):
        await world.start_all()
        await wait_for_single_holder(world)
        epochs = await start_watching(world)
        rng = random.Random(seed)
        for _ in range(8):
            inject_fault = rng.choice(FAULTS)
            current_holders = list(lease_holders(world))
            host = (
                current_holders[0]
                if current_holders and rng.random() < 0.7
                else rng.choice(world.core)
            )
            await inject_fault(world, host, rng.randrange(SECOND // 2, 6 * SECOND))
            await sleep_us(rng.randrange(3 * SECOND))
        await world.eventually(lambda: len(lease_holders(world)) == 1)
        assert len(epochs) > 1

    run(scenario, seed, application=("desk",))


def test_a_holder_frozen_for_20_s_sends_no_load_list_afterwards():
    async def scenario(world):
        await serving(world)
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        process = world.processes[f"mdreg@{host}"]
        sent = []
        original = process.node.rpc.call

        async def call(address, method, args, deadline):
            if method == "load.list":
                sent.append((monotonic_us(), args["epoch"]))
            answer = await original(address, method, args, deadline)
            if method == "load.ask" and not woken_at:
                process.freeze()  # it has the nodes' answers, and would send the list next
            return answer

        woken_at = 0
        process.node.rpc.call = call
        await world.eventually(lambda: process.frozen is not None)
        await sleep_us(20 * SECOND)
        proxies = [world.daemon("mdproxy", h) for h in hosts(world)]
        assert all(p.forwarder.load_list.epoch > epoch for p in proxies)
        woken_at = monotonic_us()
        process.wake()
        await sleep_us(5 * SECOND)
        assert not [e for at, e in sent if at >= woken_at > 0 and e <= epoch]
        assert len(lease_holders(world)) == 1
        assert all(p.forwarder.load_list.epoch > epoch for p in proxies)

    run(scenario)


def test_wall_clock_steps_do_not_affect_the_lease():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        epochs = await start_watching(world)
        await sleep_us(SECOND)
        for step_us in (DAY_US, -DAY_US, 3 * SECOND):
            for process in world.processes.values():
                if process.host in (host, world.core[0]):
                    process.node.runtime.wall_us = lambda step_us=step_us: (
                        WALL + monotonic_us() + step_us
                    )
            await sleep_us(5 * SECOND)
        assert lease_holders(world) == {host: epoch}
        assert epochs == [epoch]

    run(scenario, application=("desk",))


def test_the_lease_survives_one_mdconf_that_is_frozen_or_whose_responses_are_lost():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        await sleep_us(2 * SECOND)
        lease = world.daemon("mdreg", host).election.lease
        silent = lease.preferred_store
        rpc = world.node("mdreg", host).rpc
        original = rpc.call

        async def call(address, method, args, deadline):
            answer = await original(address, method, args, deadline)
            if method == RENEW and address == silent:
                raise ConnectionFailed(True, "its answer was lost")
            return answer

        rpc.call = call
        await sleep_us(8 * SECOND)
        assert lease_holders(world) == {host: epoch}
        silent = None
        process = world.processes[f"mdconf@{lease.preferred_store.partition(':')[0]}"]
        process.freeze()
        await sleep_us(8 * SECOND)
        assert lease_holders(world) == {host: epoch}
        process.wake()

    run(scenario, application=("desk",))


def test_a_holder_stops_if_the_responses_to_its_renewals_are_lost():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        world.nursery.start_soon(drop_lease_responses, world, host, 20 * SECOND)
        await world.eventually(lambda: not lease_holders(world))
        await world.eventually(lambda: world.trace.events(705))
        await world.eventually(lambda: lease_holders(world), 8 * SECOND)
        assert host not in lease_holders(world)

    run(scenario, application=("desk",))


def test_a_lease_starts_when_its_request_is_sent():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        lease = world.daemon("mdreg", host).election.lease
        sent_requests = {}
        original = lease.send

        async def recording_send(method, request, deadline):
            sent_requests[monotonic_us()] = request
            return await original(method, request, deadline)

        lease.send = recording_send
        world.meddle[RENEW] = 300 * MILLISECOND
        renewal = lease.granted
        await world.eventually(lambda: lease.granted is not renewal)
        assert lease.granted.expires_at - LEASE_DURATION_US in sent_requests
        assert monotonic_us() - min(sent_requests) >= 300 * MILLISECOND

    run(scenario, application=("desk",))


def test_after_a_graceful_stop_another_acquires_before_the_lease_would_expire():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        lease = world.daemon("mdreg", host).election.lease
        # The lease has just been renewed, so that it expires as late as possible.
        renewal = lease.granted
        await world.eventually(lambda: lease.granted is not renewal)
        expires_at = lease.granted.expires_at
        world.nursery.start_soon(world.stop, f"mdreg@{host}")
        await world.eventually(lambda: any(e > epoch for e in lease_holders(world).values()))
        assert monotonic_us() < expires_at

    run(scenario, application=("desk",))


def test_there_is_one_collector_after_a_restart_of_all_mdconf():
    async def scenario(world):
        await world.start_all()
        _, epoch = await wait_for_single_holder(world)
        epochs = await start_watching(world)
        for host in world.core:
            world.power_off("mdconf", host)
        await sleep_us(500 * MILLISECOND)
        async with trio.open_nursery() as nursery:
            for host in world.core:
                nursery.start_soon(world.start, "mdconf", host)
        await sleep_us(TAKEOVER_LIMIT_US)
        assert len(lease_holders(world)) == 1
        assert len(epochs) <= 2  # the lease was kept, or acquired once more

    run(scenario, application=("desk",))


def test_there_is_no_collector_without_a_quorum_and_one_afterwards():
    async def scenario(world):
        await serving(world)
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        proxy = world.daemon("mdproxy", hosts(world)[0])
        for other in world.core[:2]:
            world.power_off("mdconf", other)
        await sleep_us(LEASE_DURATION_US)
        assert not lease_holders(world)
        await sleep_us(SECOND)
        last = proxy.forwarder.load_list.epoch, proxy.forwarder.load_list.seq
        await sleep_us(17 * SECOND)
        assert not lease_holders(world)
        assert (proxy.forwarder.load_list.epoch, proxy.forwarder.load_list.seq) == last
        for other in world.core[:2]:
            await world.start("mdconf", other)
        await world.eventually(lambda: proxy.forwarder.load_list.epoch > epoch, TAKEOVER_LIMIT_US)

    run(scenario)


def test_a_killed_holder_is_replaced_within_3_s():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await start_watching(world)
        await sleep_us(SECOND)
        world.kill(f"mdreg@{host}")
        elapsed_us = await world.eventually(lambda: lease_holders(world))
        assert elapsed_us <= 3 * SECOND

    for seed in range(4):
        run(scenario, seed, application=("desk",))


def test_a_restarted_proxy_rejects_the_load_list_of_a_previous_holder():
    async def scenario(world):
        await serving(world)
        host, old = await wait_for_single_holder(world)
        world.kill(f"mdreg@{host}")
        await world.eventually(lambda: any(e > old for e in lease_holders(world).values()))
        proxy_host, other = hosts(world)
        world.meddle["load.list"] = None  # the proxy gets no newer list
        rpc = world.node("mdproxy", other).rpc

        async def send():
            load_list = {"epoch": old, "seq": 10**6, "nodes": {}}
            requests = {0: (f"{proxy_host}:7401", "load.list", load_list)}
            del world.meddle["load.list"]
            answer = (await rpc.call_all(requests, monotonic_us() + SECOND))[0]
            world.meddle["load.list"] = None
            return answer

        world.kill(f"mdproxy@{proxy_host}")
        world.meddle["reg.beat"] = None  # the proxy learns no epoch from a registry
        await world.start("mdproxy", proxy_host)
        assert (await send()).code == "epoch_unknown"
        del world.meddle["reg.beat"]
        await world.eventually(
            lambda: world.daemon("mdproxy", proxy_host).heartbeats.epoch_floor is not None
        )
        assert (await send()).code == "old_epoch"
        del world.meddle["load.list"]
        await world.eventually(
            lambda: world.daemon("mdproxy", proxy_host).forwarder.load_list.epoch > old
        )

    run(scenario)


def acquire(holder, sequence=1, floor=0):
    return AcquireLease(COLLECTOR_KEY, holder, sequence, LEASE_DURATION_US, floor)


def run_with_service(work):
    async def main():
        return await work(LeaseService(None))

    return trio.run(main, clock=Clock())


@pytest.mark.parametrize(
    "value, epoch",
    [
        ({"epoch": 7, "holder": "a/1"}, 7),  # from the release before leases
        (LeaseRecord("a/1", 7, 3, LEASE_DURATION_US).encode(), 7),
    ],
)
def test_a_lease_is_granted_only_after_its_record_was_unchanged_for_duration_and_margin(
    value, epoch
):
    async def work(leases):
        old = LeaseRecord.decode(value)
        margin = LEASE_DURATION_US // CLOCK_DRIFT_DIVISOR
        with pytest.raises(Rejected) as rejection:
            leases.acquired(old, acquire("b/1"))
        assert rejection.value.code == LEASE_HELD
        await sleep_us(LEASE_DURATION_US + margin - MILLISECOND)
        with pytest.raises(Rejected):
            leases.acquired(old, acquire("b/1"))
        await sleep_us(2 * MILLISECOND)
        assert leases.acquired(old, acquire("b/1")).epoch == epoch + 1
        renewed = LeaseRecord(old.holder, epoch, old.sequence + 1, LEASE_DURATION_US)
        with pytest.raises(Rejected):
            leases.acquired(renewed, acquire("b/1"))

    run_with_service(work)


def test_duplicate_and_late_requests_change_nothing():
    async def work(leases):
        first = leases.acquired(None, acquire("a", 5))
        assert first == LeaseRecord("a", 1, 5, LEASE_DURATION_US)
        assert leases.acquired(first, acquire("a", 5)) == first
        assert leases.acquired(first, acquire("a", 4)) == first
        second = leases.renewed(first, RenewLease(COLLECTOR_KEY, "a", 6, 1))
        assert second.sequence == 6
        assert leases.renewed(second, RenewLease(COLLECTOR_KEY, "a", 5, 1)) == second
        released = leases.released(second, ReleaseLease(COLLECTOR_KEY, "a", 7, 1))
        # the lease is not granted again
        assert leases.acquired(released, acquire("a", 5)) == released
        with pytest.raises(Rejected) as rejection:
            leases.renewed(released, RenewLease(COLLECTOR_KEY, "a", 8, 1))
        assert rejection.value.code == LEASE_LOST
        assert leases.acquired(released, acquire("b", 1, floor=9)).epoch == 10

    run_with_service(work)
