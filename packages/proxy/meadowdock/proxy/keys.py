"""Keys of run-once calls, as long as this process remembers them.

>>> keys = Keys()
>>> keys.begin("c", "k", "print", 0)
>>> keys.begin("c", "k", "print", 1)
'key_in_progress'
>>> keys.end("c", "k", "may-have-run", None, 2); keys.begin("c", "k", "print", 3)
'key_may_have_run'
>>> keys.begin("c", "k", "other", 3)
'key_mismatch'
>>> keys.begin("d", "k", "other", 3) is None
True
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

KEEP = 600_000_000
KEYS_MAX = 50_000


@dataclass
class Known:
    # Invariant: answer is kept iff outcome is "ran"; a not-run key is forgotten at once.
    fingerprint: str
    at: int
    outcome: str = "working"
    answer: object = None


class Keys:
    """Invariant: ordered by time of begin, so the oldest expire first."""

    def __init__(self):
        self.known = OrderedDict()

    def begin(self, caller, key, fingerprint, at):
        """None: go on. An answer: the call ran, this is what it said. Else a rejection's code."""
        while self.known and next(iter(self.known.values())).at + KEEP < at:
            self.known.popitem(last=False)
        known = self.known.get((caller, key))
        if known is None:
            if len(self.known) >= KEYS_MAX:
                return "busy"
            self.known[caller, key] = Known(fingerprint, at)
            return None
        if known.fingerprint != fingerprint:
            return "key_mismatch"
        if known.outcome == "working":
            return "key_in_progress"
        return known.answer if known.outcome == "ran" else "key_may_have_run"

    def end(self, caller, key, outcome, answer, at):
        if outcome == "not-run":
            self.known.pop((caller, key), None)
        else:
            known = self.known[caller, key]
            known.outcome, known.answer = outcome, answer
