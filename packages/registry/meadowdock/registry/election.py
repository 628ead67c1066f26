"""Which registry is the load collector: the holder of one lease that the config stores grant.

A holder renews its lease as long as it can. When there has been no collector for a while, the other
registries ask for the lease one after another, ranked by rendezvous hashing, so that in most cases
only one of them asks. The lease alone decides; the ranking saves requests.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock.config_store.lease_messages import COLLECTOR_KEY
from meadowdock.process import Node
from meadowdock.registry.lease_client import LeaseClient, lease_duration
from meadowdock.registry.messages import RegistryHeartbeat
from meadowdock.registry.node_table import NodeTable
from meadowdock.registry.rendezvous import rank_candidates
from meadowdock.rpc import Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

COLLECTOR = "collector"  # the singleton role's name in the ranking and in the log
CHECK_INTERVAL_US = 200 * MILLISECOND
# Without a collector for this long, the first by rank asks for the lease. Each further one waits
# for two more of it: the first may be unable to reach the config stores.
VACANCY_US = 500 * MILLISECOND


class CollectorElection:
    """Acquires, renews and releases the collector's lease.

    Invariants: `epoch` is not None iff this process holds the lease at this moment, under that
    epoch; `highest_epoch` only goes up; `reclaiming` is True from the expiry of an own lease until
    another holder is known, and meanwhile this process asks again without waiting for its rank.
    """

    def __init__(
        self,
        node: Node,
        registries: NodeTable[RegistryHeartbeat],
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        """:param announce: tells the other registries about a lease that was just acquired."""
        self.node = node
        self.registries = registries
        self.announce = announce
        self.lease = LeaseClient(node, COLLECTOR_KEY, lease_duration(node.settings.contact_us))
        self.reclaiming = False
        self.highest_epoch = 0
        self.collector_seen_at = monotonic_us()  # us, monotonic clock

    @property
    def epoch(self) -> int | None:
        """The epoch (fencing token) of the lease held at this moment, or None."""
        return self.lease.epoch

    async def run(self) -> None:
        """Keep the lease, or acquire it when nobody holds it."""
        while True:
            await self.step()
            await sleep_us(CHECK_INTERVAL_US)

    async def step(self) -> None:
        """Renew or acquire the lease once, if it is time to."""
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
        """Give the lease back before this process ends, so that nobody waits for its expiry."""
        await self.lease.release()

    def learn_epoch(self, epoch: int) -> None:
        """Note an epoch that exists; an own lease of a lower one is dropped."""
        self.highest_epoch = max(self.highest_epoch, epoch)
        granted = self.lease.granted
        if granted is not None and self.highest_epoch > granted.epoch:
            self.node.log(702, lease=COLLECTOR, epoch=granted.epoch, seen=self.highest_epoch)
            self.lease.drop()
            self.reclaiming = False

    def drop_if_expired(self) -> None:
        """Stop using a lease that could not be renewed in time."""
        granted = self.lease.granted
        if granted is not None and self.lease.expired:
            self.node.log(705, lease=COLLECTOR, epoch=granted.epoch)
            self.lease.drop()
            self.reclaiming = True

    def collector_known(self) -> bool:
        """Whether this process holds the lease, or a live registry says that it does."""
        if self.epoch is not None:
            return True
        return any(
            self.registries.records[address].heartbeat.collector_epoch is not None
            for address in self.registries.live(monotonic_us())
        )

    def is_vacant(self) -> bool:
        """Whether there was no collector for as long as this process must wait by its rank."""
        own_address = self.node.settings.link
        candidates = [*self.registries.live(monotonic_us()), own_address]
        rank = rank_candidates(COLLECTOR, candidates).index(own_address)
        return monotonic_us() - self.collector_seen_at >= VACANCY_US * (1 + 2 * rank)

    async def acquire(self) -> None:
        """Ask for the lease once."""
        self.learn_holder(await self.lease.acquire(self.highest_epoch))
        if self.node.stopping:
            await self.lease.release()
        elif self.epoch is not None:
            self.reclaiming = False
            self.learn_epoch(self.epoch)
            self.node.log(701, lease=COLLECTOR, epoch=self.epoch)
            await self.announce()

    def learn_holder(self, refusal: Rejected | None) -> None:
        """Learn from a refused request that another process holds the lease, and its epoch."""
        if refusal is not None and refusal.details.get("epoch"):
            self.reclaiming = False
            self.learn_epoch(refusal.details["epoch"])
