"""The traffic path: calls by host and prefix, as continuations in turns."""

from mdgate.dialect import Dialect
from mdgate.gate import Gate
from mdgate.reactor import Reactor
from mdgate.wires import Wires

__all__ = ["Dialect", "Gate", "Reactor", "Wires"]
