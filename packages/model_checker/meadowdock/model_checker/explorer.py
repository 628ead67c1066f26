"""Explores the schedules of operations on a register: messages, losses, crashes, a lost disk.

A state is that of the replicas, the actors and the messages in flight; it is expanded once. A late
message whose delivery changes nothing is dropped, since what a replica promised only goes up.

An answer changes its actor only, whose next requests may be as late as any. So one that counts in
its round is delivered with its request; of one that does not, only the request is.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowdock.model_checker.actor import Actors
from meadowdock.model_checker.choices import ChoiceGenerator
from meadowdock.model_checker.invariants import broken_invariant
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Breach, Choice, Ending
from meadowdock.model_checker.replica import Replicas
from meadowdock.model_checker.state import Scenario, State
from meadowdock.model_checker.transitions import Transitions

Parents = dict[State, tuple[State, Choice] | None]  # of each state, how it was first reached


@dataclass
class Report:
    """The result of an exploration. states: distinct ones. edges: steps taken. ends: states in which
    every actor has ended; acknowledged: the operations that were acknowledged in any of them. runs:
    of actors, from their start. complete: no state within the bounds was left out."""

    states: int = 0
    edges: int = 0
    ends: int = 0
    acknowledged: set[str] = field(default_factory=set)
    runs: int = 0
    complete: bool = True
    breach: Breach | None = None


class Explorer:
    """One exploration of a scenario. Invariant: a report is made once."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.kernel = Kernel()
        self.report = Report()
        self.actors = Actors(scenario.operations, scenario.implementation, self.kernel)
        self.generator = ChoiceGenerator(scenario)
        replicas = Replicas(scenario.implementation)
        self.transitions = Transitions(scenario, self.generator, self.actors, replicas)

    def search(self, max_states: int) -> Report:
        """Breadth first over all states, or until so many or a broken invariant are found."""
        self.kernel.run(self.search_all, max_states)
        return self.report

    async def search_all(self, max_states: int) -> None:
        """As search, inside the kernel."""
        first = await self.transitions.first_state()
        parents: Parents = {first: None}
        queue = deque([first])
        while queue and self.report.breach is None:
            state = queue.popleft()
            found = await self.expand(state, parents, max_states)
            queue.extend(found)
            if len(parents) >= max_states:
                self.report.complete = False
                break
        self.report.states = len(parents)
        self.report.runs = self.actors.runs

    async def expand(self, state: State, parents: Parents, max_states: int) -> list[State]:
        """The states that follow this one and are new."""
        choices = self.generator.choices(state)
        if not choices:
            self.note_end(state)
        found = []
        for choice in choices:
            following = await self.transitions.step(state, choice)
            self.report.edges += 1
            if following in parents:
                continue
            parents[following] = state, choice
            self.check_invariants(following, parents)
            if len(parents) >= max_states:
                break
            found.append(following)
        return found

    def note_end(self, state: State) -> None:
        """Every actor has ended in this state."""
        self.report.ends += 1
        self.report.acknowledged |= {
            self.scenario.operations[end.actor].name
            for end in state.ended
            if end.outcome.ending is Ending.ACKNOWLEDGED
        }

    def check_invariants(self, state: State, parents: Parents) -> None:
        """Note the breach, if an invariant is broken in this state."""
        violation = broken_invariant(state.replicas, state.ended, self.scenario.operations)
        if violation is not None:
            schedule = schedule_to(parents, state)
            self.report.breach = Breach(violation.invariant, violation.detail, schedule)


def schedule_to(parents: Parents, state: State) -> tuple[Choice, ...]:
    """The choices from the first state to this one."""
    steps = []
    while (parent := parents[state]) is not None:
        state, choice = parent
        steps.append(choice)
    return tuple(reversed(steps))
