"""The platform's operator API at a member without a quorum: redirects, 503 and 504 responses."""

from __future__ import annotations

import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from meadowdock.config_store.exceptions import QuorumUnreachable
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.runtime.client_memory import ClientMemory

sys.path.append(str(Path(__file__).parents[2] / "platform"))
from platform_adapter import operator_api  # noqa: E402

MODIFY, FETCH = "/api/config/modify", "/api/config/fetch"


class Request:
    """The part of a request that the handlers read."""

    def __init__(self, path):
        self.path = path

    async def body(self, size):
        return b"{}"


class FailingConfigStore:
    """A config store whose changes and reads fail with one error."""

    def __init__(self, error):
        self.error = error
        self.node = SimpleNamespace(client_memory=ClientMemory(None))

    async def change_items(self, items):
        raise self.error

    async def read_items(self):
        raise self.error


def status_and_headers(path, error):
    handler = operator_api.modify if path == MODIFY else operator_api.fetch
    response = trio.run(handler, FailingConfigStore(error), Request(path))
    return response.status, {name.lower(): value for name, value in response.headers}


@pytest.mark.parametrize("path", [MODIFY, FETCH])
def test_a_member_without_a_quorum_redirects_to_one_that_has_it(path):
    error = QuorumUnreachable(
        {operator_api.CONTROL_LISTENER: "10.0.0.2:8146", "operators": "10.0.0.2:7664"}
    )
    status, headers = status_and_headers(path, error)
    assert status == 307
    assert headers[b"location"] == f"http://10.0.0.2:8146{path}".encode()


@pytest.mark.parametrize("path", [MODIFY, FETCH])
@pytest.mark.parametrize("listeners", [{}, {"operators": "10.0.0.2:7664"}])
def test_without_a_known_control_address_the_response_is_503_with_retry_after(path, listeners):
    status, headers = status_and_headers(path, QuorumUnreachable(listeners))
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b"location" not in headers


@pytest.mark.parametrize("path", [MODIFY, FETCH])
def test_an_unknown_outcome_is_never_reported_as_refused(path):
    assert status_and_headers(path, OutcomeUnknown("items"))[0] == 504
    assert status_and_headers(path, NoQuorum("items"))[0] == 503
