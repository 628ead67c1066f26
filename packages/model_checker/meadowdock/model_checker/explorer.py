"""Explores the schedules of operations on a register: messages, losses, crashes, a lost disk.

A state is the replicas', the actors' and the messages in flight; it is expanded once. A late
message whose delivery changes nothing is dropped, since what a replica promised only goes up.

An answer changes its actor only, whose next requests may be as late as any. So one that counts in
its round is delivered with its request; of one that does not, only the request is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

import ormsgpack

from meadowdock.model_checker.actor import Actors, View
from meadowdock.model_checker.invariants import Ended, broken_invariant
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import (
    Action,
    Breach,
    Choice,
    Ending,
    Event,
    EventKind,
    Flight,
)
from meadowdock.model_checker.process import Implementation, packed, voters_record
from meadowdock.model_checker.replica import Replicas, ReplicaState


@dataclass(frozen=True)
class Scenario:
    """voters: of the first record. spares: replicas that a change of members may bring in.
    faults: failed messages, crashes and expiries in one schedule; a lost disk is one as well."""

    operations: tuple
    voters: tuple[str, ...] = ("x", "y", "z")
    spares: tuple[str, ...] = ()
    implementation: Implementation = Implementation()
    faults: int = 1
    failures: bool = True
    crashes: tuple[str, ...] = ()
    lost_disks: tuple[str, ...] = ()
    deviations: int | None = None  # None: every order of delivery; else so many from the default


class State(NamedTuple):
    """views: of each actor, or None before it begins; begun: how many had ended then. ended: of
    the actors that have, in order. turn: whose messages come first by default."""

    replicas: tuple
    views: tuple
    begun: tuple
    flights: tuple
    ended: tuple
    turn: int
    faults: int
    deviations: int
    disk_lost: bool


@dataclass
class Report:
    """states: distinct ones. edges: steps taken. ends: states in which every actor has ended;
    acknowledged: the operations that were acknowledged in any of them. runs: of actors, from their
    start. complete: no state within the bounds was left out."""

    states: int = 0
    edges: int = 0
    ends: int = 0
    acknowledged: set[str] = field(default_factory=set)
    runs: int = 0
    complete: bool = True
    breach: Breach | None = None


@dataclass
class Explorer:
    """One exploration. Invariant: a report is made once."""

    scenario: Scenario
    kernel: Kernel = field(default_factory=Kernel)
    report: Report = field(default_factory=Report)

    def __post_init__(self) -> None:
        self.actors = Actors(self.scenario.operations, self.scenario.implementation, self.kernel)
        self.replicas = Replicas(self.scenario.implementation)
        self.names = (*self.scenario.voters, *self.scenario.spares)

    # ------------------------------------------------------------ searches

    def search(self, most_states: int) -> Report:
        """Breadth first over all states, or until so many; gives the report."""
        self.kernel.run(self.search_all, most_states)
        return self.report

    async def search_all(self, most_states: int) -> None:
        """As search, inside the kernel."""
        first = await self.first_state()
        parents, queue = {first: None}, deque([first])
        while queue and self.report.breach is None:
            state = queue.popleft()
            choices = self.choices(state)
            if not choices:
                self.note_end(state)
            for choice in choices:
                following = await self.take(state, choice)
                self.report.edges += 1
                if following in parents:
                    continue
                parents[following] = state, choice
                self.judge(following, lambda f=following: schedule_to(parents, f))
                if len(parents) >= most_states:
                    self.report.complete = False
                    queue.clear()
                    break
                queue.append(following)
        self.report.states = len(parents)
        self.report.runs = self.actors.runs

    def note_end(self, state: State) -> None:
        """Every actor has ended in this state."""
        self.report.ends += 1
        self.report.acknowledged |= {
            self.scenario.operations[e.actor].name
            for e in state.ended
            if e.outcome.ending is Ending.ACKNOWLEDGED
        }

    def judge(self, state: State, schedule: Callable[[], tuple[Choice, ...]]) -> None:
        """Note the breach, if this state is one."""
        found = broken_invariant(state.replicas, state.ended, self.scenario.operations)
        if found is not None:
            self.report.breach = Breach(*found, schedule())

    # ------------------------------------------------------------ states

    async def first_state(self) -> State:
        """All replicas under the first record, and the actors that wait for no other."""
        record = voters_record(1, self.scenario.voters)
        replicas = [await self.replicas.start(name, record) for name in self.scenario.voters]
        replicas += [await self.replicas.start(name, None) for name in self.scenario.spares]
        views = (None,) * len(self.scenario.operations)
        scenario = self.scenario
        deviations = scenario.deviations if scenario.deviations is not None else 0
        begun = (0,) * len(views)
        state = State(tuple(replicas), views, begun, (), (), 0, scenario.faults, deviations, False)
        return await self.begin_next(state)

    async def begin_next(self, state: State) -> State:
        """Start every actor that nothing holds back, with the newest record of any replica."""
        for actor, operation in enumerate(self.scenario.operations):
            if state.views[actor] is not None:
                continue
            ended = {self.scenario.operations[e.actor].name for e in state.ended}
            if ended.issuperset(operation.after):
                records = [replica.record for replica in state.replicas]
                newest = max((r for r in records if r), key=lambda r: r["version"])
                view = await self.actors.begin(actor, packed(newest))
                state = self.with_view(state, view)
        return state

    def with_view(self, state: State, view: View) -> State:
        """The state once an actor went on: with what it sent, if it began a round."""
        former = state.views[view.actor]
        views = (*state.views[: view.actor], view, *state.views[view.actor + 1 :])
        flights, ended, begun = state.flights, state.ended, state.begun
        if former is None:
            begun = (*begun[: view.actor], len(ended), *begun[view.actor + 1 :])
        if former is None or view.round > former.round:
            flights += tuple(Flight(view.actor, view.round, *sent) for sent in view.sent)
        if view.outcome is not None and (former is None or former.outcome is None):
            ended = (*ended, Ended(view.actor, view.outcome, begun[view.actor]))
        return state._replace(views=views, flights=flights, ended=ended, begun=begun)

    async def sweep(self, state: State) -> State:
        """Without late messages that change nothing, and without answers nobody waits for."""
        kept = []
        for flight in state.flights:
            view = state.views[flight.actor]
            late = flight.orphan or flight.round < view.round or view.outcome is not None
            if late and not await self.matters(state, flight, view):
                continue
            kept.append(flight)
        return state._replace(flights=tuple(sorted(kept, key=delivery_order)))

    async def matters(self, state: State, flight: Flight, view: View) -> bool:
        """Can a late message still change a replica, or the record that its actor knows?"""
        if flight.answer is not None:
            return view.outcome is None and not flight.orphan and news(flight.answer) > view.version
        replica = state.replicas[self.names.index(flight.replica)]
        after, answer = await self.replicas.handle(replica, flight.method, flight.args)
        waits = view.outcome is None and not flight.orphan
        return after != replica or (waits and news(answer) > view.version)

    # ------------------------------------------------------------ choices

    def choices(self, state: State) -> list[Choice]:
        """Empty once every actor has ended: the messages left can't change an outcome."""
        running = [v.actor for v in state.views if v is not None and v.outcome is None]
        if not running:
            return []
        forced = [a for a in running if state.views[a].round > self.scenario.operations[a].rounds]
        if forced:
            return [Choice(Action.EXPIRE, forced[0])]
        stuck = [a for a in running if not any(awaited(state, f, a) for f in state.flights)]
        if stuck:
            return [Choice(Action.EXPIRE, stuck[0])]
        if self.scenario.deviations is None:
            return [*self.deliveries(state), *self.faults(state)]
        return self.default_and_deviations(state, running)

    def deliveries(self, state: State) -> list[Choice]:
        """Every message in flight."""
        return [c for index in range(len(state.flights)) for c in delivery(state, index)]

    def faults(self, state: State) -> list[Choice]:
        """All faults that are left to happen."""
        return [*self.restarts(state), *self.failures(state)]

    def restarts(self, state: State) -> list[Choice]:
        """Of replicas, with their disk or a blank one."""
        if not state.faults:
            return []
        found = [Choice(Action.CRASH, replica=name) for name in self.scenario.crashes]
        if not state.disk_lost:
            found += [Choice(Action.LOSE_DISK, replica=n) for n in self.scenario.lost_disks]
        return found

    def failures(self, state: State) -> list[Choice]:
        """Of messages that an actor waits for: lost or late, or the answer is. That an answer,
        late already, is lost is no further fault."""
        found = []
        for index, flight in enumerate(state.flights):
            if self.scenario.failures and is_current(state, flight, flight.actor):
                if flight.answer is not None:
                    found.append(Choice(Action.FAIL, index))
                elif state.faults:
                    found += [Choice(Action.FAIL, index), Choice(Action.REQUEST, index)]
        return found

    def default_and_deviations(self, state: State, running: list[int]) -> list[Choice]:
        """The first message of the actor whose turn it is; and, as far as deviations are left,
        that one held or failed, one that was held or is late, another actor, and faults."""
        turn = state.turn if state.turn in running else running[0]
        ready = [
            index
            for index, flight in enumerate(state.flights)
            if awaited(state, flight, turn) and not flight.held
        ]
        if not ready:  # what was held for longer than anything else moves: it comes
            ready = [i for i, f in enumerate(state.flights) if awaited(state, f, turn)]
        default = ready[0]
        found = delivery(state, default)
        if not state.deviations:
            return found[:1]
        if not state.flights[default].held:
            found.append(Choice(Action.HOLD, default))
        found += [
            choice
            for index, flight in enumerate(state.flights)
            if index != default and (flight.held or not is_current(state, flight, flight.actor))
            for choice in delivery(state, index)
        ]
        found += [Choice(Action.RUN, actor) for actor in running if actor != turn]
        return found + [c for c in self.faults(state) if c.index in (-1, default)]

    # ------------------------------------------------------------ steps

    async def take(self, state: State, choice: Choice) -> State:
        """The state after this step."""
        if self.scenario.deviations is not None:
            state = self.pay(state, choice)
        if choice.action is Action.RUN:
            return state._replace(turn=choice.index)
        if choice.action is Action.HOLD:
            return with_flight(state, choice.index, state.flights[choice.index]._replace(held=True))
        if choice.action in (Action.CRASH, Action.LOSE_DISK):
            state = await self.restart(state, choice)
        elif choice.action is Action.REQUEST:
            flight = state.flights[choice.index]
            fault = is_current(state, flight, flight.actor)
            state = state._replace(faults=state.faults - fault)
            state = await self.deliver(state, choice.index)
        elif choice.action is Action.DELIVER:
            state = await self.deliver(state, choice.index)
            state = await self.resolve(state, Choice(Action.ANSWER, choice.index))
        elif choice.action is Action.EXPIRE:
            state = await self.tell(state, choice.index, Event(EventKind.EXPIRED))
        else:
            state = await self.resolve(state, choice)
        return await self.sweep(await self.begin_next(state))

    def pay(self, state: State, choice: Choice) -> State:
        """Deviations that this choice costs: none of them for the default, or for the end of
        what can't go on."""
        free = self.choices(state)[0] == choice
        return state if free else state._replace(deviations=state.deviations - 1)

    async def restart(self, state: State, choice: Choice) -> State:
        """A replica starts again, on its disk or a blank one."""
        place = self.names.index(choice.replica)
        lost = choice.action is Action.LOSE_DISK
        again = self.replicas.lose_disk if lost else self.replicas.crash
        state = with_replica(state, place, await again(state.replicas[place]))
        return state._replace(faults=state.faults - 1, disk_lost=state.disk_lost or lost)

    async def deliver(self, state: State, index: int) -> State:
        """A replica handles the request; its answer is in flight."""
        flight = state.flights[index]
        place = self.names.index(flight.replica)
        replica, answer = await self.replicas.handle(
            state.replicas[place], flight.method, flight.args
        )
        state = with_replica(state, place, replica)
        if flight.orphan:
            return without_flight(state, index)
        return with_flight(state, index, flight._replace(answer=answer))

    async def resolve(self, state: State, choice: Choice) -> State:
        """The actor gets an answer, or counts the request as failed, which may still arrive."""
        flight = state.flights[choice.index]
        if choice.action is Action.ANSWER:
            state = without_flight(state, choice.index)
            event = Event(EventKind.ANSWERED, flight.round, flight.replica, flight.answer)
        else:
            if flight.answer is None:
                state = state._replace(faults=state.faults - 1)
                orphan = flight._replace(orphan=True)
                state = with_flight(state, choice.index, orphan)
            else:
                state = without_flight(state, choice.index)
            event = Event(EventKind.FAILED, flight.round, flight.replica)
        return await self.tell(state, flight.actor, event)

    async def tell(self, state: State, actor: int, event: Event) -> State:
        """An actor gets an event."""
        return self.with_view(state, await self.actors.after(state.views[actor], event))


