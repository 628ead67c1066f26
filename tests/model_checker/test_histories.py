"""Linearizability of recorded histories: the register alone, items in the core, and the lease."""

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
    is_linearizable,
    non_linearizable_keys,
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


def apply_append(state, call):
    """Apply a call to a register: a change appends its name, a call without action is a read."""
    if call.action is None:
        return state if call.observed == state else None
    return (*state, call.action)


APPENDS = SequentialModel((), apply_append)


def change(invoked, returned, name, *value):
    """Return a change and, if it returned a value, a separate read of that value.

    The first attempt of a change may have taken effect, and others may have built on it, before a
    later attempt found the effect and returned the value. So effect and observation are two moments
    of the call.
    """
    effect = RecordedCall("k", invoked, returned, name)
    return [effect, read(invoked, returned, *value)] if value else [effect]


def read(invoked, returned, *value):
    return RecordedCall("k", invoked, returned, None, value)


HISTORIES = [
    ([*change(0, 5, "a", "a"), *change(1, 6, "b", "a", "b"), read(7, 8, "a", "b")], True),
    ([*change(0, 5, "a", "b", "a"), *change(1, 6, "b", "b")], True),
    ([*change(0, 5, "a", "a", "b"), *change(1, 6, "b", "a", "b")], True),
    ([*change(0, 5, "a", "a"), *change(1, 6, "b", "b")], False),  # neither observed the other
    ([*change(0, 5, "a", "a"), *change(6, 7, "b", "b")], False),  # a change was lost
    ([*change(0, 5, "a", "a"), read(6, 7)], False),  # a stale read
    ([*change(0, NEVER, "a"), read(1, 2, "a"), read(3, 4, "a")], True),
    ([*change(0, NEVER, "a"), read(1, 2), read(3, 4, "a")], True),
    ([*change(0, NEVER, "a"), read(1, 2, "a"), read(3, 4)], False),  # a later read is older
    ([*change(0, NEVER, "a"), read(1, 2)], True),
    ([read(1, 2, "a")], False),  # the read observed a change that was certainly not applied
    ([*change(3, 4, "a", "a"), read(1, 2, "a")], False),  # the read precedes the change
]


@pytest.mark.parametrize(("history", "expected"), HISTORIES)
def test_the_checker_judges_known_histories_correctly(history, expected):
    assert is_linearizable(history, APPENDS) == expected


class NoWriteBack(Proposer):
    """Planted fault: a read returns the highest value, which only one member may have accepted."""

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
        name,
        lambda: [list(acceptors.acceptors)],
        acceptors.send_request,
        acceptors.rng,
        acceptors.nursery,
    )
    for number in range(30):
        element, invoked = f"{name}{number}", monotonic_us()
        is_read = rng.random() < 0.8

        def update(value, element=element):
            value = value or []
            return value if element in value else [*value, element]

        try:
            if is_read:
                value = await proposer.read("k", monotonic_us() + SECOND) or ()
                history.append(read(invoked, monotonic_us(), *value))
            else:
                value = await proposer.change("k", update, monotonic_us() + SECOND)
                history += change(invoked, monotonic_us(), element, *value)
        except OutcomeUnknown:
            history += change(invoked, NEVER, element)
        except NoQuorum:
            pass  # certainly not applied
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
    assert non_linearizable_keys(history, APPENDS) == []


def test_a_planted_read_without_write_back_is_found():
    histories = (register_history(seed, NoWriteBack) for seed in REGISTER_SEEDS)
    assert any(non_linearizable_keys(history, APPENDS) for history in histories)


CONFLICT = "conflict"
ITEM_NAMES = "pq"


@dataclass(frozen=True)
class Write:
    """A write of an item."""

    version: int
    content: str | None  # None deletes the item


def visible_item(state):
    """Return the (version, content) that a read returns, or None."""
    newest = max(state, key=lambda write: write.version, default=None)
    return None if newest is None or newest.content is None else (newest.version, newest.content)


def apply_item_call(state, call):
    """Apply a call to a register with versions, whose state is the set of accepted writes.

    The highest version is visible. A write of different content under an accepted version is a
    conflict.
    """
    write = call.action
    if write is None:
        return state if call.observed == visible_item(state) else None
    conflicting = any(w.version == write.version and w.content != write.content for w in state)
    if call.unknown:
        return state if conflicting else state | {write}
    if call.observed == CONFLICT:
        return state if conflicting else None
    return None if conflicting else state | {write}


ITEMS = SequentialModel(frozenset(), apply_item_call)


