"""The selection of voters, automatic or by operators.

Without operators the voters are bootstrapped, added and replaced automatically. Each member decides
by itself what should change (`wanted_change`); which of them acts first follows from an order that
all of them compute alike (`takeover_rank`). The change itself is made in `membership_change`.
"""

from __future__ import annotations

import json

from meadowdock.admin_http import Response
from meadowdock.config_store.bootstrap import Bootstrap
from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.config_store.liveness import Liveness
from meadowdock.config_store.membership_change import MembershipChange
from meadowdock.config_store.policy import ObservedMembers, choose_voters, wanted_voters
from meadowdock.config_store.state_transfer import StateTransfer
from meadowdock.config_store.timing import MembershipTiming
from meadowdock.config_store.voting import VotingMember
from meadowdock.consensus import FailureDomain, NoQuorum, OutcomeUnknown, Tolerance, VoterSets
from meadowdock.logs import events as log_events
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us, sleep_us

RECONCILE_INTERVAL_US = 50 * MILLISECOND
MAX_JITTER_US = 100 * MILLISECOND  # random delay before a change is made
MAX_RETRY_JITTER_US = 300 * MILLISECOND  # random delay after a failed attempt
MAX_REQUEST_BYTES = 65536
OPERATOR_MEMBER_COUNTS = (1, 3, 5)


