"""The initial state of an exploration, and the transition from one state to the next."""

from __future__ import annotations

from functools import lru_cache

import ormsgpack

from meadowdock.model_checker.actor import Actors, ActorState
from meadowdock.model_checker.choices import ChoiceGenerator
from meadowdock.model_checker.messages import Action, Choice, Event, EventKind, Message
from meadowdock.model_checker.model_process import pack, voters_record
from meadowdock.model_checker.replica import Replicas
from meadowdock.model_checker.state import Scenario, State

REJECTIONS_CACHED = 100_000  # answers


class Transitions:
    """Computes the state that follows a state and a choice.

    :ivar replica_names: the names of the replicas, in the order of State.replicas.
    """

    def __init__(
        self, scenario: Scenario, generator: ChoiceGenerator, actors: Actors, replicas: Replicas
    ) -> None:
        self.scenario = scenario
        self.generator = generator
        self.actors = actors
        self.replicas = replicas
        self.replica_names = (*scenario.voters, *scenario.spares)

    async def initial_state(self) -> State:
        """Return the state in which all voters have the initial membership record.

        The actors that wait for no other operation have started.
        """
        record = voters_record(1, self.scenario.voters)
        replicas = [await self.replicas.start(name, record) for name in self.scenario.voters]
        replicas += [await self.replicas.start(name, None) for name in self.scenario.spares]
        count = len(self.scenario.operations)
        state = State(
            replicas=tuple(replicas),
            actors=(None,) * count,
            ended_before_start=(0,) * count,
            messages=(),
            ended=(),
            current_actor=0,
            faults_left=self.scenario.max_faults,
            deviations_left=self.scenario.max_deviations or 0,
            disk_lost=False,
        )
        return await self.start_ready_actors(state)

    async def step(self, state: State, choice: Choice) -> State:
        """Return the state after a choice."""
        if self.scenario.max_deviations is not None:
            state = self.count_deviation(state, choice)
        if choice.action is Action.RUN:
            return state._replace(current_actor=choice.index)
        if choice.action is Action.DEFER:
            deferred = state.messages[choice.index]._replace(deferred=True)
            return state.with_message(choice.index, deferred)
        state = await self.apply(state, choice)
        return await self.drop_obsolete_messages(await self.start_ready_actors(state))

    async def apply(self, state: State, choice: Choice) -> State:
        """Return the state after a choice that affects a replica or an actor."""
        index = choice.index
        match choice.action:
            case Action.CRASH | Action.LOSE_DISK:
                return await self.restart(state, choice)
            case Action.REQUEST:
                message = state.messages[index]
                is_fault = state.is_awaited(message, message.actor)
                state = state._replace(faults_left=state.faults_left - is_fault)
                return await self.deliver_request(state, index)
            case Action.DELIVER:
                return await self.deliver_answer(await self.deliver_request(state, index), index)
            case Action.EXPIRE:
                return await self.notify(state, index, Event(EventKind.EXPIRED))
            case Action.ANSWER:
                return await self.deliver_answer(state, index)
            case _:
                return await self.fail_request(state, index)

    def count_deviation(self, state: State, choice: Choice) -> State:
        """Return the state with one deviation less, unless the choice is the default one."""
        if self.generator.choices(state)[0] == choice:
            return state
        return state._replace(deviations_left=state.deviations_left - 1)

    async def start_ready_actors(self, state: State) -> State:
        """Start every actor that waits for no other operation.

        It starts with the newest membership record of any replica.
        """
        for actor, operation in enumerate(self.scenario.operations):
            if state.actors[actor] is not None:
                continue
            ended = {self.scenario.operations[end.actor].name for end in state.ended}
            if ended.issuperset(operation.after):
                records = [replica.record for replica in state.replicas]
                newest = max((r for r in records if r), key=lambda r: r["version"])
                state = state.with_actor(await self.actors.start(actor, pack(newest)))
        return state

    async def deliver_answer(self, state: State, index: int) -> State:
        """Deliver the answer at this index to its actor."""
        message = state.messages[index]
        assert message.answer is not None
        event = Event(EventKind.ANSWERED, message.round, message.replica, message.answer)
        return await self.notify(state.without_message(index), message.actor, event)

    async def fail_request(self, state: State, index: int) -> State:
        """Report a request as failed to its actor; the request itself may still be delivered."""
        message = state.messages[index]
        if message.answer is None:
            state = state._replace(faults_left=state.faults_left - 1)
            state = state.with_message(index, message._replace(orphan=True))
        else:
            state = state.without_message(index)
        event = Event(EventKind.FAILED, message.round, message.replica)
        return await self.notify(state, message.actor, event)

    async def notify(self, state: State, actor: int, event: Event) -> State:
        """Pass an event to an actor."""
        return state.with_actor(await self.actors.after(state.started_actor(actor), event))

    async def restart(self, state: State, choice: Choice) -> State:
        """Restart a replica on its disk, or on a blank one."""
        index = self.replica_names.index(choice.replica)
        replica = state.replicas[index]
        loses_disk = choice.action is Action.LOSE_DISK
        if loses_disk:
            restarted = await self.replicas.lose_disk(replica)
        else:
            restarted = await self.replicas.crash(replica)
        state = state.with_replica(index, restarted)
        return state._replace(
            faults_left=state.faults_left - 1, disk_lost=state.disk_lost or loses_disk
        )

    async def deliver_request(self, state: State, index: int) -> State:
        """Deliver the request at this index to its replica, and put the answer in flight.

        The answer to an orphan is dropped, since its actor no longer waits for it.
        """
        message = state.messages[index]
        replica_index = self.replica_names.index(message.replica)
        replica, answer = await self.replicas.handle(
            state.replicas[replica_index], message.method, message.args
        )
        state = state.with_replica(replica_index, replica)
        if message.orphan:
            return state.without_message(index)
        return state.with_message(index, message._replace(answer=answer))

    async def drop_obsolete_messages(self, state: State) -> State:
        """Drop late messages that would change nothing, and sort the others."""
        remaining = []
        for message in state.messages:
            actor = state.started_actor(message.actor)
            late = message.orphan or message.round < actor.round or actor.outcome is not None
            if not late or await self.has_effect(state, message, actor):
                remaining.append(message)
        return state._replace(messages=tuple(sorted(remaining, key=canonical_order)))

    async def has_effect(self, state: State, message: Message, actor: ActorState) -> bool:
        """Return whether a late message can still change a replica or its actor's record."""
        gets_answer = actor.outcome is None and not message.orphan
        if message.answer is not None:
            return gets_answer and rejected_record_version(message.answer) > actor.version
        replica = state.replicas[self.replica_names.index(message.replica)]
        new_state, answer = await self.replicas.handle(replica, message.method, message.args)
        return new_state != replica or (
            gets_answer and rejected_record_version(answer) > actor.version
        )


def canonical_order(message: Message) -> tuple[int, str, int, str, bytes]:
    """Return a sort key for messages in flight, so that states with the same messages are equal."""
    return message.round, message.replica, message.actor, message.method, message.args


@lru_cache(maxsize=REJECTIONS_CACHED)
def rejected_record_version(answer: bytes) -> int:
    """Return the version of the membership record that a rejection contains, or 0."""
    verdict, *content = ormsgpack.unpackb(answer)
    if verdict != "rejected":
        return 0
    details = content[1]
    version: int = details["record"]["version"] if "record" in details else 0
    return version
