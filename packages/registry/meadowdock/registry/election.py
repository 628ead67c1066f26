"""The election of the load collector: the registry that holds a lease granted by the config stores.

The holder renews its lease as long as it can. When there has been no collector for some time, the
other registries request the lease one after another, ranked by rendezvous hashing, so that usually
only one of them does. Safety depends on the lease alone; the ranking only saves requests.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock.config_store.lease_messages import COLLECTOR_KEY
from meadowdock.logs import events as log_events
from meadowdock.process import Node
from meadowdock.registry.lease_client import LeaseClient, lease_duration
from meadowdock.registry.messages import RegistryHeartbeat
from meadowdock.registry.node_table import NodeTable
from meadowdock.registry.rendezvous import rank_candidates
from meadowdock.rpc import Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

COLLECTOR = "collector"  # the singleton role's name in the ranking and in the log
CHECK_INTERVAL_US = 200 * MILLISECOND
# After this time without a collector, the first registry by rank requests the lease. Each further
# rank waits twice this time longer, since those before it may be unable to reach the config stores.
VACANCY_US = 500 * MILLISECOND


class CollectorElection:
    """Acquires, renews and releases the collector's lease.

    Invariants: `epoch` is not None if and only if this process currently holds the lease, under
    that epoch; `highest_epoch` only increases; `reclaiming` is True from the expiry of this
    process' lease until it holds the lease again or another holder is known, and meanwhile this
    process requests the lease without waiting for its rank.
    """

    def __init__(
        self,
        node: Node,
        registries: NodeTable[RegistryHeartbeat],
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        """Create the election.

        :param announce: notifies the other registries of a lease that was just acquired.
        """
        self.node = node
        self.registries = registries
        self.announce = announce
        self.lease = LeaseClient(node, COLLECTOR_KEY, lease_duration(node.settings.contact_us))
        self.reclaiming = False
        self.highest_epoch = 0
        self.collector_seen_at = monotonic_us()  # us, monotonic clock

    @property
    def epoch(self) -> int | None:
        """The epoch (fencing token) of the lease that is currently held, or None."""
        return self.lease.epoch

    async def run(self) -> None:
        """Keep renewing the lease, or acquire it when nobody holds it."""
        while True:
            await self.step()
            await sleep_us(CHECK_INTERVAL_US)

    async def step(self) -> None:
        """Renew or acquire the lease once if that is due."""
        self.drop_if_expired()
        if self.node.stopping:
            return
        if self.collector_known():
            self.collector_seen_at = monotonic_us()
        if self.epoch is not None:
            if self.lease.should_renew:
                self.learn_holder(await self.lease.renew())
        elif self.lease.may_acquire and (self.reclaiming or self.is_vacant()):
            await self.acquire()

    async def release(self) -> None:
        """Release the lease before this process ends, so that nobody waits for its expiry."""
        await self.lease.release()

    def learn_epoch(self, epoch: int) -> None:
        """Record an epoch that was granted, and drop the lease if it has a lower epoch."""
        self.highest_epoch = max(self.highest_epoch, epoch)
        granted = self.lease.granted
        if granted is not None and self.highest_epoch > granted.epoch:
            self.node.log(
                log_events.LEASE_LOST, lease=COLLECTOR, epoch=granted.epoch, seen=self.highest_epoch
            )
            self.lease.drop()
            self.reclaiming = False

    def drop_if_expired(self) -> None:
        """Stop using a lease that could not be renewed in time."""
        granted = self.lease.granted
        if granted is not None and self.lease.expired:
            self.node.log(log_events.LEASE_EXPIRED, lease=COLLECTOR, epoch=granted.epoch)
            self.lease.drop()
            self.reclaiming = True

    def collector_known(self) -> bool:
        """Return whether this process holds the lease, or a live registry reports that it does."""
        if self.epoch is not None:
            return True
        return any(
            self.registries.records[address].heartbeat.collector_epoch is not None
            for address in self.registries.live(monotonic_us())
        )

    def is_vacant(self) -> bool:
        """Return whether the time without a collector has reached the wait for this rank."""
        own_address = self.node.settings.rpc_address
        candidates = [*self.registries.live(monotonic_us()), own_address]
        rank = rank_candidates(COLLECTOR, candidates).index(own_address)
        return monotonic_us() - self.collector_seen_at >= VACANCY_US * (1 + 2 * rank)

    async def acquire(self) -> None:
        """Request the lease once, and announce it to the other registries if it was granted."""
        self.learn_holder(await self.lease.acquire(self.highest_epoch))
        if self.node.stopping:
            await self.lease.release()
        elif self.epoch is not None:
            self.reclaiming = False
            self.learn_epoch(self.epoch)
            self.node.log(log_events.LEASE_ACQUIRED, lease=COLLECTOR, epoch=self.epoch)
            await self.announce()

    def learn_holder(self, refusal: Rejected | None) -> None:
        """Learn from a refusal that another process holds the lease, and under which epoch."""
        if refusal is not None and refusal.details.get("epoch"):
            self.reclaiming = False
            self.learn_epoch(refusal.details["epoch"])
