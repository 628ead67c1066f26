"""Idempotency keys of at-most-once requests that this process has forwarded.

A repeat of a request that ran gets the recorded response; one whose outcome is unknown is not sent
again. The table is in memory only: the endpoint's own record outlives this process.

>>> from meadowdock.outcome import MAY_HAVE_RUN
>>> keys = IdempotencyKeys()
>>> keys.begin("caller", "key", "fingerprint", 0)
>>> keys.begin("caller", "key", "fingerprint", 1)
KeyRejected(code='key_in_progress')
>>> keys.end("caller", "key", MAY_HAVE_RUN, None)
>>> keys.begin("caller", "key", "fingerprint", 3)
KeyRejected(code='key_may_have_run')
>>> keys.begin("caller", "key", "other", 3)
KeyRejected(code='key_mismatch')
>>> keys.begin("other caller", "key", "other", 3) is None
True
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from meadowdock.outcome import NOT_RUN, RAN, Verdict
from meadowdock.proxy.call import EndpointResponse

RETENTION_US = 600_000_000
MAX_KEYS = 50_000


@dataclass(frozen=True)
class KeyRejected:
    """Why a request may not be forwarded: `code` is a rejection code of meadowdock.outcome."""

    code: str


@dataclass(slots=True)
class KeyRecord:
    """The request that a key was used for.

    Invariant: response is set if and only if verdict is RAN; verdict is None while the request
    runs.
    """

    fingerprint: str  # of method, path and body
    begun_at: int
    verdict: Verdict | None = None
    response: EndpointResponse | None = None


class IdempotencyKeys:
    """The keys that this process has seen.

    Invariant: records are in the order of `begin`, so that the oldest expire first.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[tuple[str, str], KeyRecord] = OrderedDict()

    def begin(
        self, caller: str, key: str, fingerprint: str, now_us: int
    ) -> EndpointResponse | KeyRejected | None:
        """Return None if the request may run, or else the recorded response or why it may not run.

        `now_us` is the monotonic time.
        """
        self.remove_expired(now_us)
        record = self.records.get((caller, key))
        if record is None:
            if len(self.records) >= MAX_KEYS:
                return KeyRejected("busy")
            self.records[caller, key] = KeyRecord(fingerprint, now_us)
            return None
        if record.fingerprint != fingerprint:
            return KeyRejected("key_mismatch")
        if record.verdict is None:
            return KeyRejected("key_in_progress")
        return record.response if record.verdict is RAN else KeyRejected("key_may_have_run")

    def remove_expired(self, now_us: int) -> None:
        """Remove the keys that are older than the retention time."""
        while self.records and next(iter(self.records.values())).begun_at + RETENTION_US < now_us:
            self.records.popitem(last=False)

    def end(
        self, caller: str, key: str, verdict: Verdict, response: EndpointResponse | None
    ) -> None:
        """Record the outcome of a request.

        A key whose request did not run may be used again at once.
        """
        if verdict is NOT_RUN:
            self.records.pop((caller, key), None)
            return
        record = self.records[caller, key]
        record.verdict, record.response = verdict, response
