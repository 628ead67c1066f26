"""Which configuration stores answer, and since when; and the bootstrap of the first membership
configuration.

Every process polls every other one. Who answered nothing for a while counts as failed; the time that
this process itself was suspended is not counted.
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

    since: when it began to answer under this disk id without a gap; at: when it answered last (both
    in microseconds of the monotonic clock).
    """

    disk: str
    since: int
    at: int
    disk_writable: bool
    leaving: bool
    failure_domain: FailureDomain


class Liveness:
    """A base class of the server: polls the other processes and answers their polls.

    Invariant: peer_statuses holds addresses of others only.
    """

    handlers = Handlers()

    async def poll_peers_loop(self):
        """Poll every known process, so that all get to know the newest configuration."""
        while True:
            await self.poll_peers()
            await sleep_us(
                self.timing.hello_interval_us
                if self.store.membership
                else self.timing.bootstrap_interval_us
            )

    async def poll_peers(self):
        """Poll every other known process once; adopt a newer membership configuration, or bootstrap the
        first one if this process may."""
        self.discount_pause(self.pause_detector.look(monotonic_us()))
        asked = {
            a: (a, "member.hello", {"link": self.node.settings.link})
            for a in self.known_addresses()
        }
        answers = await self.node.rpc.successful_responses(
            asked, monotonic_us() + self.timing.hello_timeout_us
        )
        for address, hello in answers.items():
            self.record_hello(address, hello)
        records = [hello["record"] for hello in answers.values() if hello["record"]]
        newest = max(records, key=lambda record: record["version"], default=None)
        if newest is not None:
            await self.store.adopt(MembershipConfiguration.from_record(newest))
        elif self.may_bootstrap(answers):
            await self.bootstrap(answers)
        if self.store.membership is None:
            self.membership_known_at = monotonic_us()

    def known_addresses(self):
        """Addresses of all other known processes, in order."""
        self.recent_askers = {
            a: at
            for a, at in self.recent_askers.items()
            if monotonic_us() - at < self.timing.contact_kept_us
        }
        return sorted(
            {
                *self.bootstrap_members,
                *self.store.members.values(),
                *self.node.view.core_members("mdconf"),
                *self.recent_askers,
            }
            - {self.node.settings.link}
        )

    def discount_pause(self, pause_us):
        """This process was suspended for so long: the others' answers did not stop meanwhile."""
        if pause_us:
            self.started_at += pause_us
            self.peer_statuses = {
                a: replace(status, at=status.at + pause_us)
                for a, status in self.peer_statuses.items()
            }

    def record_hello(self, address, hello):
        """Remember what another process answered."""
        old = self.peer_statuses.get(address)
        uninterrupted = (
            old
            and old.disk == hello["disk"]
            and monotonic_us() - old.at < self.timing.failed_after_us
        )
        self.peer_statuses[address] = PeerStatus(
            hello["disk"],
            old.since if uninterrupted else monotonic_us(),
            monotonic_us(),
            hello["well"],
            hello["leaving"],
            failure_domain_of(hello),
        )

    def reachable(self):
        """{address: PeerStatus} of all that answer, this process among them."""
        me = PeerStatus(
            self.store.disk,
            self.started_at,
            monotonic_us(),
            self.store.files.failure() is None,
            self.node.stopping,
            self.failure_domain,
        )
        fresh = {
            a: status
            for a, status in self.peer_statuses.items()
            if monotonic_us() - status.at < self.timing.failed_after_us
        }
        return {**fresh, self.node.settings.link: me}

    def unanswered_for_us(self, address):
        """How long an address has not answered, in microseconds."""
        return monotonic_us() - (
            self.peer_statuses[address].at if address in self.peer_statuses else self.started_at
        )

    @handlers.on("member.hello")
    async def on_hello(self, peer, asker):
        """Answer a poll: the disk id and membership configuration here, and the state of the process."""
        if asker and asker["link"] != self.node.settings.link:
            self.recent_askers[asker["link"]] = monotonic_us()
        return {
            "disk": self.store.disk,
            "record": self.store.membership.to_record() if self.store.membership else None,
            "founders": self.bootstrap_members if self.is_blank() else None,
            "well": self.store.files.failure() is None,
            "leaving": self.node.stopping,
            "zone": self.failure_domain.zone,
            "region": self.failure_domain.region,
            "quorum": self.quorum_monitor.in_touch(),
            "doors": self.operator_doors(),
        }

    # ------------------------------------------------------------ bootstrap

    def is_blank(self):
        """Whether this process may take part in a bootstrap: nothing was ever stored here."""
        return self.bootstrap_allowed and self.store.is_blank

    def may_bootstrap(self, answers):
        """Whether this is the first of the bootstrap members, and all of them are blank and were
        configured with the same list. So of two differing lists none is bootstrapped, and a lost
        disk is never taken for a blank one."""
        others = set(self.bootstrap_members) - {self.node.settings.link}
        return (
            self.is_blank()
            and self.node.settings.link == self.bootstrap_members[0]
            and all(
                a in answers and tuple(answers[a]["founders"] or ()) == self.bootstrap_members
                for a in others
            )
        )

    async def bootstrap(self, answers):
        """Make the first membership configuration and send it to the others."""
        voters = {
            answers[a]["disk"]: a for a in self.bootstrap_members if a != self.node.settings.link
        }
        voters[self.store.disk] = self.node.settings.link
        places = {hello["disk"]: failure_domain_of(hello) for hello in answers.values()}
        places[self.store.disk] = self.failure_domain
        membership = MembershipConfiguration(1, voters).with_places(places)
        await self.store.adopt(membership)
        self.node.log(601, members=sorted(voters.values()))
        asks = {a: (a, "member.adopt", membership.to_record()) for a in answers}
        await self.node.rpc.call_all(asks, monotonic_us() + self.timing.hello_timeout_us)


def failure_domain_of(hello):
    """The failure domain in an answer to member.hello; former releases send none."""
    return FailureDomain(hello.get("zone", ""), hello.get("region", ""))
