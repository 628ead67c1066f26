"""How a request to the config store can fail, by what is known of it."""

from __future__ import annotations


class Unreachable(Exception):
    """No member took a connection: nothing was sent, and the request did not run."""


class OutcomeUnknown(Exception):
    """The request was sent and no usable response came: it may have run."""
