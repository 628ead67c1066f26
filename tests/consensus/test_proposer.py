"""Changes and reads over three acceptors: races, lost answers, no quorum, unknown outcomes."""

from __future__ import annotations

import random

import pytest
import trio
from three_acceptors import ThreeAcceptors

from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.simulator import run


def with_three_acceptors(work, seed=1):
    async def scenario(world):
        return await work(ThreeAcceptors(world.nursery, random.Random(seed)))

    return run(scenario, seed)


@pytest.mark.parametrize("seed", range(8))
def test_racing_changes_lose_none(seed):
    """Each acknowledged addition is in the last value; one that was surely not applied is not.

    An addition may be in it twice: it doesn't look for its own effect, as change demands."""

    async def work(acceptors):
        acceptors.answer_loss = 0.1
        acknowledged, unknown, not_applied = [], [], []

        async def add(name):
            proposer = acceptors.proposer(name)
            for n in range(5):
                try:
                    await proposer.change(
                        "k",
                        lambda old, n=n: [*(old or []), f"{name}{n}"],
                        monotonic_us() + 2 * SECOND,
                    )
                    acknowledged.append(f"{name}{n}")
                except OutcomeUnknown:
                    unknown.append(f"{name}{n}")
                except NoQuorum:
                    not_applied.append(f"{name}{n}")

        async with trio.open_nursery() as nursery:
            for name in "abc":
                nursery.start_soon(add, name)
        acceptors.answer_loss = 0.0
        final = await acceptors.proposer("r").read("k", monotonic_us() + 5 * SECOND)
        assert set(acknowledged) <= set(final)
        assert set(final) <= set(acknowledged) | set(unknown)
        assert not set(not_applied) & set(final)
        assert len(acknowledged) >= 10

    with_three_acceptors(work, seed)


def test_without_a_quorum_a_change_fails_and_nothing_is_written():
    async def work(acceptors):
        acceptors.down = {"x", "y"}
        with pytest.raises(NoQuorum):
            await acceptors.proposer("a").change("k", lambda old: 1, monotonic_us() + SECOND)
        acceptors.down = set()
        assert await acceptors.proposer("b").read("k", monotonic_us() + SECOND) is None

    with_three_acceptors(work)


def test_a_change_whose_write_is_cut_off_has_an_unknown_outcome_that_is_then_the_same_for_all():
    async def work(acceptors):
        original = acceptors.ask

        async def ask(member, method, args, deadline):
            answer = await original(member, method, args, deadline)
            if method == "write":
                acceptors.down = {"x", "y", "z"} - {member}
                raise TimeoutError
            return answer

        proposer = acceptors.proposer("a")
        proposer.ask = ask
        with pytest.raises(OutcomeUnknown):
            await proposer.change("k", lambda old: "new", monotonic_us() + SECOND)
        acceptors.down = set()
        first = await acceptors.proposer("b").change("k", lambda old: old, monotonic_us() + SECOND)
        for name in "cde":
            assert await acceptors.proposer(name).read("k", monotonic_us() + SECOND) == first

    with_three_acceptors(work)
