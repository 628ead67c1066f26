"""The operations whose schedules are explored, each run by a process that is no voter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowdock.model_checker.process import ModelMembers

KEY = "k"
READ_REPAIR_DELAY = 1  # us: a read repairs members that it finds diverging twice in the same way

Value = tuple[Any, ...]


@dataclass(frozen=True)
class Operation:
    """One operation. after: names of those that must have ended before it begins. rounds: it
    expires instead of beginning a further one, as if its deadline came then."""

    name: str
    rounds: int
    after: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """Run it; gives the register's value that it observed."""
        raise NotImplementedError


@dataclass(frozen=True)
class Append(Operation):
    """A change that appends this operation's name, unless it is there already."""

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """The value with this name in it."""

        def appended(old: list[str] | None) -> list[str]:
            old = old or []
            return old if self.name in old else [*old, self.name]

        return tuple(await process.proposer.change(KEY, appended, deadline))


@dataclass(frozen=True)
class Read(Operation):
    """A read; it does not wait for diverging members to agree by themselves."""

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """The value read."""
        process.proposer.read_repair_delay.current = READ_REPAIR_DELAY
        return tuple(await process.proposer.read(KEY, deadline) or ())


@dataclass(frozen=True)
class MoveMembers(Operation):
    """A change of members: the joint configuration, state transfer, then the new voters alone."""

    target: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """It observes nothing of the value."""
        await process.change_members(frozenset(self.target), deadline)
        return ()
