"""The table of routes: which handler responds to a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock.admin_http.messages import Response

Handler = Callable[..., Awaitable[Response]]  # takes the app's handler_context and a Request


class RouteTable:
    """Handlers by method and path; a path that ends in "*" matches all paths below it.

    exact: {(method, path): handler}. prefixes: (method, prefix, handler), the first match wins.
    fallback: the handler of requests that match no other one.
    """

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.prefixes: list[tuple[str, str, Handler]] = []
        self.fallback: Handler | None = None

    def on(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler."""

        def register(handler: Handler) -> Handler:
            if path.endswith("*"):
                self.prefixes.append((method, path[:-1], handler))
            else:
                self.exact[method, path] = handler
            return handler

        return register

    def set_fallback(self, handler: Handler) -> Handler:
        """Register the fallback; usable as a decorator."""
        self.fallback = handler
        return handler

    def find(self, method: str, path: str) -> Handler | None:
        """Return the handler of a request, or None."""
        return self.exact.get((method, path)) or self.find_prefix(method, path) or self.fallback

    def find_prefix(self, method: str, path: str) -> Handler | None:
        """Return the handler of the first prefix that matches, or None."""
        for known_method, prefix, handler in self.prefixes:
            if known_method == method and path.startswith(prefix):
                return handler
        return None
