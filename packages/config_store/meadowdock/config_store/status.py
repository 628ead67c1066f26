"""What a member tells an operator of the control side, as far as it can see it."""

from __future__ import annotations

from meadowdock.consensus import NoQuorum
from meadowdock.runtime import MILLI, SECOND, now

READ_WITHIN = SECOND
HELLO_WITHIN = 500 * MILLI
REGISTRY_FIELDS = ("collector", "seen_epoch", "regs", "last")
PROXY_FIELDS = ("hall", "incarnation", "version", "cut_off", "endpoints", "counts")


async def status_of(part):
    """The body of GET /status. `majority` says whether `head` is a quorum's word or only the newest
    version that this member knows."""
    head, majority = await known_head(part)
    members = await members_of(part)
    await part.refresh_rosters()
    return {
        "head": head["version"],
        "majority": majority,
        "members": members,
        "members_change": (part.store.record or {}).get("next"),
        "disk_here": part.store.files.wrong() or "good",
        "mended_here": dict(part.repairer.counts),
        "catching_up": {"audit_records": len(part.store.trail.missing(head["version"]))},
        "regs": {
            address: {field: roster[field] for field in REGISTRY_FIELDS}
            for address, roster in part.rosters.items()
        },
        "proxies": {
            address: {field: beat[field] for field in PROXY_FIELDS}
            for address, beat in sorted(newest_beats(part.rosters).items())
        },
    }


async def known_head(part):
    """(head, whether a quorum gave it)"""
    try:
        await part.contact.check(writing=False)
        return await part.read_head(now() + READ_WITHIN), True
    except NoQuorum:
        return part.head, False


async def members_of(part):
    """{address: its disk, and whether it answers under that disk now}"""
    hello = await part.ask_others("member.hello", None, now() + HELLO_WITHIN)
    answering = {disk for disk, answer in hello.items() if answer["disk"] == disk}
    return {
        address: {"disk": disk, "answers": disk == part.store.disk or disk in answering}
        for disk, address in part.store.everybody.items()
    }


def newest_beats(rosters):
    """{proxy's address: its last heartbeat}, of all registries' rosters."""
    newest = {}
    for roster in rosters.values():
        for address, beat in roster["proxies"].items():
            known = newest.get(address)
            if known is None or beat["heard_us_ago"] < known["heard_us_ago"]:
                newest[address] = beat
    return newest
