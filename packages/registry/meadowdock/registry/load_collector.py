"""The load collector: asks all proxies for their load, and sends the combined list to all of them.

Every registry runs it, but only the holder of the collector's lease collects. A list carries the
epoch of the lease, so that proxies can reject lists from a previous holder.
"""

from __future__ import annotations

from meadowdock.process import Node
from meadowdock.registry.election import CollectorElection
from meadowdock.registry.messages import (
    LOAD_LIST_METHOD,
    LOAD_REQUEST_METHOD,
    OLD_EPOCH,
    CollectionSummary,
    LoadList,
    ProxyHeartbeat,
)
from meadowdock.registry.node_table import NodeTable
from meadowdock.rpc import Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

DEFAULT_INTERVAL_US = 500 * MILLISECOND  # until a proxy reports the one of its configuration


class LoadCollector:
    """Collects load at an interval.

    Invariants: `sequence` increases within an epoch; the interval is the one in the newest
    configuration that any proxy has reported as active.
    """

    def __init__(
        self, node: Node, proxies: NodeTable[ProxyHeartbeat], election: CollectorElection
    ) -> None:
        self.node = node
        self.proxies = proxies
        self.election = election
        self.configuration_version = 0  # the configuration that interval_us was taken from
        self.interval_us = DEFAULT_INTERVAL_US
        self.epoch = 0  # the epoch that `sequence` belongs to
        self.sequence = 0  # of the last list
        self.last_collection = CollectionSummary()
        self.next_collection_at = monotonic_us()

    def learn_interval(self, configuration_version: int, interval_us: int) -> None:
        """Adopt the interval of a configuration if no newer configuration is known."""
        self.configuration_version, self.interval_us = max(
            (self.configuration_version, self.interval_us), (configuration_version, interval_us)
        )

    async def run(self) -> None:
        """Collect once in each interval while this process holds the lease."""
        while True:
            if self.election.epoch is not None and not self.node.stopping:
                await self.collect()
            # after a pause, catch up on one missed interval at most
            self.next_collection_at = max(
                self.next_collection_at + self.interval_us, monotonic_us() - self.interval_us
            )
            await sleep_us(self.next_collection_at - monotonic_us())

    async def collect(self) -> None:
        """Ask every live proxy for its load, then send the combined list to all of them."""
        interval_us, epoch = self.interval_us, self.election.epoch
        addresses = self.proxies.live(monotonic_us())
        loads = await self.node.rpc.successful_responses(
            {address: (address, LOAD_REQUEST_METHOD, None) for address in addresses},
            monotonic_us() + interval_us * 6 // 10,
        )
        if epoch is None or self.election.epoch != epoch:  # the lease was lost during the requests
            return
        load_list = LoadList(epoch, self.next_sequence(epoch), loads).to_wire()
        answers = await self.node.rpc.call_all(
            {address: (address, LOAD_LIST_METHOD, load_list) for address in addresses},
            monotonic_us() + interval_us * 3 // 10,
        )
        rejections = [
            answer
            for answer in answers.values()
            if isinstance(answer, Rejected) and answer.code == OLD_EPOCH
        ]
        self.last_collection = CollectionSummary(
            requested=len(addresses),
            answered=len(loads),
            finished_at=self.node.runtime.wall_us(),
            rejected=len(rejections),
        )
        if rejections:
            self.election.learn_epoch(max(answer.details["epoch"] for answer in rejections))

    def next_sequence(self, epoch: int) -> int:
        """Return the sequence number of the next list in an epoch."""
        if epoch != self.epoch:
            self.epoch, self.sequence = epoch, 0
        self.sequence += 1
        return self.sequence
