"""The sidecar proxy (daemon mdproxy) that runs beside each endpoint."""

from meadowdock.proxy.server import ProxyServer

__all__ = ["ProxyServer"]
