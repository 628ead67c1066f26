"""The handshake of a new connection, in which both sides prove that they know the fleet key.

1. Client to server: the protocol's name, and the client's nonce, name and address.
2. Server to client: the server's nonce, name and proof.
3. Client to server: the client's proof.

A proof is an HMAC under the fleet key over both nonces, both names and the address (the
transcript), so it can't be replayed on another connection. Both sides then derive the same session
key from the transcript, with which all further frames are sealed.
"""

from __future__ import annotations

import hmac
import random
from dataclasses import dataclass

import trio

from meadowdock.rpc.exceptions import AuthenticationFailed, ProtocolError
from meadowdock.rpc.frame import (
    HANDSHAKE_MAX_FRAME_SIZE,
    MAX_FRAME_SIZE,
    FrameAuthenticator,
    FrameReader,
    derive_key,
    read_frame,
    write_frame,
)
from meadowdock.rpc.messages import pack, unpack

PROTOCOL = "md1"
NONCE_SIZE = 16  # bytes
NO_KEY = b"\x00" * 32  # frames of the handshake itself are numbered, but not sealed with a secret

# Derivation contexts; their values are part of the protocol
CLIENT_HANDSHAKE, SERVER_HANDSHAKE = b"greeting-out", b"greeting-in"
CLIENT_SESSION, SERVER_SESSION = b"out", b"in"
CLIENT_PROOF, SERVER_PROOF, SESSION_KEY = b"opener", b"answerer", b"session"


@dataclass(frozen=True)
class Peer:
    """The process at the other end of a connection.

    :ivar name: the name of the process.
    :ivar address: the address of its own rpc server, as stated in the handshake and covered by the
        proofs; empty if this side opened the connection.
    """

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Session:
    """An authenticated connection: its reader, the authenticators of both directions, the peer."""

    reader: FrameReader
    outgoing: FrameAuthenticator
    incoming: FrameAuthenticator
    peer: Peer

    async def receive(self) -> bytes:
        """Read the next frame and return its body; errors are those of `read_frame`."""
        return await read_frame(self.reader, self.incoming)


@dataclass(frozen=True, slots=True)
class Transcript:
    """The values that both sides sent in the handshake."""

    client_nonce: bytes
    server_nonce: bytes
    client: Peer
    server_name: str

    def derive(self, fleet_key: bytes, purpose: bytes) -> bytes:
        """Derive a proof or the session key of this handshake."""
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
    stream: trio.abc.Stream, fleet_key: bytes, rng: random.Random, local_peer: Peer
) -> Session:
    """Perform the handshake on the side that opened the connection.

    :raises AuthenticationFailed: the server doesn't know the fleet key.
    :raises ValueError, EOFError, OSError: the server sent a malformed message, or closed the
        stream.
    """
    client_nonce = rng.randbytes(NONCE_SIZE)
    reader = FrameReader(stream, HANDSHAKE_MAX_FRAME_SIZE)
    outgoing = FrameAuthenticator(NO_KEY, CLIENT_HANDSHAKE)
    incoming = FrameAuthenticator(NO_KEY, SERVER_HANDSHAKE)
    greeting = [PROTOCOL, client_nonce, local_peer.name, local_peer.address]
    await write_frame(stream, outgoing, pack(greeting))
    server_nonce, server_name, proof = unpack(await read_frame(reader, incoming))
    transcript = Transcript(client_nonce, server_nonce, local_peer, server_name)
    if not hmac.compare_digest(proof, transcript.derive(fleet_key, SERVER_PROOF)):
        raise AuthenticationFailed("the server doesn't know the fleet key")
    await write_frame(stream, outgoing, pack(transcript.derive(fleet_key, CLIENT_PROOF)))
    session_key = transcript.derive(fleet_key, SESSION_KEY)
    reader.max_size = MAX_FRAME_SIZE
    return Session(
        reader,
        outgoing=FrameAuthenticator(session_key, CLIENT_SESSION),
        incoming=FrameAuthenticator(session_key, SERVER_SESSION),
        peer=Peer(server_name, ""),
    )


async def server_handshake(
    stream: trio.abc.Stream, fleet_key: bytes, rng: random.Random, name: str
) -> Session:
    """Perform the handshake on the side that accepted the connection.

    :raises AuthenticationFailed: the client doesn't know the fleet key.
    :raises ProtocolError: the client uses another protocol.
    :raises ValueError, EOFError, OSError: the client sent a malformed message, or closed the
        stream.
    """
    reader = FrameReader(stream, HANDSHAKE_MAX_FRAME_SIZE)
    outgoing = FrameAuthenticator(NO_KEY, SERVER_HANDSHAKE)
    incoming = FrameAuthenticator(NO_KEY, CLIENT_HANDSHAKE)
    protocol, client_nonce, client_name, address = unpack(await read_frame(reader, incoming))
    if protocol != PROTOCOL:
        raise ProtocolError(f"the client uses protocol {protocol!r}, expected {PROTOCOL!r}")
    client = Peer(client_name, address)
    transcript = Transcript(client_nonce, rng.randbytes(NONCE_SIZE), client, name)
    server_proof = transcript.derive(fleet_key, SERVER_PROOF)
    await write_frame(stream, outgoing, pack([transcript.server_nonce, name, server_proof]))
    client_proof = unpack(await read_frame(reader, incoming))
    if not hmac.compare_digest(client_proof, transcript.derive(fleet_key, CLIENT_PROOF)):
        raise AuthenticationFailed("the client doesn't know the fleet key")
    session_key = transcript.derive(fleet_key, SESSION_KEY)
    reader.max_size = MAX_FRAME_SIZE
    return Session(
        reader,
        outgoing=FrameAuthenticator(session_key, SERVER_SESSION),
        incoming=FrameAuthenticator(session_key, CLIENT_SESSION),
        peer=client,
    )
