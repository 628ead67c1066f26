"""What a member tells an operator of the control side, as far as it can see it."""

from __future__ import annotations

from meadowdock.consensus import NoQuorum
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

READ_WITHIN = SECOND
HELLO_WITHIN = 500 * MILLISECOND
REGISTRY_FIELDS = ("collector", "seen_epoch", "regs", "last")
PROXY_FIELDS = ("hall", "incarnation", "version", "cut_off", "endpoints", "counts")


async def status_of(daemon):
    """The body of GET /status. `majority` says whether `head` is a quorum's word or only the newest
    version that this member knows."""
    head, majority = await known_head(daemon)
    members = await members_of(daemon)
    await daemon.refresh_rosters()
    return {
        "head": head["version"],
        "majority": majority,
        "members": members,
        "members_change": daemon.store.membership.next_voters if daemon.store.membership else None,
        "disk_here": daemon.store.files.wrong() or "good",
        "mended_here": dict(daemon.repairer.counts),
        "catching_up": {"audit_records": len(daemon.store.trail.missing(head["version"]))},
        "regs": {
            address: {field: roster[field] for field in REGISTRY_FIELDS}
            for address, roster in daemon.rosters.items()
        },
        "proxies": {
            address: {field: beat[field] for field in PROXY_FIELDS}
            for address, beat in sorted(newest_beats(daemon.rosters).items())
        },
    }


async def known_head(daemon):
    """(head, whether a quorum gave it)"""
    try:
        await daemon.contact.check(writing=False)
        return await daemon.read_head(monotonic_us() + READ_WITHIN), True
    except NoQuorum:
        return daemon.head, False


async def members_of(daemon):
    """{address: its disk, and whether it answers under that disk now}"""
    hello = await daemon.ask_others("member.hello", None, monotonic_us() + HELLO_WITHIN)
    answering = {disk for disk, answer in hello.items() if answer["disk"] == disk}
    return {
        address: {"disk": disk, "answers": disk == daemon.store.disk or disk in answering}
        for disk, address in daemon.store.everybody.items()
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
