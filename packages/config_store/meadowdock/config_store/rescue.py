"""Rescue of a configuration store that lost a majority of its disks permanently."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import CURRENT_REVISION_KEY, Store
from meadowdock.runtime import Disk, fingerprint

# The configuration of a rescued member must be newer than any that the lost members may have.
RESCUE_VERSION_STEP = 1000


async def rescue(disk: Disk, address: str, change: bool) -> str:
    """Describe the state on this disk; with `change`, make it the only voter, at this address.

    :raises SystemExit: the disk doesn't belong to a member.
    """
    store = Store(disk, None, lambda *_, **__: None)
    if await disk.read("disk") is None:
        raise SystemExit("this data folder does not belong to a member of the config store")
    await store.load()
    state = store.acceptor.states.get(fingerprint(CURRENT_REVISION_KEY.encode()))
    version = state.value["version"] if state and state.value else 0
    if change and store.membership:
        rescued_version = store.membership.version + RESCUE_VERSION_STEP
        await store.adopt(MembershipConfiguration(rescued_version, {store.disk_id: address}))
    record = store.membership.to_record() if store.membership else None
    return f"disk {store.disk_id}, manifest version {version}, members' record {record}"
