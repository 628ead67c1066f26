"""The settings of one process, as values of known types.

The names of settings in files and flags are those of schema.py; FIELD_NAMES lists where a field's
name here is another.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000  # microseconds

# Name in a settings file -> name of the field, where they differ.
FIELD_NAMES = {
    "hall": "zone",
    "local": "local_addresses",
    "gate": "gate_address",
    "app": "app_address",
    "founding": "may_bootstrap",
    "beat_us": "heartbeat_us",
    "tries": "retry_budget",
}
# Ports by role: (HTTP, rpc).
DEFAULT_PORTS = {"mdproxy": (7400, 7401), "mdreg": (7410, 7411), "mdconf": (7420, 7421)}
DEFAULT_NODES_EXPECTED = 8


@dataclass(frozen=True)
class RetryBudgetSettings:
    """How many retries the whole fleet may send for one service.

    In each window of window_us microseconds: `ratio` of the service's requests, or `reserve`
    retries if that is more.
    """

    ratio: float = 0.15
    window_us: int = 10 * SECOND
    reserve: int = 24


@dataclass(frozen=True)
class ProcessSettings:
    """The settings of one process.

    Invariant: made only by `checked`, so each field has passed the schema and the cross-checks.
    Times are in microseconds; addresses are "ip:port".
    """

    role: str
    host: str
    zone: str
    seeds: tuple[str, ...]  # rpc addresses of processes to join through
    fleet_key: bytes
    data: str | None  # folder of what the process stores
    members: tuple[str, ...]  # the bootstrap set of the config store; empty: the seeds
    local_addresses: frozenset[str]  # IP addresses of this machine
    nodes_expected: int
    operator_key: str | None
    http_port: int
    link_port: int
    gate_port: int = 7402  # where proxies of other machines forward requests to
    gate_address: str | None = None  # where requests of this machine arrive
    service: str | None = None  # of the local endpoint
    app_address: str | None = None  # of the local endpoint
    may_bootstrap: bool = True  # whether this process may take part in a bootstrap
    losses: int = 1  # members that may be lost at once; 2 * losses + 1 voters are wanted
    zone_losses: int = 0  # complete zones that may be lost at once
    region_losses: int = 0  # complete regions that may be lost at once
    region: str = ""  # of the zone, if known
    contact_us: int = 3 * SECOND  # after the last fault, processes are connected within this
    ack_us: int = 4 * SECOND  # an operator's request is acknowledged within this
    apply_us: int = 2 * SECOND  # an acknowledged change is in force everywhere within this
    linger_us: int = 1_200_000  # a stopping process keeps its listeners open for so long
    stop_us: int = 4_700_000  # and ends within this; linger_us is less
    catch_up_us: int = 4 * SECOND  # how long a machine that is back still counts as lost
    heartbeat_us: int = 500_000  # interval of the endpoints' heartbeats
    drain_us: int = 2 * SECOND  # how long an endpoint serves on once it reported draining
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()

    @property
    def name(self) -> str:
        """The node's name in logs and records."""
        return f"{self.role}@{self.host}"

    @property
    def link(self) -> str:
        """The address of the process's rpc listener."""
        return f"{self.host}:{self.link_port}"

    @property
    def http(self) -> str:
        """The address of the process's own HTTP listener."""
        return f"{self.host}:{self.http_port}"
