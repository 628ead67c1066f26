"""The messages of a connection and their encoding: msgpack lists of a kind, a call's id and fields.

This is the only module that knows the positions of fields on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ormsgpack

from meadowdock.runtime.slab import Handle

REQUEST, RESPONSE, REJECTION, CANCEL = range(4)  # kinds of messages, on the wire

CallId = Handle  # a slot of the client's slab; the server sends it back unchanged


def pack(value: Any) -> bytes:
    """Encode plain values (numbers, texts, bytes, lists, maps) as msgpack."""
    return ormsgpack.packb(value, option=ormsgpack.OPT_NON_STR_KEYS)


def unpack(data: bytes) -> Any:
    """Decode msgpack.

    :raises ormsgpack.MsgpackDecodeError: the bytes are no valid msgpack.
    """
    return ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)


@dataclass(frozen=True, slots=True)
class Request:
    """A client calls a method. Times are microseconds.

    :ivar time_left_us: how long the client still waits for the response.
    :ivar sent_at_us: the client's monotonic clock; only differences of it have a meaning.
    """

    call_id: CallId
    method: str
    args: Any
    time_left_us: int
    sent_at_us: int

    def encode(self) -> bytes:
        """The frame's body."""
        return pack(
            [REQUEST, self.call_id, self.method, self.args, self.time_left_us, self.sent_at_us]
        )


@dataclass(frozen=True, slots=True)
class Response:
    """A handler's result."""

    call_id: CallId
    result: Any

    def encode(self) -> bytes:
        """The frame's body."""
        return pack([RESPONSE, self.call_id, self.result])


@dataclass(frozen=True, slots=True)
class Rejection:
    """A handler refused, or failed with an unexpected error."""

    call_id: CallId
    code: str
    details: dict[str, Any]

    def encode(self) -> bytes:
        """The frame's body."""
        return pack([REJECTION, self.call_id, self.code, self.details])


@dataclass(frozen=True, slots=True)
class Cancel:
    """The client doesn't wait for this call any longer."""

    call_id: CallId

    def encode(self) -> bytes:
        """The frame's body."""
        return pack([CANCEL, self.call_id])


def decode_from_client(body: bytes) -> Request | Cancel | None:
    """A message that a server received; None for a kind that it doesn't know.

    :raises ValueError: the body is no message.
    """
    kind, call_id, *fields = unpack(body)
    if kind == REQUEST:
        method, args, time_left_us, sent_at_us = fields
        return Request(tuple(call_id), method, args, time_left_us, sent_at_us)
    if kind == CANCEL:
        return Cancel(tuple(call_id))
    return None


def decode_from_server(body: bytes) -> Response | Rejection:
    """A message that a client received.

    :raises ValueError: the body is no message.
    """
    kind, call_id, *fields = unpack(body)
    if kind == RESPONSE:
        result, *_ = fields
        return Response(tuple(call_id), result)
    code, details, *_ = fields
    return Rejection(tuple(call_id), code, details)
