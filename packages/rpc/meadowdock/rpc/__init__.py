"""Remote procedure calls between the processes of a fleet, over TCP.

Messages are encoded as msgpack and sent in frames that are authenticated by the fleet key. Calls go
one way on a connection: the side that opened it is the client, the other the server.

- exceptions: the errors of a call
- frame: authenticated frames
- handshake: mutual authentication of a new connection
- messages: requests and responses, and their encoding
- frame_writer: outgoing frames, with their queue
- handlers: the methods that a server has
- server, client: the two ends of a connection
- connection_pool: a process' connections to its peers
- queueing_delay: how long requests were on their way
- schedule: a common schedule of periodic tasks
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
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.rpc.schedule import PeriodicSchedule
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
