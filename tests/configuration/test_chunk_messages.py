"""Messages of chunk fetches: their field names on the wire, and the limits of a request."""

from __future__ import annotations

import pytest

from meadowdock.configuration.chunk_messages import (
    MAX_FRAME_BYTES,
    MAX_NAMES,
    MIN_FRAME_BYTES,
    ChunkPiece,
    ChunkRequest,
    ChunkResponse,
)

REQUEST = {"form": "routing", "names": ["a", "b"], "offset": 7, "frame": 2048}
RESPONSE = {"pieces": [["a", 5, b"body"]], "missing": ["b"]}


def test_a_request_round_trips_through_its_wire_format():
    request = ChunkRequest.from_wire(REQUEST)
    assert request == ChunkRequest("routing", ["a", "b"], 7, 2048)
    assert list(request.to_wire().items()) == list(REQUEST.items())


@pytest.mark.parametrize(
    ("requested", "allowed"),
    [(0, MIN_FRAME_BYTES), (MIN_FRAME_BYTES, MIN_FRAME_BYTES), (1 << 30, MAX_FRAME_BYTES)],
)
def test_the_requested_frame_size_is_clamped(requested, allowed):
    assert ChunkRequest.from_wire({**REQUEST, "frame": requested}).frame_bytes == allowed


def test_names_beyond_the_limit_are_ignored():
    names = [str(number) for number in range(MAX_NAMES + 1)]
    assert ChunkRequest.from_wire({**REQUEST, "names": names}).names == names[:MAX_NAMES]


def test_a_response_round_trips_through_its_wire_format():
    response = ChunkResponse.from_wire(RESPONSE)
    assert response == ChunkResponse([ChunkPiece("a", 5, b"body")], ["b"])
    assert response.to_wire() == RESPONSE
    assert isinstance(response.to_wire()["pieces"][0], list)


@pytest.mark.parametrize(
    "wire",
    [{}, {"pieces": [["a", 5]], "missing": []}, {"pieces": [["a", 5, "text"]], "missing": []}],
)
def test_a_malformed_response_is_rejected(wire):
    with pytest.raises((KeyError, ValueError, TypeError)):
        ChunkResponse.from_wire(wire)
