"""The traffic path: calls by host and prefix, as continuations in turns."""

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.gate import Gate
from meadowdock.forwarding.reactor import Reactor
from meadowdock.forwarding.wires import Wires

__all__ = ["Dialect", "Gate", "Reactor", "Wires"]
