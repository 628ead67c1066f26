"""Addresses of processes and endpoints."""

from __future__ import annotations


class Address(str):
    """An address of the form "IP:port".

    >>> Address("10.0.0.1:80").host, Address("10.0.0.1:80").port
    ('10.0.0.1', 80)
    """

    __slots__ = ()

    @property
    def host(self) -> str:
        """The IP address."""
        return self.rpartition(":")[0]

    @property
    def port(self) -> int:
        """The port."""
        return int(self.rpartition(":")[2])
