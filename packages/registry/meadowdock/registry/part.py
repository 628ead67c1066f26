"""mdreg: heartbeats come in, load lists go out from the holder of the collector's lease."""

from __future__ import annotations

import trio

from meadowdock import process
from meadowdock.admin_http import RouteTable
from meadowdock.config_store.lease_messages import COLLECTOR_KEY
from meadowdock.registry.duty import ranking
from meadowdock.registry.lease import Lease, duration_of
from meadowdock.rpc import Handlers, Rejected
from meadowdock.runtime import MILLISECOND, PauseDetector, deadline_scope, monotonic_us, sleep_us

BEAT = 500 * MILLISECOND
ALIVE = 1_250 * MILLISECOND  # two beats missed
# without a collector for so long, the first by rank asks for its lease; each further one waits for
# two more: it may be that the first can't ask the register
SETTLE = 500 * MILLISECOND
LEASE_TURN = 200 * MILLISECOND
INTERVAL = 500 * MILLISECOND  # until a manifest tells another
COLLECTOR = "collector"
MORE = 16  # a stand-in list is told again once it has grown by this part


def services_of(beat):
    """{service: [rho, incarnation, draining, zone]} of a proxy's beat."""
    return {
        e["service"]: [
            min(1.0, e["in_flight"] / max(1, e["capacity"])),
            e["incarnation"],
            e["draining"],
            beat["hall"],
        ]
        for e in beat["endpoints"]
    }


