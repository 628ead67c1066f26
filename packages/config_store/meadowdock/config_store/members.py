"""The members of the register: bootstrapped, grown, repaired and exchanged by the processes
themselves, or changed by operators."""

from __future__ import annotations

import json

from meadowdock.admin_http import Response
from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.config_store.liveness import Liveness
from meadowdock.config_store.membership_change import MembershipChange
from meadowdock.config_store.policy import ObservedMembers, choose_voters, wanted_voters
from meadowdock.config_store.timing import MembershipTiming
from meadowdock.config_store.transfer import Transfer
from meadowdock.config_store.votes import Votes
from meadowdock.consensus import FailureDomain, NoQuorum, OutcomeUnknown, Tolerance, VoterSets
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us, sleep_us


class Members(Liveness, Votes, Transfer, MembershipChange):
    """Of Part: node, store and proposer are its. Decides who should be a voter, and who acts."""

    def watch_members(self):
        """Set up from the boot; called by the constructor of Part."""
        settings = self.node.settings
        self.founders = tuple(sorted(settings.members or settings.seeds))
        self.by_hand = bool(settings.members)  # operators choose; only lost disks are mended
        self.founding = getattr(settings, "may_bootstrap", True)
        self.timing = MembershipTiming.of(settings)
        self.place = FailureDomain(settings.zone, getattr(settings, "region", ""))
        self.losses = getattr(settings, "losses", 1)
        self.store.tolerance = self.tolerance = self.losses_to_bear(settings)
        self.heard, self.met = {}, {}
        self.begun = self.known_at = monotonic_us()
        self.still = PauseDetector(SECOND, monotonic_us())
        self.changing = 0
        self.joint = (0, 0)  # version of the joint configuration seen last, and since when

    def member_handlers(self):
        """The link methods of membership."""
        return (
            Liveness.handlers.bind(self)
            | Votes.handlers.bind(self)
            | MembershipChange.handlers.bind(self)
        )

    def member_loops(self):
        """The loops of membership."""
        return {"members": self.hear_loop, "voters": self.act_loop}

    # ------------------------------------------------------------ who should be a voter

    def losses_to_bear(self, settings):
        """Where operators chose the members, durability is what a majority of those can give."""
        if self.by_hand:
            return Tolerance()
        return Tolerance(
            self.losses, getattr(settings, "zone_losses", 0), getattr(settings, "region_losses", 0)
        )

    def spare(self):
        """No voter, and none is wanted."""
        membership, there, me = self.store.membership, self.reachable(), self.node.settings.link
        if self.by_hand or me in self.store.everybody.values():
            return False
        voters = set(membership.voters.values())
        if len(membership.voters) >= wanted_voters(len({*there, *voters}), self.tolerance):
            return True
        # fewer vote than could where that lets a zone or a region be lost
        watched = monotonic_us() - self.begun >= 2 * self.timing.stable_after_us
        return watched and me not in self.chosen(voters, there)

    def too_few(self):
        """No write of these voters would outlive the losses to be borne; or, for a while after
        the start, fewer voters than those losses need, and more may still come."""
        membership = self.store.membership
        if membership is None or self.by_hand:
            return False
        if not self.store.voter_sets.can_be_durable():
            return True
        return (
            len(membership.voters) < 2 * self.losses + 1
            and monotonic_us() - self.known_at < self.timing.bootstrap_wait_us
        )

    def target(self):
        """The addresses that should be the voters', if others than now or under other disks."""
        there = self.reachable()
        voters = {a: d for d, a in self.store.membership.voters.items()}
        swapped = {a for a, d in voters.items() if a in there and there[a].disk != d}
        me = self.node.settings.link
        if not self.store.voter and me not in swapped:
            return None
        answering = [a for a in voters if a in there and a not in swapped]
        if not VoterSets.of([voters]).is_quorum(answering):
            return None
        addresses = set(voters) if self.by_hand else self.chosen(voters, there)
        if swapped or addresses != set(voters) or self.places_outdated(there):
            return frozenset(addresses)
        return None

    def chosen(self, voters, there):
        """The addresses that the policy chooses. voters: the addresses of those there are."""
        voters, candidates = self.follow_moved_disks(set(voters), there)
        failed = tuple(sorted(a for a in voters if a not in there))
        observed = ObservedMembers(
            voters=frozenset(voters),
            failed=failed,
            leaving=tuple(sorted(a for a in voters if a in there and there[a].leaving)),
            removable=tuple(a for a in failed if self.silence(a) > self.timing.removable_after_us),
            suspected=frozenset(
                a
                for a in voters - {self.node.settings.link}
                if self.silence(a) > self.timing.suspect_after_us
            ),
            candidates=candidates,
            places=self.places_by_address(there),
        )
        return choose_voters(observed, self.tolerance)

    def follow_moved_disks(self, voters, there):
        """(voters, candidates). A voter's disk that answers at another address: its machine got a
        new number. While the old address answers too, one of both is a copy, and neither is
        touched."""
        candidates = []
        for address in sorted(set(there) - voters):
            heard = there[address]
            if (
                not heard.well
                or heard.leaving
                or monotonic_us() - heard.since < self.timing.stable_after_us
            ):
                continue
            former = self.store.membership.voters.get(heard.disk)
            if former is None:
                candidates.append(address)
            elif former not in there and former in voters:
                voters = voters - {former} | {address}
        return voters, tuple(candidates)

    def places_by_address(self, there):
        """{address: FailureDomain}: as told by those that answer, else as the record has it."""
        places = self.store.membership.places
        kept = {a: places[d] for d, a in self.store.everybody.items() if d in places}
        return kept | {a: h.place for a, h in there.items() if h.place != FailureDomain()}

    def places_outdated(self, there):
        """Does a voter that answers run elsewhere than the record says?"""
        if self.by_hand:
            return False  # nothing goes by it
        known = self.store.membership.places
        return any(
            a in there
            and there[a].disk == d
            and there[a].place not in (FailureDomain(), known.get(d, FailureDomain()))
            for d, a in self.store.membership.voters.items()
        )

    # ------------------------------------------------------------ who acts

    def rank(self):
        """How many members come before this one to act."""
        there = self.reachable()
        able = sorted(
            a
            for d, a in self.store.membership.voters.items()
            if a in there and there[a].disk == d and there[a].well and not there[a].leaving
        )
        me = self.node.settings.link
        return able.index(me) if me in able else min(len(able), 2)

    def wish(self):
        """What this process would do about the members: (record's version, the version to end or
        the wanted addresses), or None."""
        membership = self.store.membership
        if membership is None or self.changing or self.store.files.wrong():
            return None
        if membership.is_joint:
            if self.joint[0] != membership.version:
                self.joint = membership.version, monotonic_us()
            return (membership.version, None) if self.store.voter else None
        target = self.target()
        return None if target is None else (membership.version, target)

    async def act_loop(self):
        """One member acts: the lowest that can; each further one after a longer wait, should
        those before it be stuck."""
        rng = self.node.runtime.rng
        kept, since, jitter = None, monotonic_us(), 0
        while True:
            await sleep_us(50 * MILLISECOND)
            wish = self.wish()
            if wish != kept:
                kept, since, jitter = wish, monotonic_us(), rng.randrange(100 * MILLISECOND)
            if wish is None:
                continue
            _, target = wish
            wait = self.rank() * self.timing.rank_delay_us + (
                self.timing.stalled_after_us if target is None else 0
            )
            if monotonic_us() - since < wait + jitter:
                continue
            deadline = monotonic_us() + self.timing.change_us
            try:
                if target is None:
                    membership = await self.resume_change(deadline)
                else:
                    membership = await self.change_members(target, deadline)
                self.node.log(
                    607, version=membership.version, members=sorted(membership.voters.values())
                )
            except (
                NoQuorum,
                OutcomeUnknown,
                MembershipConflict,
                ConnectionFailed,
                Rejected,
                OSError,
            ):
                since, jitter = (
                    monotonic_us(),
                    rng.randrange(300 * MILLISECOND),
                )  # it is tried again

    # ------------------------------------------------------------ operators

    async def answers_now(self, address):
        """Whether the mdconf at an address answers: who is replaced by another disk at its own
        address must be there, or nothing would change and be told as done."""
        me = self.node.settings.link
        asks = {address: (address, "member.hello", {"link": me})}
        deadline = monotonic_us() + self.timing.hello_timeout_us
        return address == me or bool(await self.node.rpc.successful_responses(asks, deadline))

    async def make_members(self, request):
        """POST /members: operators replace one member, or set all."""
        try:
            facts = json.loads(await request.body(65536))
            addresses = set(self.store.membership.voters.values())
            if "set" in facts:
                addresses = set(facts["set"])
            else:
                if facts["old"] not in addresses:
                    return Response(404, {"code": "member_unknown", "members": sorted(addresses)})
                addresses = addresses - {facts["old"]} | {facts["new"]}
                if facts["old"] == facts["new"] and not await self.answers_now(facts["new"]):
                    return Response(409, {"code": "absent", "absent": [facts["new"]]})
            if not all(isinstance(a, str) for a in addresses) or len(addresses) not in (1, 3, 5):
                raise ValueError
        except (ValueError, KeyError, TypeError):
            return Response(400, {"code": "malformed", "detail": "1, 3 or 5 members by ip:port"})
        try:
            membership = await self.change_members(
                addresses, monotonic_us() + self.timing.operator_change_us
            )
        except MembershipConflict as conflict:
            return Response(409, {"code": conflict.code, **conflict.facts})
        self.node.log(607, version=membership.version, members=sorted(membership.voters.values()))
        return Response(
            200,
            {
                "state": "changed",
                "version": membership.version,
                "members": {a: d for d, a in membership.voters.items()},
            },
        )
