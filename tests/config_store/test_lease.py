"""The collector's lease: one holder at any moment, ended by it before another acquires."""

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

DURATION = 2 * SECOND
TAKEOVER = 5 * SECOND
DAY = 86_400 * SECOND


async def watch(world, seen):
    """Fails the run at the first moment with two holders. seen: all epochs, in order."""
    while True:
        found = lease_holders(world)
        assert len(found) <= 1, (monotonic_us(), found)
        for epoch in found.values():
            assert not seen or epoch >= seen[-1], (epoch, seen)
            if not seen or epoch > seen[-1]:
                seen.append(epoch)
        await sleep_us(2 * MILLISECOND)


async def watched(world):
    seen = []
    world.nursery.start_soon(watch, world, seen)
    return seen


@pytest.mark.parametrize("seed", range(8))
def test_a_holder_cut_off_from_the_majority_stops_before_another_acquires(seed):
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        await sleep_us(world.rng.randrange(SECOND))
        isolate(world, host)
        cut_at = monotonic_us()
        await world.eventually(lambda: not lease_holders(world))
        assert monotonic_us() - cut_at <= DURATION
        await world.eventually(lambda: lease_holders(world), TAKEOVER)
        assert host not in lease_holders(world)
        await sleep_us(5 * SECOND)
        world.web.heal()
        await sleep_us(5 * SECOND)
        (after,) = lease_holders(world).values()
        assert after > epoch

    run(scenario, seed, application=("desk",))


async def cut_off(world, host, span):
    isolate(world, host)
    await sleep_us(span)
    world.web.heal()


async def cut_from_mdconfs(world, host, span):
    """The answers of mdconf on other machines don't come; all else does."""
    links = world.node("mdreg", host).rpc
    original = links.call

    async def call(address, method, args, deadline):
        answer = await original(address, method, args, deadline)
        if method.startswith("lease."):
            raise ConnectionFailed(True, "its answer was lost")
        return answer

    links.call = call
    await sleep_us(span)
    links.call = original


async def freeze_registry(world, host, span):
    process = world.processes[f"mdreg@{host}"]
    process.freeze()
    await sleep_us(span)
    process.wake()


async def freeze_mdconf(world, host, span):
    process = world.processes[f"mdconf@{host}"]
    process.freeze()
    await sleep_us(span)
    process.wake()


async def kill_registry(world, host, span):
    world.kill(f"mdreg@{host}")
    await sleep_us(span)
    await world.start("mdreg", host)


async def lose_power_of_mdconf(world, host, span):
    world.power_off("mdconf", host)
    await sleep_us(span)
    await world.start("mdconf", host)


TROUBLES = (
    cut_off,
    cut_from_mdconfs,
    freeze_registry,
    freeze_mdconf,
    kill_registry,
    lose_power_of_mdconf,
)


