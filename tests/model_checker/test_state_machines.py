"""Random sequences of operations and faults, compared with simple models.

The models are those of the register, whose members change, and of the items.
"""

from __future__ import annotations

import random
from types import SimpleNamespace

import ormsgpack
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from item_builders import service
from planted_faults import plant_new_voters_alone

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.configuration import items as config_items
from meadowdock.configuration import split_items
from meadowdock.configuration.items.merge import MAX_SUPERSEDED
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.model_checker.model_process import (
    Implementation,
    ModelMembers,
    make_node,
    make_store,
    voters_record,
)
from meadowdock.rpc import ConnectionFailed
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

# With derandomize, the examples of a machine are seeded by the source text of its class (without
# comments), and its rules are ordered by name. So an edit of a machine, even of a doc comment,
# changes its examples.
EXAMPLES = {"derandomize": True, "database": None, "deadline": None, "print_blob": False}
CORRECT = settings(**EXAMPLES, max_examples=40, stateful_step_count=15)
PLANTED_FAULT = settings(
    **EXAMPLES, max_examples=150, stateful_step_count=25, phases=[Phase.generate]
)


DISKS = ("v", "w", "x", "y", "z")
BOOTSTRAP_VOTERS = ("x", "y", "z")
VOTERS = st.sampled_from([("x", "y", "z"), ("w", "y", "z"), ("v", "w", "x"), DISKS])
SOME_DISKS = st.sets(st.sampled_from(DISKS), max_size=2)
OPERATORS = st.sampled_from(["a", "b"])
HANDLERS = {"register": "on_register", "member.adopt": "on_adopt", "member.keys": "on_keys"}
OPERATION_TIMEOUT = SECOND
OPERATION_ERRORS = (NoQuorum, OutcomeUnknown, MembershipConflict)


class DirectRpc:
    """Calls the handlers of the other processes, with up to 3 ms of latency in each direction.

    :ivar silent: the disks that receive no request.
    :ivar mute: the disks whose answers are lost.

    Both may change between operations.
    """

    def __init__(self, processes):
        self.processes = processes
        self.silent, self.mute = frozenset(), frozenset()
        self.rng = random.Random(1)

    async def call(self, address, method, args, deadline):
        if address in self.silent:
            await sleep_us(min(deadline - monotonic_us(), 20 * MILLISECOND))
            raise ConnectionFailed(True, "silent")
        await sleep_us(self.rng.randrange(3 * MILLISECOND))
        handler = getattr(self.processes[address], HANDLERS[method])
        answer = await handler(None, ormsgpack.unpackb(ormsgpack.packb(args)))
        await sleep_us(self.rng.randrange(3 * MILLISECOND))
        if address in self.mute:
            raise ConnectionFailed(True, "its answer was lost")
        return ormsgpack.unpackb(ormsgpack.packb(answer))


class RegisterMachine(RuleBasedStateMachine):
    """Model: `value` is the longest list that anybody observed; `not_applied` surely never took place.
    Operators keep what they know of the members between their operations."""

    implementation = Implementation()

    def __init__(self):
        super().__init__()
        self.processes, self.disks = {}, {}
        self.rpc = DirectRpc(self.processes)
        self.value, self.not_applied, self.count = [], set(), 0
        self.versions = dict.fromkeys((*DISKS, "a", "b"), 0)
        record = voters_record(1, BOOTSTRAP_VOTERS)

        async def start(world):
            for name in DISKS:
                await self.start(name, record if name in BOOTSTRAP_VOTERS else None)
            for name in ("a", "b"):
                await self.start(name, record)

        run(start)

    async def start(self, name, record=None, files=None):
        store = await make_store(self.implementation, name, record, files)
        node = make_node(name, self.rpc, None)
        node.runtime = SimpleNamespace(rng=random.Random(f"{name}{self.count}"))
        process = self.implementation.members(node, store)
        process.proposer = process.make_proposer()
        self.processes[name] = process

    def act(self, name, work):
        """Run one operation of a process to its end, in virtual time."""
        process = self.processes[name]

        async def scenario(world):
            process.node.nursery = process.proposer.nursery = world.nursery
            try:
                return await work(process), None
            except OPERATION_ERRORS as cause:
                return None, cause  # as a value: the world's nursery would wrap it

        value, cause = run(scenario, self.count)
        if cause is not None:
            raise cause
        return value

    @rule(silent=SOME_DISKS, mute=SOME_DISKS)
    def faults(self, silent, mute):
        self.rpc.silent, self.rpc.mute = frozenset(silent), frozenset(mute)

    @rule()
    def calm(self):
        self.rpc.silent = self.rpc.mute = frozenset()

    @rule(disk=st.sampled_from(DISKS))
    def crash(self, disk):
        files = dict(self.processes[disk].store.disk.files)

        async def restart(world):
            await self.start(disk, files=files)

        run(restart)

    @rule(operator=OPERATORS)
    def append(self, operator):
        self.count += 1
        element = f"{operator}{self.count}"

        def update(old):
            old = old or []
            return old if element in old else [*old, element]

        try:
            value = self.act(
                operator,
                lambda p: p.proposer.change("k", update, monotonic_us() + OPERATION_TIMEOUT),
            )
        except NoQuorum:
            self.not_applied.add(element)
        except OutcomeUnknown:
            pass
        else:
            assert element in value
            self.observe(value)

    @rule(operator=OPERATORS)
    def read(self, operator):
        self.count += 1
        try:
            self.observe(
                self.act(
                    operator, lambda p: p.proposer.read("k", monotonic_us() + OPERATION_TIMEOUT)
                )
                or []
            )
        except NoQuorum:
            pass

    @rule(operator=OPERATORS, voters=VOTERS)
    def move(self, operator, voters):
        self.count += 1

        async def work(process):
            process.target_disks = {disk: disk for disk in voters}
            try:
                await process.change_members(frozenset(voters), monotonic_us() + OPERATION_TIMEOUT)
            except MembershipConflict:
                await process.resume_change(monotonic_us() + OPERATION_TIMEOUT)

        try:
            self.act(operator, work)
        except OPERATION_ERRORS:
            pass

    def observe(self, value):
        assert value[: len(self.value)] == self.value
        assert not self.not_applied & set(value)
        self.value = value

    @invariant()
    def membership_versions_never_go_back(self):
        for name, process in self.processes.items():
            version = process.store.membership.version if process.store.membership else 0
            assert version >= self.versions[name]
            self.versions[name] = version

    @invariant()
    def not_applied_is_absent(self):
        for process in self.processes.values():
            _, value = process.store.acceptor.read("k")
            assert not self.not_applied & set(value or ())


