"""Stand-ins for the two ends of the traffic path, in raw bytes, with a parser of their own: an
endpoint that fails in every way that one can, and a caller. Both keep journals, which an audit
holds against each other."""

from meadowdock.simulator.standin.caller import StandInCaller
from meadowdock.simulator.standin.endpoint import StandIn
from meadowdock.simulator.standin.faults import FAULTS
from meadowdock.simulator.standin.records import Asked
from meadowdock.simulator.standin.request_audit import RequestAudit

__all__ = ["FAULTS", "Asked", "RequestAudit", "StandIn", "StandInCaller"]
