"""Explores the schedules of operations on a register, with lost messages, crashes and lost disks.

A state consists of the replicas, the actors and the messages in flight, and is expanded only once.
Two reductions keep the number of states small:

- A late message whose delivery changes nothing is dropped. It would change nothing later either,
  since the promises of a replica only increase.
- An answer affects only its actor, whose next requests can be delayed by any amount. So an answer
  that the actor still waits for is delivered in the same step as its request, and a late request is
  delivered without its answer.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowdock.model_checker.actor import Actors
from meadowdock.model_checker.choices import ChoiceGenerator
from meadowdock.model_checker.invariants import find_violation
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Choice, Counterexample, OutcomeKind
from meadowdock.model_checker.replica import Replicas
from meadowdock.model_checker.state import Scenario, State
from meadowdock.model_checker.transitions import Transitions

Parents = dict[State, tuple[State, Choice] | None]  # for each state, how it was first reached


@dataclass
class Report:
    """The result of an exploration."""

    states: int = 0  # distinct states
    transitions: int = 0  # steps taken
    final_states: int = 0  # states in which every actor has ended
    acknowledged: set[str] = field(default_factory=set)  # operations, in any final state
    actor_runs: int = 0  # runs of an actor from its start
    complete: bool = True  # whether all states within the bounds were explored
    counterexample: Counterexample | None = None


class Explorer:
    """One exploration of a scenario; `search` is called once."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.kernel = Kernel()
        self.report = Report()
        self.actors = Actors(scenario.operations, scenario.implementation, self.kernel)
        self.generator = ChoiceGenerator(scenario)
        replicas = Replicas(scenario.implementation)
        self.transitions = Transitions(scenario, self.generator, self.actors, replicas)

    def search(self, max_states: int) -> Report:
        """Search all states breadth first, until a violated invariant or the limit of states."""
        self.kernel.run(self.search_all, max_states)
        return self.report

    async def search_all(self, max_states: int) -> None:
        """Search all states; this runs inside the kernel."""
        initial = await self.transitions.initial_state()
        parents: Parents = {initial: None}
        queue = deque([initial])
        while queue and self.report.counterexample is None:
            state = queue.popleft()
            queue.extend(await self.expand(state, parents, max_states))
            if len(parents) >= max_states:
                self.report.complete = False
                break
        self.report.states = len(parents)
        self.report.actor_runs = self.actors.runs

    async def expand(self, state: State, parents: Parents, max_states: int) -> list[State]:
        """Return the successors of a state that were not reached before."""
        choices = self.generator.choices(state)
        if not choices:
            self.record_final_state(state)
        new_states = []
        for choice in choices:
            successor = await self.transitions.step(state, choice)
            self.report.transitions += 1
            if successor in parents:
                continue
            parents[successor] = state, choice
            self.check_invariants(successor, parents)
            if len(parents) >= max_states:
                break
            new_states.append(successor)
        return new_states

    def record_final_state(self, state: State) -> None:
        """Record a state in which every actor has ended."""
        self.report.final_states += 1
        self.report.acknowledged |= {
            self.scenario.operations[end.actor].name
            for end in state.ended
            if end.outcome.kind is OutcomeKind.ACKNOWLEDGED
        }

    def check_invariants(self, state: State, parents: Parents) -> None:
        """Record a counterexample if an invariant is violated in this state."""
        violation = find_violation(state.replicas, state.ended, self.scenario.operations)
        if violation is not None:
            schedule = schedule_to(parents, state)
            self.report.counterexample = Counterexample(
                violation.invariant, violation.detail, schedule
            )


def schedule_to(parents: Parents, state: State) -> tuple[Choice, ...]:
    """Return the choices that lead from the initial state to this one."""
    steps = []
    while (parent := parents[state]) is not None:
        state, choice = parent
        steps.append(choice)
    return tuple(reversed(steps))
