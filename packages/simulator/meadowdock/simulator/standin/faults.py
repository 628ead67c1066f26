"""The faults of a stand-in endpoint's responses, by name."""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, sleep_us
from meadowdock.simulator.standin.endless import ENDLESS

ENDLESS_PAUSE_US = 2 * MILLISECOND  # between two pieces

FAULTS = [
    *("reset", "close", "silence", "short", "short_head", "garbage", "unstamped", "nameless"),
    *("twice", "twice_late", "twice_soon", "spare", "spare_late", "mixed_up", "encoded"),
    *("unframed", "own_503", "own_500", "full", "other", "slow"),
]


class FaultyAnswers:
    """The response faults of a StandIn.

    Each is a method fault_NAME(job, execution, data), in which data is the correct response to a
    job that was executed. "endless" sends bytes of the kind `endless_kind`. Faults without a method are handled by StandIn itself.
    """

    def fault_reset(self, job, execution, data):
        job.conn.on_end("fault")
        job.conn.wire.abort()

    def fault_close(self, job, execution, data):
        job.conn.say(b"", keep=False)

    def fault_short(self, job, execution, data):
        job.conn.say(data[: len(data) - 5], keep=False)

    def fault_short_head(self, job, execution, data):
        job.conn.say(data[:30], keep=False)

    def fault_garbage(self, job, execution, data):
        job.conn.say(b"\x00\xff nothing of the kind\r\n\r\n")

    def fault_twice(self, job, execution, data):
        job.conn.say(data + data)

    def fault_twice_late(self, job, execution, data):
        job.conn.say(data)
        job.conn.again = data

    def fault_twice_soon(self, job, execution, data):
        """Send a second copy 3 ms later, whatever has been sent since."""
        job.conn.say(data)
        self.nursery.start_soon(self.send_later, job.conn, data)

    async def send_later(self, conn, data):
        await sleep_us(3 * MILLISECOND)
        conn.wire.send(data)

    def fault_spare(self, job, execution, data):
        job.conn.say(data + b"left over")

    def fault_spare_late(self, job, execution, data):
        job.conn.say(data)
        job.conn.again = b"left over\r\n\r\n"

    def fault_unstamped(self, job, execution, data):
        dialect = self.dialect
        job.conn.say(self.answer(200, [(dialect.call_id, execution.id)], b"no stamp"))

    def fault_nameless(self, job, execution, data):
        job.conn.say(self.answer(200, [(self.dialect.stamp, b"x")], b"no id"))

    def fault_mixed_up(self, job, execution, data):
        job.conn.say(data.replace(b": " + execution.id, b": another"))

    def fault_encoded(self, job, execution, data):
        job.conn.say(data.replace(b"X-Kept: as it was", b"Content-Encoding: gzip"))

    def fault_unframed(self, job, execution, data):
        dialect = self.dialect
        lines = [(dialect.call_id, execution.id), (dialect.stamp, b"s")]
        job.conn.say(self.answer(200, lines, b"until the end", length=False), keep=False)

    def fault_own_503(self, job, execution, data):
        """Answer 503 although the call ran; a 503 of the mesh itself would mean that it did not run."""
        job.conn.say(self.answer(503, [(self.dialect.call_id, execution.id)], b"overloaded"))

    def fault_own_500(self, job, execution, data):
        execution.status = 500
        job.conn.say(data.replace(b"HTTP/1.1 200", b"HTTP/1.1 500"))

    def fault_endless(self, job, execution, data):
        """Send bytes of a drawn kind until the connection ends."""
        lines = [(self.dialect.call_id, execution.id), (self.dialect.stamp, b"s")]
        identity = b"".join(b"%s: %s\r\n" % line for line in lines)
        answer = ENDLESS[self.endless_kind](identity)
        self.nursery.start_soon(self.send_endlessly, job.conn, answer)

    async def send_endlessly(self, conn, answer):
        """Send as fast as the other side reads, in pieces."""
        conn.wire.send(answer.opening)
        while not conn.over and not conn.wire.closed:
            if not conn.wire.unsent_size:
                conn.wire.send(answer.piece)
            await sleep_us(ENDLESS_PAUSE_US)
