"""Rendezvous hashing: an order of candidates for a key that all processes agree on.

Each candidate gets a pseudo-random weight for the key (Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", 1998). When a candidate joins or fails, only the keys for which it
has the highest weight change their owner.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by decreasing weight for the key, independent of their given order.

    >>> rank_candidates("collector", ["a", "b", "c"]) == rank_candidates("collector", ["c", "b", "a"])
    True
    """

    def weight(candidate: str) -> tuple[bytes, str]:
        material = f"{key}\0{candidate}".encode()
        return hashlib.blake2b(material, digest_size=DIGEST_BYTES).digest(), candidate

    return sorted(candidates, key=weight, reverse=True)
