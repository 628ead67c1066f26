"""The queueing delay of the messages of a connection, estimated at the receiver."""

from __future__ import annotations

from meadowdock.runtime import SECOND

BASE_DELAY_SPAN = 10 * SECOND  # us; a new minimum is started after this time


class QueueingDelayEstimator:
    """Estimates the queueing delay of each message as LEDBAT does (RFC 6817, section 3.4.2).

    The queueing delay is the one-way delay of a message minus the base delay, which is the minimum
    of the recent one-way delays. The clocks of the two processes need not be synchronised: each
    one-way delay contains the same clock offset, which cancels out.

    Invariant: the two minima are those of the current span and of the previous one, so that clock
    drift is not mistaken for a delay.

    >>> delay = QueueingDelayEstimator()
    >>> delay.measure(1_000, 501_000), delay.measure(2_000, 502_000), delay.measure(3_000, 9_503_000)
    (0, 0, 9000000)
    """

    def __init__(self) -> None:
        self.span_started_us: int | None = None
        self.previous_minimum: int | None = None
        self.current_minimum: int | None = None

    def measure(self, sent_at_us: int, received_at_us: int) -> int:
        """Return the queueing delay of a message in microseconds.

        :param sent_at_us: when it was sent, on the sender's clock.
        :param received_at_us: when it was received, on the clock of this process.
        """
        started_us = self.span_started_us
        if started_us is None or received_at_us - started_us > BASE_DELAY_SPAN:
            self.span_started_us = received_at_us
            self.previous_minimum, self.current_minimum = self.current_minimum, None
        delay = received_at_us - sent_at_us  # one-way delay plus clock offset
        if self.current_minimum is None or delay < self.current_minimum:
            self.current_minimum = delay
        base_delay = self.current_minimum
        if self.previous_minimum is not None and self.previous_minimum < base_delay:
            base_delay = self.previous_minimum
        return delay - base_delay
