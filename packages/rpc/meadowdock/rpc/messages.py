"""The messages of a connection and their encoding.

A message is a msgpack list: the kind, the id of the call, and fields that depend on the kind. Only
this module knows the positions of the fields.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ormsgpack

from meadowdock.runtime.slab import Handle

REQUEST, RESPONSE, REJECTION, CANCEL = range(4)  # message kinds on the wire

CallId = Handle  # a slot of the client's slab; the server returns it unchanged


def pack(value: Any) -> bytes:
    """Encode plain values (numbers, strings, bytes, lists, maps) as msgpack."""
    return ormsgpack.packb(value, option=ormsgpack.OPT_NON_STR_KEYS)


def unpack(data: bytes) -> Any:
    """Decode msgpack.

    :raises ormsgpack.MsgpackDecodeError: the bytes are not valid msgpack.
    """
    return ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)


@dataclass(frozen=True, slots=True)
class Request:
    """A client's call of a method.

    :ivar time_left_us: how long the client will still wait for the response.
    :ivar sent_at_us: the client's monotonic clock, of which only differences are meaningful.
    """

    call_id: CallId
    method: str
    args: Any
    time_left_us: int
    sent_at_us: int

    def encode(self) -> bytes:
        """Encode the message as the body of a frame."""
        return pack(
            [REQUEST, self.call_id, self.method, self.args, self.time_left_us, self.sent_at_us]
        )


@dataclass(frozen=True, slots=True)
class Response:
    """The result of a handler."""

    call_id: CallId
    result: Any

    def encode(self) -> bytes:
        """Encode the message as the body of a frame."""
        return pack([RESPONSE, self.call_id, self.result])


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer to a call that a handler refused, or that failed with an unexpected error."""

    call_id: CallId
    code: str
    details: dict[str, Any]

    def encode(self) -> bytes:
        """Encode the message as the body of a frame."""
        return pack([REJECTION, self.call_id, self.code, self.details])


@dataclass(frozen=True, slots=True)
class Cancel:
    """A client's notice that it no longer waits for a call."""

    call_id: CallId

    def encode(self) -> bytes:
        """Encode the message as the body of a frame."""
        return pack([CANCEL, self.call_id])


def decode_from_client(body: bytes) -> Request | Cancel | None:
    """Decode a message received by a server.

    :returns: the message, or None if its kind is unknown.
    :raises ValueError: the body is not a message.
    """
    kind, call_id, *fields = unpack(body)
    if kind == REQUEST:
        method, args, time_left_us, sent_at_us = fields
        return Request(tuple(call_id), method, args, time_left_us, sent_at_us)
    if kind == CANCEL:
        return Cancel(tuple(call_id))
    return None


def decode_from_server(body: bytes) -> Response | Rejection:
    """Decode a message received by a client.

    :raises ValueError: the body is not a message.
    """
    kind, call_id, *fields = unpack(body)
    if kind == RESPONSE:
        result, *_ = fields
        return Response(tuple(call_id), result)
    code, details, *_ = fields
    return Rejection(tuple(call_id), code, details)
