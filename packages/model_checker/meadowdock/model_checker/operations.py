"""The operations whose schedules are explored, each run by a process that is not a voter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowdock.model_checker.model_process import ModelMembers

KEY = "k"
READ_REPAIR_DELAY = 1  # us; a read repairs members as soon as two polls show the same divergence

Value = tuple[Any, ...]


@dataclass(frozen=True)
class Operation:
    """One operation.

    :ivar max_rounds: the operation expires instead of starting a further round, as if its deadline
        passed then.
    :ivar after: the names of the operations that must have ended before this one starts.
    """

    name: str
    max_rounds: int
    after: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """Run the operation and return the value of the register that it observed."""
        raise NotImplementedError


@dataclass(frozen=True)
class Append(Operation):
    """A change that appends the name of this operation, unless the value contains it already."""

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """Change the value and return the new one."""

        def append_name(value: list[str] | None) -> list[str]:
            value = value or []
            return value if self.name in value else [*value, self.name]

        return tuple(await process.proposer.change(KEY, append_name, deadline))


@dataclass(frozen=True)
class Read(Operation):
    """A read, which does not wait for diverging members to agree without a repair."""

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """Read the value and return it."""
        process.proposer.read_repair_delay.current = READ_REPAIR_DELAY
        return tuple(await process.proposer.read(KEY, deadline) or ())


@dataclass(frozen=True)
class ChangeMembers(Operation):
    """A membership change: the joint configuration, state transfer, then the new voters alone."""

    target: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> Value:
        """Change the members; the returned value is empty, as the operation observes none."""
        await process.change_members(frozenset(self.target), deadline)
        return ()
