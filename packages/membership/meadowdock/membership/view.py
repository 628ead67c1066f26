"""The membership view of one process: state and rules, without I/O.

A view is partial: it contains a bounded random sample of the members. Members of a core role
(mdreg, mdconf) are few and needed by all processes, so they have a bound of their own and are in
every gossip message. Times are in microseconds of the local monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import immutables

from meadowdock.logs import events as log_events
from meadowdock.membership.entry import KnownMember, MemberEntry, RemovedMember
from meadowdock.runtime import SECOND, PauseDetector

VIEW_MAX = 10  # members that are not core
CORE_VIEW_MAX = 32
CORE_ROLES = ("mdreg", "mdconf")
SAMPLE_SIZE = 5  # members that are not core, in each gossip message
SILENCE_TIMEOUT = 4 * SECOND  # a member whose heartbeat has not increased for this time is dead
REMOVED_RETENTION = 10 * SILENCE_TIMEOUT
# A longer gap between two calls of `expire` counts as a pause of this process.
PAUSE_THRESHOLD = 2 * SECOND
LOGGED_INCARNATIONS_MAX = 2_000

NEVER_REMOVED = RemovedMember((-1, -1), 0)


class MembershipView:
    """The members that one process knows, itself excluded.

    Invariant: there is one entry for each address, the newest received, and there are at most
    VIEW_MAX entries of other roles and CORE_VIEW_MAX of core roles.

    :ivar newest_version: the newest version of the configuration in any entry that was seen.
    :ivar removed: for REMOVED_RETENTION, the freshness of each member that left or was silent, so
        that an outdated entry can't bring it back.
    :ivar logged_incarnations: for the latest LOGGED_INCARNATIONS_MAX members that were not removed,
        the incarnation that was logged. A member that was trimmed from the view and comes back is
        not logged again.
    """

    def __init__(
        self,
        own_entry: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.own_entry = own_entry
        self.seeds = seeds  # addresses that a process without known members contacts first
        self.rng = rng
        self.log = log
        self.entries: immutables.Map[str, KnownMember] = immutables.Map()
        self.removed: immutables.Map[str, RemovedMember] = immutables.Map()
        self.logged_incarnations: dict[str, int] = {}
        self.newest_version = own_entry.version
        # called with each newer entry
        self.on_entry_updated: Callable[[MemberEntry], None] | None = None
        self.pause_detector = PauseDetector(PAUSE_THRESHOLD, 0)

    def core_members(self, role: str) -> list[str]:
        """Return the addresses of the known members of a core role, sorted."""
        return sorted(
            known.entry.address
            for known in self.entries.values()
            if known.entry.role == role and not known.entry.leaving
        )

    def advance_heartbeat(self, **changes: Any) -> None:
        """Increment the heartbeat of this process, and change other fields of its entry."""
        self.own_entry = self.own_entry._replace(heartbeat=self.own_entry.heartbeat + 1, **changes)
        self.newest_version = max(self.newest_version, self.own_entry.version)

    def merge(self, entries: Iterable[MemberEntry], now: int) -> None:
        """Adopt the entries that are newer than the known ones."""
        for entry in entries:
            self.merge_entry(entry, now)
        self.trim()

    def merge_entry(self, entry: MemberEntry, now: int) -> None:
        """Adopt an entry if it is newer than the known one of its address."""
        self.newest_version = max(self.newest_version, entry.version)
        if entry.address == self.own_entry.address:
            self.supersede_previous_incarnation(entry)
            return
        if not self.is_newer(entry):
            return
        if entry.leaving:
            self.remove(entry, now, "leaving")
            return
        self.log_new_incarnation(entry)
        self.entries = self.entries.set(entry.address, KnownMember(entry, now))
        if self.on_entry_updated:
            self.on_entry_updated(entry)

    def supersede_previous_incarnation(self, entry: MemberEntry) -> None:
        """Raise the incarnation of this process above that of an entry with its own address.

        The entry stems from a previous incarnation, whose number is higher if the wall clock was
        set back since.
        """
        if entry.incarnation > self.own_entry.incarnation:
            self.own_entry = self.own_entry._replace(incarnation=entry.incarnation + 1)

    def is_newer(self, entry: MemberEntry) -> bool:
        """Return whether an entry is newer than the known or removed one of its address."""
        freshness = entry.freshness
        known = self.entries.get(entry.address)
        if known is not None and freshness <= known.entry.freshness:
            return False
        removed = self.removed.get(entry.address, NEVER_REMOVED)
        return freshness > removed.freshness

    def log_new_incarnation(self, entry: MemberEntry) -> None:
        """Log a member's incarnation the first time it is seen."""
        if self.logged_incarnations.get(entry.address) == entry.incarnation:
            return
        self.logged_incarnations[entry.address] = entry.incarnation
        self.log(
            log_events.PEER_SEEN, peer=entry.address, role=entry.role, incarnation=entry.incarnation
        )
        if len(self.logged_incarnations) > LOGGED_INCARNATIONS_MAX:
            del self.logged_incarnations[next(iter(self.logged_incarnations))]

    def remove(self, entry: MemberEntry, now: int, reason: str) -> None:
        """Remove a member that left or is silent, until a newer entry of it is received."""
        if self.logged_incarnations.pop(entry.address, None) is not None:
            self.log(log_events.PEER_REMOVED, peer=entry.address, role=entry.role, why=reason)
        self.removed = self.removed.set(entry.address, RemovedMember(entry.freshness, now))
        if entry.address in self.entries:
            self.entries = self.entries.delete(entry.address)

    def expire(self, now: int) -> None:
        """Remove the members that have been silent for too long.

        A pause of this process itself does not count as silence of the members.
        """
        pause = self.pause_detector.measure_pause(now)
        if pause:
            self.postpone_expiry(pause)
        for known in list(self.entries.values()):
            if now - known.last_heard > SILENCE_TIMEOUT:
                self.remove(known.entry, now, "silent")
        self.removed = immutables.Map(
            {
                address: removed
                for address, removed in self.removed.items()
                if now - removed.removed_at <= REMOVED_RETENTION
            }
        )

    def postpone_expiry(self, pause: int) -> None:
        """Move the time at which each member was last heard forward by the length of a pause."""
        self.entries = immutables.Map(
            {
                address: known._replace(last_heard=known.last_heard + pause)
                for address, known in self.entries.items()
            }
        )

    def trim(self) -> None:
        """Drop random entries that exceed the bounds of the view.

        Random drops keep the views of different processes different. The dropped members do not
        count as removed, so any entry of them is adopted again.
        """
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

    def sample(self) -> list[MemberEntry]:
        """Return the entries of one gossip message: this process, the core, some random others."""
        entries = [known.entry for known in self.entries.values()]
        core = sorted(entry for entry in entries if entry.role in CORE_ROLES)
        others = sorted(entry for entry in entries if entry.role not in CORE_ROLES)
        size = min(SAMPLE_SIZE, len(others))
        return [self.own_entry, *core, *self.rng.sample(others, size)]

    def is_complete(self) -> bool:
        """Return whether a member of each core role is known."""
        return all(self.core_members(role) for role in CORE_ROLES)
