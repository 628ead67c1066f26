"""How long ago a request's caller first asked, as far as its deadline tells.

A caller that tries again comes with a new id, and its aim still counts from its first try. Callers
of one route mostly allow the same time, so one with less of it left has probably spent the rest.
"""

from __future__ import annotations


class Patience:
    """The longest time that callers of one route allowed within the last one to two windows.

    >>> patience = Patience(window_us=10)
    >>> patience.spent(at=0, left_us=1500), patience.spent(at=1, left_us=1100)
    (0, 400)
    >>> patience.spent(at=12, left_us=1100), patience.spent(at=25, left_us=1100)
    (400, 0)
    """

    __slots__ = ("window_us", "since", "longest_us", "former_us")

    def __init__(self, window_us: int) -> None:
        self.window_us = window_us
        self.since = self.longest_us = self.former_us = 0

    def spent(self, at: int, left_us: int) -> int:
        """How much of its time a request has probably spent when it comes with so much left."""
        if at - self.since >= self.window_us:
            recent = at - self.since < 2 * self.window_us
            self.former_us, self.longest_us = self.longest_us if recent else 0, 0
            self.since = at
        self.longest_us = max(self.longest_us, left_us)
        return max(self.longest_us, self.former_us) - left_us
