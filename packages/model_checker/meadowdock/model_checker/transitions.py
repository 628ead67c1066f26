"""The first state of an exploration, and the state after each step."""

from __future__ import annotations

from functools import lru_cache

import ormsgpack

from meadowdock.model_checker.actor import Actors, ActorState
from meadowdock.model_checker.choices import ChoiceGenerator
from meadowdock.model_checker.messages import Action, Choice, Event, EventKind, Message
from meadowdock.model_checker.process import packed, voters_record
from meadowdock.model_checker.replica import Replicas
from meadowdock.model_checker.state import Scenario, State

REJECTIONS_CACHED = 100_000


class Transitions:
    """Computes states from states. names: those of the replicas, in the order of State.replicas."""

    def __init__(
        self, scenario: Scenario, generator: ChoiceGenerator, actors: Actors, replicas: Replicas
    ) -> None:
        self.scenario = scenario
        self.generator = generator
        self.actors = actors
        self.replicas = replicas
        self.names = (*scenario.voters, *scenario.spares)

    async def first_state(self) -> State:
        """All replicas under the first membership record, and the actors that wait for no other."""
        record = voters_record(1, self.scenario.voters)
        replicas = [await self.replicas.start(name, record) for name in self.scenario.voters]
        replicas += [await self.replicas.start(name, None) for name in self.scenario.spares]
        count = len(self.scenario.operations)
        state = State(
            replicas=tuple(replicas),
            actors=(None,) * count,
            ended_before=(0,) * count,
            messages=(),
            ended=(),
            current_actor=0,
            faults=self.scenario.faults,
            deviations=self.scenario.deviations or 0,
            disk_lost=False,
        )
        return await self.begin_next(state)

    async def step(self, state: State, choice: Choice) -> State:
        """The state after this step."""
        if self.scenario.deviations is not None:
            state = self.charge_deviation(state, choice)
        if choice.action is Action.RUN:
            return state._replace(current_actor=choice.index)
        if choice.action is Action.DEFER:
            deferred = state.messages[choice.index]._replace(deferred=True)
            return state.with_message(choice.index, deferred)
        state = await self.apply(state, choice)
        return await self.drop_obsolete(await self.begin_next(state))

    async def apply(self, state: State, choice: Choice) -> State:
        """The state after a step that a replica or an actor notices."""
        index = choice.index
        match choice.action:
            case Action.CRASH | Action.LOSE_DISK:
                return await self.restart(state, choice)
            case Action.REQUEST:
                message = state.messages[index]
                fault = state.is_current(message, message.actor)
                state = state._replace(faults=state.faults - fault)
                return await self.deliver(state, index)
            case Action.DELIVER:
                return await self.answer(await self.deliver(state, index), index)
            case Action.EXPIRE:
                return await self.notify(state, index, Event(EventKind.EXPIRED))
            case Action.ANSWER:
                return await self.answer(state, index)
            case _:
                return await self.fail(state, index)

    def charge_deviation(self, state: State, choice: Choice) -> State:
        """One deviation less, unless the choice is the default one."""
        if self.generator.choices(state)[0] == choice:
            return state
        return state._replace(deviations=state.deviations - 1)

    # ------------------------------------------------------------ actors

    async def begin_next(self, state: State) -> State:
        """Start every actor that waits for no other, with the newest record of any replica."""
        for actor, operation in enumerate(self.scenario.operations):
            if state.actors[actor] is not None:
                continue
            ended = {self.scenario.operations[end.actor].name for end in state.ended}
            if ended.issuperset(operation.after):
                records = [replica.record for replica in state.replicas]
                newest = max((r for r in records if r), key=lambda r: r["version"])
                state = state.with_actor(await self.actors.begin(actor, packed(newest)))
        return state

    async def answer(self, state: State, index: int) -> State:
        """The actor gets the answer to its request."""
        message = state.messages[index]
        assert message.answer is not None
        event = Event(EventKind.ANSWERED, message.round, message.replica, message.answer)
        return await self.notify(state.without_message(index), message.actor, event)

    async def fail(self, state: State, index: int) -> State:
        """The actor counts its request as failed; the request itself may still arrive."""
        message = state.messages[index]
        if message.answer is None:
            state = state._replace(faults=state.faults - 1)
            state = state.with_message(index, message._replace(orphan=True))
        else:
            state = state.without_message(index)
        event = Event(EventKind.FAILED, message.round, message.replica)
        return await self.notify(state, message.actor, event)

    async def notify(self, state: State, actor: int, event: Event) -> State:
        """An actor gets an event."""
        return state.with_actor(await self.actors.after(state.started(actor), event))

    # ------------------------------------------------------------ replicas

    async def restart(self, state: State, choice: Choice) -> State:
        """A replica starts again, on its disk or a blank one."""
        index = self.names.index(choice.replica)
        replica = state.replicas[index]
        loses_disk = choice.action is Action.LOSE_DISK
        if loses_disk:
            restarted = await self.replicas.lose_disk(replica)
        else:
            restarted = await self.replicas.crash(replica)
        state = state.with_replica(index, restarted)
        return state._replace(faults=state.faults - 1, disk_lost=state.disk_lost or loses_disk)

    async def deliver(self, state: State, index: int) -> State:
        """A replica handles the request; its answer is in flight."""
        message = state.messages[index]
        index_of_replica = self.names.index(message.replica)
        replica, answer = await self.replicas.handle(
            state.replicas[index_of_replica], message.method, message.args
        )
        state = state.with_replica(index_of_replica, replica)
        if message.orphan:
            return state.without_message(index)
        return state.with_message(index, message._replace(answer=answer))

    # ------------------------------------------------------------ late messages

    async def drop_obsolete(self, state: State) -> State:
        """Without late messages that change nothing, and without answers nobody waits for."""
        remaining = []
        for message in state.messages:
            actor = state.started(message.actor)
            late = message.orphan or message.round < actor.round or actor.outcome is not None
            if not late or await self.has_effect(state, message, actor):
                remaining.append(message)
        return state._replace(messages=tuple(sorted(remaining, key=delivery_order)))

    async def has_effect(self, state: State, message: Message, actor: ActorState) -> bool:
        """Whether a late message can still change a replica, or the record that its actor knows."""
        waits = actor.outcome is None and not message.orphan
        if message.answer is not None:
            return waits and rejected_record_version(message.answer) > actor.version
        replica = state.replicas[self.names.index(message.replica)]
        after, answer = await self.replicas.handle(replica, message.method, message.args)
        return after != replica or (waits and rejected_record_version(answer) > actor.version)


def delivery_order(message: Message) -> tuple[int, str, int, str, bytes]:
    """One order of the messages in flight, so that states with the same messages are equal."""
    return message.round, message.replica, message.actor, message.method, message.args


@lru_cache(maxsize=REJECTIONS_CACHED)
def rejected_record_version(answer: bytes) -> int:
    """The version of the membership record that a rejection carries, or 0."""
    verdict, *content = ormsgpack.unpackb(answer)
    if verdict != "rejected":
        return 0
    facts = content[1]
    version: int = facts["record"]["version"] if "record" in facts else 0
    return version
