"""Errors of reading the body of a request.

Neither is raised once the body is complete.
"""

from __future__ import annotations


class BodyTooLarge(Exception):
    """The body of a request is over its limit; the app responds with 413."""


class ClientDisconnected(Exception):
    """The client closed its connection before the end of its request; there is no response."""
