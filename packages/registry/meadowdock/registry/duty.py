"""Duties are cut by key over the live mdregs; a key changes hands under an epoch."""

from __future__ import annotations

import hashlib


def ranking(key, live):
    """All live processes, the owner of the key first.

    >>> ranking("collector", ["a", "b", "c"]) == ranking("collector", ["c", "b", "a"])
    True
    """

    def weight(name):
        return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), name

    return sorted(live, key=weight, reverse=True)


def owner(key, live):
    """Highest weight wins: when a process comes or goes, only its own keys move.

    >>> owner("collector", ["a", "b", "c"]) == owner("collector", ["c", "b", "a"])
    True
    >>> owner("collector", []) is None
    True
    >>> keys = [str(n) for n in range(300)]
    >>> before = {k: owner(k, ["a", "b", "c"]) for k in keys}
    >>> {before[k] for k in keys if owner(k, ["a", "b"]) != before[k]}
    {'c'}
    """
    return next(iter(ranking(key, live)), None)
