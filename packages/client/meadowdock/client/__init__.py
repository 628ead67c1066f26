"""The client library for users' programs: sending requests into the mesh, and serving them."""

from meadowdock.client.client import Client
from meadowdock.client.endpoint import Endpoint
from meadowdock.client.execution_record import ExecutionRecord
from meadowdock.client.messages import Answer, EndpointRequest, Rejected

__all__ = ["Answer", "Client", "Endpoint", "EndpointRequest", "ExecutionRecord", "Rejected"]
