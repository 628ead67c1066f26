"""Bounds on what one HTTP response may take beside its body, for each kind of bytes in it.

A parser reports only what is complete, such as a line; what it is still collecting is bounded by the
bytes that were fed since anything was complete. A client may skip empty lines before a response, and a
recipient should bound the extensions of chunks (RFC 9112, sections 2.2 and 7.1.1); any number of interim
responses may come (RFC 9110, section 15.2), so their bytes are bounded and not their number.
"""

from __future__ import annotations

HEAD_MAX_BYTES = 64 << 10  # of a head, and of all trailers of a response
LINE_MAX_BYTES = 64 << 10  # of one line, or of empty lines behind each other
INTERIM_MAX_BYTES = 64 << 10  # of the heads of all interim responses before one response
FRAMING_MAX_BYTES = 64 << 10  # of the lines between chunks, beyond PART_FRAMING_BYTES for each part
PART_FRAMING_BYTES = 32  # a chunk's length and line breaks
LINE_OVERHEAD_BYTES = 4  # ": " and the line break


class BoundExceeded(ValueError):
    """Raised in a parser's callbacks when a response exceeds a bound; the request may have run."""


class ResponseBounds:
    """Counts the bytes of one response by kind.

    Invariants: `exceeded` says which bound was exceeded, "" as long as none is; has_advanced is set
    if the bytes that are being fed complete anything.

    :ivar head_size: bytes of the lines of the head that is being read, or was read last.
    :ivar stalled_bytes: fed since anything was complete.
    :ivar step_count: how many lines and parts of a body the last feed held.
    """

    __slots__ = (
        "exceeded",
        "head_size",
        "trailer_size",
        "interim_size",
        "stalled_bytes",
        "framing_bytes",
        "body_in_feed",
        "lines_in_feed",
        "has_advanced",
        "step_count",
    )

    def __init__(self) -> None:
        self.has_advanced = False
        self.step_count = 0
        self.reset()

    def reset(self) -> None:
        """Begin to count the next response of a connection."""
        self.exceeded = ""
        self.head_size = self.trailer_size = self.interim_size = 0
        self.stalled_bytes = self.framing_bytes = self.body_in_feed = self.lines_in_feed = 0

    def begin_feed(self) -> None:
        """Note that bytes are about to be fed to the parser."""
        self.has_advanced = False
        self.step_count = self.body_in_feed = self.lines_in_feed = 0

    def end_feed(self, size: int, in_body: bool) -> None:
        """Count what was fed.

        :param in_body: the feed began and ended in a body, or behind one.
        """
        self.stalled_bytes = 0 if self.has_advanced else self.stalled_bytes + size
        if self.stalled_bytes > LINE_MAX_BYTES:
            self.exceeded = self.exceeded or "line"
        if in_body:
            allowed = self.step_count * PART_FRAMING_BYTES
            self.framing_bytes += max(0, size - self.body_in_feed - self.lines_in_feed - allowed)
            if self.framing_bytes > FRAMING_MAX_BYTES:
                self.exceeded = self.exceeded or "framing of the body"

    def begin_head(self) -> None:
        """Note the beginning of a head."""
        self.has_advanced = True
        self.head_size = 0

    def add_line(self, name: bytes, value: bytes, in_head: bool) -> None:
        """Count a line of the head, or of the trailers.

        :raises BoundExceeded: the head or the trailers are too long.
        """
        self.has_advanced = True
        self.step_count += 1
        size = len(name) + len(value) + LINE_OVERHEAD_BYTES
        self.lines_in_feed += size
        if in_head:
            self.head_size += size
            if self.head_size > HEAD_MAX_BYTES:
                raise self.exceed("head")
        else:
            self.trailer_size += size
            if self.trailer_size > HEAD_MAX_BYTES:
                raise self.exceed("trailers")

    def end_head(self, is_interim: bool) -> None:
        """Note the end of a head.

        :raises BoundExceeded: the interim responses are too long in all.
        """
        self.has_advanced = True
        self.step_count += 1
        if is_interim:
            self.interim_size += self.head_size + PART_FRAMING_BYTES
            if self.interim_size > INTERIM_MAX_BYTES:
                raise self.exceed("interim responses")

    def add_part(self, size: int) -> None:
        """Count a part of the body."""
        self.has_advanced = True
        self.step_count += 1
        self.body_in_feed += size

    def exceed(self, kind: str) -> BoundExceeded:
        """Note that a bound was exceeded, and return the exception to raise."""
        self.exceeded = self.exceeded or kind
        return BoundExceeded(kind)
