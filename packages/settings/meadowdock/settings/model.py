"""The settings of one process as typed values.

Settings files and flags use the names in schema.py; FIELD_NAMES lists the fields that have another
name here.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000  # microseconds

# The field names that differ from the name in a settings file, by the latter.
FIELD_NAMES = {
    "hall": "zone",
    "local": "local_addresses",
    "gate": "gate_address",
    "app": "app_address",
    "founding": "may_bootstrap",
    "beat_us": "heartbeat_us",
    "tries": "retry_budget",
}
# The HTTP and rpc ports by role.
DEFAULT_PORTS = {"mdproxy": (7400, 7401), "mdreg": (7410, 7411), "mdconf": (7420, 7421)}
DEFAULT_NODES_EXPECTED = 8


@dataclass(frozen=True)
class RetryBudgetSettings:
    """The limit of retries that all proxies together may send to one service.

    In each window of window_us microseconds they may send as many retries as `ratio` of the
    service's requests, or `reserve` retries if that is more.
    """

    ratio: float = 0.15
    window_us: int = 10 * SECOND
    reserve: int = 24


@dataclass(frozen=True)
class ProcessSettings:
    """The settings of one process.

    Invariant: only `validate_settings` creates them, so that each field has passed the schema and
    the cross-checks. Times are in microseconds; addresses are "ip:port".
    """

    role: str
    host: str
    zone: str
    seeds: tuple[str, ...]  # rpc addresses of processes to join through
    fleet_key: bytes
    data: str | None  # the data folder
    members: tuple[str, ...]  # the bootstrap members of the config store; the seeds if empty
    local_addresses: frozenset[str]  # IP addresses of this machine
    nodes_expected: int
    operator_key: str | None
    http_port: int
    link_port: int
    gate_port: int = 7402  # the port to which proxies on other machines forward requests
    gate_address: str | None = None  # the address at which requests of this machine arrive
    service: str | None = None  # the service of the local endpoint
    app_address: str | None = None  # the address of the local endpoint
    may_bootstrap: bool = True  # whether this process may take part in a bootstrap
    first_start: bool = False  # whether the whole deployment starts for the first time
    losses: int = 1  # members that may be lost at once; 2 * losses + 1 voters are wanted
    zone_losses: int = 0  # complete zones that may be lost at once
    region_losses: int = 0  # complete regions that may be lost at once
    region: str = ""  # the region of the zone, if known
    contact_us: int = 3 * SECOND  # time limit to connect to other processes after the last fault
    ack_us: int = 4 * SECOND  # time limit to acknowledge an operator's request
    apply_us: int = 2 * SECOND  # time limit to activate an acknowledged change everywhere
    linger_us: int = 1_200_000  # how long a stopping process keeps its listeners open
    stop_us: int = 4_700_000  # time limit of a shutdown; longer than linger_us
    catch_up_us: int = 4 * SECOND  # how long a returned machine still counts as lost
    heartbeat_us: int = 500_000  # interval of the heartbeats of endpoints
    drain_us: int = 2 * SECOND  # how long an endpoint still serves after it reported draining
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    memory_mb: int | None = None  # megabytes that the process may use; None: not limited
    descriptors: int | None = None  # that the process may have open; None: not limited
    disk_mb: int | None = None  # megabytes that the data folder may hold; None: not limited

    @property
    def node_name(self) -> str:
        """The node's name in logs and records."""
        return f"{self.role}@{self.host}"

    @property
    def rpc_address(self) -> str:
        """The address of the process's rpc listener."""
        return f"{self.host}:{self.link_port}"

    @property
    def http_address(self) -> str:
        """The address of the process's own HTTP listener."""
        return f"{self.host}:{self.http_port}"
