"""Digests of simulated runs, which change with the behaviour but not with names in the code.

A digest is the SHA-256 of what a run did. Names that belong to the code (events, log fields,
attributes, roles of processes, outcomes of operations) are left out, or are replaced by numbers in
the order of their first appearance, so that renaming them changes no digest.
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
from meadowdock.simulator.scenario import run_day

HASH_SEED = "0"  # on some days the order of a set of strings decides who is notified first

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
        """Return the number of a name."""
        return self.numbers.setdefault(name, len(self.numbers))


class CanonicalTrace:
    """A hash over rows of values; rows and their order both matter."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()

    def row(self, *values: Any) -> None:
        """Add one row of numbers and texts to the hash."""
        self.hash.update(json.dumps(values).encode() + b"\n")

    def hexadecimal(self) -> str:
        """Return the digest of all rows so far."""
        return self.hash.hexdigest()


def add_log(trace: CanonicalTrace, lines: Iterable[tuple[int, dict]]) -> None:
    """Add each log line: virtual time, the process's role as a number, host, the event's number."""
    role_number = Numbering()
    for logged_at, line in lines:
        role, _, host = line["of"].partition("@")
        trace.row("log", logged_at, role_number(role), host, line["number"])


def add_calls(trace: CanonicalTrace, history: History) -> None:
    """Add each call, as its caller saw it."""
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
    """Add each execution, as its endpoint saw it, and each call that a process sent."""
    for execution in history.ran:
        trace.row(
            "execution",
            execution.uid,
            execution.kind,
            execution.caller,
            execution.at,
            execution.address,
            execution.endpoint,
        )
    sending_number = Numbering()
    for sent_at, kind, _ in history.sendings:
        trace.row("sending", sent_at, sending_number(kind))


def add_operators(trace: CanonicalTrace, history: History) -> None:
    """Add each operation of an operator, with its kind and its outcome as numbers."""
    kind_number, outcome_number = Numbering(), Numbering()
    for operation in history.operated:
        trace.row(
            "operator",
            kind_number(operation.act),
            operation.start,
            operation.end,
            outcome_number(operation.outcome),
            operation.version,
            operation.mark,
        )


def day_digest(seed: int) -> str:
    """Run one simulated day and return its digest."""
    _, history, lines = run_day(seed)
    trace = CanonicalTrace()
    add_log(trace, lines)
    add_calls(trace, history)
    add_executions(trace, history)
    add_operators(trace, history)
    return trace.hexadecimal()


def digests(seeds: Iterable[int], jobs: int | None = None) -> Digests:
    """Run days in parallel under one hash seed; return their digests in the order of the seeds."""
    seeds = list(seeds)
    with fixed_hash_seed(), ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        day_digests = list(pool.map(day_digest, seeds))
    return {"days": dict(zip(map(str, seeds), day_digests, strict=True))}


@contextmanager
def fixed_hash_seed() -> Iterator[None]:
    """Spawn processes with HASH_SEED as their hash seed within the context."""
    former = os.environ.get("PYTHONHASHSEED")
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    try:
        yield
    finally:
        if former is None:
            del os.environ["PYTHONHASHSEED"]
        else:
            os.environ["PYTHONHASHSEED"] = former


def differing(computed: Digests, golden: Digests) -> list[str]:
    """Return which of the computed digests differ from the golden file's, or are missing there.

    >>> differing({"days": {"1": "a", "2": "b", "3": "c"}}, {"days": {"1": "a", "2": "x"}})
    ['days 2', 'days 3']
    """
    return [
        f"{section} {key}"
        for section, keys in computed.items()
        for key, digest in keys.items()
        if golden.get(section, {}).get(key) != digest
    ]


def read_digests(path: str | Path) -> Digests:
    """Read a golden file."""
    return json.loads(Path(path).read_text())


def write_digests(path: str | Path, computed: Digests) -> None:
    """Write a golden file."""
    path = Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(computed, indent=1) + "\n")
