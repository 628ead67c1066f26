"""The choice of the peer of the next gossip exchange."""

from __future__ import annotations

from typing import NamedTuple

from meadowdock.membership.view import MembershipView
from meadowdock.runtime import MILLISECOND, SECOND

BACKOFF_INITIAL = 500 * MILLISECOND
BACKOFF_MAX = 30 * SECOND
SEED_INTERVAL = 5 * SECOND  # between exchanges with a seed, while other members are known


class Backoff(NamedTuple):
    """A peer that didn't answer is not asked before `until` (us, local clock)."""

    until: int = 0
    duration: int = BACKOFF_INITIAL


class PeerSelector:
    """Chooses random members of the view, and avoids those that lately didn't answer."""

    def __init__(self, view: MembershipView) -> None:
        self.view = view
        self.last_seed_exchange = 0
        self.backoffs: dict[str, Backoff] = {}  # by address

    def choose(self, at: int) -> str | None:
        """The address of a random member, or None if none is known. A seed if no member is known,
        and from time to time in any case, to join views that were partitioned."""
        known = sorted(self.view.entries)
        members = [address for address in known if self.is_available(address, at)] or known
        seeds = [seed for seed in self.view.seeds if seed != self.view.me.address]
        if seeds and not members:
            return self.view.rng.choice(seeds)
        if seeds and at - self.last_seed_exchange > SEED_INTERVAL:
            self.last_seed_exchange = at
            return self.view.rng.choice(seeds)
        return self.view.rng.choice(members) if members else None

    def is_available(self, address: str, at: int) -> bool:
        """Whether a peer may be asked again."""
        return self.backoffs.get(address, Backoff()).until <= at

    def note_failure(self, address: str, at: int) -> None:
        """A peer didn't answer: avoid it, twice as long as after its failure before."""
        duration = min(2 * self.backoffs.get(address, Backoff()).duration, BACKOFF_MAX)
        self.backoffs[address] = Backoff(at + duration, duration)

    def note_success(self, address: str) -> None:
        """A peer answered."""
        self.backoffs.pop(address, None)
