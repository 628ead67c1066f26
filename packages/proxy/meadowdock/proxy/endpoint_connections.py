"""Connections to the endpoints on this machine: opened, verified, and kept for the next call."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from meadowdock.logs import events as log_events
from meadowdock.proxy.endpoints import Endpoint, EndpointRegistry
from meadowdock.runtime import HttpConnectionFailed
from meadowdock.runtime.http_client import HttpConnection

if TYPE_CHECKING:
    from meadowdock.process import Node

IDENTITY_PATH = "/md/identity"


class EndpointConnections:
    """Opens connections, and keeps idle ones in `Endpoint.idle_connections`."""

    def __init__(self, node: Node, endpoints: EndpointRegistry) -> None:
        self.node, self.endpoints = node, endpoints

    async def acquire(self, endpoint: Endpoint, service: dict[str, Any]) -> HttpConnection:
        """Return an idle connection, or a new one whose endpoint has proved its identity.

        :raises HttpConnectionFailed: with sent=False, since no byte of a call was sent.
        """
        while endpoint.idle_connections:
            connection = endpoint.idle_connections.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        connection = self.node.runtime.net.http_connection(endpoint.address)
        if service["identity"]:
            await self.verify_identity(endpoint, connection)
        if endpoint.removed:
            await connection.close()
            raise HttpConnectionFailed(False, f"endpoint {endpoint.address} was removed")
        return connection

    async def verify_identity(self, endpoint: Endpoint, connection: HttpConnection) -> None:
        """Check which process answers at the address; if it is another one, remove the endpoint.

        :raises HttpConnectionFailed: another process answers, or none does.
        """
        try:
            status, _, body = await connection.request("GET", IDENTITY_PATH, [], b"")
        except HttpConnectionFailed as failed:
            raise HttpConnectionFailed(False, failed) from failed  # no byte of the call was sent
        expected = {"service": endpoint.service, "incarnation": endpoint.incarnation}
        if status != 200 or not has_fields(body, expected):
            await connection.close()
            self.node.log(
                log_events.ENDPOINT_CHECK_FAILED, address=endpoint.address, why="identity"
            )
            self.endpoints.remove(endpoint, "identity")
            raise HttpConnectionFailed(False, f"another process answers at {endpoint.address}")

    def release(self, endpoint: Endpoint, connection: HttpConnection) -> None:
        """Keep a connection that carried a complete response for reuse, or have it closed."""
        idle = endpoint.idle_connections
        if not endpoint.removed and not connection.is_stale() and len(idle) < endpoint.capacity:
            idle.append(connection)
        else:
            self.endpoints.connections_to_close.append(connection)

    async def close_unwanted(self) -> None:
        """Close the connections that are no longer wanted."""
        unwanted, self.endpoints.connections_to_close = self.endpoints.connections_to_close, []
        for connection in unwanted:
            await connection.close()


def has_fields(body: bytes, expected: dict[str, str]) -> bool:
    """Return whether a body is a JSON object with all of these fields."""
    try:
        fields = json.loads(body)
    except ValueError:
        return False
    return isinstance(fields, dict) and all(
        fields.get(name) == value for name, value in expected.items()
    )
