"""Crowds of clients outside of the limits: no process ends, grows over its memory, or goes deaf.

Each crowd and the bounds are fixed: the bounds are memoryMb and maxFileDescriptors of the settings.
While the crowd stays, and after it, ordinary callers are answered.
"""

from __future__ import annotations

import pytest
from crowds import (
    BODY_BYTES,
    CONTROL,
    DESCRIPTORS,
    HEADER_BYTES,
    INBOUND,
    OUTBOUND,
    READY,
    Crowd,
    deployment,
)

pytestmark = pytest.mark.crowd

CALL = b"POST /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Remaining: 3000\r\n"
CHUNKED = CALL + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD_CROWD = 300  # connections
BODY_CROWD = 80
LONG_LINE = b"GET /r/x HTTP/1.1\r\nHost: a.example\r\nX-Long: " + b"x" * 262_144
ORDER = b"POST /api/config/modify HTTP/1.1\r\nHost: c\r\n"


def with_length(size: int) -> bytes:
    """Return a head that declares a body's length."""
    return CALL + b"Content-Length: %d\r\n\r\n" % size


def chunks(size: int, count: int) -> bytes:
    """Return chunks of a body."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size) * count


def run_crowd(folder, port: int, count: int, data: bytes, role: str = "mdproxy") -> None:
    """Send a crowd to a listener, and check the process, also while the crowd stays."""
    with deployment(folder) as running:
        host = running.core if role == "mdconf" else running.side
        crowd = Crowd((host, port), count)
        try:
            crowd.send(data)
            running.check(role)
            running.check_ordinary_callers()
        finally:
            crowd.close()
        running.check_ordinary_callers()
        running.check(role)


def test_heads_without_end(tmp_path):
    run_crowd(tmp_path, OUTBOUND, HEAD_CROWD, LONG_LINE)


def test_heads_over_the_limit_that_end(tmp_path):
    run_crowd(tmp_path, OUTBOUND, HEAD_CROWD, LONG_LINE + b"\r\n\r\n")


def test_heads_of_many_short_lines(tmp_path):
    head = b"GET /r/x HTTP/1.1\r\nHost: a.example\r\n"
    run_crowd(tmp_path, OUTBOUND, HEAD_CROWD, head + b"a:b\r\n" * (HEADER_BYTES // 7))


def test_empty_lines_without_end(tmp_path):
    run_crowd(tmp_path, OUTBOUND, 60, b"\r\n" * 500_000)


def test_trailer_lines_without_end(tmp_path):
    data = CHUNKED + chunks(5, 1) + b"0\r\nX-Trailer: " + b"x" * (4 << 20)
    run_crowd(tmp_path, OUTBOUND, 40, data)


def test_many_trailer_lines(tmp_path):
    run_crowd(tmp_path, OUTBOUND, 40, CHUNKED + b"0\r\n" + b"x: y\r\n" * 300_000)


def test_chunk_extensions_without_end(tmp_path):
    run_crowd(tmp_path, OUTBOUND, 60, CHUNKED + b"5;x=" + b"x" * (1 << 20))


def test_bodies_that_stop_one_byte_short(tmp_path):
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, with_length(BODY_BYTES) + b"x" * (BODY_BYTES - 1))


def test_bodies_that_are_declared_and_never_sent(tmp_path):
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, with_length(BODY_BYTES))


def test_declared_bodies_of_several_sizes_that_fill_the_memory(tmp_path):
    """What a crowd only declares leaves room for the small body of an ordinary caller."""
    with deployment(tmp_path) as running:
        sizes = ((BODY_BYTES, 20), (65_536, 100), (900, 200))
        crowds = [Crowd((running.side, OUTBOUND), count) for _, count in sizes]
        try:
            for crowd, (size, _) in zip(crowds, sizes, strict=True):
                crowd.send(with_length(size))
            running.check("mdproxy")
            running.check_ordinary_callers()
        finally:
            for crowd in crowds:
                crowd.close()
        running.check("mdproxy")


def test_whole_bodies(tmp_path):
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, with_length(BODY_BYTES) + b"x" * BODY_BYTES)


def test_bodies_in_large_chunks_without_the_last_one(tmp_path):
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, CHUNKED + chunks(65_536, BODY_BYTES // 65_536))


def test_bodies_in_small_chunks_without_the_last_one(tmp_path):
    run_crowd(tmp_path, OUTBOUND, HEAD_CROWD, CHUNKED + chunks(2, 20_000))


def test_pipelined_requests_whose_answers_are_not_read(tmp_path):
    requests = (with_length(60_000) + b"x" * 60_000) * 60
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, requests)


def test_pipelined_requests_without_a_body_whose_answers_are_not_read(tmp_path):
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, (CALL + b"Content-Length: 0\r\n\r\n") * 5_000)


def test_more_connections_than_descriptors(tmp_path):
    run_crowd(tmp_path, OUTBOUND, DESCRIPTORS + 100, b"")


def test_more_unfinished_requests_than_descriptors(tmp_path):
    run_crowd(tmp_path, OUTBOUND, DESCRIPTORS + 100, with_length(2) + b"x")


@pytest.mark.parametrize("port", (READY, CONTROL, INBOUND))
@pytest.mark.parametrize("data", (b"", LONG_LINE, with_length(BODY_BYTES)))
def test_more_connections_than_descriptors_at_the_other_listeners_of_a_proxy(tmp_path, port, data):
    run_crowd(tmp_path, port, DESCRIPTORS + 100, data)


def test_heads_without_end_at_the_control_plane(tmp_path):
    run_crowd(tmp_path, CONTROL, HEAD_CROWD, LONG_LINE, "mdconf")


def test_heads_of_many_short_lines_at_the_control_plane(tmp_path):
    head = b"GET / HTTP/1.1\r\nHost: c\r\n" + b"a:b\r\n" * 9_000
    run_crowd(tmp_path, CONTROL, HEAD_CROWD, head, "mdconf")


def test_more_connections_than_descriptors_at_the_control_plane(tmp_path):
    run_crowd(tmp_path, CONTROL, DESCRIPTORS + 100, b"", "mdconf")


def test_orders_that_stop_one_byte_short(tmp_path):
    size = 4 << 20
    order = ORDER + b"Content-Length: %d\r\n\r\n" % size + b"x" * (size - 1)
    run_crowd(tmp_path, CONTROL, 40, order, "mdconf")


def test_orders_in_small_chunks_without_the_last_one(tmp_path):
    order = ORDER + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(2, 50_000)
    run_crowd(tmp_path, CONTROL, 100, order, "mdconf")


def test_bodies_that_make_no_progress_are_given_up(tmp_path):
    """Without pressure, too: each holds a connection and memory for as long as it stays."""
    with deployment(tmp_path, idle_timeout="2s") as running:
        crowd = Crowd((running.side, OUTBOUND), 5)
        try:
            crowd.send(with_length(1_000) + b"x" * 999)
            for sock in crowd.sockets:
                sock.setblocking(True)
                sock.settimeout(60)
                assert sock.recv(100).startswith(b"HTTP/1.1 408 "), "never run"
        finally:
            crowd.close()
        running.check("mdproxy")


def test_a_single_body_of_the_largest_size_is_served(tmp_path):
    with deployment(tmp_path) as running:
        running.wait_for(lambda: running.request("POST", bytes(BODY_BYTES)))
        running.check("mdproxy")


def test_whole_requests_of_many_short_lines_whose_connections_stay(tmp_path):
    head = b"GET /nowhere/x HTTP/1.1\r\nHost: a.example\r\n" + b"a:b\r\n" * (HEADER_BYTES // 7)
    run_crowd(tmp_path, OUTBOUND, HEAD_CROWD, head + b"\r\n")


def test_pipelined_requests_with_large_heads_whose_answers_are_not_read(tmp_path):
    head = CALL + b"Content-Length: 0\r\nX-Large: " + b"x" * (HEADER_BYTES - 1_000) + b"\r\n\r\n"
    run_crowd(tmp_path, OUTBOUND, BODY_CROWD, head * 300)
