"""Routes: which handler answers a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock.admin_http.messages import Response

Handler = Callable[..., Awaitable[Response]]  # of an app's owner and a Request


class RouteTable:
    """Handlers by method and path; a path that ends in "*" takes all paths below it.

    exact: {(method, path): handler}. prefixes: (method, prefix, handler), the first match wins.
    fallback: the handler of requests that no other one takes.
    """

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.prefixes: list[tuple[str, str, Handler]] = []
        self.fallback: Handler | None = None

    def on(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """A decorator that registers a handler."""

        def register(handler: Handler) -> Handler:
            if path.endswith("*"):
                self.prefixes.append((method, path[:-1], handler))
            else:
                self.exact[method, path] = handler
            return handler

        return register

    def otherwise(self, handler: Handler) -> Handler:
        """A decorator that registers the fallback."""
        self.fallback = handler
        return handler

    def find(self, method: str, path: str) -> Handler | None:
        """The handler of a request, if any."""
        return self.exact.get((method, path)) or self.find_prefix(method, path) or self.fallback

    def find_prefix(self, method: str, path: str) -> Handler | None:
        """The handler of the first prefix that matches, if any."""
        for known_method, prefix, handler in self.prefixes:
            if known_method == method and path.startswith(prefix):
                return handler
        return None
