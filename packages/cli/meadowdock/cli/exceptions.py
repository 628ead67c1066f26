"""The ways in which a request to the config store fails, by what is known of its outcome."""

from __future__ import annotations


class Unreachable(Exception):
    """No member accepted a connection: nothing was sent, so the request did not run."""


class OutcomeUnknown(Exception):
    """The request was sent, but there was no usable response: it may have run."""
