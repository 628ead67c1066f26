"""The bootstrap: the first membership configuration of a deployment.

It is made once, by the first of the bootstrap members that has the permission. All bootstrap members
must be blank, and a majority of them must have the permission with the same list of members. An
acknowledged write is on a majority of the first voters, and a disk that was lost has no permission,
so a majority of blank disks with permission proves that nothing was ever acknowledged.

In place of the permissions, the testimony of one process is enough that it has run since the first
start with the same list of members, and never heard of a configuration: all first voters are blank,
and more disks are never lost at once than is tolerated.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowdock.config_store.bootstrap_grant import BootstrapGrant
from meadowdock.config_store.liveness import failure_domain_of
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.logs import events as log_events
from meadowdock.process.first_start import WITNESS_METHOD
from meadowdock.runtime import monotonic_us

NO_ANSWER = "no answer"
NOT_BLANK = "it has stored state"
NO_PERMISSION = "without permission to bootstrap"
OTHER_MEMBERS = "configured with other bootstrap members"


@dataclass(frozen=True)
class BootstrapCandidate:
    """What a bootstrap member reports about itself.

    :ivar blank: whether its disk never belonged to a voter.
    :ivar members: the list of its permission; empty without one.
    """

    blank: bool
    members: tuple[str, ...]

    @classmethod
    def from_hello(cls, hello):
        """Decode the answer to a poll."""
        founders = hello["founders"]
        return cls(founders is not None, tuple(founders or ()))


class Bootstrap:
    """A base class of the server: takes part in the bootstrap.

    Invariant: bootstrap_grant is on this disk, or in operators' settings, before any other process
    is told of it.
    """

    def init_bootstrap(self):
        """Initialize from the settings of the process."""
        settings = self.node.settings
        self.bootstrap_members = tuple(sorted(settings.members or settings.seeds))
        self.bootstrap_grant: BootstrapGrant | None = None
        # why no members are fixed, since when, and whether that was logged
        self.obstacles, self.obstacles_since, self.obstacles_logged = {}, monotonic_us(), False

    async def load_bootstrap_grant(self):
        """Store the permission of the settings, or take up the one that is on the disk.

        It isn't stored where operators list the members: their settings keep it.

        :raises OSError: the disk failed.
        """
        if not self.store.is_blank:
            return
        permitted = getattr(self.node.settings, "may_bootstrap", True)
        if self.operator_managed:
            self.bootstrap_grant = BootstrapGrant(self.bootstrap_members) if permitted else None
            return
        self.bootstrap_grant = await BootstrapGrant.load(self.store.disk)
        if permitted:
            await self.store_bootstrap_grant(BootstrapGrant(self.bootstrap_members))
        elif self.bootstrap_grant is not None:
            self.bootstrap_members = self.bootstrap_grant.members

    async def store_bootstrap_grant(self, grant):
        """Write a grant, unless the disk has the same one."""
        if self.bootstrap_grant != grant:
            await grant.save(self.store.disk)
            self.bootstrap_grant = grant

    def own_candidate(self):
        """Return what this process reports about itself."""
        blank = self.store.is_blank
        permitted = blank and self.bootstrap_grant is not None
        return BootstrapCandidate(blank, self.bootstrap_members if permitted else ())

    def candidates(self, answers):
        """Return {bootstrap member: BootstrapCandidate} of this process and all that answer."""
        candidates = {}
        for address in self.bootstrap_members:
            if address == self.node.settings.rpc_address:
                candidates[address] = self.own_candidate()
            elif address in answers:
                candidates[address] = BootstrapCandidate.from_hello(answers[address])
        return candidates

    def may_bootstrap(self, answers):
        """Whether this process is to make the first membership configuration."""
        if not self.own_candidate().members:
            return False
        candidates = self.candidates(answers)
        permitted = [a for a, candidate in candidates.items() if candidate.members]
        return (
            len(candidates) == len(self.bootstrap_members)
            and all(candidate.blank for candidate in candidates.values())
            and all(candidates[a].members == self.bootstrap_members for a in permitted)
            and len(permitted) > len(self.bootstrap_members) // 2
            and permitted[0] == self.node.settings.rpc_address
        )

    async def may_bootstrap_by_testimony(self, answers):
        """Whether this process is to bootstrap because another one testifies the first start."""
        candidates = self.candidates(answers)
        if (
            self.operator_managed
            or self.bootstrap_members[0] != self.node.settings.rpc_address
            or len(candidates) < len(self.bootstrap_members)
            or not all(candidate.blank for candidate in candidates.values())
            or any(c.members not in ((), self.bootstrap_members) for c in candidates.values())
        ):
            return False
        requests = {a: (a, WITNESS_METHOD, None) for a in self.node.membership.entries}
        testimonies = await self.node.rpc.successful_responses(
            requests, monotonic_us() + self.timing.hello_timeout_us
        )
        return list(self.bootstrap_members) in testimonies.values()

    async def bootstrap(self, answers):
        """Make the first membership configuration and send it to the others."""
        voters = {
            answers[address]["disk"]: address
            for address in self.bootstrap_members
            if address != self.node.settings.rpc_address
        }
        voters[self.store.disk_id] = self.node.settings.rpc_address
        domains = {hello["disk"]: failure_domain_of(hello) for hello in answers.values()}
        domains[self.store.disk_id] = self.failure_domain
        membership = MembershipConfiguration(1, voters).with_failure_domains(domains)
        await self.store.adopt(membership)
        self.node.log(log_events.BOOTSTRAPPED, members=sorted(voters.values()))
        requests = {a: (a, "member.adopt", membership.to_record()) for a in answers}
        await self.node.rpc.call_all(requests, monotonic_us() + self.timing.hello_timeout_us)

    def log_bootstrap_obstacles(self, answers):
        """Log why no members are fixed, if it has been the same for contact_us."""
        obstacles = self.bootstrap_obstacles(answers)
        if obstacles != self.obstacles:
            self.obstacles, self.obstacles_since = obstacles, monotonic_us()
            self.obstacles_logged = False
        elif (
            not self.obstacles_logged
            and monotonic_us() - self.obstacles_since >= self.timing.contact_us
        ):
            self.obstacles_logged = True
            self.node.log(log_events.BOOTSTRAP_WAITING, why=obstacles)

    def bootstrap_obstacles(self, answers):
        """Return {bootstrap member: what it lacks for the bootstrap}."""
        candidates = self.candidates(answers)
        obstacles = {a: NO_ANSWER for a in self.bootstrap_members if a not in candidates}
        for address, candidate in candidates.items():
            if not candidate.blank:
                obstacles[address] = NOT_BLANK
            elif not candidate.members:
                obstacles[address] = NO_PERMISSION
            elif candidate.members != self.bootstrap_members:
                obstacles[address] = OTHER_MEMBERS
        return obstacles
