"""The steps that a schedule may take in a state."""

from __future__ import annotations

from meadowdock.model_checker.messages import Action, Choice
from meadowdock.model_checker.state import Scenario, State


class ChoiceGenerator:
    """Gives the choices that a scenario allows."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario

    def choices(self, state: State) -> list[Choice]:
        """All choices, the default first. Empty once every actor has ended: the messages that are
        left can't change an outcome."""
        running = state.running_actors()
        if not running:
            return []
        for actor in running:
            if state.started(actor).round > self.scenario.operations[actor].rounds:
                return [Choice(Action.EXPIRE, actor)]
        for actor in running:
            if not any(state.is_awaited_request(m, actor) for m in state.messages):
                return [Choice(Action.EXPIRE, actor)]
        if self.scenario.deviations is None:
            return [*all_deliveries(state), *self.faults(state)]
        return self.default_and_deviations(state, running)

    def faults(self, state: State) -> list[Choice]:
        """All faults that may still happen."""
        return [*self.restarts(state), *self.failures(state)]

    def restarts(self, state: State) -> list[Choice]:
        """Restarts of replicas, with their disk or a blank one."""
        if not state.faults:
            return []
        found = [Choice(Action.CRASH, replica=name) for name in self.scenario.crashes]
        if not state.disk_lost:
            found += [Choice(Action.LOSE_DISK, replica=n) for n in self.scenario.lost_disks]
        return found

    def failures(self, state: State) -> list[Choice]:
        """Failures of messages that an actor waits for: lost or late, or the answer is. The loss of
        an answer that is late already is no further fault."""
        found: list[Choice] = []
        if not self.scenario.failures:
            return found
        for index, message in enumerate(state.messages):
            if not state.is_current(message, message.actor):
                continue
            if message.answer is not None:
                found.append(Choice(Action.FAIL, index))
            elif state.faults:
                found += [Choice(Action.FAIL, index), Choice(Action.REQUEST, index)]
        return found

    def default_and_deviations(self, state: State, running: list[int]) -> list[Choice]:
        """The first message of the current actor; and, as far as deviations are left, that one
        deferred or failed, one that was deferred or is late, another actor, and faults."""
        actor = state.current_actor if state.current_actor in running else running[0]
        default = default_message(state, actor)
        found = deliveries(state, default)
        if not state.deviations:
            return found[:1]
        if not state.messages[default].deferred:
            found.append(Choice(Action.DEFER, default))
        for index, message in enumerate(state.messages):
            late = message.deferred or not state.is_current(message, message.actor)
            if index != default and late:
                found += deliveries(state, index)
        found += [Choice(Action.RUN, other) for other in running if other != actor]
        return found + [c for c in self.faults(state) if c.index in (-1, default)]


def default_message(state: State, actor: int) -> int:
    """The index of the actor's first request. A deferred one comes once nothing else can move."""
    awaited = [i for i, m in enumerate(state.messages) if state.is_awaited_request(m, actor)]
    ready = [index for index in awaited if not state.messages[index].deferred]
    return (ready or awaited)[0]


def all_deliveries(state: State) -> list[Choice]:
    """The delivery of every message in flight."""
    return [c for index in range(len(state.messages)) for c in deliveries(state, index)]


def deliveries(state: State, index: int) -> list[Choice]:
    """How this message can be delivered now: in one way, or in none."""
    message = state.messages[index]
    if state.is_current(message, message.actor):
        return [Choice(Action.DELIVER, index)] if message.answer is None else []
    action = Action.REQUEST if message.answer is None else Action.ANSWER
    return [Choice(action, index)]
