"""The catalogue of log events, which defines their numbers and names.

Operators' tools rely on the numbers, whose meanings never change. docs/events.md documents the
catalogue.

>>> sorted(CATALOGUE) == list(CATALOGUE)
True
"""

from __future__ import annotations

from typing import NamedTuple


class EventKind(NamedTuple):
    """The name and the meaning of an event number."""

    name: str
    meaning: str


CATALOGUE = {
    101: EventKind("started", "the process serves; says role and addresses"),
    102: EventKind("stopping", "asked to stop; requests in flight go on"),
    103: EventKind("stopped", "all requests in flight are done, or the time for them is over"),
    104: EventKind("shutdown_aborted", "a second signal: the process stops at once"),
    105: EventKind(
        "task_failed", "a background task failed with an unexpected error and was started again"
    ),
    201: EventKind(
        "connection_rejected", "a peer failed the proof of the fleet key, or sent a malformed frame"
    ),
    202: EventKind("connection_lost", "an open rpc connection broke"),
    301: EventKind("peer_seen", "a process joined, or came back with a new incarnation"),
    302: EventKind("peer_removed", "no heartbeat of a process came for the window, or it left"),
    401: EventKind("endpoint_enrolled", "an endpoint enrolled or came back"),
    402: EventKind(
        "endpoint_draining", "an endpoint reported that it drains; it gets no new requests"
    ),
    403: EventKind(
        "endpoint_removed", "an endpoint left, missed its heartbeats, or lost its address"
    ),
    404: EventKind(
        "endpoint_ejected",
        "no connection to an endpoint; it gets no requests until its next heartbeat",
    ),
    405: EventKind(
        "endpoint_check_failed", "the identity or a response of an endpoint failed its checks"
    ),
    406: EventKind(
        "endpoint_heartbeat_rejected",
        "a heartbeat that can't be read, or not of this machine's endpoint",
    ),
    407: EventKind(
        "service_overloaded",
        "requests of a service found no capacity in the last second: figures of this node",
    ),
    501: EventKind("configuration_staged", "a newer configuration is complete and validated here"),
    502: EventKind("configuration_activated", "a newer configuration is in force here"),
    503: EventKind(
        "core_unreachable", "the core can't be reached; the last configuration stays in force"
    ),
    504: EventKind(
        "configuration_revalidated", "the version was confirmed again after a pause or a partition"
    ),
    601: EventKind("bootstrapped", "the first members are fixed"),
    602: EventKind(
        "key_file_corrupt",
        "a key file failed its fingerprint at the start; this disk goes on as another",
    ),
    603: EventKind("no_quorum", "too few members answered"),
    604: EventKind("plan_stored", "an operator's plan is stored on a majority"),
    605: EventKind("plan_committed", "an operator's plan is the current revision"),
    606: EventKind("repaired", "a missing, corrupt or lagging file was repaired: what says which"),
    607: EventKind("members_changed", "the voters are others now"),
    701: EventKind("lease_acquired", "this process holds a lease under a new epoch"),
    702: EventKind("lease_lost", "a higher epoch was seen; the lease is dropped"),
    703: EventKind("load_list_rejected", "a load list of an older epoch was rejected"),
    704: EventKind("load_list_stale", "no load list came for the stale window"),
    705: EventKind(
        "lease_expired",
        "the config store could not be asked in time; this process collects no more",
    ),
    801: EventKind("internal_error", "a request met an unexpected error inside this process"),
    802: EventKind("invariant_violated", "an invariant did not hold: says which, and how often"),
}
