"""The platform's operators' listener: where a member without a quorum sends an operator."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest
import trio

from meadowdock.config_store.exceptions import QuorumUnreachable
from meadowdock.consensus import NoQuorum, OutcomeUnknown

sys.path.append(str(Path(__file__).parents[2] / "platform"))
from platform_adapter import operator_api  # noqa: E402

MODIFY, FETCH = "/api/config/modify", "/api/config/fetch"


class Request:
    """As much of a request as the handlers read."""

    def __init__(self, path):
        self.path = path

    async def body(self, size):
        return b"{}"


class FailingConfigStore:
    """A config store whose changes and reads end with one error."""

    def __init__(self, error):
        self.error = error

    async def change_items(self, items):
        raise self.error

    async def read_items(self):
        raise self.error


def answer(path, error):
    handler = operator_api.modify if path == MODIFY else operator_api.fetch
    reply = trio.run(handler, FailingConfigStore(error), Request(path))
    return reply.status, {name.lower(): value for name, value in reply.headers}


@pytest.mark.parametrize("path", [MODIFY, FETCH])
def test_a_member_without_a_quorum_names_the_control_address_of_one_that_has_it(path):
    error = QuorumUnreachable({operator_api.CONTROL: "10.0.0.2:8146", "operators": "10.0.0.2:7664"})
    status, headers = answer(path, error)
    assert status == 307
    assert headers[b"location"] == f"http://10.0.0.2:8146{path}".encode()


@pytest.mark.parametrize("path", [MODIFY, FETCH])
@pytest.mark.parametrize("doors", [{}, {"operators": "10.0.0.2:7664"}])
def test_without_a_known_control_address_it_is_refused_and_told_when_to_come_back(path, doors):
    status, headers = answer(path, QuorumUnreachable(doors))
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b"location" not in headers


@pytest.mark.parametrize("path", [MODIFY, FETCH])
def test_what_may_hold_is_never_told_as_refused(path):
    assert answer(path, OutcomeUnknown("items"))[0] == 504
    assert answer(path, NoQuorum("items"))[0] == 503