@pytest.mark.parametrize("seed", range(12))
def test_never_two_holders_whatever_happens(seed):
    async def scenario(world):
        await world.start_all()
        await wait_for_single_holder(world)
        seen = await watched(world)
        rng = random.Random(seed)
        for _ in range(8):
            trouble = rng.choice(TROUBLES)
            held = list(lease_holders(world))
            host = held[0] if held and rng.random() < 0.7 else rng.choice(world.core)
            await trouble(world, host, rng.randrange(SECOND // 2, 6 * SECOND))
            await sleep_us(rng.randrange(3 * SECOND))
        await world.eventually(lambda: len(lease_holders(world)) == 1)
        assert len(seen) > 1

    run(scenario, seed, application=("desk",))


def test_a_holder_frozen_for_20_s_sends_nothing_that_is_taken():
    async def scenario(world):
        await serving(world)
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        process = world.processes[f"mdreg@{host}"]
        sent = []
        original = process.node.rpc.call

        async def call(address, method, args, deadline):
            if method == "load.list":
                sent.append((monotonic_us(), args["epoch"]))
            answer = await original(address, method, args, deadline)
            if method == "load.ask" and not woken_at:
                process.freeze()  # as the nodes' answers come; it would send the list next
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


def test_steps_of_the_wall_clock_change_nothing():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        seen = await watched(world)
        await sleep_us(SECOND)
        for step in (DAY, -DAY, 3 * SECOND):
            for process in world.processes.values():
                if process.host in (host, world.core[0]):
                    process.node.runtime.wall_us = lambda step=step: WALL + monotonic_us() + step
            await sleep_us(5 * SECOND)
        assert lease_holders(world) == {host: epoch}
        assert seen == [epoch]

    run(scenario, application=("desk",))


def test_one_mdconf_that_is_silent_or_whose_answers_are_lost_does_not_cost_the_lease():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        await sleep_us(2 * SECOND)
        lease = world.daemon("mdreg", host).election.lease
        silent = lease.preferred_store
        links = world.node("mdreg", host).rpc
        original = links.call

        async def call(address, method, args, deadline):
            answer = await original(address, method, args, deadline)
            if method == RENEW and address == silent:
                raise ConnectionFailed(True, "its answer was lost")
            return answer

        links.call = call
        await sleep_us(8 * SECOND)
        assert lease_holders(world) == {host: epoch}
        silent = None
        process = world.processes[f"mdconf@{lease.preferred_store.partition(':')[0]}"]
        process.freeze()
        await sleep_us(8 * SECOND)
        assert lease_holders(world) == {host: epoch}
        process.wake()

    run(scenario, application=("desk",))


def test_a_holder_whose_renewals_are_done_but_never_answered_stops():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        world.nursery.start_soon(cut_from_mdconfs, world, host, 20 * SECOND)
        await world.eventually(lambda: not lease_holders(world))
        await world.eventually(lambda: world.trace.events(705))
        await world.eventually(lambda: lease_holders(world), 8 * SECOND)
        assert host not in lease_holders(world)

    run(scenario, application=("desk",))


def test_a_lease_counts_from_before_the_request_was_sent():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        lease = world.daemon("mdreg", host).election.lease
        asked = {}
        original = lease.send

        async def ask(method, request, deadline):
            asked[monotonic_us()] = request
            return await original(method, request, deadline)

        lease.send = ask
        world.meddle[RENEW] = 300 * MILLISECOND
        renewal = lease.granted
        await world.eventually(lambda: lease.granted is not renewal)
        assert lease.granted.expires_at - DURATION in asked
        assert monotonic_us() - min(asked) >= 300 * MILLISECOND

    run(scenario, application=("desk",))


def test_a_holder_that_stops_politely_is_followed_before_its_lease_would_have_ended():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        lease = world.daemon("mdreg", host).election.lease
        # just renewed, so that waiting for its end takes longest
        renewal = lease.granted
        await world.eventually(lambda: lease.granted is not renewal)
        expires_at = lease.granted.expires_at
        world.nursery.start_soon(world.stop, f"mdreg@{host}")
        await world.eventually(lambda: any(e > epoch for e in lease_holders(world).values()))
        assert monotonic_us() < expires_at

    run(scenario, application=("desk",))


def test_all_mdconf_restart_and_the_collector_is_one():
    async def scenario(world):
        await world.start_all()
        _, epoch = await wait_for_single_holder(world)
        seen = await watched(world)
        for host in world.core:
            world.power_off("mdconf", host)
        await sleep_us(500 * MILLISECOND)
        async with trio.open_nursery() as nursery:
            for host in world.core:
                nursery.start_soon(world.start, "mdconf", host)
        await sleep_us(TAKEOVER)
        assert len(lease_holders(world)) == 1
        assert len(seen) <= 2  # kept, or acquired once more

    run(scenario, application=("desk",))


def test_without_a_quorum_for_20_s_nobody_collects_and_then_one_does():
    async def scenario(world):
        await serving(world)
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        proxy = world.daemon("mdproxy", hosts(world)[0])
        for other in world.core[:2]:
            world.power_off("mdconf", other)
        await sleep_us(DURATION)
        assert not lease_holders(world)
        await sleep_us(SECOND)
        last = proxy.forwarder.load_list.epoch, proxy.forwarder.load_list.seq
        await sleep_us(17 * SECOND)
        assert not lease_holders(world)
        assert (proxy.forwarder.load_list.epoch, proxy.forwarder.load_list.seq) == last
        for other in world.core[:2]:
            await world.start("mdconf", other)
        await world.eventually(lambda: proxy.forwarder.load_list.epoch > epoch, TAKEOVER)

    run(scenario)


def test_a_killed_holder_is_followed_as_soon_as_its_silence_and_its_lease_allow():
    async def scenario(world):
        await world.start_all()
        host, epoch = await wait_for_single_holder(world)
        await watched(world)
        await sleep_us(SECOND)
        world.kill(f"mdreg@{host}")
        took = await world.eventually(lambda: lease_holders(world))
        assert took <= 3 * SECOND

    for seed in range(4):
        run(scenario, seed, application=("desk",))


def test_a_restarted_proxy_refuses_the_list_of_a_former_holder():
    async def scenario(world):
        await serving(world)
        host, old = await wait_for_single_holder(world)
        world.kill(f"mdreg@{host}")
        await world.eventually(lambda: any(e > old for e in lease_holders(world).values()))
        place, other = hosts(world)
        world.meddle["load.list"] = None  # no newer list is there yet
        links = world.node("mdproxy", other).rpc

        async def send():
            told = {"epoch": old, "seq": 10**6, "nodes": {}}
            asks = {0: (f"{place}:7401", "load.list", told)}
            del world.meddle["load.list"]
            answer = (await links.call_all(asks, monotonic_us() + SECOND))[0]
            world.meddle["load.list"] = None
            return answer

        world.kill(f"mdproxy@{place}")
        world.meddle["reg.beat"] = None  # no registry has told it an epoch
        await world.start("mdproxy", place)
        assert (await send()).code == "epoch_unknown"
        del world.meddle["reg.beat"]
        await world.eventually(
            lambda: world.daemon("mdproxy", place).heartbeats.epoch_floor is not None
        )
        assert (await send()).code == "old_epoch"
        del world.meddle["load.list"]
        await world.eventually(
            lambda: world.daemon("mdproxy", place).forwarder.load_list.epoch > old
        )

    run(scenario)


# ------------------------------------------------------------ the register's rules


def acquire(holder, sequence=1, floor=0):
    return AcquireLease(COLLECTOR_KEY, holder, sequence, DURATION, floor)


def at_once(work):
    async def main():
        return await work(LeaseService(None))

    return trio.run(main, clock=Clock())


@pytest.mark.parametrize(
    "value, epoch",
    [
        ({"epoch": 7, "holder": "a/1"}, 7),  # of the version before leases
        (LeaseRecord("a/1", 7, 3, DURATION).encode(), 7),
    ],
)
def test_a_record_must_stand_unchanged_for_its_duration_and_the_margin(value, epoch):
    async def work(register):
        old = LeaseRecord.decode(value)
        margin = DURATION // CLOCK_DRIFT_DIVISOR
        with pytest.raises(Rejected) as refused:
            register.acquired(old, acquire("b/1"))
        assert refused.value.code == LEASE_HELD
        await sleep_us(DURATION + margin - MILLISECOND)
        with pytest.raises(Rejected):
            register.acquired(old, acquire("b/1"))
        await sleep_us(2 * MILLISECOND)
        assert register.acquired(old, acquire("b/1")).epoch == epoch + 1
        renewed = LeaseRecord(old.holder, epoch, old.sequence + 1, DURATION)
        with pytest.raises(Rejected):
            register.acquired(renewed, acquire("b/1"))

    at_once(work)


def test_requests_that_come_twice_or_late_change_nothing():
    async def work(register):
        first = register.acquired(None, acquire("a", 5))
        assert first == LeaseRecord("a", 1, 5, DURATION)
        assert register.acquired(first, acquire("a", 5)) == first
        assert register.acquired(first, acquire("a", 4)) == first
        second = register.renewed(first, RenewLease(COLLECTOR_KEY, "a", 6, 1))
        assert second.sequence == 6
        assert register.renewed(second, RenewLease(COLLECTOR_KEY, "a", 5, 1)) == second
        over = register.released(second, ReleaseLease(COLLECTOR_KEY, "a", 7, 1))
        assert register.acquired(over, acquire("a", 5)) == over  # none is granted anew
        with pytest.raises(Rejected) as refused:
            register.renewed(over, RenewLease(COLLECTOR_KEY, "a", 8, 1))
        assert refused.value.code == LEASE_LOST
        assert register.acquired(over, acquire("b", 1, floor=9)).epoch == 10

    at_once(work)
