"""What a process knows of the first start of its deployment, for members that lost their permission.

A platform tells every process once, at the first start of the whole deployment, that it is the first
start. A config store that ends before that is on its disk comes back as a blank disk without
permission to bootstrap. A process that has run since the first start, and has never heard of a
configuration, can then testify that nothing was lost with that disk.
"""

from __future__ import annotations

from meadowdock.membership import GossipMembership
from meadowdock.rpc import Handlers
from meadowdock.settings import ProcessSettings

WITNESS_METHOD = "bootstrap.witness"  # name on the wire


class FirstStartWitness:
    """The testimony of one process.

    Invariant: it is given only by a process that was started at the first start, and only until it
    hears of a version of the configuration above 0.
    """

    handlers = Handlers()

    def __init__(self, settings: ProcessSettings, membership: GossipMembership) -> None:
        self.seeds = sorted(settings.seeds) if settings.first_start else []
        self.membership = membership

    @handlers.on(WITNESS_METHOD)
    async def on_witness(self, peer: object, _: None) -> list[str]:
        """Return the seeds of the first start, sorted; none if this process can't testify."""
        return [] if self.membership.newest_version else self.seeds
