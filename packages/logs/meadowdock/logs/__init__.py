"""Numbered events. CATALOGUE is the one place where numbers are given; docs/events.md shows it.

>>> sorted(CATALOGUE) == list(CATALOGUE)
True
>>> Log("mdreg@x", file=sys.stdout, timed=False)(101, role="mdreg")
{"of": "mdreg@x", "number": 101, "role": "mdreg", "event": "started"}
"""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

CATALOGUE = {
    101: ("started", "the process serves; says role and addresses"),
    102: ("stopping", "asked to stop; calls in flight go on"),
    103: ("stopped", "all calls in flight are done, or the time for them is over"),
    104: ("hurried", "a second signal: stop at once"),
    105: ("task_broke", "a loop met an unexpected breakdown and was started again"),
    201: ("link_shed", "a peer failed the fleet key's proof, or spoke nonsense"),
    202: ("link_lost", "an open link broke"),
    301: ("peer_seen", "a process joined, or came back with a new incarnation"),
    302: ("peer_gone", "a process was not heard of for the window, or left"),
    401: ("endpoint_enrolled", "an endpoint enrolled or came back"),
    402: ("endpoint_draining", "an endpoint said that it leaves; no new calls"),
    403: ("endpoint_gone", "an endpoint left, missed its beats, or lost its address"),
    404: ("endpoint_doubted", "no connection to an endpoint; left out until its next beat"),
    405: ("endpoint_false", "identity or answer of an endpoint failed its checks"),
    406: ("endpoint_beat_refused", "a beat that can't be read, or not of this machine's endpoint"),
    407: (
        "service_short",
        "calls of a service found no room in the last second: figures of this node",
    ),
    501: ("manifest_staged", "a newer manifest is whole and checked here"),
    502: ("manifest_switched", "a newer manifest is in force here"),
    503: ("manifest_cut_off", "the core can't be asked; the last manifest goes on"),
    504: ("manifest_confirmed", "the version was confirmed again after a freeze or a cut"),
    601: ("register_founded", "the first members are fixed"),
    602: (
        "register_lost_key",
        "a key file failed its fingerprint at the start; this disk goes on as another",
    ),
    603: ("register_no_majority", "too few members answered"),
    604: ("plan_made", "an operator's plan is kept on a majority"),
    605: ("plan_confirmed", "an operator's plan is the head"),
    606: ("mended", "a missing, rotten or lagging file was made good: what says which"),
    607: ("members_changed", "the register's voters are others now"),
    701: ("duty_taken", "this process holds a duty under a new epoch"),
    702: ("duty_lost", "a higher epoch was seen; the duty is dropped"),
    703: ("list_shed", "a load list of an older epoch was refused"),
    704: ("list_stale", "no load list for the stale window"),
    705: (
        "lease_expired",
        "the register could not be asked in time; this process collects no more",
    ),
    801: ("call_broke", "a call met an unexpected breakdown inside this process"),
    802: ("invariant_broken", "something that must always hold did not: says which, and how often"),
}


class Log:
    """One JSON line an event; what JSON can't hold is told as text."""

    def __init__(self, of: str, file: TextIO | None = None, timed: bool = True) -> None:
        self.of, self.file, self.timed = of, file or sys.stderr, timed

    def __call__(self, number: int, **facts: Any) -> None:
        """Write the event of a number of the catalogue, with its facts."""
        line = {"of": self.of, "number": number, **facts, "event": CATALOGUE[number][0]}
        if self.timed:
            line["timestamp"] = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        print(json.dumps(line, default=str), file=self.file, flush=True)
