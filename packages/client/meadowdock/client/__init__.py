"""In users' programs: calls into the mesh, and an endpoint's side of the contract."""

from meadowdock.client.client import Answer, Client, Rejected
from meadowdock.client.endpoint import Endpoint
from meadowdock.client.record import Got, Record

__all__ = ["Answer", "Client", "Endpoint", "Got", "Record", "Rejected"]
