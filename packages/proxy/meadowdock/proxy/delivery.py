"""Configuration delivery at a proxy.

The proxy follows the current revision of the config stores: it stages a newer one (fetches its
chunks and builds the routing table) and activates it, once that is said to be in force elsewhere or
after a delay. Revisions are maps here, as they are on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from meadowdock.configuration import RoutingTable
from meadowdock.proxy.staging import Stager
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

# Fractions of apply_us, within which an acknowledged change is in force. Together, with the member that
# acknowledged gone and one more silent, they are less than half of it.
CONFIRM_INTERVAL_DIVISOR = 5  # how often the config stores are asked for the revision
RETRY_INTERVAL_DIVISOR = 10  # and again, where they did not answer or a staging failed
QUERY_TIMEOUT_DIVISOR = 5  # for an answer
# For the answer of the member that answered last, before others are asked.
PREFERRED_QUERY_TIMEOUT_DIVISOR = 20
ACTIVATION_DELAY_DIVISOR = 10  # after staging, if nobody says that it is in force
# Ticks further apart than this: the process was paused, and others may have activated a revision.
PAUSE_THRESHOLD_US = 250 * MILLISECOND
REVALIDATION_WAIT_US = 600 * MILLISECOND


@dataclass(frozen=True)
class StagedRevision:
    """A revision whose routing table is built."""

    routing_table: RoutingTable
    revision: dict
    since: int  # when a version newer than the one in force was first staged


class ConfigurationDelivery:
    """The configuration in force here, and the newer one that is staged.

    Invariants: the version in force never goes down; staged, if any, is newer than it; revalidated
    is an event iff this process was paused and has not confirmed its version since.
    """

    handlers = Handlers()

    def __init__(self, node, use_routing_table):
        self.node, self.use_routing_table = node, use_routing_table
        self.active = None  # the StagedRevision in force
        self.staged = None
        self.stager = Stager(node, self.base_of_next, self.on_staged)
        self.last_tick_at = monotonic_us()
        self.cut_off = self.activate_at_once = False
        self.highest_active_elsewhere = 0  # the highest version that peers have in force
        self.preferred_source = None
        self.revalidated = None  # set once the version is confirmed after a pause
        self.update_available = trio.Event()
        self.retry_soon = False  # the last query or staging failed

    @property
    def version(self):
        """The version in force; 0 if there is none."""
        return self.active.routing_table.version if self.active else 0

    @property
    def newest(self):
        """The newest version that is in force or staged."""
        return self.staged.routing_table.version if self.staged else self.version

    # ------------------------------------------------------------ for calls

    async def ensure_current(self):
        """Before a call: after a pause the version is confirmed first, if a config store answers."""
        self.detect_pause()
        if self.revalidated is not None:
            with deadline_scope(monotonic_us() + REVALIDATION_WAIT_US):
                await self.revalidated.wait()

    def detect_pause(self):
        """Called at each tick: a long time since the last one means that the process was paused."""
        if (
            monotonic_us() - self.last_tick_at > PAUSE_THRESHOLD_US
            and self.active
            and self.revalidated is None
        ):
            self.revalidated = trio.Event()
            self.request_update()
        self.last_tick_at = monotonic_us()

    def request_update(self):
        """Look for a newer revision now."""
        self.update_available.set()

    def on_version_seen(self, version, in_force):
        """A version exists; one in force elsewhere, and staged here, is activated here, too."""
        if in_force:
            self.on_active_elsewhere(version)
        if version > self.newest:
            self.request_update()

    # ------------------------------------------------------------ loops

    async def run(self):
        """Confirm the version again and again, and whenever a newer one is heard of."""
        while True:
            self.update_available = trio.Event()
            await self.confirm()
            with deadline_scope(self.next_confirm_at()):
                await self.update_available.wait()
                await sleep_us(20 * MILLISECOND)

    def next_confirm_at(self):
        """When the version is confirmed next, unless a newer one is heard of."""
        if self.retry_soon:
            return monotonic_us() + self.fraction_of_apply_us(RETRY_INTERVAL_DIVISOR)
        return self.node.view.schedule.next_wakeup(
            self.fraction_of_apply_us(CONFIRM_INTERVAL_DIVISOR)
        )

    def fraction_of_apply_us(self, divisor):
        """A fraction of the time within which an acknowledged change is in force."""
        return self.node.settings.apply_us // divisor

    async def confirm(self):
        """Ask the config stores for the current revision; fetch and stage what is newer.

        A pause after the query is not settled by its answer, which may have lain in a buffer
        meanwhile.
        """
        pending_revalidation = self.revalidated
        # others may have activated a revision meanwhile: this process does so at once
        self.activate_at_once = self.cut_off or pending_revalidation is not None
        revision, source = await self.query_config_stores()
        reached = revision is not None
        self.retry_soon = not reached
        if not reached:
            revision, source = await self.query_peers()
        complete = True
        if revision is not None and revision["version"] > self.newest:
            complete = await self.stage_within_interval(revision, source)
            if complete is None:
                return  # still under way: nothing can be said yet
        # after a start only a confirmed revision is served: this machine may have served a newer
        # one than its peers have
        if self.staged is not None and (
            reached and complete if self.active is None else self.activate_at_once
        ):
            self.activate_staged(self.staged.routing_table.version)
        self.activate_at_once = False
        # cut off until the stores' version is in force here, or staged in its ordinary turn
        unconfirmed = not (reached and complete)
        if unconfirmed and not self.cut_off:
            self.node.log(503, version=self.version)
        elif not unconfirmed and (self.cut_off or pending_revalidation is not None):
            self.node.log(504, version=self.version)
        self.cut_off = unconfirmed
        if pending_revalidation is not None:
            pending_revalidation.set()
            self.revalidated = None

    async def query_config_stores(self):
        """The member that answered last; if it doesn't, three others at once."""
        members = self.node.view.core_members("mdconf")
        if self.preferred_source in members:
            answer = await self.query_first(
                [self.preferred_source], self.fraction_of_apply_us(PREFERRED_QUERY_TIMEOUT_DIVISOR)
            )
            if answer is not None:
                return answer
        self.node.runtime.rng.shuffle(members)
        return await self.query_first(
            members[:3], self.fraction_of_apply_us(QUERY_TIMEOUT_DIVISOR)
        ) or (None, None)

    async def query_first(self, addresses, wait):
        """(revision, address) of the first that answers, or None."""
        found = []

        async def query_one(address):
            answer = await self.query(address, wait)
            found.extend(answer)
            if answer:
                nursery.cancel_scope.cancel()

        if len(addresses) == 1:  # the ordinary case: no tasks of its own
            found = await self.query(addresses[0], wait)
        else:
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(query_one, address)
        if not found:
            return None
        self.preferred_source = found[0][1]
        return found[0]

    async def query(self, address, wait):
        """[(revision, address)], or nothing."""
        try:
            deadline = monotonic_us() + wait
            return [
                (await self.node.rpc.call(address, "manifest.head", self.newest, deadline), address)
            ]
        except (ConnectionFailed, Rejected):
            return []

    async def query_peers(self):
        """Cut off from the config stores: a peer's version is better than an older one."""
        peers = [
            (seen.entry.version, address)
            for address, seen in self.node.view.entries.items()
            if seen.entry.role == "mdproxy" and seen.entry.version > self.newest
        ]
        newest = [address for _, address in sorted(peers, reverse=True)[:2]]
        return await self.query_first(newest, self.fraction_of_apply_us(QUERY_TIMEOUT_DIVISOR)) or (
            None,
            None,
        )

    async def stage(self, revision, source):
        """Stage a revision unless it is old; False if its chunks were not to be had."""
        if revision["version"] <= self.newest:
            return True
        in_use = [known.revision for known in (self.active, self.staged) if known]
        self.stager.retain_chunks([revision, *in_use])
        complete = await self.stager.stage(revision, source)
        self.retry_soon = not complete
        return complete

    async def stage_within_interval(self, revision, source):
        """As stage, or None if that takes long: a newer revision may be there by then."""
        with deadline_scope(monotonic_us() + self.fraction_of_apply_us(CONFIRM_INTERVAL_DIVISOR)):
            return await self.stage(revision, source)
        return None

    def base_of_next(self):
        """(routing table, revision) that the next table is built from, if any."""
        newest = self.staged or self.active
        return newest and (newest.routing_table, newest.revision)

    def on_staged(self, routing_table, revision, fetched):
        """The stager built a table; so many chunks of it were fetched."""
        if routing_table.version <= self.newest:
            return
        fresh = self.staged is None
        since = monotonic_us() if fresh else self.staged.since
        self.staged = StagedRevision(routing_table, revision, since)
        self.node.log(501, version=routing_table.version, fetched=fetched)
        if self.active is not None and (
            self.activate_at_once or routing_table.version <= self.highest_active_elsewhere
        ):
            self.activate_staged(routing_table.version)
        elif fresh and self.active is not None:
            self.node.nursery.start_soon(self.activate_after_delay, since)

    async def activate_after_delay(self, since):
        """Activate whatever is staged by then, if nobody says earlier that it is in force.

        Changes that follow one another quickly don't put it off.
        """
        await sleep_us(self.fraction_of_apply_us(ACTIVATION_DELAY_DIVISOR))
        if self.staged is not None and self.staged.since == since:
            self.activate_staged(self.staged.routing_table.version)

    def on_active_elsewhere(self, version):
        """Activate a version that is in force elsewhere, now or as soon as it is staged.

        Not after a start: that waits for the config stores' own answer.
        """
        self.highest_active_elsewhere = max(self.highest_active_elsewhere, version)
        if self.active is not None:
            self.activate_staged(version)

    def activate_staged(self, version):
        """Put the staged revision in force, if it is no newer than a version."""
        staged = self.staged
        if (
            staged is None
            or staged.routing_table.version > version
            or staged.routing_table.version <= self.version
        ):
            return
        self.active, self.staged = staged, None
        self.stager.retain_chunks([staged.revision])
        self.use_routing_table(staged.routing_table)
        self.node.view.advance_heartbeat(version=staged.routing_table.version)
        self.node.log(502, version=staged.routing_table.version)

    # ------------------------------------------------------------ RPC methods

    @handlers.on("manifest.stage")
    async def on_stage_request(self, peer, revision):
        """A config store asks to stage a revision before it acknowledges the change."""
        staged = await self.stage(revision, peer.address)
        if not staged:
            self.request_update()
        return {"staged": staged}

    @handlers.on("manifest.switch")
    async def on_activate_request(self, peer, version):
        """A config store says that a version is in force."""
        self.on_active_elsewhere(version)
        return {"version": self.version}

    @handlers.on("manifest.head")
    async def on_revision_request(self, peer, known):
        """A peer that is cut off from the config stores asks for the revision in force here."""
        if self.active is None:
            raise Rejected("no_manifest")
        revision = self.active.revision
        return revision if revision["version"] > known else {"version": revision["version"]}

    @handlers.on("chunk.get")
    async def on_chunk_request(self, peer, request):
        """A peer asks for chunks."""
        return await self.stager.answer_chunk_request(request)
