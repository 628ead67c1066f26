"""Codes that say why a request was rejected or why its outcome is unknown.

The values are sent to callers and peers and are counted in the status; docs/platform.md lists them.
"""

from __future__ import annotations

# Codes of rejections: the request did not run.
BUSY = "busy"  # no capacity in time
NO_ENDPOINT = "gone"
DEADLINE_PASSED = "late"
CANCELLED = "cancelled"  # the caller disconnected; also a code of unknown outcomes
CONNECT_FAILED = "unreached"  # no connection to the endpoint could be opened
REJECTED_BY_ENDPOINT = "turned_away"  # sent by a peer whose endpoint refused to run the request
STOPPING = "stopping"  # this node stops and could not answer in time; also of unknown outcomes
NO_CONFIGURATION = "no_manifest"  # this node has no active configuration yet

# Codes of unknown outcomes: the request may have run.
NO_ANSWER = "no_answer"  # no response by the deadline
CONNECTION_LOST = "lost"
BAD_ANSWER = "bad_answer"  # the response may belong to another request, or is inconclusive
TOO_LARGE = "too_large"  # the response is larger than a peer can send back
NO_MEMORY = "no_memory"  # the response was given up, as its memory is needed
