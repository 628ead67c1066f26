"""Detection of pauses of this process."""

from __future__ import annotations


class PauseDetector:
    """Measures how long this process was not running (not scheduled, machine suspended, ...).

    `measure_pause` is called at regular intervals. If a call comes later than expected, the process
    was paused, and peers must not be declared failed for their apparent silence during the pause.

    >>> detector = PauseDetector(100, 0)
    >>> detector.measure_pause(90), detector.measure_pause(5_000), detector.measure_pause(5_050)
    (0, 4910, 0)
    """

    def __init__(self, expected_interval_us: int, now_us: int) -> None:
        """Start measuring.

        :param expected_interval_us: the longest interval between two calls without a pause.
        """
        self.expected_interval_us = expected_interval_us
        self.last_measured_us = now_us

    def measure_pause(self, now_us: int) -> int:
        """Return the duration of the pause that ended just now, or 0 if there was none.

        The complete time since the previous call counts as the pause.
        """
        interval_us, self.last_measured_us = now_us - self.last_measured_us, now_us
        return interval_us if interval_us > self.expected_interval_us else 0
