"""The table of methods that a process serves to its peers."""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[..., Awaitable[Any]]


class Handlers:
    """Handlers by method name, registered by decorators.

    A handler takes the peer and the arguments of a call and gives a value that msgpack can encode,
    or raises `Rejected`. In a class body the table contains plain functions; `bind` makes methods
    of them.
    """

    def __init__(self, table: dict[str, Handler] | None = None) -> None:
        self.table: dict[str, Handler] = table if table is not None else {}

    def on(self, method: str) -> Callable[[Handler], Handler]:
        """Register the decorated function for a method."""

        def register(handler: Handler) -> Handler:
            self.table[method] = handler
            return handler

        return register

    def bind(self, owner: object) -> Handlers:
        """The table of a class, bound to one of its objects."""
        return Handlers(
            {method: types.MethodType(handler, owner) for method, handler in self.table.items()}
        )

    def __or__(self, other: Handlers) -> Handlers:
        return Handlers({**self.table, **other.table})
