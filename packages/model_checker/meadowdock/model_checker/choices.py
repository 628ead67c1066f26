"""The choices that a schedule has in a state."""

from __future__ import annotations

from meadowdock.model_checker.messages import Action, Choice
from meadowdock.model_checker.state import Scenario, State


class ChoiceGenerator:
    """Enumerates the choices that a scenario allows."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario

    def choices(self, state: State) -> list[Choice]:
        """Return all choices, the default one first.

        There are none once every actor has ended, since the messages that are left can't change an
        outcome. An actor that exceeds its number of rounds, or that waits while none of its
        requests is left to be answered in time, expires: that is then the only choice.
        """
        running = state.running_actors()
        if not running:
            return []
        for actor in running:
            if state.started_actor(actor).round > self.scenario.operations[actor].max_rounds:
                return [Choice(Action.EXPIRE, actor)]
        for actor in running:
            if not any(state.is_awaited_request(m, actor) for m in state.messages):
                return [Choice(Action.EXPIRE, actor)]
        if self.scenario.max_deviations is None:
            return [*all_deliveries(state), *self.faults(state)]
        return self.default_and_deviations(state, running)

    def faults(self, state: State) -> list[Choice]:
        """Return all faults that may still occur."""
        return [*self.restarts(state), *self.failures(state)]

    def restarts(self, state: State) -> list[Choice]:
        """Return the possible restarts of replicas, with their disk or a blank one."""
        if not state.faults_left:
            return []
        choices = [Choice(Action.CRASH, replica=name) for name in self.scenario.crashes]
        if not state.disk_lost:
            choices += [Choice(Action.LOSE_DISK, replica=n) for n in self.scenario.lost_disks]
        return choices

    def failures(self, state: State) -> list[Choice]:
        """Return the possible failures of the messages that an actor waits for.

        A request may fail, after which it may still be delivered, or its answer may be delayed. The
        loss of an answer that is delayed already is not a further fault.
        """
        choices: list[Choice] = []
        if not self.scenario.message_failures:
            return choices
        for index, message in enumerate(state.messages):
            if not state.is_awaited(message, message.actor):
                continue
            if message.answer is not None:
                choices.append(Choice(Action.FAIL, index))
            elif state.faults_left:
                choices += [Choice(Action.FAIL, index), Choice(Action.REQUEST, index)]
        return choices

    def default_and_deviations(self, state: State, running: list[int]) -> list[Choice]:
        """Return the default choice and, if deviations are left, the alternatives to it.

        The default is to deliver the first message of the current actor. The alternatives are to
        defer or fail that message, to deliver a deferred or late one, to switch to another actor,
        or to restart a replica.
        """
        actor = state.current_actor if state.current_actor in running else running[0]
        default = default_message(state, actor)
        choices = deliveries(state, default)
        if not state.deviations_left:
            return choices[:1]
        if not state.messages[default].deferred:
            choices.append(Choice(Action.DEFER, default))
        for index, message in enumerate(state.messages):
            late = message.deferred or not state.is_awaited(message, message.actor)
            if index != default and late:
                choices += deliveries(state, index)
        choices += [Choice(Action.RUN, other) for other in running if other != actor]
        return choices + [c for c in self.faults(state) if c.index in (-1, default)]


def default_message(state: State, actor: int) -> int:
    """Return the index of the actor's first request; deferred ones come after all others."""
    awaited = [i for i, m in enumerate(state.messages) if state.is_awaited_request(m, actor)]
    ready = [index for index in awaited if not state.messages[index].deferred]
    return (ready or awaited)[0]


def all_deliveries(state: State) -> list[Choice]:
    """Return the possible deliveries of all messages in flight."""
    return [c for index in range(len(state.messages)) for c in deliveries(state, index)]


def deliveries(state: State, index: int) -> list[Choice]:
    """Return the possible deliveries of this message: one or none."""
    message = state.messages[index]
    if state.is_awaited(message, message.actor):
        return [Choice(Action.DELIVER, index)] if message.answer is None else []
    action = Action.REQUEST if message.answer is None else Action.ANSWER
    return [Choice(action, index)]
