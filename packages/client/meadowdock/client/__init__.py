"""For users' programs: requests into the mesh, and an endpoint's side of the contract."""

from meadowdock.client.client import Client
from meadowdock.client.endpoint import Endpoint
from meadowdock.client.execution_record import ExecutionRecord
from meadowdock.client.messages import Answer, EndpointRequest, Rejected

__all__ = ["Answer", "Client", "Endpoint", "EndpointRequest", "ExecutionRecord", "Rejected"]
