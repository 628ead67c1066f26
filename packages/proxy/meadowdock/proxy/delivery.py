"""Configuration delivery at a proxy.

The proxy follows the current revision of the config stores. It stages a newer revision (fetches its
chunks and builds the routing table) and activates it once the revision is known to be in force
elsewhere, or after a delay. Revisions are maps here, as they are on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from meadowdock.configuration import RoutingTable
from meadowdock.logs import events as log_events
from meadowdock.proxy.staging import Stager
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

# Divisors of apply_us, the time within which an acknowledged change must be in force. If the member
# that acknowledged it has failed and one more is silent, the delays together stay below half of it.
CONFIRM_INTERVAL_DIVISOR = 5  # between queries of the config stores for the current revision
RETRY_INTERVAL_DIVISOR = 10  # between queries after one went unanswered or a staging failed
QUERY_TIMEOUT_DIVISOR = 5  # for a reply
# For a reply of the member that replied last, before other members are asked.
PREFERRED_QUERY_TIMEOUT_DIVISOR = 20
ACTIVATION_DELAY_DIVISOR = 10  # from staging to activation, if no one reports it as in force
# A longer gap between ticks means that the process was paused: peers may have activated a revision.
PAUSE_THRESHOLD_US = 250 * MILLISECOND
REVALIDATION_WAIT_US = 600 * MILLISECOND


@dataclass(frozen=True)
class StagedRevision:
    """A revision whose routing table is built."""

    routing_table: RoutingTable
    revision: dict
    since: int  # when a version newer than the one in force was first staged


class ConfigurationDelivery:
    """The configuration in force at this proxy, and the newer one that is staged.

    Invariants: the version in force never goes down; staged, if any, is newer than it; revalidated
    is an event if and only if this process was paused and has not confirmed its version since.
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
        self.revalidated = None  # the event that is set once the version is confirmed after a pause
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

    async def ensure_current(self):
        """Wait, after a pause of the process, until the version is confirmed or the wait times out.

        Called before each call is routed.
        """
        self.detect_pause()
        if self.revalidated is not None:
            with deadline_scope(monotonic_us() + REVALIDATION_WAIT_US):
                await self.revalidated.wait()

    def detect_pause(self):
        """Start a revalidation if the process was paused since the last tick.

        A long time between two ticks means that it was.
        """
        if (
            monotonic_us() - self.last_tick_at > PAUSE_THRESHOLD_US
            and self.active
            and self.revalidated is None
        ):
            self.revalidated = trio.Event()
            self.request_update()
        self.last_tick_at = monotonic_us()

    def request_update(self):
        """Query for a newer revision now."""
        self.update_available.set()

    def on_version_seen(self, version, in_force):
        """Handle a report that a version exists, and whether it is in force at a peer.

        A version that is in force at a peer is activated as soon as it is staged.
        """
        if in_force:
            self.on_active_elsewhere(version)
        if version > self.newest:
            self.request_update()

    async def run(self):
        """Confirm the version periodically, and whenever a newer one is reported."""
        while True:
            self.update_available = trio.Event()
            await self.confirm()
            with deadline_scope(self.next_confirm_at()):
                await self.update_available.wait()
                # one query serves all notices that arrive meanwhile
                await sleep_us(20 * MILLISECOND)

    def next_confirm_at(self):
        """Return when to confirm the version next, unless a newer one is reported earlier."""
        if self.retry_soon:
            return monotonic_us() + self.fraction_of_apply_us(RETRY_INTERVAL_DIVISOR)
        return self.node.membership.schedule.next_wakeup(
            self.fraction_of_apply_us(CONFIRM_INTERVAL_DIVISOR)
        )

    def fraction_of_apply_us(self, divisor):
        """Return a fraction of the time within which a change must be in force."""
        return self.node.settings.apply_us // divisor

    async def confirm(self):
        """Query the config stores for the current revision; fetch and stage it if it is newer.

        A pause that happens after the query was sent still needs a revalidation: the reply may have
        waited in a buffer meanwhile.
        """
        pending_revalidation = self.revalidated
        # Peers may have activated a revision meanwhile: this process does so at once.
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
                return  # the staging is still running: its result is not known yet
        # After a start only a confirmed revision is activated: before it, this machine may have
        # served a newer one than its peers have.
        if self.staged is not None and (
            reached and complete if self.active is None else self.activate_at_once
        ):
            self.activate_staged(self.staged.routing_table.version)
        self.activate_at_once = False
        # Cut off until the stores' version is in force here, or staged for its normal activation.
        unconfirmed = not (reached and complete)
        if unconfirmed and not self.cut_off:
            self.node.log(log_events.CORE_UNREACHABLE, version=self.version)
        elif not unconfirmed and (self.cut_off or pending_revalidation is not None):
            self.node.log(log_events.CONFIGURATION_REVALIDATED, version=self.version)
        self.cut_off = unconfirmed
        if pending_revalidation is not None:
            pending_revalidation.set()
            self.revalidated = None

    async def query_config_stores(self):
        """Return (revision, address) of a config store's reply, or (None, None).

        The member that replied last is asked first; if it doesn't reply, three are asked at once.
        """
        members = self.node.membership.core_members("mdconf")
        if self.preferred_source in members:
            reply = await self.query_first(
                [self.preferred_source], self.fraction_of_apply_us(PREFERRED_QUERY_TIMEOUT_DIVISOR)
            )
            if reply is not None:
                return reply
        self.node.runtime.rng.shuffle(members)
        return await self.query_first(
            members[:3], self.fraction_of_apply_us(QUERY_TIMEOUT_DIVISOR)
        ) or (None, None)

    async def query_first(self, addresses, timeout_us):
        """Return (revision, address) of the first member that replies, or None."""
        replies = []

        async def query_one(address):
            reply = await self.query(address, timeout_us)
            replies.extend(reply)
            if reply:
                nursery.cancel_scope.cancel()

        if len(addresses) == 1:  # the usual case needs no tasks of its own
            replies = await self.query(addresses[0], timeout_us)
        else:
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(query_one, address)
        if not replies:
            return None
        self.preferred_source = replies[0][1]
        return replies[0]

    async def query(self, address, timeout_us):
        """Return [(revision, address)], or an empty list if there is no reply."""
        try:
            deadline = monotonic_us() + timeout_us
            return [
                (await self.node.rpc.call(address, "manifest.head", self.newest, deadline), address)
            ]
        except (ConnectionFailed, Rejected):
            return []

    async def query_peers(self):
        """Return (revision, address) of a peer with a newer version, or (None, None).

        Used while no config store can be reached: a peer's newer version is better than an older
        one.
        """
        peers = [
            (seen.entry.version, address)
            for address, seen in self.node.membership.entries.items()
            if seen.entry.role == "mdproxy" and seen.entry.version > self.newest
        ]
        newest = [address for _, address in sorted(peers, reverse=True)[:2]]
        return await self.query_first(newest, self.fraction_of_apply_us(QUERY_TIMEOUT_DIVISOR)) or (
            None,
            None,
        )

    async def stage(self, revision, source):
        """Stage a revision unless it is old; return False if its chunks could not be fetched."""
        if revision["version"] <= self.newest:
            return True
        in_use = [known.revision for known in (self.active, self.staged) if known]
        self.stager.retain_chunks([revision, *in_use])
        complete = await self.stager.stage(revision, source)
        self.retry_soon = not complete
        return complete

    async def stage_within_interval(self, revision, source):
        """Stage a revision as `stage` does, but for at most one confirm interval.

        Return None if that is too short: a newer revision may exist by then.
        """
        with deadline_scope(monotonic_us() + self.fraction_of_apply_us(CONFIRM_INTERVAL_DIVISOR)):
            return await self.stage(revision, source)
        return None

    def base_of_next(self):
        """Return the (routing table, revision) that the next table is built from, or None."""
        newest = self.staged or self.active
        return newest and (newest.routing_table, newest.revision)

    def on_staged(self, routing_table, revision, fetched):
        """Take over a routing table that the stager built.

        :param fetched: how many of its chunks had to be fetched.
        """
        if routing_table.version <= self.newest:
            return
        first_staged = self.staged is None
        since = monotonic_us() if first_staged else self.staged.since
        self.staged = StagedRevision(routing_table, revision, since)
        self.node.log(
            log_events.CONFIGURATION_STAGED, version=routing_table.version, fetched=fetched
        )
        if self.active is not None and (
            self.activate_at_once or routing_table.version <= self.highest_active_elsewhere
        ):
            self.activate_staged(routing_table.version)
        elif first_staged and self.active is not None:
            self.node.nursery.start_soon(self.activate_after_delay, since)

    async def activate_after_delay(self, since):
        """Activate whatever is staged after the activation delay, unless that happened earlier.

        The delay counts from the first staging, so that frequent changes don't postpone it.
        """
        await sleep_us(self.fraction_of_apply_us(ACTIVATION_DELAY_DIVISOR))
        if self.staged is not None and self.staged.since == since:
            self.activate_staged(self.staged.routing_table.version)

    def on_active_elsewhere(self, version):
        """Activate a version that is in force elsewhere, now or as soon as it is staged.

        Not after a start: the first activation waits for the config stores' own reply.
        """
        self.highest_active_elsewhere = max(self.highest_active_elsewhere, version)
        if self.active is not None:
            self.activate_staged(version)

    def activate_staged(self, version):
        """Activate the staged revision if it is no newer than `version`."""
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
        self.node.membership.advance_heartbeat(version=staged.routing_table.version)
        self.node.log(log_events.CONFIGURATION_ACTIVATED, version=staged.routing_table.version)

    @handlers.on("manifest.stage")
    async def on_stage_request(self, peer, revision):
        """Stage a revision for a config store, before that acknowledges the change."""
        staged = await self.stage(revision, peer.address)
        if not staged:
            self.request_update()
        return {"staged": staged}

    @handlers.on("manifest.switch")
    async def on_activate_request(self, peer, version):
        """Handle a config store's notice that a version is in force."""
        self.on_active_elsewhere(version)
        return {"version": self.version}

    @handlers.on("manifest.head")
    async def on_revision_request(self, peer, known):
        """Return the revision in force to a peer that is cut off from the config stores.

        :raises Rejected: no_manifest, if no configuration is in force.
        """
        if self.active is None:
            raise Rejected("no_manifest")
        revision = self.active.revision
        return revision if revision["version"] > known else {"version": revision["version"]}

    @handlers.on("chunk.get")
    async def on_chunk_request(self, peer, request):
        """Return the chunks that a peer asks for."""
        return await self.stager.answer_chunk_request(request)
