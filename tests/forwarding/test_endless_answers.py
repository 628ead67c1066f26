"""Answers without end: each kind of bytes is bounded, and nothing is held once it was refused."""

from __future__ import annotations

import gc
import weakref

import pytest
from endless_kinds import ENDLESS, endless, reads

from meadowdock.forwarding.response_parser import ResponseParser
from meadowdock.runtime.response_bounds import (
    FRAMING_MAX_BYTES,
    HEAD_MAX_BYTES,
    INTERIM_MAX_BYTES,
    LINE_MAX_BYTES,
)

BODY_MAX_BYTES = 1 << 20
MESH_HEADERS = frozenset({b"attempt-id", b"response-stamp"})
READ_AT_MOST = 2 * BODY_MAX_BYTES
HELD_AT_MOST = 3 << 20  # a head of short lines takes many times its bytes
LATER_KINDS = ("large-chunks", "chunks-of-one-byte")  # refused once the body is too large
START = b"HTTP/1.1 200 OK\r\nAttempt-Id: c-1\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


def new_parser():
    return ResponseParser(MESH_HEADERS, BODY_MAX_BYTES)


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_answer_without_end_is_refused(kind):
    parser = new_parser()
    read = held = 0
    for data in reads(endless(kind), 8 * READ_AT_MOST):
        parser.feed(data)
        read += len(data)
        held = max(held, parser.held_bytes)
        if parser.malformed:
            break
    assert parser.refusal, f"{read} bytes were read"
    assert read <= (READ_AT_MOST if kind not in LATER_KINDS else 8 * READ_AT_MOST)
    assert held <= HELD_AT_MOST
    assert not parser.held_bytes, "what was refused is not held"


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_refused_answer_does_not_wait_for_the_garbage_collector(kind):
    gc.disable()
    try:
        parser = new_parser()
        for data in reads(endless(kind), 8 * READ_AT_MOST):
            parser.feed(data)
            if parser.malformed:
                break
        reference = weakref.ref(parser)
        del parser
        assert reference() is None
    finally:
        gc.enable()


def test_sound_answers_are_not_refused():
    line = b"a: " + b"x" * 90 + b"\r\n"
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    answers = (
        START + line * (HEAD_MAX_BYTES // len(line) - 1) + b"Content-Length: 2\r\n\r\nok",
        START + b"X: " + b"x" * (LINE_MAX_BYTES - 200) + b"\r\nContent-Length: 2\r\n\r\nok",
        interim * (INTERIM_MAX_BYTES // 100) + START + b"Content-Length: 2\r\n\r\nok",
        b"\r\n\r\n" + START + b"Content-Length: 2\r\n\r\nok",
        CHUNKED + b"1;name=value\r\nx\r\n" * 5_000 + b"0\r\n\r\n",
        CHUNKED + b"2\r\nxx\r\n" * 20_000 + b"0\r\nTrailer: yes\r\n\r\n",
        CHUNKED + b"1;%s\r\nx\r\n" % (b"x" * (FRAMING_MAX_BYTES // 2)) + b"0\r\n\r\n",
        START + b"Content-Length: %d\r\n\r\n" % BODY_MAX_BYTES + bytes(BODY_MAX_BYTES),
    )
    for answer in answers:
        parser = new_parser()
        for start in range(0, len(answer), 16_384):
            parser.feed(answer[start : start + 16_384])
        assert (parser.refusal, len(parser.complete)) == ("", 1), answer[:100]


def test_interim_answers_are_counted_anew_for_each_request():
    parser = new_parser()
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * (INTERIM_MAX_BYTES // 100)
    for _ in range(5):
        parser.expect(for_head_request=False)
        parser.feed(interim + START + b"Content-Length: 2\r\n\r\nok")
    assert (parser.refusal, len(parser.complete)) == ("", 5)


def test_a_body_that_is_declared_too_large_is_refused_at_its_head():
    parser = new_parser()
    parser.feed(START + b"Content-Length: %d\r\n\r\n" % (BODY_MAX_BYTES + 1))
    assert "body over" in parser.refusal


def test_an_answer_without_a_length_is_refused_at_its_head():
    parser = new_parser()
    parser.feed(START + b"\r\n")
    assert "length" in parser.refusal
