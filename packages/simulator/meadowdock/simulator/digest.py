"""Digests of simulated runs: equal as long as the behaviour is equal, whatever things are named.

A digest is the SHA-256 of what a run did, as numbers and as bytes on the wire. Names that belong
to the code (events, log fields, attributes, roles of processes, outcomes of acts) are left out, or
stand as numbers in the order of their first appearance, so that renaming them changes no digest.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from meadowdock.simulator.history import History
from meadowdock.simulator.scenario import live

HASH_SEED = "0"  # on some days the order of a set of strings decides who is told first

Digests = dict[str, dict[str, str]]  # section -> seed -> hexadecimal digest


class Numbering:
    """Numbers names in the order of their first appearance.

    >>> number = Numbering()
    >>> number("b"), number("a"), number("b")
    (0, 1, 0)
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def __call__(self, name: str) -> int:
        """The number of a name."""
        return self.numbers.setdefault(name, len(self.numbers))


class CanonicalTrace:
    """A hash over rows of values; rows and their order both matter."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()

    def row(self, *values: Any) -> None:
        """Take one row of numbers and texts into the hash."""
        self.hash.update(json.dumps(values).encode() + b"\n")

    def hexadecimal(self) -> str:
        """The digest of all rows so far."""
        return self.hash.hexdigest()


def add_log(trace: CanonicalTrace, lines: Iterable[tuple[int, dict]]) -> None:
    """Each log line: virtual time, the process' role as a number, its host, the event's number."""
    role_number = Numbering()
    for at, line in lines:
        role, _, host = line["of"].partition("@")
        trace.row("log", at, role_number(role), host, line["number"])


def add_calls(trace: CanonicalTrace, history: History) -> None:
    """Each call, as its caller saw it."""
    for call in history.asked:
        trace.row(
            "call",
            call.uid,
            call.host,
            call.kind,
            call.caller,
            call.sent,
            call.answered,
            call.status,
            call.verdict,
        )


def add_executions(trace: CanonicalTrace, history: History) -> None:
    """Each execution, as its endpoint saw it, and each sending that left a process."""
    for ran in history.ran:
        trace.row("execution", ran.uid, ran.kind, ran.caller, ran.at, ran.address, ran.endpoint)
    sending_number = Numbering()
    for at, kind, _ in history.sendings:
        trace.row("sending", at, sending_number(kind))


def add_operators(trace: CanonicalTrace, history: History) -> None:
    """Each operator's act, with its kind and its outcome as numbers."""
    act_number, outcome_number = Numbering(), Numbering()
    for done in history.operated:
        trace.row(
            "operator",
            act_number(done.act),
            done.start,
            done.end,
            outcome_number(done.outcome),
            done.version,
            done.mark,
        )


def day_digest(seed: int) -> str:
    """The digest of one simulated day."""
    _, history, lines = live(seed)
    trace = CanonicalTrace()
    add_log(trace, lines)
    add_calls(trace, history)
    add_executions(trace, history)
    add_operators(trace, history)
    return trace.hexadecimal()


def digests(seeds: Iterable[int], jobs: int | None = None) -> Digests:
    """Play days in parallel, under one hash seed; gives their digests in the order of the seeds."""
    seeds = list(seeds)
    with fixed_hash_seed(), ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        found = list(pool.map(day_digest, seeds))
    return {"days": dict(zip(map(str, seeds), found, strict=True))}


@contextmanager
def fixed_hash_seed() -> Iterator[None]:
    """Processes spawned within have HASH_SEED."""
    former = os.environ.get("PYTHONHASHSEED")
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    try:
        yield
    finally:
        if former is None:
            del os.environ["PYTHONHASHSEED"]
        else:
            os.environ["PYTHONHASHSEED"] = former


def differing(found: Digests, golden: Digests) -> list[str]:
    """Which of the digests found are not those of the golden file, or not in it.

    >>> differing({"days": {"1": "a", "2": "b", "3": "c"}}, {"days": {"1": "a", "2": "x"}})
    ['days 2', 'days 3']
    """
    return [
        f"{section} {key}"
        for section, keys in found.items()
        for key, digest in keys.items()
        if golden.get(section, {}).get(key) != digest
    ]


def read_digests(path: str | Path) -> Digests:
    """Read a golden file."""
    return json.loads(Path(path).read_text())


def write_digests(path: str | Path, found: Digests) -> None:
    """Write a golden file."""
    path = Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=1) + "\n")
