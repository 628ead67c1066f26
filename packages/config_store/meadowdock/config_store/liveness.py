"""Failure detection among configuration stores.

Every process polls every other one. A process that has been silent for a while counts as failed;
time for which this process itself was suspended is not counted.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.consensus import FailureDomain
from meadowdock.rpc import Handlers
from meadowdock.runtime import monotonic_us, sleep_us


@dataclass(frozen=True)
class PeerStatus:
    """The last answer of another process.

    answering_since: when it began to answer under this disk id without a gap. answered_at: when it
    answered last. Both are in microseconds of the monotonic clock.
    """

    disk: str
    answering_since: int
    answered_at: int
    disk_writable: bool
    leaving: bool
    failure_domain: FailureDomain


class Liveness:
    """A base class of the server: polls the other processes and answers their polls.

    Invariant: peer_statuses holds addresses of others only.
    """

    handlers = Handlers()

    async def poll_peers_loop(self):
        """Poll every known process, so that all of them learn the newest configuration."""
        while True:
            await self.poll_peers()
            await sleep_us(
                self.timing.hello_interval_us
                if self.store.membership
                else self.timing.bootstrap_interval_us
            )

    async def poll_peers(self):
        """Poll every other known process once.

        Adopt a newer membership configuration if one is reported, or bootstrap the first one if
        this process may.
        """
        self.discount_pause(self.pause_detector.measure_pause(monotonic_us()))
        requests = {
            address: (address, "member.hello", {"link": self.node.settings.rpc_address})
            for address in self.known_addresses()
        }
        answers = await self.node.rpc.successful_responses(
            requests, monotonic_us() + self.timing.hello_timeout_us
        )
        for address, hello in answers.items():
            self.record_hello(address, hello)
        records = [hello["record"] for hello in answers.values() if hello["record"]]
        newest = max(records, key=lambda record: record["version"], default=None)
        if newest is not None:
            await self.store.adopt(MembershipConfiguration.from_record(newest))
        elif self.may_bootstrap(answers) or await self.may_bootstrap_by_testimony(answers):
            await self.bootstrap(answers)
        if self.store.membership is None:
            self.membership_known_at = monotonic_us()
            self.log_bootstrap_obstacles(answers)

    def known_addresses(self):
        """Return the addresses of all other known processes, in order."""
        self.recent_pollers = {
            address: polled_at
            for address, polled_at in self.recent_pollers.items()
            if monotonic_us() - polled_at < self.timing.contact_retention_us
        }
        return sorted(
            {
                *self.bootstrap_members,
                *self.store.members.values(),
                *self.node.membership.core_members("mdconf"),
                *self.recent_pollers,
            }
            - {self.node.settings.rpc_address}
        )

    def discount_pause(self, pause_us):
        """Correct the statuses of peers after this process was suspended.

        :param pause_us: for how long it was suspended; that time doesn't count as silence of the
            others
        """
        if pause_us:
            self.started_at += pause_us
            self.peer_statuses = {
                address: replace(status, answered_at=status.answered_at + pause_us)
                for address, status in self.peer_statuses.items()
            }

    def record_hello(self, address, hello):
        """Update the status of a peer from its answer to a poll."""
        previous = self.peer_statuses.get(address)
        uninterrupted = (
            previous
            and previous.disk == hello["disk"]
            and monotonic_us() - previous.answered_at < self.timing.failed_after_us
        )
        self.peer_statuses[address] = PeerStatus(
            hello["disk"],
            previous.answering_since if uninterrupted else monotonic_us(),
            monotonic_us(),
            hello["well"],
            hello["leaving"],
            failure_domain_of(hello),
        )

    def reachable(self):
        """Return {address: PeerStatus} of all processes that answer, including this one."""
        own_status = PeerStatus(
            self.store.disk_id,
            self.started_at,
            monotonic_us(),
            self.store.disk.failure() is None,
            self.node.stopping,
            self.failure_domain,
        )
        fresh = {
            address: status
            for address, status in self.peer_statuses.items()
            if monotonic_us() - status.answered_at < self.timing.failed_after_us
        }
        return {**fresh, self.node.settings.rpc_address: own_status}

    def silent_for_us(self, address):
        """Return how long an address has been silent, in microseconds."""
        return monotonic_us() - (
            self.peer_statuses[address].answered_at
            if address in self.peer_statuses
            else self.started_at
        )

    @handlers.on("member.hello")
    async def on_hello(self, peer, poller):
        """Answer a poll with the disk id, membership configuration and state of this process."""
        if poller and poller["link"] != self.node.settings.rpc_address:
            self.recent_pollers[poller["link"]] = monotonic_us()
        candidate = self.own_candidate()
        return {
            "disk": self.store.disk_id,
            "record": self.store.membership.to_record() if self.store.membership else None,
            # None if the disk isn't blank, an empty list without permission to bootstrap
            "founders": candidate.members if candidate.blank else None,
            "well": self.store.disk.failure() is None,
            "leaving": self.node.stopping,
            "zone": self.failure_domain.zone,
            "region": self.failure_domain.region,
            "quorum": self.quorum_monitor.has_quorum(),
            "doors": self.operator_addresses(),
        }


def failure_domain_of(hello):
    """Return the failure domain in an answer to member.hello; older releases send none."""
    return FailureDomain(hello.get("zone", ""), hello.get("region", ""))
