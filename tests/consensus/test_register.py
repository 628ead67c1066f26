"""The register: races, power loss between any two disk steps, lost and rotten files."""

from __future__ import annotations

import random

import pytest
import trio
from facts import manifest, way
from mesh import configured, first_with_a_blank_disk
from three_acceptors import Trio

from meadowdock.consensus import Acceptor, NoQuorum, OutcomeUnknown
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.simulator import SimDisk, run


def with_trio(work, seed=1):
    async def scenario(world):
        return await work(Trio(world.nursery, random.Random(seed)))

    return run(scenario, seed)


@pytest.mark.parametrize("seed", range(8))
def test_racing_changes_lose_none(seed):
    """Each acknowledged addition is in the end value, once; a refused one is not."""

    async def work(three):
        three.lose_answers = 0.1
        acknowledged, unclear = [], []

        async def add(name):
            proposer = three.proposer(name)
            for n in range(5):
                try:
                    await proposer.change(
                        "k",
                        lambda old, n=n: [*(old or []), f"{name}{n}"],
                        monotonic_us() + 2 * SECOND,
                    )
                    acknowledged.append(f"{name}{n}")
                except (OutcomeUnknown, NoQuorum):
                    unclear.append(f"{name}{n}")

        async with trio.open_nursery() as nursery:
            for name in "abc":
                nursery.start_soon(add, name)
        three.lose_answers = 0.0
        final = await three.proposer("r").read("k", monotonic_us() + 5 * SECOND)
        assert set(acknowledged) <= set(final)
        assert set(final) <= set(acknowledged) | set(unclear)
        assert len(acknowledged) >= 10

    with_trio(work, seed)


def test_a_minority_refuses_and_nothing_is_written():
    async def work(three):
        three.down = {"x", "y"}
        with pytest.raises(NoQuorum):
            await three.proposer("a").change("k", lambda old: 1, monotonic_us() + SECOND)
        three.down = set()
        assert await three.proposer("b").read("k", monotonic_us() + SECOND) is None

    with_trio(work)


def test_a_change_cut_off_after_its_write_is_unclear_and_then_settles():
    async def work(three):
        original = three.ask

        async def ask(member, method, args, due):
            answer = await original(member, method, args, due)
            if method == "write":
                three.down = {"x", "y", "z"} - {member}
                raise TimeoutError
            return answer

        proposer = three.proposer("a")
        proposer.ask = ask
        with pytest.raises(OutcomeUnknown):
            await proposer.change("k", lambda old: "new", monotonic_us() + SECOND)
        three.down = set()
        first = await three.proposer("b").change("k", lambda old: old, monotonic_us() + SECOND)
        for name in "cde":
            assert await three.proposer(name).read("k", monotonic_us() + SECOND) == first

    with_trio(work)


def test_a_promise_outlives_power_loss_at_every_disk_step():
    """After any step the disk holds the old or the new state, whole; once answered, the new."""

    async def scenario(world):
        for lost_at in range(1, 10):
            disk = SimDisk(random.Random(lost_at))
            answered = []

            async def life(disk=disk, answered=answered):
                acceptor = Acceptor(disk, lambda *_, **__: None)
                await acceptor.load()
                for number in (1, 2):
                    await acceptor.prepare("k", (number, "p"))
                    await acceptor.write("k", (number, "p"), f"v{number}")
                    answered.append(number)

            scope = trio.CancelScope()
            disk.lose_at, disk.on_loss = lost_at, scope.cancel
            with trio.move_on_after(1), scope:
                await life()
            disk.power_off()
            disk.lose_at = None
            acceptor = Acceptor(disk, lambda *_, **__: None)
            await acceptor.load()
            assert not acceptor.lost_keys()
            accepted, value = acceptor.read("k")
            assert accepted[0] >= (answered[-1] if answered else 0)
            assert value == (f"v{accepted[0]}" if accepted[0] else None)

    run(scenario)


def test_a_rotten_key_is_lost_and_never_served_from_an_older_file():
    async def scenario(world):
        disk = SimDisk(random.Random(1))
        acceptor = Acceptor(disk, lambda *_, **__: None)
        for number in range(1, 4):
            await acceptor.prepare("k", (number, "p"))
        disk.rot(next(name for name in disk.files if name.startswith("key/")))
        again = Acceptor(disk, lambda *_, **__: None)
        await again.load()
        assert len(again.lost_keys()) == 1
        with pytest.raises(Exception, match="k"):
            again.read("k")

    run(scenario)


def test_all_killed_at_any_moment_keeps_all_that_was_acknowledged():
    async def scenario(world):
        await configured(world)
        rng = random.Random(5)
        acknowledged = 1

        async def operator(number):
            nonlocal acknowledged
            ways = [way(f"w{number}", "/balances")]
            status, planned = await world.operate("POST", "/plan", manifest(ways), number % 3)
            if status == 200 and planned["plan"]:
                status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
                if status == 200:
                    acknowledged = told["version"]

        for number in range(6):
            with trio.move_on_after(rng.uniform(0.001, 0.06)):
                await operator(number)
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            conf = world.node("mdconf", world.core[0])
            await world.eventually(lambda c=conf: not c.unready_reasons())
            status, told = await world.operate("GET", "/manifest")
            assert status == 200
            assert told["version"] >= acknowledged
            acknowledged = told["version"]
        assert acknowledged > 1

    run(scenario)


def test_a_lost_disk_serves_operators_and_does_not_vote_until_it_is_a_member_again():
    async def scenario(world):
        await configured(world)
        host = await first_with_a_blank_disk(world)
        conf = world.node("mdconf", host)
        await world.eventually(lambda: conf.daemon.store.membership is not None)
        assert conf.unready_reasons() == ["this disk is no member, or not fully yet"]
        assert not conf.daemon.store.voter
        status, told = await world.operate("GET", "/manifest")  # it still serves operators
        assert (status, told["version"]) == (200, 1)
        assert await world.configure(manifest([way("new", "/balances")])) == 2
        await world.eventually(lambda: not conf.unready_reasons(), within=15 * SECOND)
        world.kill(f"mdconf@{world.core[1]}")  # what was acknowledged does not need it
        status, told = await world.operate("GET", "/manifest", core=2)
        assert (status, told["version"]) == (200, 2)
        assert await world.configure(manifest([way("again", "/balances")]), core=2) == 3

    run(scenario)


def test_a_minority_side_refuses_operators():
    async def scenario(world):
        await configured(world)
        for other in world.core[1:]:
            world.web.cut(world.core[0], other)
        status, told = await world.operate("POST", "/plan", manifest([way("new", "/balances")]))
        assert (status, told["code"]) == (503, "no_majority")
        status, _ = await world.operate("GET", "/manifest")
        assert status == 503
        assert (
            "no majority of the register answers"
            in world.node("mdconf", world.core[0]).unready_reasons()
        )
        assert await world.configure(manifest([way("new", "/balances")]), core=1) == 2

    run(scenario)


def test_a_member_that_is_silent_holds_up_no_change_that_has_to_try_again():
    """The first ballot is too low at one of the two that answer; the third never answers."""

    async def scenario(world):
        await configured(world)
        world.web.cut(world.core[0], world.core[1])
        world.web.cut(world.core[0], world.core[2])
        for core in (1, 2):
            await world.daemon("mdconf", world.core[core]).store.acceptor.prepare(
                "manifest/head", (50, "somebody")
            )
        at = monotonic_us()
        assert await world.configure(manifest([way("new", "/balances")]), core=1) == 2
        assert monotonic_us() - at < SECOND

    run(scenario)
