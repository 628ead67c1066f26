"""Delivery of a new revision to the proxies.

State: the node tables of the registries, which list the proxies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from meadowdock.config_store.revision import Revision
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.process import Node

REFRESH_INTERVAL_US = SECOND
REFRESH_TIMEOUT_US = 500 * MILLISECOND
STAGE_SHARE = (9, 20)  # fraction of apply_us for staging at all proxies; the same for switching


class Delivery:
    """Pushes revisions to proxies. A proxy that misses one requests it by itself."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.node_tables: dict[str, dict[str, Any]] = {}  # by the registry's address

    async def run(self) -> None:
        """Keep the node tables of the registries up to date."""
        while True:
            await self.refresh()
            await sleep_us(REFRESH_INTERVAL_US)

    async def refresh(self) -> None:
        """Fetch the node table of every registry once."""
        requests = {
            address: (address, "reg.roster", None)
            for address in self.node.membership.core_members("mdreg")
        }
        deadline = monotonic_us() + REFRESH_TIMEOUT_US
        self.node_tables = await self.node.rpc.successful_responses(requests, deadline)

    def proxies(self) -> list[str]:
        """Return the addresses of all proxies that some registry knows."""
        return sorted({proxy for table in self.node_tables.values() for proxy in table["proxies"]})

    async def deliver(self, revision: Revision) -> None:
        """Stage a revision at every proxy, then let all of them switch to it.

        Staging first makes the proxies switch almost simultaneously.
        """
        proxies = self.proxies()
        await self.call_all(proxies, "manifest.stage", revision.to_update())
        await self.call_all(proxies, "manifest.switch", revision.version)

    async def call_all(self, proxies: list[str], method: str, args: object) -> None:
        """Call these proxies concurrently, and wait a share of apply_us for their answers."""
        numerator, denominator = STAGE_SHARE
        deadline = monotonic_us() + self.node.settings.apply_us * numerator // denominator
        requests = {proxy: (proxy, method, args) for proxy in proxies}
        await self.node.rpc.call_all(requests, deadline)
