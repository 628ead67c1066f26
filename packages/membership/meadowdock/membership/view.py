"""The membership view of one process: state and rules, without I/O.

A view is partial: it holds a bounded random sample of the members. Members of a core role (mdreg,
mdconf) are few and needed by all, so they are bounded apart and are part of every sample.
Times are in microseconds of the local monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import immutables

from meadowdock.membership.entry import KnownMember, MemberEntry, RemovedMember
from meadowdock.runtime import SECOND, PauseDetector

VIEW_MAX = 10  # members that are not core
CORE_VIEW_MAX = 32
CORE_ROLES = ("mdreg", "mdconf")
SAMPLE_SIZE = 5  # members that are not core, in each gossip message
SILENCE_TIMEOUT = 4 * SECOND  # without a rise of its heartbeat a member counts as dead
REMOVED_RETENTION = 10 * SILENCE_TIMEOUT
PAUSE_THRESHOLD = 2 * SECOND  # a longer gap between two expiries is a pause of this process
ANNOUNCED_MAX = 2_000

NEVER_REMOVED = RemovedMember((-1, -1), 0)


class MembershipView:
    """The members that one process knows, itself excluded.

    Invariants: one entry an address, the newest received; at most VIEW_MAX entries that aren't
    core and CORE_VIEW_MAX that are. removed remembers, for REMOVED_RETENTION, the freshness of each
    member that was given up, so that an older entry of it can't bring it back. announced holds the
    incarnation that was logged of each member not given up, of the ANNOUNCED_MAX latest: an entry
    that was dropped from the view and comes back is not logged again.
    """

    def __init__(
        self,
        me: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.me = me
        self.seeds = seeds  # addresses that a process without members begins with
        self.rng = rng
        self.log = log
        self.entries: immutables.Map[str, KnownMember] = immutables.Map()
        self.removed: immutables.Map[str, RemovedMember] = immutables.Map()
        self.announced: dict[str, int] = {}
        self.on_updated: Callable[[MemberEntry], None] | None = None  # called with each newer entry
        self.pause_detector = PauseDetector(PAUSE_THRESHOLD, 0)

    def core_members(self, role: str) -> list[str]:
        """Addresses of the known members of a core role, in order."""
        return sorted(
            known.entry.address
            for known in self.entries.values()
            if known.entry.role == role and not known.entry.leaving
        )

    def advance_heartbeat(self, **changes: Any) -> None:
        """Raise the own heartbeat, and change other fields of the own entry."""
        self.me = self.me._replace(heartbeat=self.me.heartbeat + 1, **changes)

    # ------------------------------------------------------------ entries of others

    def merge(self, entries: Iterable[MemberEntry], at: int) -> None:
        """Take the entries that are newer than those known."""
        for entry in entries:
            self.merge_entry(entry, at)
        self.trim()

    def merge_entry(self, entry: MemberEntry, at: int) -> None:
        """Take one entry if it is newer than what is known of its address."""
        if entry.address == self.me.address:
            self.overtake(entry)
            return
        if not self.is_newer(entry):
            return
        if entry.leaving:
            self.remove(entry, at, "leaving")
            return
        self.announce(entry)
        self.entries = self.entries.set(entry.address, KnownMember(entry, at))
        if self.on_updated:
            self.on_updated(entry)

    def overtake(self, entry: MemberEntry) -> None:
        """Go above an entry of this process's own address from a former incarnation, whose number
        is higher if the wall clock went back since."""
        if entry.incarnation > self.me.incarnation:
            self.me = self.me._replace(incarnation=entry.incarnation + 1)

    def is_newer(self, entry: MemberEntry) -> bool:
        """Whether an entry is newer than all that was known of its address."""
        freshness = entry.freshness
        known = self.entries.get(entry.address)
        if known is not None and freshness <= known.entry.freshness:
            return False
        removed = self.removed.get(entry.address, NEVER_REMOVED)
        return freshness > removed.freshness

    def announce(self, entry: MemberEntry) -> None:
        """Log a member's incarnation that is seen for the first time."""
        if self.announced.get(entry.address) == entry.incarnation:
            return
        self.announced[entry.address] = entry.incarnation
        self.log(301, peer=entry.address, role=entry.role, incarnation=entry.incarnation)
        if len(self.announced) > ANNOUNCED_MAX:
            del self.announced[next(iter(self.announced))]

    # ------------------------------------------------------------ removal

    def remove(self, entry: MemberEntry, at: int, reason: str) -> None:
        """Give up a member that left or is silent, until a newer entry of it comes."""
        if self.announced.pop(entry.address, None) is not None:
            self.log(302, peer=entry.address, role=entry.role, why=reason)
        self.removed = self.removed.set(entry.address, RemovedMember(entry.freshness, at))
        if entry.address in self.entries:
            self.entries = self.entries.delete(entry.address)

    def expire(self, at: int) -> None:
        """Give up members that have been silent too long. A pause of this process itself is not
        counted as theirs."""
        pause = self.pause_detector.look(at)
        if pause:
            self.postpone_expiry(pause)
        for known in list(self.entries.values()):
            if at - known.last_heard > SILENCE_TIMEOUT:
                self.remove(known.entry, at, "silent")
        self.removed = immutables.Map(
            {
                address: removed
                for address, removed in self.removed.items()
                if at - removed.removed_at <= REMOVED_RETENTION
            }
        )

    def postpone_expiry(self, pause: int) -> None:
        """Count all members as heard later, by the length of a pause."""
        self.entries = immutables.Map(
            {
                address: known._replace(last_heard=known.last_heard + pause)
                for address, known in self.entries.items()
            }
        )

    def trim(self) -> None:
        """Drop random entries above the bounds. Random drops keep the views of processes mixed; the
        members themselves are not given up."""
        for limit, is_core in ((VIEW_MAX, False), (CORE_VIEW_MAX, True)):
            group = [
                known.entry.address
                for known in self.entries.values()
                if (known.entry.role in CORE_ROLES) == is_core
            ]
            surplus = len(group) - limit
            if surplus > 0:
                for address in self.rng.sample(sorted(group), surplus):
                    self.entries = self.entries.delete(address)

    # ------------------------------------------------------------ gossip messages

    def sample(self) -> list[MemberEntry]:
        """The entries of one gossip message: the own, all core members and some random others."""
        entries = [known.entry for known in self.entries.values()]
        core = sorted(entry for entry in entries if entry.role in CORE_ROLES)
        others = sorted(entry for entry in entries if entry.role not in CORE_ROLES)
        size = min(SAMPLE_SIZE, len(others))
        return [self.me, *core, *self.rng.sample(others, size)]

    def is_complete(self) -> bool:
        """Whether a member of each core role is known."""
        return all(self.core_members(role) for role in CORE_ROLES)
