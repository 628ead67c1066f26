"""The register's production code under every schedule within bounds, and with planted faults."""

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
    ChangeMembers,
    Explorer,
    Implementation,
    ModelMembers,
    Read,
    Scenario,
)
from meadowdock.runtime import fingerprint

CHANGES = (Append("a", max_rounds=2), Append("b", max_rounds=2))
CONCURRENT_CHANGES = Scenario(CHANGES, max_faults=0)
CRASH = Scenario(CHANGES, max_faults=1, message_failures=False, crashes=("y",))
READ = Scenario((Append("a", max_rounds=2), Read("r", max_rounds=2)), max_faults=1)
MAX_STATES = 100_000
NEW_VOTERS = ("w", "y", "z")
CHANGE_MEMBERS = ChangeMembers("m", max_rounds=24, target=NEW_VOTERS)
# "a" is acknowledged by the old voters; after the change to the new voters the value is read
CHANGE_MEMBERS_AND_READ = Scenario(
    (Append("a", max_rounds=4), CHANGE_MEMBERS, Read("r", max_rounds=6, after=("a", "m"))),
    spares=("w",),
    max_faults=1,
    crashes=("y",),
    lost_disks=("x",),
    max_deviations=1,
)
# "a" starts under the old voters and continues after "b" was acknowledged by the new ones, of which
# only "x" is also an old one
STALE_BALLOT = Scenario(
    (
        ChangeMembers("m", max_rounds=24, target=("v", "w", "x")),
        Append("b", max_rounds=4, after=("m",)),
        Append("a", max_rounds=4),
    ),
    spares=("v", "w"),
    max_faults=0,
    max_deviations=1,
)


class VolatilePromise(Acceptor):
    """Planted fault: a promise is answered without being written to disk."""

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
        self.acceptor = VolatilePromise(self.disk, log)


class AnyVersion(ModelMembers):
    """Planted fault: a ballot of a previous membership configuration is still voted on."""

    async def call_local_acceptor(self, version, member, method, args):
        current = self.store.membership.version if self.store.membership else version
        return await super().call_local_acceptor(max(version, current), member, method, args)


class LateTransfer(ModelMembers):
    """Planted fault: state is transferred only after the switch to the new voters alone."""

    async def complete_change(self, record, deadline):
        transfer_state = self.transfer_state

        async def skip_transfer(deadline):
            pass

        self.transfer_state = skip_transfer
        ended = await super().complete_change(record, deadline)
        await transfer_state(deadline)
        return ended


@dataclass(frozen=True)
class Exploration:
    """A scenario and the number of its states."""

    scenario: Scenario
    states: int


# The figures are those of docs/testing.md. If a change of the code under test changes them, change
# the page as well.
CORRECT = {
    "race": Exploration(CONCURRENT_CHANGES, 71_710),
    "lost messages": Exploration(READ, 19_912),
    "members change": Exploration(CHANGE_MEMBERS_AND_READ, 3_064),
    "ballot of former voters": Exploration(STALE_BALLOT, 1_822),
}


@pytest.mark.parametrize("name", CORRECT)
def test_the_invariants_hold_in_every_state_within_the_bounds(name):
    report = Explorer(CORRECT[name].scenario).search(MAX_STATES)
    assert report.counterexample is None
    assert report.complete
    operations = {operation.name for operation in CORRECT[name].scenario.operations}
    assert report.acknowledged == operations
    assert report.states >= CORRECT[name].states // 2  # else the bounds cut off most states


@dataclass(frozen=True)
class PlantedFault:
    scenario: Scenario
    implementation: Implementation
    invariant: str


PLANTED_FAULTS = {
    "a promise that is not durable": PlantedFault(
        CRASH, Implementation(store=VolatilePromiseStore), "single history"
    ),
    "transfer after the switch": PlantedFault(
        CHANGE_MEMBERS_AND_READ, Implementation(members=LateTransfer), "no stale value"
    ),
    "a ballot of former voters": PlantedFault(
        STALE_BALLOT, Implementation(members=AnyVersion), "single history"
    ),
}


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_a_planted_fault_violates_an_invariant(name):
    fault = PLANTED_FAULTS[name]
    scenario = replace(fault.scenario, implementation=fault.implementation)
    report = Explorer(scenario).search(MAX_STATES)
    assert report.counterexample is not None
    assert report.counterexample.invariant == fault.invariant
    assert report.counterexample.schedule


def test_a_quorum_of_the_new_voters_alone_violates_an_invariant(monkeypatch):
    plant_new_voters_alone(monkeypatch)
    report = Explorer(CHANGE_MEMBERS_AND_READ).search(MAX_STATES)
    assert report.counterexample is not None
    assert report.counterexample.invariant == "no stale value"


def test_two_explorations_of_a_scenario_give_the_same_report():
    first, second = (Explorer(STALE_BALLOT).search(150) for _ in range(2))
    assert first == second
