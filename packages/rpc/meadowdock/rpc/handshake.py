"""The handshake of a new connection: both sides prove that they know the fleet key.

Client to server: protocol name, client's nonce, name and address. Server to client: server's nonce,
name and proof. Client to server: client's proof. A proof is an HMAC under the fleet key over all
of these (the transcript), so it can't be replayed on another connection. Both sides then derive
the same session key, under which all further frames are sealed.
"""

from __future__ import annotations

import hmac
import random
from dataclasses import dataclass

import trio

from meadowdock.rpc.exceptions import AuthenticationFailed, ProtocolError
from meadowdock.rpc.frame import (
    FrameAuthenticator,
    FrameReader,
    derive_key,
    read_frame,
    write_frame,
)
from meadowdock.rpc.messages import pack, unpack

PROTOCOL = "md1"
NONCE_SIZE = 16  # bytes
NO_KEY = b"\x00" * 32  # frames of the handshake itself are counted, but not secret-keyed

# Derivation contexts: part of the protocol
CLIENT_HANDSHAKE, SERVER_HANDSHAKE = b"greeting-out", b"greeting-in"
CLIENT_SESSION, SERVER_SESSION = b"out", b"in"
CLIENT_PROOF, SERVER_PROOF, SESSION_KEY = b"opener", b"answerer", b"session"


@dataclass(frozen=True)
class Peer:
    """The process at the other end of a connection.

    :ivar name: its name.
    :ivar address: where its own server can be reached, as it says itself under the fleet key; empty
        if it was this side that opened the connection.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Session:
    """An authenticated connection: its reader, the keys of both directions, and the peer."""

    reader: FrameReader
    outgoing: FrameAuthenticator
    incoming: FrameAuthenticator
    peer: Peer

    async def receive(self) -> bytes:
        """The body of the next frame. Raises what `read_frame` raises."""
        return await read_frame(self.reader, self.incoming)


@dataclass(frozen=True, slots=True)
class Transcript:
    """What both sides said in the handshake."""

    client_nonce: bytes
    server_nonce: bytes
    client: Peer
    server_name: str

    def derive(self, fleet_key: bytes, purpose: bytes) -> bytes:
        """A proof, or the session key, for this handshake."""
        return derive_key(
            fleet_key,
            purpose,
            self.client_nonce,
            self.server_nonce,
            self.client.name.encode(),
            self.client.address.encode(),
            self.server_name.encode(),
        )


async def client_handshake(
    stream: trio.abc.Stream, fleet_key: bytes, rng: random.Random, me: Peer
) -> Session:
    """The handshake of the side that opened the connection.

    :raises AuthenticationFailed: the server doesn't know the fleet key.
    :raises ValueError, EOFError, OSError: the server sent something else, or closed the stream.
    """
    client_nonce = rng.randbytes(NONCE_SIZE)
    reader = FrameReader(stream)
    outgoing = FrameAuthenticator(NO_KEY, CLIENT_HANDSHAKE)
    incoming = FrameAuthenticator(NO_KEY, SERVER_HANDSHAKE)
    await write_frame(stream, outgoing, pack([PROTOCOL, client_nonce, me.name, me.address]))
    server_nonce, server_name, proof = unpack(await read_frame(reader, incoming))
    transcript = Transcript(client_nonce, server_nonce, me, server_name)
    if not hmac.compare_digest(proof, transcript.derive(fleet_key, SERVER_PROOF)):
        raise AuthenticationFailed("the server doesn't know the fleet key")
    await write_frame(stream, outgoing, pack(transcript.derive(fleet_key, CLIENT_PROOF)))
    session_key = transcript.derive(fleet_key, SESSION_KEY)
    return Session(
        reader,
        outgoing=FrameAuthenticator(session_key, CLIENT_SESSION),
        incoming=FrameAuthenticator(session_key, SERVER_SESSION),
        peer=Peer(server_name, ""),
    )


async def server_handshake(
    stream: trio.abc.Stream, fleet_key: bytes, rng: random.Random, name: str
) -> Session:
    """The handshake of the side that accepted the connection.

    :raises AuthenticationFailed: the client doesn't know the fleet key.
    :raises ProtocolError: the client speaks another protocol.
    :raises ValueError, EOFError, OSError: the client sent something else, or closed the stream.
    """
    reader = FrameReader(stream)
    outgoing = FrameAuthenticator(NO_KEY, SERVER_HANDSHAKE)
    incoming = FrameAuthenticator(NO_KEY, CLIENT_HANDSHAKE)
    protocol, client_nonce, client_name, address = unpack(await read_frame(reader, incoming))
    if protocol != PROTOCOL:
        raise ProtocolError(f"the client speaks {protocol!r}, not {PROTOCOL!r}")
    client = Peer(client_name, address)
    transcript = Transcript(client_nonce, rng.randbytes(NONCE_SIZE), client, name)
    server_proof = transcript.derive(fleet_key, SERVER_PROOF)
    await write_frame(stream, outgoing, pack([transcript.server_nonce, name, server_proof]))
    client_proof = unpack(await read_frame(reader, incoming))
    if not hmac.compare_digest(client_proof, transcript.derive(fleet_key, CLIENT_PROOF)):
        raise AuthenticationFailed("the client doesn't know the fleet key")
    session_key = transcript.derive(fleet_key, SESSION_KEY)
    return Session(
        reader,
        outgoing=FrameAuthenticator(session_key, SERVER_SESSION),
        incoming=FrameAuthenticator(session_key, CLIENT_SESSION),
        peer=client,
    )
