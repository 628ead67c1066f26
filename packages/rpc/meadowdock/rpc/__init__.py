"""Remote procedure calls between the processes of a fleet, over TCP.

Messages are encoded as msgpack and sent in frames that are authenticated with the fleet key. Calls
go in one direction on a connection: the side that opened it is the client, the other the server.

- exceptions: errors of a call
- frame: authenticated frames
- handshake: mutual authentication of a new connection
- messages: requests and responses, and their encoding
- frame_writer: outgoing frames and their queue
- handlers: the methods that a server provides
- server, client: the two ends of a connection
- connection_pool: a process' connections to its peers
- queueing_delay: an estimate of how long requests were queued in transit
- schedule: a common schedule for the periodic tasks of a process
"""

from meadowdock.rpc.client import ClientConnection
from meadowdock.rpc.connection_pool import ConnectionPool
from meadowdock.rpc.exceptions import (
    AuthenticationFailed,
    ConnectionFailed,
    ProtocolError,
    Rejected,
    RpcError,
)
from meadowdock.rpc.frame import FrameAuthenticator, derive_key, read_frame, write_frame
from meadowdock.rpc.handlers import Handlers
from meadowdock.rpc.handshake import Peer
from meadowdock.rpc.periodic_schedule import PeriodicSchedule
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.rpc.server import serve_connection

__all__ = [
    "AuthenticationFailed",
    "ClientConnection",
    "ConnectionFailed",
    "ConnectionPool",
    "FrameAuthenticator",
    "Handlers",
    "Peer",
    "PeriodicSchedule",
    "ProtocolError",
    "QueueingDelayEstimator",
    "Rejected",
    "RpcError",
    "derive_key",
    "read_frame",
    "serve_connection",
    "write_frame",
]
