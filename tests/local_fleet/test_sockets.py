"""A fleet on real sockets: malformed responses, addresses that pass to another service, stops."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import threading

import pytest
from fleets import small_fleet

from meadowdock.local_fleet.fleet import http_get

OVERSIZED_BODY = b'{"pad": "' + b"x" * (5 << 20) + b'"}'


def http_response(
    body=b'{"good": true}', length=None, call=None, more=b"", status=b"200 OK", extra=b""
):
    """Return the bytes of a response; `more` follows its body, `extra` are further header lines."""
    return b"".join(
        [
            b"HTTP/1.1 " + status + b"\r\ncontent-type: application/json\r\n",
            b"content-length: %d\r\n" % (len(body) if length is None else length),
            b"md-call: " + call + b"\r\n" if call else b"",
            extra + b"\r\n" + body + more,
        ]
    )


class RawEndpoint:
    """An endpoint over plain sockets that sends any bytes.

    `reply(call id)` returns the pieces of the response; None closes the connection. Invariant:
    ran holds the ids of the calls whose request was received completely.
    """

    def __init__(self, host, service, reply, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind((host, port))
        self.listener.listen()
        self.address = ":".join(map(str, self.listener.getsockname()))
        self.host, self.service, self.reply = host, service, reply
        self.ran, self.connections = [], []
        self.silent = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()
        self.enrolment = {"service": service, "address": self.address, "capacity": 4}
        self.token = self.post_to_proxy(
            "enrol", {**self.enrolment, "incarnation": os.urandom(4).hex()}
        )["token"]
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def post_to_proxy(self, operation, message):
        connection = http.client.HTTPConnection(self.host, 7400, 5, source_address=(self.host, 0))
        try:
            connection.request("POST", f"/md/{operation}", json.dumps(message))
            return json.load(connection.getresponse())
        finally:
            connection.close()

    def send_heartbeats(self):
        while not self.silent.wait(0.4):
            self.post_to_proxy("beat", {"token": self.token, "capacity": 4})

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            while call := self.read_request(connection):
                self.ran.append(call)
                try:
                    for data in self.reply(call):
                        if data is None:
                            return
                        connection.sendall(data)
                except OSError:
                    return

    def read_request(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                chunk = connection.recv(65536)
            except OSError:
                return None
            if not chunk:
                return None
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        while len(body) < int(headers.get(b"content-length", b"0")):
            body += connection.recv(65536)
        return headers[b"md-call"]

    def deregister(self):
        self.silent.set()
        self.post_to_proxy("leave", {"token": self.token})
        self.listener.close()
        for connection in self.connections:
            connection.close()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    manifest = os.path.join(os.path.dirname(__file__), "sockets.json")
    with small_fleet(tmp_path_factory.mktemp("fleet"), manifest) as running_fleet:
        yield running_fleet


def send_request(address, path, method="GET", body=None, headers=()):
    """Return (status, verdict, body) of the response."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port or 7400), 8)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        content = json.loads(response.read() or b"null")
        return response.status, response.getheader("md-verdict"), content
    finally:
        connection.close()


def reply_byte_by_byte(call):
    yield http_response(b" " * 4000 + b"{}", call=call)[:200]
    while True:
        yield b" "
        threading.Event().wait(0.05)