class OneKeyLess(ModelMembers):
    """Planted fault: a state transfer that omits the first key."""

    async def transfer_keys(self, keys, deadline, is_enough):
        await super().transfer_keys(keys[1:], deadline, is_enough)


class OneKeyLessMachine(RegisterMachine):
    implementation = Implementation(members=OneKeyLess)


ITEM_NAMES = st.sampled_from("pq")
ITEM_VERSIONS = st.integers(0, MAX_SUPERSEDED)
CONTENTS = st.integers(0, 2)  # 0 deletes the item


def item_of(name, version, content):
    item = service(name, version, health=f"/{content}")
    return item if content else {**item, "spec": None}


class ItemsMachine(RuleBasedStateMachine):
    """Model: every (name, version) that was acknowledged, with its content. The items go through
    chunks as they do between members and restarts."""

    def __init__(self):
        super().__init__()
        self.items, self.taken = {}, {}

    def chunks(self):
        return split_items(self.items)

    @rule(name=ITEM_NAMES, version=ITEM_VERSIONS, content=CONTENTS)
    def order(self, name, version, content):
        expected = self.taken.get((name, version), content) == content
        try:
            self.items, _ = config_items.merge_items(self.items, [item_of(name, version, content)])
        except config_items.VersionConflict:
            assert not expected
        else:
            assert expected
            self.taken[name, version] = content

    @rule()
    def transfer(self):
        bodies = [ormsgpack.unpackb(body)[1] for _, body in self.chunks()]
        self.items = {config_items.item_key(item): item for items in bodies for item in items}

    @invariant()
    def the_highest_version_is_visible(self):
        top = {}
        for (name, version), content in sorted(self.taken.items()):
            top[name] = version, content
        shown = {
            i["name"]: (i["version"], i["spec"]["health"])
            for i in config_items.current_items(self.items)
        }
        assert shown == {n: (v, f"/{c}") for n, (v, c) in top.items() if c}


class WithoutDrops(ItemsMachine):
    """Planted: a snapshot that forgets what was dropped."""

    def chunks(self):
        return split_items({k: item for k, item in self.items.items() if item["spec"] is not None})


class AnyContent(ItemsMachine):
    """Planted: a version is taken twice with two contents."""

    @rule(name=ITEM_NAMES, version=ITEM_VERSIONS, content=CONTENTS)
    def order(self, name, version, content):
        expected = self.taken.get((name, version), content) == content
        try:
            self.items, _ = config_items.merge_items(self.items, [item_of(name, version, content)])
        except config_items.VersionConflict:
            pass
        assert expected


@pytest.mark.parametrize("machine", [RegisterMachine, ItemsMachine])
def test_random_operations_under_faults_agree_with_the_model(machine):
    run_state_machine_as_test(machine, settings=CORRECT)


@pytest.mark.parametrize("machine", [OneKeyLessMachine, WithoutDrops, AnyContent])
def test_a_planted_fault_is_found_by_random_operations(machine):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=PLANTED_FAULT)


def test_a_planted_quorum_of_the_new_voters_alone_is_found(monkeypatch):
    plant_new_voters_alone(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RegisterMachine, settings=PLANTED_FAULT)
