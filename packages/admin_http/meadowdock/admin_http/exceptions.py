"""Why the body of a request can't be read. Neither error is raised once the body is complete."""

from __future__ import annotations


class BodyTooLarge(Exception):
    """The body of a request is over its limit; the app answers 413."""


class ClientDisconnected(Exception):
    """The client closed its connection before the end of its request; nothing is answered."""
