"""Which mdconf processes answer, as what, and since when; and how the first record comes to be."""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.consensus import FailureDomain
from meadowdock.rpc import Handlers
from meadowdock.runtime import monotonic_us, sleep_us


@dataclass(frozen=True)
class Heard:
    """An mdconf's last answer. It answered under this disk id since `since` without a silence."""

    disk: str
    since: int
    at: int
    well: bool  # its disk can be written
    leaving: bool
    place: FailureDomain


class Liveness:
    """Of Part. Invariant: heard holds addresses of others only."""

    handlers = Handlers()

    async def hear_loop(self):
        """Asks every mdconf known, directly. Wanted: all hold the newest record."""
        while True:
            await self.ask_all()
            await sleep_us(
                self.timing.hello_interval_us
                if self.store.membership
                else self.timing.bootstrap_interval_us
            )

    async def ask_all(self):
        """Ask every other mdconf known; take newer records; bootstrap if this one may."""
        self.excuse_pause(self.still.look(monotonic_us()))
        asked = {
            a: (a, "member.hello", {"link": self.node.settings.link})
            for a in self.known_addresses()
        }
        answers = await self.node.rpc.successful_responses(
            asked, monotonic_us() + self.timing.hello_timeout_us
        )
        for address, told in answers.items():
            self.note_hello(address, told)
        records = [t["record"] for t in answers.values() if t["record"]]
        newest = max(records, key=lambda r: r["version"], default=None)
        if newest is not None:
            await self.store.adopt(MembershipConfiguration.from_record(newest))
        elif self.may_bootstrap(answers):
            await self.bootstrap(answers)
        if self.store.membership is None:
            self.known_at = monotonic_us()

    def known_addresses(self):
        """Addresses of all other mdconf that anybody told of, in order."""
        self.met = {
            a: at for a, at in self.met.items() if monotonic_us() - at < self.timing.contact_kept_us
        }
        return sorted(
            {
                *self.founders,
                *self.store.everybody.values(),
                *self.node.view.core_members("mdconf"),
                *self.met,
            }
            - {self.node.settings.link}
        )

    def excuse_pause(self, stood):
        """This process stood still: nobody was silent meanwhile."""
        if stood:
            self.begun += stood
            self.heard = {a: replace(h, at=h.at + stood) for a, h in self.heard.items()}

    def note_hello(self, address, told):
        """Remember what another mdconf answered."""
        old = self.heard.get(address)
        goes_on = (
            old
            and old.disk == told["disk"]
            and monotonic_us() - old.at < self.timing.failed_after_us
        )
        self.heard[address] = Heard(
            told["disk"],
            old.since if goes_on else monotonic_us(),
            monotonic_us(),
            told["well"],
            told["leaving"],
            place_told(told),
        )

    def reachable(self):
        """{address: Heard} of all that answer, this process among them."""
        me = Heard(
            self.store.disk,
            self.begun,
            monotonic_us(),
            self.store.files.wrong() is None,
            self.node.stopping,
            self.place,
        )
        fresh = {
            a: h
            for a, h in self.heard.items()
            if monotonic_us() - h.at < self.timing.failed_after_us
        }
        return {**fresh, self.node.settings.link: me}

    def silence(self, address):
        """How long an address has not answered."""
        return monotonic_us() - (self.heard[address].at if address in self.heard else self.begun)

    @handlers.on("member.hello")
    async def on_hello(self, peer, asker):
        """Who this member is, its record, and whether it is well, leaving and in touch with a quorum."""
        if asker and asker["link"] != self.node.settings.link:
            self.met[asker["link"]] = monotonic_us()
        return {
            "disk": self.store.disk,
            "record": self.store.membership.to_record() if self.store.membership else None,
            "founders": self.founders if self.blank() else None,
            "well": self.store.files.wrong() is None,
            "leaving": self.node.stopping,
            "zone": self.place.zone,
            "region": self.place.region,
            "quorum": self.quorum_monitor.in_touch(),
            "doors": self.operator_doors(),
        }

    # ------------------------------------------------------------ the first record

    def blank(self):
        """Whether this process may take part in a bootstrap: nothing was ever stored here."""
        return self.founding and self.store.blank

    def may_bootstrap(self, answers):
        """The lowest founder, once all are blank and were told the same founders: so of two
        differing lists none is founded, and a disk that was lost never stands for a blank one."""
        others = set(self.founders) - {self.node.settings.link}
        return (
            self.blank()
            and self.node.settings.link == self.founders[0]
            and all(
                a in answers and tuple(answers[a]["founders"] or ()) == self.founders
                for a in others
            )
        )

    async def bootstrap(self, answers):
        """Make the first membership record and send it to the others."""
        voters = {answers[a]["disk"]: a for a in self.founders if a != self.node.settings.link}
        voters[self.store.disk] = self.node.settings.link
        places = {t["disk"]: place_told(t) for t in answers.values()}
        places[self.store.disk] = self.place
        membership = MembershipConfiguration(1, voters).with_places(places)
        await self.store.adopt(membership)
        self.node.log(601, members=sorted(voters.values()))
        asks = {a: (a, "member.adopt", membership.to_record()) for a in answers}
        await self.node.rpc.call_all(asks, monotonic_us() + self.timing.hello_timeout_us)


def place_told(hello):
    """The FailureDomain in an answer to member.hello; former versions tell none."""
    return FailureDomain(hello.get("zone", ""), hello.get("region", ""))
