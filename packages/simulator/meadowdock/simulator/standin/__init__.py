"""Stand-ins for the two ends of the traffic path: an endpoint with response faults, and a caller.

Both write raw bytes and have a parser of their own. Both keep journals, which an audit compares
with each other.
"""

from meadowdock.simulator.standin.caller import StandInCaller
from meadowdock.simulator.standin.endpoint import StandIn
from meadowdock.simulator.standin.faults import FAULTS
from meadowdock.simulator.standin.records import SentRequest
from meadowdock.simulator.standin.request_audit import RequestAudit

__all__ = ["FAULTS", "RequestAudit", "SentRequest", "StandIn", "StandInCaller"]
