"""Second tries of one node: a sliding window, and this node's part of the fleet's reserve.

>>> tries = Tries(nodes=8, born=0)
>>> tries.permit(0)
False
>>> at = 10_000_000
>>> [tries.permit(at) for _ in range(4)]
[True, True, True, False]
>>> for _ in range(100): tries.request(at + 1)
>>> sum(tries.permit(at + 2) for _ in range(100))
12
>>> tries.permit(2 * at + 200_000)
True
"""

from __future__ import annotations

from collections import deque

WINDOW = 10_000_000
GRAIN = 100_000
RATIO = 0.15
FLEET_RESERVE = 24


class Tries:
    # Invariants: buckets are in order of time and none is older than WINDOW + GRAIN; requests
    # and tries are their sums. A process younger than a window has no reserve: whoever ran here
    # before may have used it.
    def __init__(self, nodes, born, ratio=RATIO, reserve=FLEET_RESERVE, window=WINDOW):
        self.ratio, self.fleet_reserve, self.window, self.born = ratio, reserve, window, born
        self.buckets = deque()
        self.requests = self.tries = 0
        self.shared_by(nodes)

    def shared_by(self, nodes):
        """So many nodes share the fleet's reserve now."""
        self.reserve = self.fleet_reserve / nodes

    def after(self, former):
        """Under new bounds, with what was counted so far."""
        self.buckets, self.born = former.buckets, former.born
        self.requests, self.tries = former.requests, former.tries
        return self

    def bucket(self, at):
        while self.buckets and self.buckets[0][0] * GRAIN + self.window + GRAIN <= at:
            _, requests, tries = self.buckets.popleft()
            self.requests -= requests
            self.tries -= tries
        if not self.buckets or self.buckets[-1][0] < at // GRAIN:
            self.buckets.append([at // GRAIN, 0, 0])
        return self.buckets[-1]

    def request(self, at):
        self.bucket(at)[1] += 1
        self.requests += 1

    def permit(self, at):
        """Count a second try, if there is room for it."""
        bucket = self.bucket(at)
        reserve = self.reserve if at - self.born >= self.window else 0
        if self.tries + 1 > max(reserve, self.ratio * self.requests):
            return False
        bucket[2] += 1
        self.tries += 1
        return True
