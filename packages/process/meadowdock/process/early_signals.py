"""Signals to stop that arrive before the node watches for them."""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Keeps the signals to stop, from `watch` on, until the node can act on them.

    Invariant: received holds them in the order of their arrival.
    """

    def __init__(self) -> None:
        self.received: list[int] = []

    def watch(self) -> None:
        """Keep the signals to stop from now on, until another handler takes over."""
        for number in STOP_SIGNALS:
            signal.signal(number, self.on_signal)

    def on_signal(self, number: int, frame: object) -> None:
        """Keep a signal."""
        self.received.append(number)
