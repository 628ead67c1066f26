"""Histories of operators of the simulated core and of the raw register, judged for linearizability."""

from __future__ import annotations

import importlib
import random
from dataclasses import dataclass

import pytest
import trio
from core_faults import inject_random_faults
from item_builders import service
from item_changes import start_core
from lease_checks import isolate, lease_holders, wait_for_single_holder
from three_acceptors import ThreeAcceptors

from meadowdock.consensus import NoQuorum, OutcomeUnknown, Proposer, ReadRequest
from meadowdock.model_checker import (
    NEVER,
    RecordedCall,
    SequentialModel,
    linearizable,
    unexplained_keys,
)
from meadowdock.registry.lease_client import LeaseClient
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator import run

# ---------------------------------------------------------------- the checker itself


def appended(state, call):
    """A register that changes append to, each its own name and once."""
    if call.action is None:
        return state if call.observed == state else None
    return (*state, call.action)


APPENDS = SequentialModel((), appended)


def change(invoked, returned, name, *value):
    """A change, and the sight of what it was told. Its first try may have taken effect, and others
    have built on it, before a later try found it done: so that is another moment of the call."""
    effect = RecordedCall("k", invoked, returned, name)
    return [effect, seen(invoked, returned, *value)] if value else [effect]


def seen(invoked, returned, *value):
    return RecordedCall("k", invoked, returned, None, value)


HISTORIES = [
    ([*change(0, 5, "a", "a"), *change(1, 6, "b", "a", "b"), seen(7, 8, "a", "b")], True),
    ([*change(0, 5, "a", "b", "a"), *change(1, 6, "b", "b")], True),
    ([*change(0, 5, "a", "a", "b"), *change(1, 6, "b", "a", "b")], True),
    ([*change(0, 5, "a", "a"), *change(1, 6, "b", "b")], False),  # neither saw the other
    ([*change(0, 5, "a", "a"), *change(6, 7, "b", "b")], False),  # a change was lost
    ([*change(0, 5, "a", "a"), seen(6, 7)], False),  # stale
    ([*change(0, NEVER, "a"), seen(1, 2, "a"), seen(3, 4, "a")], True),
    ([*change(0, NEVER, "a"), seen(1, 2), seen(3, 4, "a")], True),
    ([*change(0, NEVER, "a"), seen(1, 2, "a"), seen(3, 4)], False),  # a read went back
    ([*change(0, NEVER, "a"), seen(1, 2)], True),
    ([seen(1, 2, "a")], False),  # what surely was not done was seen
    ([*change(3, 4, "a", "a"), seen(1, 2, "a")], False),  # before it began
]


@pytest.mark.parametrize(("history", "good"), HISTORIES)
def test_the_checker_on_histories_of_known_judgement(history, good):
    assert linearizable(history, APPENDS) == good


# ---------------------------------------------------------------- the raw register


class NoWriteBack(Proposer):
    """Planted: a read takes the highest value of a quorum, that may stand on one member alone."""

    async def read(self, key, deadline):
        configuration = self.configuration()
        answers = await self.broadcast(
            configuration,
            ReadRequest(key),
            deadline,
            configuration.voter_sets.is_quorum,
        )
        if not configuration.voter_sets.is_quorum(answers):
            raise NoQuorum(key)
        return max(answers.values(), key=lambda pair: pair.ballot).value


async def member_faults(acceptors, rng):
    while True:
        acceptors.down = set(rng.sample("xyz", rng.randrange(3)))
        await sleep_us(rng.randrange(60) * MILLISECOND)
        acceptors.down = set()
        await sleep_us(rng.randrange(60) * MILLISECOND)


async def use_register(acceptors, proposer_class, name, rng, history):
    proposer = proposer_class(
        name, lambda: [list(acceptors.acceptors)], acceptors.ask, acceptors.rng, acceptors.nursery
    )
    for turn in range(30):
        element, invoked = f"{name}{turn}", monotonic_us()
        reads = rng.random() < 0.8

        def update(old, element=element):
            old = old or []
            return old if element in old else [*old, element]

        try:
            if reads:
                value = await proposer.read("k", monotonic_us() + SECOND) or ()
                history.append(seen(invoked, monotonic_us(), *value))
            else:
                value = await proposer.change("k", update, monotonic_us() + SECOND)
                history += change(invoked, monotonic_us(), element, *value)
        except OutcomeUnknown:
            history += change(invoked, NEVER, element)
        except NoQuorum:
            pass  # surely not done
        await sleep_us(rng.randrange(5) * MILLISECOND)


def register_history(seed, proposer_class):
    history = []

    async def scenario(world):
        rng = random.Random(f"users{seed}")
        acceptors = ThreeAcceptors(world.nursery, random.Random(seed))
        acceptors.answer_loss = 0.15
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member_faults, acceptors, rng)
            async with trio.open_nursery() as users:
                for name in "abcd":
                    users.start_soon(use_register, acceptors, proposer_class, name, rng, history)
            nursery.cancel_scope.cancel()

    run(scenario, seed)
    return history


REGISTER_SEEDS = range(12)


@pytest.mark.parametrize("seed", REGISTER_SEEDS)
def test_changes_and_reads_of_the_register_are_linearizable(seed):
    history = register_history(seed, Proposer)
    assert len(history) >= 10
    assert unexplained_keys(history, APPENDS) == []


