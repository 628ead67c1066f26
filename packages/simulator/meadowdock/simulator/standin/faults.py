"""The ways in which a stand-in endpoint's answer fails, by name."""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, sleep_us

FAULTS = [
    *("reset", "close", "silence", "short", "short_head", "garbage", "unstamped", "nameless"),
    *("twice", "twice_late", "twice_soon", "spare", "spare_late", "mixed_up", "encoded"),
    *("unframed", "own_503", "own_500", "full", "other", "slow"),
]


class FaultyAnswers:
    """The faults of answers of a StandIn: fault_NAME(job, ran, data), data being the bytes of the
    proper answer to a job that ran."""

    def fault_reset(self, job, ran, data):
        job.conn.on_end("fault")
        job.conn.wire.abort()

    def fault_close(self, job, ran, data):
        job.conn.say(b"", keep=False)

    def fault_short(self, job, ran, data):
        job.conn.say(data[: len(data) - 5], keep=False)

    def fault_short_head(self, job, ran, data):
        job.conn.say(data[:30], keep=False)

    def fault_garbage(self, job, ran, data):
        job.conn.say(b"\x00\xff nothing of the kind\r\n\r\n")

    def fault_twice(self, job, ran, data):
        job.conn.say(data + data)

    def fault_twice_late(self, job, ran, data):
        job.conn.say(data)
        job.conn.again = data

    def fault_twice_soon(self, job, ran, data):
        """The second copy follows a moment later, whatever is under way by then."""
        job.conn.say(data)
        self.nursery.start_soon(self.say_later, job.conn, data)

    async def say_later(self, conn, data):
        await sleep_us(3 * MILLISECOND)
        conn.wire.send(data)

    def fault_spare(self, job, ran, data):
        job.conn.say(data + b"left over")

    def fault_spare_late(self, job, ran, data):
        job.conn.say(data)
        job.conn.again = b"left over\r\n\r\n"

    def fault_unstamped(self, job, ran, data):
        words = self.dialect
        job.conn.say(self.answer(200, [(words.call_id, ran.id)], b"no stamp"))

    def fault_nameless(self, job, ran, data):
        job.conn.say(self.answer(200, [(self.dialect.stamp, b"x")], b"no id"))

    def fault_mixed_up(self, job, ran, data):
        job.conn.say(data.replace(b": " + ran.id, b": another"))

    def fault_encoded(self, job, ran, data):
        job.conn.say(data.replace(b"X-Kept: as it was", b"Content-Encoding: gzip"))

    def fault_unframed(self, job, ran, data):
        words = self.dialect
        lines = [(words.call_id, ran.id), (words.stamp, b"s")]
        job.conn.say(self.answer(200, lines, b"until the end", length=False), keep=False)

    def fault_own_503(self, job, ran, data):
        """It ran, and yet says what would be a promise."""
        job.conn.say(self.answer(503, [(self.dialect.call_id, ran.id)], b"overloaded"))

    def fault_own_500(self, job, ran, data):
        ran.status = 500
        job.conn.say(data.replace(b"HTTP/1.1 200", b"HTTP/1.1 500"))
