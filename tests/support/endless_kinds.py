"""Kinds of bytes that an answer may hold without end, for parsers and clients."""

from __future__ import annotations

from faulty_endpoints import identity

from meadowdock.simulator.standin.endless import ENDLESS, EndlessAnswer

READ_BYTES = 16_384


def endless(kind: str, call_id: bytes = b"c-1") -> EndlessAnswer:
    """Return the bytes of a kind."""
    return ENDLESS[kind](identity(call_id))


def reads(answer: EndlessAnswer, total: int):
    """Yield the beginning of an endless answer, as it is read from a socket."""
    data, sent = answer.opening, 0
    while sent < total:
        data += answer.piece
        while len(data) >= READ_BYTES:
            yield data[:READ_BYTES]
            data = data[READ_BYTES:]
            sent += READ_BYTES


__all__ = ["ENDLESS", "endless", "reads"]
