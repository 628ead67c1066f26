"""A link is closed when its peer is silent, but not while the peer still takes what was sent."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from meadowdock.forwarding import peer_link
from meadowdock.forwarding.peer_link import OutgoingLink

NOW = 10**9
LONG_US = 2 * peer_link.SILENCE_TIMEOUT_US


class RecordingLink(OutgoingLink):
    """A ready link with a pending call, which records what it does."""

    def __init__(self, accepted_at):
        self.ready, self.pending, self.received_at = True, ["call"], NOW - LONG_US
        self.connection = SimpleNamespace(blocked_since=accepted_at)
        self.closed, self.sent = [], []

    def close(self, cause):
        self.closed.append(cause)

    def send(self, frame):
        self.sent.append(frame)


@pytest.mark.parametrize(
    ("accepted_at", "is_closed"),
    ((0, True), (NOW - LONG_US, True), (NOW - 1, False)),
)
def test_a_large_call_that_the_peer_still_takes_does_not_end_its_link(accepted_at, is_closed):
    link = RecordingLink(accepted_at)
    link.check_silence(NOW)
    assert bool(link.closed) is is_closed