def test_a_planted_read_without_write_back_is_found():
    histories = (register_history(seed, NoWriteBack) for seed in REGISTER_SEEDS)
    assert any(unexplained_keys(history, APPENDS) for history in histories)


# ---------------------------------------------------------------- items at the core

CONFLICT = "conflict"
NAMES = "pq"


@dataclass(frozen=True)
class Write:
    """content: None for a drop."""

    version: int
    content: str | None


def visible_item(state):
    """(version, content) that a read shows, or None."""
    top = max(state, key=lambda write: write.version, default=None)
    return None if top is None or top.content is None else (top.version, top.content)


def merged(state, call):
    """A register by versions: state is every Write taken. The highest version holds; another
    content under a version that was taken is a conflict."""
    write = call.action
    if write is None:
        return state if call.observed == visible_item(state) else None
    conflicting = any(w.version == write.version and w.content != write.content for w in state)
    if call.unknown:
        return state if conflicting else state | {write}
    if call.observed == CONFLICT:
        return state if conflicting else None
    return None if conflicting else state | {write}


ITEMS = SequentialModel(frozenset(), merged)


def item_of(name, write):
    made = service(name, write.version, health=f"/{write.content}")
    return made if write.content else {**made, "spec": None, "source": ""}


async def sent(world, method, core, items=None):
    """(status, body), or (0, {}) if no answer came."""
    with deadline_scope(monotonic_us() + SECOND):
        try:
            facts = None if items is None else {"items": items}
            return await world.operate(method, "/items", facts, core)
        except HttpConnectionFailed:
            await trio.lowlevel.checkpoint()
    return 0, {}


def shown(answer):
    found = {i["name"]: (i["version"], i["spec"]["health"][1:]) for i in answer["items"]}
    return {name: found.get(name) for name in NAMES}


async def operate(world, which, rng, history):
    """Reads, writes and drops at any member. Versions are few, so that they meet."""
    for turn in range(8):
        invoked, core = monotonic_us(), rng.randrange(3)
        if rng.random() < 0.4:
            status, answer = await sent(world, "GET", core)
            if status == 200:
                history += [
                    RecordedCall(name, invoked, monotonic_us(), None, pair)
                    for name, pair in shown(answer).items()
                ]
        else:
            name = rng.choice(NAMES)
            content = None if rng.random() < 0.3 else f"{which}{turn}"
            write = Write(rng.randrange(1, 7), content)
            status, answer = await sent(world, "POST", core, [item_of(name, write)])
            if status in (200, 409):
                observed = CONFLICT if status == 409 else None
                history.append(RecordedCall(name, invoked, monotonic_us(), write, observed))
            elif status in (0, 504):
                history.append(RecordedCall(name, invoked, NEVER, write))
            else:
                assert status in (307, 503), (status, answer)  # surely not done
        await sleep_us(rng.randrange(300) * MILLISECOND)


def items_history(seed):
    history = []

    async def scenario(world):
        await start_core(world)
        rng = random.Random(f"operators{seed}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_random_faults, world)
            async with trio.open_nursery() as operators:
                for which in "abcd":
                    operators.start_soon(operate, world, which, rng, history)
            nursery.cancel_scope.cancel()

    run(scenario, seed, application=())
    return history


ITEM_SEEDS = range(8)


@pytest.mark.parametrize("seed", ITEM_SEEDS)
def test_operators_at_several_members_see_linearizable_items(seed):
    history = items_history(seed)
    assert len([call for call in history if not call.unknown]) >= 10
    assert unexplained_keys(history, ITEMS) == []


def test_a_planted_second_content_under_one_version_is_found(monkeypatch):
    merge = importlib.import_module("meadowdock.configuration.items.merge")
    combine = merge.merge_version

    def silent(former, item):
        combined = combine(former, item)
        return former if combined is None else combined

    monkeypatch.setattr(merge, "merge_version", silent)
    assert any(unexplained_keys(items_history(seed), ITEMS) for seed in ITEM_SEEDS)


def test_a_planted_snapshot_without_drops_is_found(monkeypatch):
    items = importlib.import_module("meadowdock.config_store.item_changes")
    split_items = items.split_items

    def without_drops(held):
        return split_items({key: item for key, item in held.items() if item["spec"] is not None})

    monkeypatch.setattr(items, "split_items", without_drops)
    assert any(unexplained_keys(items_history(seed), ITEMS) for seed in ITEM_SEEDS)


# ---------------------------------------------------------------- the collector's lease


async def max_holders(world):
    """Of the lease at one moment, while its first holder is cut off from all others."""
    await world.start_all()
    host, _ = await wait_for_single_holder(world)
    isolate(world, host)
    most, cut_at = 0, monotonic_us()
    while monotonic_us() - cut_at < 8 * SECOND:
        most = max(most, len(lease_holders(world)))
        await sleep_us(5 * MILLISECOND)
    assert set(lease_holders(world)) - {host}  # another has acquired it
    return most


def test_one_holds_the_lease_and_with_a_planted_lease_without_end_two(monkeypatch):
    assert run(max_holders, application=("desk",)) == 1
    without_end = property(lambda lease: lease.granted.epoch if lease.granted else None)
    monkeypatch.setattr(LeaseClient, "epoch", without_end)
    assert run(max_holders, application=("desk",)) == 2
