"""The register's own code under every schedule within bounds, and faults planted in it."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest
from planted_faults import plant_new_voters_alone

from meadowdock.config_store.store import Store
from meadowdock.consensus import Acceptor
from meadowdock.consensus.acceptor import AcceptorState
from meadowdock.consensus.messages import Promise, Refusal
from meadowdock.model_checker import (
    Append,
    Explorer,
    Implementation,
    ModelMembers,
    MoveMembers,
    Read,
    Scenario,
)
from meadowdock.runtime import fingerprint

CHANGES = (Append("a", rounds=2), Append("b", rounds=2))
RACE = Scenario(CHANGES, faults=0)
CRASH = Scenario(CHANGES, faults=1, failures=False, crashes=("y",))
READ = Scenario((Append("a", rounds=2), Read("r", rounds=2)), faults=1)
LIMIT = 100_000  # states
NEW_VOTERS = ("w", "y", "z")
MOVE = MoveMembers("m", rounds=24, target=NEW_VOTERS)
# "a" is acknowledged by the old voters, which then change to the new, and is read
MOVE_AND_READ = Scenario(
    (Append("a", rounds=4), MOVE, Read("r", rounds=6, after=("a", "m"))),
    spares=("w",),
    faults=1,
    crashes=("y",),
    lost_disks=("x",),
    deviations=1,
)
# "a" began under the old voters and goes on after "b" was acknowledged by the new, of which "x"
# alone is an old one
STALE_BALLOT = Scenario(
    (
        MoveMembers("m", rounds=24, target=("v", "w", "x")),
        Append("b", rounds=4, after=("m",)),
        Append("a", rounds=4),
    ),
    spares=("v", "w"),
    faults=0,
    deviations=1,
)


class VolatilePromise(Acceptor):
    """Planted: a promise is answered and not on the disk."""

    async def promise(self, key, ballot):
        state = self.key_state(key)
        if ballot <= state.promised:
            return Refusal(state.promised)
        folder = fingerprint(key.encode())
        self.keys[folder] = key
        self.states[folder] = AcceptorState(ballot, state.accepted, state.value, state.file_version)
        return Promise(state.accepted, state.value)


class VolatilePromiseStore(Store):
    def __init__(self, disk, rng, log):
        super().__init__(disk, rng, log)
        self.acceptor = VolatilePromise(self.files, log)


class AnyVersion(ModelMembers):
    """Planted: a ballot of a former configuration is still voted on."""

    async def answer(self, version, member, method, args):
        current = self.store.membership.version if self.store.membership else version
        return await super().answer(max(version, current), member, method, args)


class LateTransfer(ModelMembers):
    """Planted: the new voters alone first, and the values only then."""

    async def complete_change(self, record, deadline):
        transfer_state = self.transfer_state

        async def nothing(deadline):
            pass

        self.transfer_state = nothing
        ended = await super().complete_change(record, deadline)
        await transfer_state(deadline)
        return ended


@dataclass(frozen=True)
class Explored:
    """A scenario, the number of its states where all are visited, and how often all ended."""

    scenario: Scenario
    states: int


# the figures of docs/testing.md; a change of the code under test may change them, and the page
HONEST = {
    "race": Explored(RACE, 71_710),
    "lost messages": Explored(READ, 19_912),
    "members change": Explored(MOVE_AND_READ, 3_064),
    "ballot of former voters": Explored(STALE_BALLOT, 1_822),
}


@pytest.mark.parametrize("name", HONEST)
def test_the_invariants_hold_in_every_state_within_the_bounds(name):
    report = Explorer(HONEST[name].scenario).search(LIMIT)
    assert report.breach is None
    assert report.complete
    operations = {operation.name for operation in HONEST[name].scenario.operations}
    assert report.acknowledged == operations
    assert report.states >= HONEST[name].states // 2  # else the bounds explore next to nothing


@dataclass(frozen=True)
class Planted:
    scenario: Scenario
    implementation: Implementation
    invariant: str


PLANTED = {
    "a promise that is not durable": Planted(
        CRASH, Implementation(store=VolatilePromiseStore), "single history"
    ),
    "transfer after the switch": Planted(
        MOVE_AND_READ, Implementation(members=LateTransfer), "no stale value"
    ),
    "a ballot of former voters": Planted(
        STALE_BALLOT, Implementation(members=AnyVersion), "single history"
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_breaks_an_invariant(name):
    planted = PLANTED[name]
    scenario = replace(planted.scenario, implementation=planted.implementation)
    report = Explorer(scenario).search(LIMIT)
    assert report.breach is not None
    assert report.breach.invariant == planted.invariant
    assert report.breach.schedule


def test_a_quorum_of_the_new_voters_alone_breaks_an_invariant(monkeypatch):
    plant_new_voters_alone(monkeypatch)
    report = Explorer(MOVE_AND_READ).search(LIMIT)
    assert report.breach is not None
    assert report.breach.invariant == "no stale value"


def test_an_exploration_is_the_same_each_time():
    first, second = (Explorer(STALE_BALLOT).search(150) for _ in range(2))
    assert first == second