def make_item(name, write):
    item = service(name, write.version, health=f"/{write.content}")
    return item if write.content else {**item, "spec": None, "source": ""}


async def send_request(world, method, core, items=None):
    """Send a request for items and return (status, body), or (0, {}) without a response."""
    with deadline_scope(monotonic_us() + SECOND):
        try:
            body = None if items is None else {"items": items}
            return await world.operate(method, "/items", body, core)
        except HttpConnectionFailed:
            await trio.lowlevel.checkpoint()
    return 0, {}


def visible_items(answer):
    items = {i["name"]: (i["version"], i["spec"]["health"][1:]) for i in answer["items"]}
    return {name: items.get(name) for name in ITEM_NAMES}


async def operate(world, operator, rng, history):
    """Read, write and delete items at any member, with few versions so that they conflict."""
    for number in range(8):
        invoked, core = monotonic_us(), rng.randrange(3)
        if rng.random() < 0.4:
            status, answer = await send_request(world, "GET", core)
            if status == 200:
                history += [
                    RecordedCall(name, invoked, monotonic_us(), None, pair)
                    for name, pair in visible_items(answer).items()
                ]
        else:
            name = rng.choice(ITEM_NAMES)
            content = None if rng.random() < 0.3 else f"{operator}{number}"
            write = Write(rng.randrange(1, 7), content)
            status, answer = await send_request(world, "POST", core, [make_item(name, write)])
            if status in (200, 409):
                observed = CONFLICT if status == 409 else None
                history.append(RecordedCall(name, invoked, monotonic_us(), write, observed))
            elif status in (0, 504):
                history.append(RecordedCall(name, invoked, NEVER, write))
            else:
                assert status in (307, 503), (status, answer)  # certainly not applied
        await sleep_us(rng.randrange(300) * MILLISECOND)


def items_history(seed):
    history = []

    async def scenario(world):
        await start_core(world)
        rng = random.Random(f"operators{seed}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_random_faults, world)
            async with trio.open_nursery() as operators:
                for operator in "abcd":
                    operators.start_soon(operate, world, operator, rng, history)
            nursery.cancel_scope.cancel()

    run(scenario, seed, application=())
    return history


ITEM_SEEDS = range(8)


@pytest.mark.parametrize("seed", ITEM_SEEDS)
def test_operators_at_several_members_see_linearizable_items(seed):
    history = items_history(seed)
    assert len([call for call in history if not call.unknown]) >= 10
    assert non_linearizable_keys(history, ITEMS) == []


def test_a_planted_overwrite_of_an_accepted_version_is_found(monkeypatch):
    merge = importlib.import_module("meadowdock.configuration.items.merge")
    combine = merge.merge_version

    def combine_ignoring_conflicts(previous, item):
        combined = combine(previous, item)
        return previous if combined is None else combined

    monkeypatch.setattr(merge, "merge_version", combine_ignoring_conflicts)
    assert any(non_linearizable_keys(items_history(seed), ITEMS) for seed in ITEM_SEEDS)


def test_a_planted_snapshot_without_deleted_items_is_found(monkeypatch):
    item_changes = importlib.import_module("meadowdock.config_store.item_changes")
    split_items = item_changes.split_items

    def split_without_deleted(items):
        return split_items({key: item for key, item in items.items() if item["spec"] is not None})

    monkeypatch.setattr(item_changes, "split_items", split_without_deleted)
    assert any(non_linearizable_keys(items_history(seed), ITEMS) for seed in ITEM_SEEDS)


async def max_concurrent_holders(world):
    """Return the maximum of concurrent lease holders while the first one is partitioned away."""
    await world.start_all()
    host, _ = await wait_for_single_holder(world)
    isolate(world, host)
    max_count, isolated_at = 0, monotonic_us()
    while monotonic_us() - isolated_at < 8 * SECOND:
        max_count = max(max_count, len(lease_holders(world)))
        await sleep_us(5 * MILLISECOND)
    assert set(lease_holders(world)) - {host}  # another registry has acquired the lease
    return max_count


def test_the_lease_has_one_holder_at_a_time_but_two_with_a_planted_lease_that_never_expires(
    monkeypatch,
):
    assert run(max_concurrent_holders, application=("desk",)) == 1
    never_expiring = property(lambda lease: lease.granted.epoch if lease.granted else None)
    monkeypatch.setattr(LeaseClient, "epoch", never_expiring)
    assert run(max_concurrent_holders, application=("desk",)) == 2