class Part(process.Daemon):
    """Invariants: roster and regs hold the newest beat of each address; epoch is not None
    iff this process holds the collector's lease at this moment, under that epoch; seq goes up
    within an epoch; reclaiming is True from the end of an own lease until another's is known."""

    table = RouteTable()
    handlers = Handlers()

    def __init__(self, node):
        self.node = node
        self.roster = {}  # proxies: address -> (beat, heard)
        self.regs = {}  # other mdregs: address -> (beat, heard)
        self.lease = Lease(node, COLLECTOR_KEY, duration_of(node.settings.contact_us))
        self.reclaiming = False
        self.seen_epoch = 0
        self.seq = 0
        self.collector_seen = (
            monotonic_us()
        )  # when this process or one that beats here last held the lease
        self.interval = 0, INTERVAL  # of the newest manifest that a proxy has in force
        self.last = {"asked": 0, "answered": 0, "at": 0, "shed": 0}
        self.cadence = monotonic_us()
        self.told_regs, self.other_came = set(), trio.Event()
        node.view.heard = self.heard

    @property
    def epoch(self):
        """The epoch of the lease held at this moment, or None."""
        return self.lease.epoch

    def rpc_handlers(self):
        """The link methods that this process answers."""
        return Part.handlers.bind(self)

    def background_tasks(self):
        """The loops that the node keeps going."""
        return {"beat": self.beat_loop, "lease": self.lease_loop, "collect": self.collect_loop}

    def unready_reasons(self):
        """Why this process is not ready; empty if it is."""
        return [] if self.node.view.core("mdconf") else ["no mdconf known"]

    def alive(self, known):
        """Addresses whose heartbeat is fresh, in order."""
        return sorted(a for a, (_, heard) in known.items() if monotonic_us() - heard <= ALIVE)

    # ------------------------------------------------------------ who is alive

    @handlers.on("reg.beat")
    async def on_beat(self, peer, beat):
        """A heartbeat of a proxy or another registry; the answer tells a proxy without a list what is known."""
        known = self.roster if beat["role"] == "mdproxy" else self.regs
        address = beat["address"]
        held = known.get(address)
        if held is not None and beat["incarnation"] < held[0]["incarnation"]:
            raise Rejected("old_incarnation")
        if beat["leaving"]:
            known.pop(address, None)
            return {}
        if held is None or held[0]["incarnation"] != beat["incarnation"]:
            self.node.log(301, peer=address, role=beat["role"], incarnation=beat["incarnation"])
        known[address] = (beat, monotonic_us())
        if beat["role"] == "mdreg":
            self.learn_epoch(beat["seen_epoch"])
        elif beat["interval_us"]:
            self.interval = max(self.interval, (beat["version"], beat["interval_us"]))
        return self.stand_in(beat.get("listless"))

    def stand_in(self, known):
        """For a node without a list that knows of so many nodes. A whole fleet that starts asks with
        each beat: it is told the nodes only when there is enough more to tell. The epoch lets it
        refuse the list of a former holder."""
        if known is None:
            return {}
        nodes = self.nodes()
        told = {"nodes": nodes} if len(nodes) > known + known // MORE else {}
        return {"epoch": self.seen_epoch, **told}

    def nodes(self):
        """What the beats tell of the proxies' endpoints, in the shape of a load list."""
        return {
            address: services
            for address in self.alive(self.roster)
            if (services := services_of(self.roster[address][0]))
        }

    def learn_epoch(self, epoch):
        """Note an epoch; a lease of a lower one is dropped."""
        self.seen_epoch = max(self.seen_epoch, epoch)
        held = self.lease.held
        if held is not None and self.seen_epoch > held.epoch:
            self.node.log(702, duty=COLLECTOR, epoch=held.epoch, seen=self.seen_epoch)
            self.lease.drop()
            self.reclaiming = False

    @handlers.on("reg.roster")
    async def on_roster(self, peer, _):
        """The heartbeats known here, for mdconf and operators."""
        return self.told()

    def told(self):
        """What is known here: proxies, registries, the collector, the last collection."""
        at = monotonic_us()
        return {
            "reg": self.node.settings.link,
            "proxies": {
                a: {**beat, "heard_us_ago": at - heard} for a, (beat, heard) in self.roster.items()
            },
            "regs": self.alive(self.regs) + [self.node.settings.link],
            "collector": self.epoch,
            "seen_epoch": self.seen_epoch,
            "last": self.last,
        }

    async def beat_loop(self):
        """Heartbeats to the other registries; forgets who fell silent."""
        still = PauseDetector(2 * BEAT + BEAT // 2, monotonic_us())
        while True:
            stood = still.look(monotonic_us())
            for known in (self.roster, self.regs):
                for address, (beat, heard) in list(known.items()):
                    if stood:
                        heard += stood
                        known[address] = beat, heard
                    if monotonic_us() - heard > ALIVE:
                        del known[address]
                        self.node.log(302, peer=address, role=beat["role"], why="silent")
            self.other_came = trio.Event()
            await self.tell()
            with deadline_scope(monotonic_us() + BEAT):
                await self.other_came.wait()

    def heard(self, entry):
        """News of another process: a registry that doesn't know this one yet is told at once."""
        if entry.role == "mdreg" and entry.address not in self.told_regs:
            self.other_came.set()

    async def tell(self):
        """One heartbeat to every other registry known."""
        me = self.node.view.me
        beat = {
            "address": me.address,
            "role": "mdreg",
            "hall": me.hall,
            "incarnation": me.incarnation,
            "leaving": self.node.stopping,
            "seen_epoch": self.seen_epoch,
            "collector": self.epoch,
        }
        others = self.node.view.core("mdreg")
        self.told_regs = set(others)
        await self.node.rpc.call_all(
            {a: (a, "reg.beat", beat) for a in others}, monotonic_us() + BEAT
        )

    # ------------------------------------------------------------ the collector's lease

    async def lease_loop(self):
        """Keeps the collector's lease, or acquires it when nobody holds it."""
        while True:
            await self.keep_lease()
            await sleep_us(LEASE_TURN)

    async def keep_lease(self):
        """A holder keeps the lease as long as it can renew it, whoever else comes."""
        if self.lease.expired:
            self.node.log(705, duty=COLLECTOR, epoch=self.lease.held.epoch)
            self.lease.drop()
            self.reclaiming = True
        if self.node.stopping:
            return
        if self.collector_known():
            self.collector_seen = monotonic_us()
        if self.epoch is not None:
            if self.lease.should_renew:
                self.learn_refusal(await self.lease.renew())
        elif self.lease.may_acquire and (self.reclaiming or self.vacant()):
            await self.acquire()

    def collector_known(self):
        """Does this process hold the lease, or one that beats here?"""
        if self.epoch is not None:
            return True
        others = (self.regs[address][0] for address in self.alive(self.regs))
        return any(beat.get("collector") is not None for beat in others)

    def vacant(self):
        """Was nobody the collector for as long as this process must wait by its rank?"""
        live = [*self.alive(self.regs), self.node.settings.link]
        rank = ranking(COLLECTOR, live).index(self.node.settings.link)
        return monotonic_us() - self.collector_seen >= SETTLE * (1 + 2 * rank)

    async def acquire(self):
        """Ask for the collector's lease once."""
        self.learn_refusal(await self.lease.acquire(self.seen_epoch))
        if self.node.stopping:
            await self.lease.release()
        elif self.epoch is not None:
            self.seq, self.reclaiming = 0, False
            self.learn_epoch(self.epoch)
            self.node.log(701, duty=COLLECTOR, epoch=self.epoch)
            await self.tell()

    def learn_refusal(self, refused):
        """A refusal by the register tells the epoch of who has the lease."""
        if refused is not None and refused.details.get("epoch"):
            self.reclaiming = False
            self.learn_epoch(refused.details["epoch"])

    async def collect_loop(self):
        """Each interval: ask all at once, wait for every answer up to a deadline, one list to all."""
        while True:
            if self.epoch is not None and not self.node.stopping:
                await self.collect()
            interval = self.interval[1]
            self.cadence = max(self.cadence + interval, monotonic_us() - interval)
            await sleep_us(self.cadence - monotonic_us())

    async def collect(self):
        """Ask every proxy for its load, then send all of them one list."""
        interval, epoch = self.interval[1], self.epoch
        nodes = self.alive(self.roster)
        answered = await self.node.rpc.successful_responses(
            {a: (a, "load.ask", None) for a in nodes}, monotonic_us() + interval * 6 // 10
        )
        if self.epoch != epoch:  # the lease ran out meanwhile, or this process stood still
            return
        self.seq += 1
        combined = {"epoch": epoch, "seq": self.seq, "nodes": answered}
        sent = await self.node.rpc.call_all(
            {a: (a, "load.list", combined) for a in nodes}, monotonic_us() + interval * 3 // 10
        )
        sheddings = [s for s in sent.values() if isinstance(s, Rejected) and s.code == "old_epoch"]
        self.last = {
            "asked": len(nodes),
            "answered": len(answered),
            "at": self.node.runtime.wall_us(),
            "shed": len(sheddings),
        }
        if sheddings:
            self.learn_epoch(max(s.details["epoch"] for s in sheddings))

    # ------------------------------------------------------------ stop

    async def announce_shutdown(self):
        """Release the lease and tell the other registries."""
        await self.lease.release()
        await self.tell()
