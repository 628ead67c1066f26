"""Numbered log events: their catalogue, and the log that writes them."""

from meadowdock.logs.catalogue import CATALOGUE, EventKind
from meadowdock.logs.log import Log, standard_error

__all__ = ["CATALOGUE", "EventKind", "Log", "standard_error"]
