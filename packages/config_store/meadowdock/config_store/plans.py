"""Operators' plans: a configuration is planned on the current head, then committed if the head is
still that one; and the questions what became of a plan, and what is in force."""

from __future__ import annotations

import json

import ormsgpack

from meadowdock import audit
from meadowdock.admin_http import Response
from meadowdock.config_store import repair
from meadowdock.config_store.exceptions import PlanExpired, RevisionConflict
from meadowdock.config_store.item_changes import item_ranges, own_ranges
from meadowdock.config_store.store import HEAD
from meadowdock.configuration import SIZE_MAX, checked, cut, difference
from meadowdock.configuration.items import standing
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.runtime import SECOND, fingerprint, monotonic_us

HISTORY = repair.RANGES_KEPT  # versions whose plans the head names
NO_HEAD = {"version": 0, "ranges": [], "plan": "", "history": []}
EMPTY = {"services": [], "budgets": [], "ways": [], "load": {}}


class Plans:
    """The handlers of /plan, /confirm and /manifest. daemon: the member that serves them."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def make_plan(self, request):
        """POST /plan"""
        from returns.pipeline import is_successful  # here: a daemon without plans is spared it

        data = await request.body(SIZE_MAX)
        found = await self.daemon.node.runtime.offload(checked, data)
        if not is_successful(found):
            return Response(422, {"code": "invalid", "errors": found.failure()})
        facts = found.unwrap()
        head = await self.daemon.read_head(monotonic_us() + self.daemon.operate_wait)
        old = await self.daemon.manifest_of(own_ranges(head)) if own_ranges(head) else EMPTY
        ranges = await self.daemon.node.runtime.offload(cut, facts)
        changes = difference(old, facts)
        items = item_ranges(head)
        names = [*(name for name, _ in ranges), *items]
        if names == head["ranges"]:
            return Response(200, {"plan": None, "base": head["version"], "changes": changes})
        made = self.daemon.node.runtime.wall_us()
        planned = {"base": head["version"], "ranges": names, "items": len(items), "made": made}
        body = ormsgpack.packb(planned)
        plan = fingerprint(body)
        await self.daemon.spread(
            {**dict(ranges), plan: body}, monotonic_us() + 2 * self.daemon.operate_wait
        )
        self.daemon.node.log(604, plan=plan, base=head["version"])
        return Response(
            200,
            {
                "plan": plan,
                "base": head["version"],
                "changes": changes,
                "takes_effect": "once confirmed: staged on every reachable proxy, then switched, "
                "within about 2 s; a proxy that is cut off follows when it is back",
            },
        )

    async def plan_facts(self, plan):
        """What a plan says, or None if it is not known."""
        bodies = await self.daemon.fetch([plan])
        return ormsgpack.unpackb(bodies[plan]) if plan in bodies else None

    async def make_confirm(self, request):
        """POST /confirm"""
        try:
            plan = json.loads(await request.body(65536))["plan"]
        except (ValueError, KeyError, TypeError):
            return Response(400, {"code": "malformed"})
        if not is_fingerprint(plan):
            return PLAN_UNKNOWN
        head = await self.daemon.read_head(monotonic_us() + self.daemon.operate_wait)
        version = kept_version(head, plan)
        if version:
            # what a read found may be on fewer disks than an acknowledgement needs
            deadline = monotonic_us() + self.daemon.operate_wait
            await self.daemon.proposer.change(HEAD, lambda old: old, deadline)
            return confirmed(plan, version)
        facts = await self.plan_facts(plan)
        if facts is None:
            return PLAN_UNKNOWN
        deadline = monotonic_us() + self.daemon.operate_wait
        version = await self.applied(head, plan, facts, deadline)
        if version:
            return confirmed(plan, version)
        bodies = await self.daemon.fetch([*sorted(set(facts["ranges"])), plan])
        if len(bodies) < len({*facts["ranges"], plan}):
            raise NoQuorum("range files")
        await self.daemon.spread(bodies, deadline)
        if head.get("record"):
            # what the new head no longer holds; if the head is another by then, the plan is too
            await self.daemon.spread_audit({head["version"]: head["record"]}, deadline)
        try:
            head = await self.daemon.proposer.change(HEAD, self.next_head(plan, facts), deadline)
        except RevisionConflict as outdated:
            # an earlier try of this very change may have been made, and others after it
            version = await self.applied_after_all(outdated.current, plan, facts)
            if version:
                return confirmed(plan, version)
            if facts["base"] + 1 < self.daemon.store.trail.first:
                return plan_expired(plan)  # whether it was made can't be told any more
            return await self.outdated(plan, facts, outdated.current)
        except PlanExpired:
            return plan_expired(plan)
        self.daemon.know(head)
        version = kept_version(head, plan)
        self.daemon.node.log(605, plan=plan, version=version)
        self.daemon.node.nursery.start_soon(self.daemon.deliver, head)
        return confirmed(plan, version)

    def next_head(self, plan, facts):
        """For the register: the head that a plan makes of its base. Raises RevisionConflict or PlanExpired."""

        def make(old):
            head = old or NO_HEAD
            if kept_version(head, plan):
                return head
            if head["version"] != facts["base"]:
                raise RevisionConflict(head)
            if self.expired(facts):
                raise PlanExpired
            version = head["version"] + 1
            return {
                "version": version,
                "ranges": facts["ranges"],
                "items": facts.get("items", 0),  # so many of the ranges, the last, hold items
                "plan": plan,
                "history": [*head["history"], [version, plan]][-HISTORY:],
                "record": self.daemon.audit_record(head, facts, plan, version),
            }

        return make

    def expired(self, facts):
        """Whether a plan is older than a plan may be."""
        return self.daemon.node.runtime.wall_us() - facts.get("made", 0) > repair.PLAN_LIFE

    async def outdated(self, plan, facts, head):
        """The answer to a plan whose base is no longer the head."""
        base = await self.version_ranges(head, facts["base"])
        newer = own_ranges(head)
        changed = None
        try:
            if base is not None:
                old = await self.daemon.manifest_of(base) if base else EMPTY
                changed = difference(old, await self.daemon.manifest_of(newer) if newer else EMPTY)
        except NoQuorum:
            pass  # too old: its range files are gone
        return Response(
            409,
            {
                "code": "outdated",
                "plan": plan,
                "base": facts["base"],
                "head": head["version"],
                "changed_since": changed,
            },
        )

    async def applied(self, head, plan, facts, deadline):
        """The version that the plan became, or 0: a plan of base B was applied if and only if the
        audit record of version B + 1 names it. Raises NoQuorum if that can't be told now."""
        version = facts["base"] + 1
        if version > head["version"]:
            return 0
        return version if await self.plan_of(head, version, deadline) == plan else 0

    async def applied_after_all(self, head, plan, facts):
        """As `applied`, of a plan whose head may have been sent to members already."""
        try:
            return await self.applied(head, plan, facts, monotonic_us() + self.daemon.operate_wait)
        except NoQuorum:
            raise OutcomeUnknown(plan) from None

    async def plan_of(self, head, version, deadline):
        """The plan that became a version up to the head's; None if it is older than the trail."""
        for kept, plan in head["history"]:
            if kept == version:
                return plan
        record = await self.daemon.trail.record(version, deadline)
        return audit.read_payload(record)["plan"] if record else None

    async def version_ranges(self, head, version):
        """The chunks of a former version, or None if they are not known any more."""
        if version == 0:
            return []
        try:
            plan = await self.plan_of(head, version, monotonic_us() + self.daemon.operate_wait)
        except NoQuorum:
            return None
        facts = await self.plan_facts(plan) if plan else None
        return own_ranges(facts) if facts else None

    async def make_settle(self, request):
        """GET /plan/ID"""
        plan = request.path.rpartition("/")[2]
        facts = await self.plan_facts(plan) if is_fingerprint(plan) else None
        if facts is None:
            return PLAN_UNKNOWN
        # a whole round under a new ballot: whatever was under way is in it, or never will be
        head = (
            await self.daemon.proposer.change(
                HEAD, lambda old: old, monotonic_us() + self.daemon.operate_wait
            )
            or NO_HEAD
        )
        version = await self.applied(head, plan, facts, monotonic_us() + self.daemon.operate_wait)
        if version:
            state = "confirmed"
        elif head["version"] != facts["base"]:
            state = "outdated"
        else:
            state = "expired" if self.expired(facts) else "open"
        return Response(
            200,
            {
                "plan": plan,
                "state": state,
                "version": version,
                "base": facts["base"],
                "head": head["version"],
            },
        )

    async def make_read_back(self, request):
        """GET /manifest"""
        head = await self.daemon.read_head(monotonic_us() + self.daemon.operate_wait)
        own, items = (
            own_ranges(head),
            await self.daemon.items.at(head, monotonic_us() + self.daemon.operate_wait),
        )
        facts = {
            "version": head["version"],
            "plan": head["plan"],
            "manifest": await self.daemon.manifest_of(own) if own else EMPTY,
        }
        return Response(200, {**facts, "items": standing(items)} if items else facts)


PLAN_UNKNOWN = Response(
    404,
    {
        "code": "plan_unknown",
        "detail": "never made, or older than two plan lives: plan again",
    },
)


def confirmed(plan, version):
    """The answer to a plan that was committed."""
    return Response(200, {"state": "confirmed", "plan": plan, "version": version})


def plan_expired(plan):
    """The answer to a plan that is too old."""
    detail = f"a plan can be confirmed for {repair.PLAN_LIFE // SECOND} s; plan again"
    return Response(410, {"code": "plan_expired", "plan": plan, "detail": detail})


def kept_version(head, plan):
    """The version that the plan became, if it is one of the last that the head names; else 0."""
    return next((v for v, p in head["history"] if p == plan), 0)


def is_fingerprint(text):
    """Whether a value has the form of a fingerprint."""
    return isinstance(text, str) and len(text) == 32 and set(text) <= set("0123456789abcdef")
