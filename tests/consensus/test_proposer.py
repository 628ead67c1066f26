"""Changes and reads over three acceptors: contention, lost answers, no quorum, unknown outcomes."""

from __future__ import annotations

import random

import pytest
import trio
from three_acceptors import ThreeAcceptors

from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.simulator import run


def run_with_three_acceptors(check, seed=1):
    async def scenario(world):
        return await check(ThreeAcceptors(world.nursery, random.Random(seed)))

    return run(scenario, seed)


@pytest.mark.parametrize("seed", range(8))
def test_concurrent_changes_lose_no_acknowledged_one(seed):
    """Every acknowledged addition is in the final value, and none that failed with NoQuorum is.

    An addition may be in the value twice, since the update function here is not idempotent.
    """

    async def check(acceptors):
        acceptors.answer_loss = 0.1
        acknowledged, unknown, not_applied = [], [], []

        async def add(name):
            proposer = acceptors.proposer(name)
            for n in range(5):
                try:
                    await proposer.change(
                        "k",
                        lambda value, n=n: [*(value or []), f"{name}{n}"],
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

    run_with_three_acceptors(check, seed)


def test_without_a_quorum_a_change_fails_and_nothing_is_written():
    async def check(acceptors):
        acceptors.down = {"x", "y"}
        with pytest.raises(NoQuorum):
            await acceptors.proposer("a").change("k", lambda value: 1, monotonic_us() + SECOND)
        acceptors.down = set()
        assert await acceptors.proposer("b").read("k", monotonic_us() + SECOND) is None

    run_with_three_acceptors(check)


def test_a_change_interrupted_in_its_write_has_an_unknown_outcome_that_all_later_reads_agree_on():
    async def check(acceptors):
        original_send_request = acceptors.send_request

        async def send_request(member, method, args, deadline):
            answer = await original_send_request(member, method, args, deadline)
            if method == "write":
                acceptors.down = {"x", "y", "z"} - {member}
                raise TimeoutError
            return answer

        proposer = acceptors.proposer("a")
        proposer.send_request = send_request
        with pytest.raises(OutcomeUnknown):
            await proposer.change("k", lambda value: "new", monotonic_us() + SECOND)
        acceptors.down = set()
        decided = await acceptors.proposer("b").change(
            "k", lambda value: value, monotonic_us() + SECOND
        )
        for name in "cde":
            assert await acceptors.proposer(name).read("k", monotonic_us() + SECOND) == decided

    run_with_three_acceptors(check)
