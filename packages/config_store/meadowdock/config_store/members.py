"""Who votes: the voters are bootstrapped, added and replaced by the processes themselves, or changed
by operators.

Each member decides by itself what should change (`wanted_change`); which of them acts first follows
from an order that all know (`takeover_rank`). The change itself is in `membership_change`.
"""

from __future__ import annotations

import json

from meadowdock.admin_http import Response
from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.config_store.liveness import Liveness
from meadowdock.config_store.membership_change import MembershipChange
from meadowdock.config_store.policy import ObservedMembers, choose_voters, wanted_voters
from meadowdock.config_store.state_transfer import StateTransfer
from meadowdock.config_store.timing import MembershipTiming
from meadowdock.config_store.voting import VotingMember
from meadowdock.consensus import FailureDomain, NoQuorum, OutcomeUnknown, Tolerance, VoterSets
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us, sleep_us

RECONCILE_INTERVAL_US = 50 * MILLISECOND
MAX_JITTER_US = 100 * MILLISECOND  # before a change is made
MAX_RETRY_JITTER_US = 300 * MILLISECOND  # after an attempt that failed
MAX_REQUEST_BYTES = 65536
OPERATOR_MEMBER_COUNTS = (1, 3, 5)


class MembershipManager(Liveness, VotingMember, StateTransfer, MembershipChange):
    """The part of a configuration store that decides who should vote, and which member acts.

    A base class of the server, which has node, store and proposer. changes_in_progress counts the
    changes that this process makes now.
    """

    def init_membership(self):
        """Set up from the process's settings; called by the server's constructor."""
        settings = self.node.settings
        self.bootstrap_members = tuple(sorted(settings.members or settings.seeds))
        # operators choose the members; only lost disks are replaced without them
        self.operator_managed = bool(settings.members)
        self.bootstrap_allowed = getattr(settings, "may_bootstrap", True)
        self.timing = MembershipTiming.of(settings)
        self.failure_domain = FailureDomain(settings.zone, getattr(settings, "region", ""))
        self.tolerated_losses = getattr(settings, "losses", 1)
        self.store.tolerance = self.tolerance = self.loss_tolerance(settings)
        self.peer_statuses, self.recent_askers = {}, {}
        self.started_at = self.membership_known_at = monotonic_us()
        self.pause_detector = PauseDetector(SECOND, monotonic_us())
        self.changes_in_progress = 0
        self.joint_seen = (0, 0)  # version of the joint configuration seen last, and since when

    def membership_handlers(self):
        """The RPC handlers of membership."""
        return (
            Liveness.handlers.bind(self)
            | VotingMember.handlers.bind(self)
            | MembershipChange.handlers.bind(self)
        )

    def membership_tasks(self):
        """The background tasks of membership."""
        return {"members": self.poll_peers_loop, "voters": self.reconcile_loop}

    # ------------------------------------------------------------ who should be a voter

    def loss_tolerance(self, settings):
        """The losses that a write has to outlive; where operators chose the members, what a majority of
        those members gives."""
        if self.operator_managed:
            return Tolerance()
        return Tolerance(
            self.tolerated_losses,
            getattr(settings, "zone_losses", 0),
            getattr(settings, "region_losses", 0),
        )

    def is_spare(self):
        """Whether this process has no vote, and no further voter is wanted."""
        membership, reachable, me = self.store.membership, self.reachable(), self.node.settings.link
        if self.operator_managed or me in self.store.members.values():
            return False
        voters = set(membership.voters.values())
        if len(membership.voters) >= wanted_voters(len({*reachable, *voters}), self.tolerance):
            return True
        # fewer vote than could where that lets a zone or a region be lost
        watched = monotonic_us() - self.started_at >= 2 * self.timing.stable_after_us
        return watched and me not in self.policy_choice(voters, reachable)

    def has_too_few_voters(self):
        """Whether no write of these voters would outlive the tolerated losses; or, for a while after
        the start, there are fewer voters than that takes, and more may still come."""
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
        """The addresses of the wanted voters; None if they vote already, under the same disks."""
        reachable = self.reachable()
        voters = {a: d for d, a in self.store.membership.voters.items()}
        swapped = {a for a, d in voters.items() if a in reachable and reachable[a].disk != d}
        me = self.node.settings.link
        if not self.store.is_voter and me not in swapped:
            return None
        answering = [a for a in voters if a in reachable and a not in swapped]
        if not VoterSets.of([voters]).is_quorum(answering):
            return None
        addresses = set(voters) if self.operator_managed else self.policy_choice(voters, reachable)
        if swapped or addresses != set(voters) or self.failure_domains_outdated(reachable):
            return frozenset(addresses)
        return None

    def policy_choice(self, voters, reachable):
        """The addresses that the policy chooses. voters: the addresses of the present voters."""
        voters, candidates = self.follow_moved_disks(set(voters), reachable)
        failed = tuple(sorted(a for a in voters if a not in reachable))
        observed = ObservedMembers(
            voters=frozenset(voters),
            failed=failed,
            leaving=tuple(sorted(a for a in voters if a in reachable and reachable[a].leaving)),
            removable=tuple(
                a for a in failed if self.unanswered_for_us(a) > self.timing.removable_after_us
            ),
            suspected=frozenset(
                a
                for a in voters - {self.node.settings.link}
                if self.unanswered_for_us(a) > self.timing.suspect_after_us
            ),
            candidates=candidates,
            places=self.places_by_address(reachable),
        )
        return choose_voters(observed, self.tolerance)

    def follow_moved_disks(self, voters, reachable):
        """(voters, candidates). A voter's disk that answers at another address was moved, or its
        machine got another address. While the old address answers too, one of the two disks is a
        copy, and neither is changed."""
        candidates = []
        for address in sorted(set(reachable) - voters):
            status = reachable[address]
            if (
                not status.disk_writable
                or status.leaving
                or monotonic_us() - status.since < self.timing.stable_after_us
            ):
                continue
            former = self.store.membership.voters.get(status.disk)
            if former is None:
                candidates.append(address)
            elif former not in reachable and former in voters:
                voters = voters - {former} | {address}
        return voters, tuple(candidates)

    def places_by_address(self, reachable):
        """{address: FailureDomain}: as reported by those that answer, else as in the configuration."""
        places = self.store.membership.places
        kept = {a: places[d] for d, a in self.store.members.items() if d in places}
        return kept | {
            a: h.failure_domain for a, h in reachable.items() if h.failure_domain != FailureDomain()
        }

    def failure_domains_outdated(self, reachable):
        """Whether a voter that answers runs elsewhere than the configuration says."""
        if self.operator_managed:
            return False  # nothing depends on failure domains then
        known = self.store.membership.places
        return any(
            a in reachable
            and reachable[a].disk == d
            and reachable[a].failure_domain not in (FailureDomain(), known.get(d, FailureDomain()))
            for d, a in self.store.membership.voters.items()
        )

    # ------------------------------------------------------------ who acts

    def takeover_rank(self):
        """How many members act before this one."""
        reachable = self.reachable()
        able = sorted(
            a
            for d, a in self.store.membership.voters.items()
            if a in reachable
            and reachable[a].disk == d
            and reachable[a].disk_writable
            and not reachable[a].leaving
        )
        me = self.node.settings.link
        return able.index(me) if me in able else min(len(able), 2)

    def wanted_change(self):
        """The change of members that this process would make: (version of the configuration, wanted
        addresses), with None for the addresses if a change under way is to be ended; or None."""
        membership = self.store.membership
        if membership is None or self.changes_in_progress or self.store.files.failure():
            return None
        if membership.is_joint:
            if self.joint_seen[0] != membership.version:
                self.joint_seen = membership.version, monotonic_us()
            return (membership.version, None) if self.store.is_voter else None
        target = self.target_voters()
        return None if target is None else (membership.version, target)

    async def reconcile_loop(self):
        """Make the wanted change, once it was wanted for long enough. The first member by
        takeover_rank acts; each further one after a longer wait, should those before it be stuck."""
        rng = self.node.runtime.rng
        pending, since, jitter = None, monotonic_us(), 0
        while True:
            await sleep_us(RECONCILE_INTERVAL_US)
            wanted_change = self.wanted_change()
            if wanted_change != pending:
                pending, since = wanted_change, monotonic_us()
                jitter = rng.randrange(MAX_JITTER_US)
            if wanted_change is None:
                continue
            _, target = wanted_change
            wait = self.takeover_rank() * self.timing.rank_delay_us
            if target is None:
                wait += self.timing.stalled_after_us
            if monotonic_us() - since < wait + jitter:
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
                # retried, after a jitter
                since, jitter = monotonic_us(), rng.randrange(MAX_RETRY_JITTER_US)

    async def make_change(self, target):
        """Make the voters those at these addresses, or with None end the change under way."""
        deadline = monotonic_us() + self.timing.change_us
        if target is None:
            membership = await self.resume_change(deadline)
        else:
            membership = await self.change_members(target, deadline)
        self.log_change(membership)

    def log_change(self, membership):
        """Log the voters after a change."""
        voters = sorted(membership.voters.values())
        self.node.log(607, version=membership.version, members=voters)

    # ------------------------------------------------------------ operators

    async def is_answering(self, address):
        """Whether the process at an address answers. A member that is replaced by another disk at its
        own address must answer, or nothing would change and be reported as done."""
        me = self.node.settings.link
        asks = {address: (address, "member.hello", {"link": me})}
        deadline = monotonic_us() + self.timing.hello_timeout_us
        return address == me or bool(await self.node.rpc.successful_responses(asks, deadline))

    async def make_members(self, request):
        """POST /members: operators replace one member, or set all."""
        try:
            facts = json.loads(await request.body(MAX_REQUEST_BYTES))
            addresses = set(self.store.membership.voters.values())
            if "set" in facts:
                addresses = set(facts["set"])
            else:
                if facts["old"] not in addresses:
                    return Response(404, {"code": "member_unknown", "members": sorted(addresses)})
                addresses = addresses - {facts["old"]} | {facts["new"]}
                if facts["old"] == facts["new"] and not await self.is_answering(facts["new"]):
                    return Response(409, {"code": "absent", "absent": [facts["new"]]})
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
            return Response(409, {"code": conflict.code, **conflict.facts})
        self.log_change(membership)
        return Response(
            200,
            {
                "state": "changed",
                "version": membership.version,
                "members": {a: d for d, a in membership.voters.items()},
            },
        )
