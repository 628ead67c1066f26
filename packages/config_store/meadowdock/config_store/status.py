"""The state of the deployment that a member reports to operators, as far as it is known here."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from meadowdock.config_store.revision import Revision
from meadowdock.consensus import NoQuorum
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

READ_TIMEOUT_US = SECOND
HELLO_TIMEOUT_US = 500 * MILLISECOND
REGISTRY_FIELDS = ("collector", "seen_epoch", "regs", "last")
PROXY_FIELDS = ("hall", "incarnation", "version", "cut_off", "endpoints", "counts")

NodeTables = Mapping[str, Mapping[str, Any]]  # by the registry's address


async def status_of(server: ConfigStore) -> dict[str, Any]:
    """Build the body of GET /status.

    `majority` tells whether `head` comes from a quorum or is only the latest version that this
    member knows.
    """
    revision, from_quorum = await latest_revision(server)
    members = await members_of(server)
    await server.delivery.refresh()
    node_tables = server.delivery.node_tables
    membership = server.store.membership
    return {
        "head": revision.version,
        "majority": from_quorum,
        "members": members,
        "members_change": membership.next_voters if membership else None,
        "disk_here": server.store.disk.failure() or "good",
        "mended_here": dict(server.repairer.counts),
        "catching_up": {"audit_records": len(server.store.audit_log.missing(revision.version))},
        "regs": {
            address: {field: table[field] for field in REGISTRY_FIELDS}
            for address, table in node_tables.items()
        },
        "proxies": {
            address: {field: heartbeat[field] for field in PROXY_FIELDS}
            for address, heartbeat in sorted(latest_heartbeats(node_tables).items())
        },
    }


async def latest_revision(server: ConfigStore) -> tuple[Revision, bool]:
    """Return (the latest revision, whether it was read from a quorum)."""
    try:
        await server.quorum_monitor.require_quorum(writing=False)
        return await server.revisions.read(monotonic_us() + READ_TIMEOUT_US), True
    except NoQuorum:
        return server.revisions.latest, False


async def members_of(server: ConfigStore) -> dict[str, dict[str, Any]]:
    """Return {address: the member's disk, and whether it answers under that disk now}."""
    deadline = monotonic_us() + HELLO_TIMEOUT_US
    hello = await server.broadcast.call_peers("member.hello", None, deadline)
    answering = {disk for disk, answer in hello.items() if answer["disk"] == disk}
    return {
        address: {"disk": disk, "answers": disk == server.store.disk_id or disk in answering}
        for disk, address in server.store.members.items()
    }


def latest_heartbeats(node_tables: NodeTables) -> dict[str, Mapping[str, Any]]:
    """Return {proxy's address: its last heartbeat}, from the node tables of all registries."""
    latest: dict[str, Mapping[str, Any]] = {}
    for table in node_tables.values():
        for address, heartbeat in table["proxies"].items():
            known = latest.get(address)
            if known is None or heartbeat["heard_us_ago"] < known["heard_us_ago"]:
                latest[address] = heartbeat
    return latest