def is_current(state: State, flight: Flight, actor: int) -> bool:
    """Does this actor wait for the flight?"""
    view = state.views[actor]
    return flight.actor == actor and not flight.orphan and flight.round == view.round


def awaited(state: State, flight: Flight, actor: int) -> bool:
    """Is it a request that may still count in its round?"""
    return is_current(state, flight, actor) and flight.answer is None


def delivery(state: State, index: int) -> list[Choice]:
    """How this message can be delivered now."""
    flight = state.flights[index]
    if is_current(state, flight, flight.actor):
        actions = (Action.DELIVER,) if flight.answer is None else ()
    else:
        actions = (Action.REQUEST,) if flight.answer is None else (Action.ANSWER,)
    return [Choice(action, index) for action in actions]


def delivery_order(flight: Flight) -> tuple:
    """One order of messages in flight, for one state of them."""
    return flight.round, flight.replica, flight.actor, flight.method, flight.args


@lru_cache(maxsize=100_000)
def news(answer: bytes) -> int:
    """The version of the membership record that a rejection carries, or 0."""
    told, *rest = ormsgpack.unpackb(answer)
    return rest[1]["record"]["version"] if told == "rejected" and "record" in rest[1] else 0


def with_replica(state: State, place: int, replica: ReplicaState) -> State:
    """The state with another replica at this place."""
    replicas = (*state.replicas[:place], replica, *state.replicas[place + 1 :])
    return state._replace(replicas=replicas)


def with_flight(state: State, index: int, flight: Flight) -> State:
    """The state with another message at this index."""
    flights = (*state.flights[:index], flight, *state.flights[index + 1 :])
    return state._replace(flights=flights)


def without_flight(state: State, index: int) -> State:
    """The state without the message at this index."""
    return state._replace(flights=state.flights[:index] + state.flights[index + 1 :])


def schedule_to(parents: dict, state: State) -> tuple[Choice, ...]:
    """The choices from the first state to this one."""
    steps = []
    while parents[state] is not None:
        state, choice = parents[state]
        steps.append(choice)
    return tuple(reversed(steps))