# name -> (reply of the endpoint, code that the caller gets)
MALFORMED_RESPONSES = {
    "half JSON": (lambda call: [http_response(b'{"half": ', call=call)], "bad_answer"),
    "no JSON": (lambda call: [http_response(b"<html>", call=call)], "bad_answer"),
    "nothing": (lambda call: [http_response(b"", call=call)], "bad_answer"),
    "another call's": (lambda call: [http_response(call=b"x-y-1")], "bad_answer"),
    "another incarnation's": (
        lambda call: [http_response(call=call, extra=b"md-incarnation: other\r\n")],
        "bad_answer",
    ),
    "too short for its length": (
        lambda call: [http_response(length=99, call=call), None],
        "lost",
    ),
    "longer than its length": (
        lambda call: [http_response(b"12345", length=2, call=call)],
        "lost",
    ),
    "closed at once": (lambda call: [None], "lost"),
    "closed in the head": (lambda call: [http_response(call=call)[:30], None], "lost"),
    "a broken head": (lambda call: [b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n{}"], "lost"),
    "two lengths": (
        lambda call: [http_response(call=call, extra=b"content-length: 3\r\n")],
        "lost",
    ),
    "no length": (
        lambda call: [b"HTTP/1.1 200 OK\r\nmd-call: " + call + b"\r\n\r\n{}", None],
        "bad_answer",
    ),
    "no HTTP": (lambda call: [b"\x00\xff" * 40], "lost"),
    "in slow drips": (reply_byte_by_byte, "no_answer"),
    "oversized": (lambda call: [http_response(OVERSIZED_BODY, call=call)], "lost"),
    "encoded": (
        lambda call: [http_response(call=call, extra=b"content-encoding: gzip\r\n")],
        "bad_answer",
    ),
}


@pytest.mark.parametrize("service", ["odd", "plain"])
def test_malformed_responses_are_not_forwarded_and_do_not_affect_later_calls(fleet, service):
    host = next(iter(fleet.application))
    current = []
    endpoint = RawEndpoint(host, service, lambda call: current[0](call))
    try:
        for name, (reply, code) in MALFORMED_RESPONSES.items():
            current[:] = [reply]
            before = len(endpoint.ran)
            status, verdict, body = send_request(host, f"/{service}/1", "POST", b"{}")
            assert len(endpoint.ran) == before + 1, name  # not idempotent: not sent again
            assert (body.get("code"), verdict) == (code, "may-have-run"), name
            assert status >= 500, name
            current[:] = [lambda call: [http_response(b'{"own": "%s"}' % call, call=call)]]
            status, verdict, body = send_request(host, f"/{service}/2", "POST", b"{}")
            own = endpoint.ran[-1].decode()
            assert (status, verdict, body) == (200, "ran", {"own": own}), name
    finally:
        endpoint.deregister()


@pytest.mark.parametrize("service", ["odd", "plain"])
def test_a_second_response_that_nobody_requested_is_not_forwarded(fleet, service):
    """The next caller on that connection would otherwise get it."""
    host = next(iter(fleet.application))

    def reply_twice(call):
        own = http_response(b'{"own": "%s"}' % call, call=call)
        return [own + http_response(b'{"own": "nobody"}')]

    endpoint = RawEndpoint(host, service, reply_twice)
    try:
        for _ in range(4):
            status, verdict, body = send_request(host, f"/{service}/1", "POST", b"{}")
            assert (status, verdict, body["code"]) == (502, "may-have-run", "lost")
    finally:
        endpoint.deregister()


def test_an_address_that_passes_to_another_service_with_connections_open(fleet):
    """The old process keeps its connections open, as one that is just being replaced does."""
    host = next(iter(fleet.application))

    def reply_with_call_id(call):
        return [http_response(b'{"own": "%s"}' % call, call=call)]

    old = RawEndpoint(host, "odd", reply_with_call_id)
    new = None
    try:
        # After this call its connection stays open.
        assert send_request(host, "/odd/1", "POST", b"{}")[0] == 200
        old.silent.set()  # it sends no more heartbeats, and does not deregister
        old.listener.shutdown(socket.SHUT_RDWR)  # close alone would not wake its thread
        old.listener.close()
        new = RawEndpoint(host, "plain", reply_with_call_id, int(old.address.rpartition(":")[2]))
        status, verdict, body = send_request(host, "/odd/1", "POST", b"{}")
        assert (status, verdict, body["code"]) == (503, "not-run", "home_gone")
        assert send_request(host, "/plain/1", "POST", b"{}")[0] == 200
        assert (len(old.ran), len(new.ran)) == (1, 1)
        # The old endpoint's heartbeats for the address are rejected from now on.
        heartbeat = {"token": old.token, "capacity": 4}
        assert old.post_to_proxy("beat", heartbeat)["code"] == "superseded"
    finally:
        (new or old).deregister()


def executed_keys(fleet):
    """Return the idempotency keys in the journals of all endpoints."""
    keys = set()
    for name in os.listdir(fleet.folder):
        if name.startswith("journal-"):
            with open(os.path.join(fleet.folder, name), encoding="utf-8") as file:
                keys |= {json.loads(line)["key"] for line in file}
    return keys


def test_calls_in_the_buffers_of_a_stopped_peer_do_not_run_when_it_continues(fleet):
    desk, paper = fleet.application
    fleet.wait_until_listed(paper, "member-desk")
    pid = fleet.processes[f"mdproxy-{desk}"].handle.pid
    responses = {}

    def call(key):
        responses[key] = send_request(paper, "/withdrawals", "POST", b"{}", {"md-key": key})

    call("buffer-first")
    assert responses["buffer-first"][1] == "ran"
    os.kill(pid, signal.SIGSTOP)
    try:
        threads = [threading.Thread(target=call, args=(f"buffer-{n}",)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        os.kill(pid, signal.SIGCONT)
    assert {verdict for key, (_, verdict, _) in responses.items()} >= {"may-have-run"}
    fleet.wait_ready([f"{desk}:7400"])
    fleet.wait_until_listed(paper, "member-desk")
    call("buffer-last")  # through the same proxy, behind everything in its buffers
    assert responses["buffer-last"][1] == "ran"
    ran = executed_keys(fleet)
    assert {"buffer-first", "buffer-last"} <= ran
    assert not {key for key, (_, verdict, _) in responses.items() if verdict == "not-run"} & ran
    assert not {f"buffer-{n}" for n in range(8)} & ran  # nobody waits for them any more


def test_a_graceful_shutdown_under_callers_that_do_not_check_readiness(fleet):
    """No accepted call is dropped.

    The callers keep their connections until a response asks them to close. A call after the
    listener has closed finds none, so it was certainly not sent.
    """
    desk = next(iter(fleet.application))
    name = f"mdproxy-{desk}"
    results, close_requested = [], threading.Event()
    stopping = threading.Event()

    def send_calls():
        connection = None
        while not stopping.is_set():
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(desk, 7400, 8)
                    connection.connect()
            except OSError:
                return  # nobody listens any more
            try:
                connection.request("GET", "/balances/1")
                response = connection.getresponse()
                results.append(
                    (response.status, response.getheader("md-verdict"), json.loads(response.read()))
                )
                if (response.getheader("connection") or "").lower() == "close":
                    close_requested.set()
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                results.append((0, repr(error), None))
                connection.close()
                connection = None

    threads = [threading.Thread(target=send_calls) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        while len(results) < 40:
            threads[0].join(0.01)
        status, _ = fleet.stop(name)  # killed, and then not 0, if it takes too long
    finally:
        stopping.set()
    for thread in threads:
        thread.join()
    assert status == 0
    assert close_requested.is_set()
    lost = [result for result in results if result[0] == 0]
    assert lost == [], (len(lost), len(results))
    fleet.start_daemon("mdproxy", desk)
    fleet.wait_ready([f"{desk}:7400"])


def test_sigkill_of_all_daemons_under_load_keeps_the_accepted_configuration(fleet, tmp_path):
    stopping = threading.Event()
    statuses = []

    def send_calls():
        while not stopping.is_set():
            for host, path in zip(fleet.application, ("/balances/1", "/statements/1"), strict=True):
                statuses.append((host, http_get(f"{host}:7400", path)[0]))

    thread = threading.Thread(target=send_calls)
    thread.start()
    try:
        current = fleet.run_mdctl("get")
        current["manifest"]["load"]["omega"] = 0.87
        path = tmp_path / "m.json"
        path.write_text(json.dumps(current["manifest"]))
        version = fleet.run_mdctl("confirm", fleet.run_mdctl("plan", str(path))["plan"])["version"]
        daemons = [
            name for name in fleet.processes if name.split("-")[0] in ("mdproxy", "mdreg", "mdconf")
        ]
        for name in daemons:
            os.kill(fleet.processes[name].handle.pid, signal.SIGKILL)
        for name in daemons:
            fleet.stop(name, signal.SIGKILL)
            fleet.start_daemon(*name.split("-"))
        fleet.wait_ready([*fleet.operator_addresses, *(f"{h}:7400" for h in fleet.application)])
    finally:
        stopping.set()
        thread.join()
    after = fleet.run_mdctl("get")
    assert (after["version"], after["manifest"]["load"]["omega"]) == (version, 0.87)
    assert {host for host, status in statuses if status == 200} == set(fleet.application)
    for host, path in zip(fleet.application, ("/balances/1", "/statements/1"), strict=True):
        assert http_get(f"{host}:7400", path)[0] == 200
    assert fleet.run_mdctl("audit")["wrong"] == []
