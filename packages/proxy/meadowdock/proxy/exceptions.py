"""Errors of the proxy. None of them means that a request ran; each says what was wrong."""

from __future__ import annotations

from meadowdock.outcome import rejection


class RegistrationDenied(Exception):
    """An endpoint's registration, heartbeat or departure was refused; nothing was changed.

    `status` is the HTTP status of the response, `code` one of the codes of docs/interfaces.md and
    `detail` a sentence for the operator.
    """

    def __init__(self, status: int, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.status, self.code, self.detail = status, code, detail


class InvalidEndpointResponse(Exception):
    """An endpoint's response failed a check; the request may have run."""


class RequestRejected(Exception):
    """A caller's request is not forwarded; none of it was sent to a peer or an endpoint."""

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.rejection = rejection(code, detail)


class NotSent(Exception):
    """No byte of a call reached an endpoint: it did not run."""


class EndpointOutcomeUnknown(Exception):
    """A call was sent to an endpoint, and there is no valid response: it may have run.

    `code` is a rejection code of meadowdock.outcome, `counter` the counter that operators see.
    """

    def __init__(self, code: str, counter: str) -> None:
        super().__init__(code)
        self.code, self.counter = code, counter
