"""The request path: routes calls by host and path prefix and forwards them to endpoints.

Calls are handled by callbacks that the reactor runs, not by tasks that are awaited.
"""

from meadowdock.forwarding.dialect import Dialect
from meadowdock.forwarding.gateway import Gateway
from meadowdock.forwarding.reactor import Reactor
from meadowdock.forwarding.sockets import SocketNetwork

__all__ = ["Dialect", "Gateway", "Reactor", "SocketNetwork"]
