"""The proxy (program mdproxy) beside each endpoint."""

from meadowdock.proxy.server import ProxyServer

__all__ = ["ProxyServer"]
