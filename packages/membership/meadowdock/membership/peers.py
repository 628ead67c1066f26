"""The selection of the peer for the next gossip exchange."""

from __future__ import annotations

from typing import NamedTuple

from meadowdock.membership.view import MembershipView
from meadowdock.runtime import MILLISECOND, SECOND

# Durations are in microseconds.
BACKOFF_INITIAL = 500 * MILLISECOND  # the backoff after the first failure is twice this
BACKOFF_MAX = 30 * SECOND
SEED_INTERVAL = 5 * SECOND  # between exchanges with a seed, while other members are known


class Backoff(NamedTuple):
    """The backoff of a peer that didn't answer; times are in us of the local clock."""

    until: int = 0  # the peer is not selected before
    duration: int = BACKOFF_INITIAL


class PeerSelector:
    """Selects random members of the view, and avoids those that recently didn't answer."""

    def __init__(self, view: MembershipView) -> None:
        self.view = view
        self.last_seed_exchange = 0
        self.backoffs: dict[str, Backoff] = {}  # by address

    def select(self, now: int) -> str | None:
        """Return the address of a random member, or of a seed.

        Members in backoff are selected only if all are. A seed is selected if no member is known,
        and otherwise every SEED_INTERVAL, which merges views that were partitioned.

        :returns: None if neither a member nor a seed is known.
        """
        known = sorted(self.view.entries)
        members = [address for address in known if self.is_available(address, now)] or known
        seeds = [seed for seed in self.view.seeds if seed != self.view.own_entry.address]
        if seeds and not members:
            return self.view.rng.choice(seeds)
        if seeds and now - self.last_seed_exchange > SEED_INTERVAL:
            self.last_seed_exchange = now
            return self.view.rng.choice(seeds)
        return self.view.rng.choice(members) if members else None

    def is_available(self, address: str, now: int) -> bool:
        """Return whether the peer is not in backoff."""
        return self.backoffs.get(address, Backoff()).until <= now

    def record_failure(self, address: str, now: int) -> None:
        """Start the backoff of a peer that didn't answer, twice as long as its previous one."""
        duration = min(2 * self.backoffs.get(address, Backoff()).duration, BACKOFF_MAX)
        self.backoffs[address] = Backoff(now + duration, duration)

    def record_success(self, address: str) -> None:
        """End the backoff of a peer that answered."""
        self.backoffs.pop(address, None)
