"""What a parsed request holds: released at once, and counted while it is there."""

from __future__ import annotations

import gc
import weakref

import pytest

from meadowdock.runtime.client_memory import HEADER_LINE_MEMORY_BYTES
from meadowdock.runtime.http_messages import MAX_HEAD_SIZE
from meadowdock.runtime.http_request_reader import (
    MAX_REQUESTS_AT_ONCE,
    RequestHead,
    RequestReader,
)

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
LINES = b"a: b\r\n" * 1_000


@pytest.mark.parametrize("data", [HEAD + LINES, HEAD + b"a: b\r\n" * MAX_HEAD_SIZE])
def test_parsed_lines_of_a_closed_connection_that_wait_for_the_garbage_collector(data):
    gc.disable()
    try:
        reader = RequestReader()
        reader.feed(data)
        reader.discard()
        assert not reader.held_bytes
        reference = weakref.ref(reader)
        del reader
        assert reference() is None
    finally:
        gc.enable()


def test_parsed_lines_that_are_in_no_account():
    reader = RequestReader()
    reader.feed(HEAD + LINES)
    assert reader.held_bytes >= 1_000 * HEADER_LINE_MEMORY_BYTES
    reader.feed(b"\r\n")
    assert reader.held_bytes >= 1_000 * HEADER_LINE_MEMORY_BYTES
    reader.events.clear()  # the head is passed on
    assert not reader.held_bytes


def test_body_in_small_chunks_that_takes_an_object_for_each():
    reader = RequestReader()
    reader.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 1_000)
    head, body = reader.events
    assert bytes(body) == b"x" * 2_000


def test_pipelined_requests_of_one_read_that_are_all_parsed_at_once():
    reader = RequestReader()
    reader.feed(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 600)
    heads = [event for event in reader.events if isinstance(event, RequestHead)]
    assert len(heads) == MAX_REQUESTS_AT_ONCE
    assert [head.keep_alive for head in heads] == [True] * (len(heads) - 1) + [False]
    assert reader.ended
