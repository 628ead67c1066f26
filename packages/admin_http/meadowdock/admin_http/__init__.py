"""A small HTTP framework over ASGI: requests, responses, routes, and the app that serves them."""

from meadowdock.admin_http.app import App
from meadowdock.admin_http.exceptions import BodyTooLarge, ClientDisconnected
from meadowdock.admin_http.messages import Headers, Request, Response
from meadowdock.admin_http.routes import Handler, RouteTable

__all__ = [
    "App",
    "BodyTooLarge",
    "ClientDisconnected",
    "Handler",
    "Headers",
    "Request",
    "Response",
    "RouteTable",
]
