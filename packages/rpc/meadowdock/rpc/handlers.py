"""The table of rpc methods that a process provides to its peers."""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[..., Awaitable[Any]]


class Handlers:
    """Handlers by method name, registered by decorators.

    A handler takes the peer and the arguments of a call and returns a value that msgpack can
    encode, or raises `Rejected`. In a class body the table contains plain functions; `bind` turns
    them into bound methods.
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
        """Return a copy of the table with the handlers bound to an object of their class."""
        return Handlers(
            {method: types.MethodType(handler, owner) for method, handler in self.table.items()}
        )

    def __or__(self, other: Handlers) -> Handlers:
        return Handlers({**self.table, **other.table})