class MembershipManager(Bootstrap, Liveness, VotingMember, StateTransfer, MembershipChange):
    """The part of a configuration store that decides who should vote, and which member acts.

    It is a base class of the server, which provides node, store and proposer. changes_in_progress
    counts the changes that this process is making.
    """

    def init_membership(self):
        """Initialize from the settings of the process; called by the constructor of the server."""
        settings = self.node.settings
        self.init_bootstrap()
        # operators choose the members; only lost disks are replaced automatically
        self.operator_managed = bool(settings.members)
        self.timing = MembershipTiming.from_settings(settings)
        self.failure_domain = FailureDomain(settings.zone, getattr(settings, "region", ""))
        self.tolerated_losses = getattr(settings, "losses", 1)
        self.store.tolerance = self.tolerance = self.loss_tolerance(settings)
        self.peer_statuses, self.recent_pollers = {}, {}
        self.started_at = self.membership_known_at = monotonic_us()
        self.pause_detector = PauseDetector(SECOND, monotonic_us())
        self.changes_in_progress = 0
        # version of the last joint configuration, and when it was first seen
        self.joint_seen = (0, 0)

    def membership_handlers(self):
        """Return the RPC handlers of the membership."""
        return (
            Liveness.handlers.bind(self)
            | VotingMember.handlers.bind(self)
            | MembershipChange.handlers.bind(self)
        )

    def membership_tasks(self):
        """Return the background tasks of the membership, by name."""
        return {"members": self.poll_peers_loop, "voters": self.reconcile_loop}

    def loss_tolerance(self, settings):
        """Return the losses that an acknowledged write must survive.

        Where operators choose the members, a majority of them is enough, without further
        requirements.
        """
        if self.operator_managed:
            return Tolerance()
        return Tolerance(
            self.tolerated_losses,
            getattr(settings, "zone_losses", 0),
            getattr(settings, "region_losses", 0),
        )

    def is_spare(self):
        """Whether this process has no vote, and no further voter is wanted."""
        membership, reachable = self.store.membership, self.reachable()
        own_address = self.node.settings.rpc_address
        if self.operator_managed or own_address in self.store.members.values():
            return False
        voters = set(membership.voters.values())
        if len(membership.voters) >= wanted_voters(len({*reachable, *voters}), self.tolerance):
            return True
        # The policy leaves a process without a vote where only that lets the voters tolerate the
        # loss of a zone or region.
        observed_enough = monotonic_us() - self.started_at >= 2 * self.timing.stable_after_us
        return observed_enough and own_address not in self.policy_choice(voters, reachable)

    def has_too_few_voters(self):
        """Whether there are too few voters to accept changes.

        It is true if no write to these voters could survive the tolerated losses. For
        bootstrap_wait_us after the configuration became known, it is also true if there are fewer
        voters than those losses require, since more may still join.
        """
        membership = self.store.membership
        if membership is None or self.operator_managed:
            return False
        if not self.store.voter_sets.can_be_durable():
            return True
        return (
            len(membership.voters) < 2 * self.tolerated_losses + 1
            and monotonic_us() - self.membership_known_at < self.timing.bootstrap_wait_us
        )

    def target_voters(self):
        """Return the addresses of the wanted voters, or None if nothing is to be changed.

        It is None if the wanted voters vote already, with the same disks and the recorded failure
        domains; if this process is neither a voter nor at the address of one; or if no quorum of
        the voters answers.
        """
        reachable = self.reachable()
        voters = {address: disk for disk, address in self.store.membership.voters.items()}
        replaced = {a for a, disk in voters.items() if a in reachable and reachable[a].disk != disk}
        own_address = self.node.settings.rpc_address
        if not self.store.is_voter and own_address not in replaced:
            return None
        answering = [a for a in voters if a in reachable and a not in replaced]
        if not VoterSets.from_sets([voters]).is_quorum(answering):
            return None
        addresses = set(voters) if self.operator_managed else self.policy_choice(voters, reachable)
        if replaced or addresses != set(voters) or self.failure_domains_outdated(reachable):
            return frozenset(addresses)
        return None

    def policy_choice(self, voters, reachable):
        """Return the addresses that the policy chooses.

        :param voters: the addresses of the current voters
        """
        voters, candidates = self.follow_moved_disks(set(voters), reachable)
        failed = tuple(sorted(a for a in voters if a not in reachable))
        observed = ObservedMembers(
            voters=frozenset(voters),
            failed=failed,
            leaving=tuple(sorted(a for a in voters if a in reachable and reachable[a].leaving)),
            removable=tuple(
                address
                for address in failed
                if self.silent_for_us(address) > self.timing.removable_after_us
            ),
            suspected=frozenset(
                address
                for address in voters - {self.node.settings.rpc_address}
                if self.silent_for_us(address) > self.timing.suspect_after_us
            ),
            candidates=candidates,
            failure_domains=self.failure_domains_by_address(reachable),
        )
        return choose_voters(observed, self.tolerance)

    def follow_moved_disks(self, voters, reachable):
        """Return (voters, candidates), with the addresses of moved disks updated.

        A voter's disk that answers at another address was moved, or its machine got another
        address. While the old address answers as well, one of the two disks is a copy, and neither
        address is changed.
        """
        candidates = []
        for address in sorted(set(reachable) - voters):
            status = reachable[address]
            if (
                not status.disk_writable
                or status.leaving
                or monotonic_us() - status.answering_since < self.timing.stable_after_us
            ):
                continue
            old_address = self.store.membership.voters.get(status.disk)
            if old_address is None:
                candidates.append(address)
            elif old_address not in reachable and old_address in voters:
                voters = voters - {old_address} | {address}
        return voters, tuple(candidates)

    def failure_domains_by_address(self, reachable):
        """Return {address: FailureDomain} of all known processes.

        Processes that answer report their own; for the others the one in the membership
        configuration is used.
        """
        by_disk = self.store.membership.failure_domains
        known = {a: by_disk[disk] for disk, a in self.store.members.items() if disk in by_disk}
        return known | {
            address: status.failure_domain
            for address, status in reachable.items()
            if status.failure_domain != FailureDomain()
        }

    def failure_domains_outdated(self, reachable):
        """Whether an answering voter's failure domain differs from the one in the configuration."""
        if self.operator_managed:
            return False  # operators choose the voters, whatever their failure domains
        known = self.store.membership.failure_domains
        return any(
            address in reachable
            and reachable[address].disk == disk
            and reachable[address].failure_domain
            not in (FailureDomain(), known.get(disk, FailureDomain()))
            for disk, address in self.store.membership.voters.items()
        )

    def takeover_rank(self):
        """Return how many members act before this one.

        The eligible members (voters that answer, have a writable disk and are not leaving) act in
        the order of their addresses. Any other process acts after them, but its rank is at most 2.
        """
        reachable = self.reachable()
        eligible = sorted(
            address
            for disk, address in self.store.membership.voters.items()
            if address in reachable
            and reachable[address].disk == disk
            and reachable[address].disk_writable
            and not reachable[address].leaving
        )
        own_address = self.node.settings.rpc_address
        return eligible.index(own_address) if own_address in eligible else min(len(eligible), 2)

    def wanted_change(self):
        """Return the change of members that this process would make, or None.

        A change is (version of the configuration, wanted addresses); the addresses are None if a
        change in progress is to be completed.
        """
        membership = self.store.membership
        if membership is None or self.changes_in_progress or self.store.disk.failure():
            return None
        if membership.is_joint:
            if self.joint_seen[0] != membership.version:
                self.joint_seen = membership.version, monotonic_us()
            return (membership.version, None) if self.store.is_voter else None
        target = self.target_voters()
        return None if target is None else (membership.version, target)

    async def reconcile_loop(self):
        """Make the wanted change once it has been wanted for long enough.

        The first member by takeover_rank acts; each further one waits longer, in case those before
        it are stuck.
        """
        rng = self.node.runtime.rng
        pending_change, wanted_since, jitter_us = None, monotonic_us(), 0
        while True:
            await sleep_us(RECONCILE_INTERVAL_US)
            wanted_change = self.wanted_change()
            if wanted_change != pending_change:
                pending_change, wanted_since = wanted_change, monotonic_us()
                jitter_us = rng.randrange(MAX_JITTER_US)
            if wanted_change is None:
                continue
            _, target = wanted_change
            wait_us = self.takeover_rank() * self.timing.rank_delay_us
            if target is None:
                wait_us += self.timing.stalled_after_us
            if monotonic_us() - wanted_since < wait_us + jitter_us:
                continue
            try:
                await self.make_change(target)
            except (
                NoQuorum,
                OutcomeUnknown,
                MembershipConflict,
                ConnectionFailed,
                Rejected,
                OSError,
            ):
                # retried after a random delay
                wanted_since, jitter_us = monotonic_us(), rng.randrange(MAX_RETRY_JITTER_US)

    async def make_change(self, target):
        """Make the disks at these addresses the voters.

        :param target: the addresses; None completes the change in progress
        """
        deadline = monotonic_us() + self.timing.change_us
        if target is None:
            membership = await self.resume_change(deadline)
        else:
            membership = await self.change_members(target, deadline)
        self.log_change(membership)

    def log_change(self, membership):
        """Log the voters after a change."""
        voters = sorted(membership.voters.values())
        self.node.log(log_events.MEMBERS_CHANGED, version=membership.version, members=voters)

    async def is_answering(self, address):
        """Whether the process at an address answers.

        If a member is to be replaced by another disk at the same address, that disk must answer.
        Otherwise nothing would change, and the request would be reported as done.
        """
        own_address = self.node.settings.rpc_address
        requests = {address: (address, "member.hello", {"link": own_address})}
        deadline = monotonic_us() + self.timing.hello_timeout_us
        return address == own_address or bool(
            await self.node.rpc.successful_responses(requests, deadline)
        )

    async def handle_members_request(self, request):
        """Serve POST /members: replace one member, or set all of them."""
        try:
            body = json.loads(await request.body(MAX_REQUEST_BYTES))
            addresses = set(self.store.membership.voters.values())
            if "set" in body:
                addresses = set(body["set"])
            else:
                if body["old"] not in addresses:
                    return Response(404, {"code": "member_unknown", "members": sorted(addresses)})
                addresses = addresses - {body["old"]} | {body["new"]}
                if body["old"] == body["new"] and not await self.is_answering(body["new"]):
                    return Response(409, {"code": "absent", "absent": [body["new"]]})
            if not all(isinstance(a, str) for a in addresses):
                raise ValueError
            if len(addresses) not in OPERATOR_MEMBER_COUNTS:
                raise ValueError
        except (ValueError, KeyError, TypeError):
            return Response(400, {"code": "malformed", "detail": "1, 3 or 5 members by ip:port"})
        try:
            membership = await self.change_members(
                addresses, monotonic_us() + self.timing.operator_change_us
            )
        except MembershipConflict as conflict:
            return Response(409, {"code": conflict.code, **conflict.details})
        self.log_change(membership)
        return Response(
            200,
            {
                "state": "changed",
                "version": membership.version,
                "members": {a: d for d, a in membership.voters.items()},
            },
        )
