"""The catalogue of log events: the name and the meaning of each number in `events`.

Operators' tools rely on the numbers, whose meanings never change. docs/events.md documents the
catalogue.

>>> sorted(CATALOGUE) == list(CATALOGUE)
True
"""

from __future__ import annotations

from typing import NamedTuple

from meadowdock.logs import events as log_events


class EventKind(NamedTuple):
    """The name and the meaning of an event number."""

    name: str
    meaning: str


CATALOGUE = {
    log_events.STARTED: EventKind("started", "the process serves; says role and addresses"),
    log_events.STOPPING: EventKind("stopping", "asked to stop; requests in flight go on"),
    log_events.STOPPED: EventKind(
        "stopped", "all requests in flight are done, or the time for them is over"
    ),
    log_events.SHUTDOWN_ABORTED: EventKind(
        "shutdown_aborted", "an interrupt during a stop: the process ends at once"
    ),
    log_events.TASK_FAILED: EventKind(
        "task_failed", "a background task failed with an unexpected error and was started again"
    ),
    log_events.SHUTDOWN_PROGRESS: EventKind(
        "shutdown_progress", "a stopping proxy begins a step: says which, and what is unanswered"
    ),
    log_events.REQUEST_UNANSWERED: EventKind(
        "request_unanswered", "a stop ends a request that has no answer yet: says where it was"
    ),
    log_events.PROCESS_FAILED: EventKind(
        "process_failed", "an error ends the process: says what, where, and the exit status"
    ),
    log_events.PREVIOUS_END: EventKind(
        "previous_end", "how the previous process with this data folder ended"
    ),
    log_events.LOG_LINES_DROPPED: EventKind(
        "log_lines_dropped", "lines of this log could not be written: says how many"
    ),
    log_events.LISTENER_WAITING: EventKind(
        "listener_waiting", "an address can't be listened on: says why; it is tried again"
    ),
    log_events.DISK_WAITING: EventKind(
        "disk_waiting", "the disk fails at the start: says why; it is tried again"
    ),
    log_events.SETTINGS_WAITING: EventKind(
        "settings_waiting",
        "the settings file is absent or incomplete at the start: says why; it is read again",
    ),
    log_events.CLIENTS_GIVEN_UP: EventKind(
        "clients_given_up",
        "connections of clients were given up for want of memory or descriptors: says how many, "
        "and what clients hold",
    ),
    log_events.ADDRESS_SPACE_USED_UP: EventKind(
        "address_space_used_up",
        "no address space is left for a connection or a read, so it was refused: says how much is "
        "reserved, and how often",
    ),
    log_events.CONNECTION_REJECTED: EventKind(
        "connection_rejected", "a peer failed the proof of the fleet key, or sent a malformed frame"
    ),
    log_events.CONNECTION_LOST: EventKind("connection_lost", "an open rpc connection broke"),
    log_events.PEER_SEEN: EventKind(
        "peer_seen", "a process joined, or came back with a new incarnation"
    ),
    log_events.PEER_REMOVED: EventKind(
        "peer_removed", "no heartbeat of a process came for the window, or it left"
    ),
    log_events.ENDPOINT_ENROLLED: EventKind(
        "endpoint_enrolled", "an endpoint enrolled or came back"
    ),
    log_events.ENDPOINT_DRAINING: EventKind(
        "endpoint_draining", "an endpoint reported that it drains; it gets no new requests"
    ),
    log_events.ENDPOINT_REMOVED: EventKind(
        "endpoint_removed", "an endpoint left, missed its heartbeats, or lost its address"
    ),
    log_events.ENDPOINT_EJECTED: EventKind(
        "endpoint_ejected",
        "no connection to an endpoint; it gets no requests until its next heartbeat",
    ),
    log_events.ENDPOINT_CHECK_FAILED: EventKind(
        "endpoint_check_failed", "the identity or a response of an endpoint failed its checks"
    ),
    log_events.ENDPOINT_HEARTBEAT_REJECTED: EventKind(
        "endpoint_heartbeat_rejected",
        "a heartbeat that can't be read, or not of this machine's endpoint",
    ),
    log_events.SERVICE_OVERLOADED: EventKind(
        "service_overloaded",
        "requests of a service found no capacity in the last second: figures of this node",
    ),
    log_events.ENDPOINT_ANSWER_REFUSED: EventKind(
        "endpoint_answer_refused",
        "answers of an endpoint were no HTTP, beyond a bound, or broken off: says why, and how many",
    ),
    log_events.CONFIGURATION_STAGED: EventKind(
        "configuration_staged", "a newer configuration is complete and validated here"
    ),
    log_events.CONFIGURATION_ACTIVATED: EventKind(
        "configuration_activated", "a newer configuration is in force here"
    ),
    log_events.CORE_UNREACHABLE: EventKind(
        "core_unreachable", "the core can't be reached; the last configuration stays in force"
    ),
    log_events.CONFIGURATION_REVALIDATED: EventKind(
        "configuration_revalidated", "the version was confirmed again after a pause or a partition"
    ),
    log_events.BOOTSTRAPPED: EventKind("bootstrapped", "the first members are fixed"),
    log_events.KEY_FILE_CORRUPT: EventKind(
        "key_file_corrupt",
        "a key file failed its fingerprint at the start; this disk goes on as another",
    ),
    log_events.NO_QUORUM: EventKind("no_quorum", "too few members answered"),
    log_events.PLAN_STORED: EventKind("plan_stored", "an operator's plan is stored on a majority"),
    log_events.PLAN_COMMITTED: EventKind(
        "plan_committed", "an operator's plan is the current revision"
    ),
    log_events.REPAIRED: EventKind(
        "repaired", "a missing, corrupt or lagging file was repaired: what says which"
    ),
    log_events.MEMBERS_CHANGED: EventKind("members_changed", "the voters are others now"),
    log_events.BOOTSTRAP_WAITING: EventKind(
        "bootstrap_waiting", "no members are known, and none can be fixed yet: says why"
    ),
    log_events.DISK_CROWDED: EventKind(
        "disk_crowded",
        "chunks fill more than their share of the disk, so unreferenced ones are removed early; "
        "or they no longer do",
    ),
    log_events.LEASE_ACQUIRED: EventKind(
        "lease_acquired", "this process holds a lease under a new epoch"
    ),
    log_events.LEASE_LOST: EventKind("lease_lost", "a higher epoch was seen; the lease is dropped"),
    log_events.LOAD_LIST_REJECTED: EventKind(
        "load_list_rejected", "a load list of an older epoch was rejected"
    ),
    log_events.LOAD_LIST_STALE: EventKind(
        "load_list_stale", "no load list came for the stale window"
    ),
    log_events.LEASE_EXPIRED: EventKind(
        "lease_expired",
        "the config store could not be asked in time; this process collects no more",
    ),
    log_events.INTERNAL_ERROR: EventKind(
        "internal_error", "a request met an unexpected error inside this process"
    ),
    log_events.INVARIANT_VIOLATED: EventKind(
        "invariant_violated", "an invariant did not hold: says which, and how often"
    ),
}
