"""The command line at a server that sends without end: it ends with a clear error."""

from __future__ import annotations

import socket
import threading

import pytest
from endless_kinds import ENDLESS, endless

from meadowdock.cli import bounded_network
from meadowdock.cli.exceptions import OutcomeUnknown
from meadowdock.cli.operator_client import send_request

SENT_AT_MOST = 64 << 20
ANSWER_BYTES, BODY_BYTES = 4 << 20, 1 << 20  # lower than the real bounds, which take minutes
PATIENCE_S = 60


class EndlessServer:
    """Sends the same bytes to one request, and counts them."""

    def __init__(self, kind):
        self.answer, self.sent = endless(kind), 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        sock, _ = self.listener.accept()
        with sock, self.listener:
            try:
                sock.recv(65_536)
                sock.sendall(self.answer.opening)
                while True:
                    sock.sendall(self.answer.piece)
                    self.sent += len(self.answer.piece)
            except OSError:
                pass


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_answer_without_end(kind, monkeypatch):
    monkeypatch.setattr(bounded_network, "ANSWER_MAX_BYTES", ANSWER_BYTES)
    monkeypatch.setattr(bounded_network, "BODY_MAX_BYTES", BODY_BYTES)
    server = EndlessServer(kind)
    with pytest.raises(OutcomeUnknown):
        send_request([server.address], "GET", "/status")
    server.thread.join(PATIENCE_S)
    assert not server.thread.is_alive(), "the connection is closed"
    assert server.sent < SENT_AT_MOST


def test_an_answer_that_takes_too_long(monkeypatch):
    """A server that sends a little now and then is no reason to wait for ever."""
    monkeypatch.setattr(bounded_network, "ANSWER_MAX_S", 0)
    server = EndlessServer("chunks-of-one-byte")
    with pytest.raises(OutcomeUnknown, match="no end"):
        send_request([server.address], "GET", "/status")
