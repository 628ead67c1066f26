"""The traffic path: calls by host and prefix, as continuations in turns."""

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.gateway import Gateway
from meadowdock.forwarding.reactor import Reactor
from meadowdock.forwarding.sockets import SocketNetwork

__all__ = ["Dialect", "Gateway", "Reactor", "SocketNetwork"]
