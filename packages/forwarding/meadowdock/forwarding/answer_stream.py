"""The body of a large answer, which is passed on while it arrives.

A source (a connection to an endpoint, or a link to a peer) pushes what it reads; a sink (a caller's
connection, or a link to a peer) has the source stop reading while the other side doesn't take it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from meadowdock.forwarding.byte_parts import Bytes
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.runtime.body_buffer import BodyBuffer
from meadowdock.runtime.client_memory import ClientMemory

# An answer with a longer body is passed on while it arrives; a shorter one once it is complete.
WHOLE_ANSWER_MAX_BYTES = 256 << 10
# The source doesn't read while more of an answer than this waits for the other side of the sink.
UNSENT_HIGH_BYTES = 256 << 10
UNSENT_LOW_BYTES = 128 << 10  # it reads again once less waits
# After its deadline an answer is broken off, unless its reader was waited for in this time.
LATE_READER_CHECK_US = SECOND
LATE_READER_WINDOW_US = 10 * SECOND  # in which a slow reader may also rest
LATE_READER_MIN_BYTES = 1 << 20  # taken in a window


class StreamSource(Protocol):
    """Where an answer comes from."""

    def pause_answer(self) -> None:
        """Stop reading the answer."""

    def resume_answer(self) -> None:
        """Continue to read the answer."""

    def cancel_answer(self) -> None:
        """Close what the answer comes from, as the rest of it isn't wanted."""


class StreamSink(Protocol):
    """Where an answer goes to."""

    def on_part(self, part: Bytes) -> None:
        """Pass a part of the body on."""

    def on_complete(self) -> None:
        """Pass on that the body is complete."""

    def on_broken(self, cause: str) -> None:
        """End the answer so that it doesn't look complete."""


class AnswerStream:
    """The rest of an answer whose head and beginning have arrived.

    Invariants: nothing is pushed before a sink is attached and while the sink has paused, but for
    what was read already; the sink is told of the end once.

    :ivar length: bytes of the whole body, None if it isn't known.
    """

    __slots__ = (
        "source",
        "length",
        "sink",
        "is_paused",
        "paused_at",
        "pushed",
        "window_began_at",
        "taken_before",
        "ended",
        "broken_by",
    )

    def __init__(self, source: StreamSource, length: int | None) -> None:
        self.source, self.length = source, length
        self.sink: StreamSink | None = None
        self.is_paused = True
        self.paused_at = monotonic_us()  # last
        self.pushed = 0  # bytes
        self.window_began_at = self.taken_before = 0  # of a reader that is late
        self.ended = False
        self.broken_by = ""  # why it ended before its end

    def attach(self, sink: StreamSink) -> None:
        """Let the answer go to a sink, from now on."""
        self.sink = sink
        if self.ended:
            self.report_end()
        else:
            self.resume()

    def push(self, part: Bytes) -> None:
        """Pass on a part that the source has read."""
        if part and not self.ended and self.sink is not None:
            self.pushed += len(part)
            self.sink.on_part(part)

    def complete(self) -> None:
        """Note that the source has read the answer to its end."""
        self.end("")

    def break_off(self, cause: str) -> None:
        """Note that the source has ended before the end of the answer."""
        self.end(cause)

    def end(self, broken_by: str) -> None:
        """Report the end to the sink, now or once there is one."""
        if self.ended:
            return
        self.ended, self.broken_by = True, broken_by
        if self.sink is not None:
            self.report_end()

    def report_end(self) -> None:
        """Tell the sink how the answer has ended."""
        assert self.sink is not None
        if self.broken_by:
            self.sink.on_broken(self.broken_by)
        else:
            self.sink.on_complete()

    def pause(self) -> None:
        """Have the source stop reading; called by the sink."""
        if not self.is_paused and not self.ended:
            self.is_paused, self.paused_at = True, monotonic_us()
            self.source.pause_answer()

    def resume(self) -> None:
        """Have the source continue to read; called by the sink."""
        if self.is_paused and not self.ended:
            self.is_paused = False
            self.source.resume_answer()

    def waits_for_reader(self, now: int) -> bool:
        """Return whether the answer is late because of who reads it, not of who sends it.

        To be called every LATE_READER_CHECK_US from the deadline on. A reader that takes less than
        LATE_READER_MIN_BYTES in LATE_READER_WINDOW_US is not waited for any more.
        """
        if not self.window_began_at:
            self.window_began_at, self.taken_before = now, self.pushed
        is_held_up = self.is_paused or now - self.paused_at < LATE_READER_CHECK_US
        if not is_held_up or now - self.window_began_at < LATE_READER_WINDOW_US:
            return is_held_up
        taken = self.pushed - self.taken_before
        self.window_began_at, self.taken_before = now, self.pushed
        return taken >= LATE_READER_MIN_BYTES

    def cancel(self) -> None:
        """End the answer because nobody reads it any more; the sink isn't told."""
        if not self.ended:
            self.ended = True
            self.source.cancel_answer()

    def abort(self, cause: str) -> None:
        """End the answer on this node's own account."""
        if not self.ended:
            self.source.cancel_answer()
            self.break_off(cause)


class AnswerCollector:
    """Collects an answer for somebody who can't read it while it arrives.

    :param maximum: bytes of the body; a longer answer is not collected.
    :param on_whole: called with the body.
    :param on_failure: called with why there is none.
    """

    def __init__(
        self,
        stream: AnswerStream,
        beginning: Bytes,
        maximum: int,
        memory: ClientMemory,
        on_whole: Callable[[Bytes], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self.stream, self.maximum = stream, maximum
        self.on_whole, self.on_failure = on_whole, on_failure
        self.body = BodyBuffer()
        self.body.append(bytes(beginning))
        self.memory = memory.open(self)
        self.memory.resize(self.body.size)
        stream.attach(self)

    def on_part(self, part: Bytes) -> None:
        """Add a part of the body, and enter it into the account."""
        self.body.append(bytes(part))
        if self.body.size > self.maximum:
            self.stream.abort("too large to be collected")
            return
        self.memory.received(len(part), is_complete=False)
        self.memory.resize(self.body.size)
        self.memory.memory.relieve()

    def on_complete(self) -> None:
        """Pass the body on."""
        self.memory.close()
        self.on_whole(self.body.take())

    def on_broken(self, cause: str) -> None:
        """Release what was collected."""
        self.memory.close()
        self.body = BodyBuffer()
        self.on_failure(cause)

    def may_be_given_up(self) -> bool:
        """Return whether the answer is incomplete."""
        return not self.stream.ended

    def give_up(self) -> None:
        """Release what was collected, as its memory is needed."""
        self.stream.abort("no memory for it")
