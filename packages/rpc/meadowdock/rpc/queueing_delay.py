"""How long messages of a connection were queued on their way, estimated at the receiver."""

from __future__ import annotations

from meadowdock.runtime import SECOND

BASE_DELAY_SPAN = 10 * SECOND  # a new minimum is begun after this time


class QueueingDelayEstimator:
    """The queueing delay of each message: its one-way delay beyond the least seen of late, the base
    delay, as LEDBAT estimates it (RFC 6817, section 3.4.2). The clocks of the two processes are
    never compared: only the difference between them is, with itself.

    Invariant: the two minima hold the least difference of the current span and of the one before,
    so that clocks that drift apart aren't taken for a delay.

    >>> delay = QueueingDelayEstimator()
    >>> delay.measure(1_000, 501_000), delay.measure(2_000, 502_000), delay.measure(3_000, 9_503_000)
    (0, 0, 9000000)
    """

    def __init__(self) -> None:
        self.span_started_us: int | None = None
        self.previous_minimum: int | None = None
        self.current_minimum: int | None = None

    def measure(self, sent_at_us: int, received_at_us: int) -> int:
        """The queueing delay of a message in microseconds.

        :param sent_at_us: when it was sent, by the sender's clock.
        :param received_at_us: when it was received, by this process' clock.
        """
        started_us = self.span_started_us
        if started_us is None or received_at_us - started_us > BASE_DELAY_SPAN:
            self.span_started_us = received_at_us
            self.previous_minimum, self.current_minimum = self.current_minimum, None
        difference = received_at_us - sent_at_us
        if self.current_minimum is None or difference < self.current_minimum:
            self.current_minimum = difference
        base = self.current_minimum
        if self.previous_minimum is not None and self.previous_minimum < base:
            base = self.previous_minimum
        return difference - base
