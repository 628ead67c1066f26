"""Real sockets: endpoints that answer anything, addresses that change hands, processes that stop."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import threading

import pytest
from fleets import small_fleet

from meadowdock.local_fleet.fleet import get

BIG = b'{"pad": "' + b"x" * (5 << 20) + b'"}'


def answer(body=b'{"good": true}', length=None, call=None, more=b"", status=b"200 OK", extra=b""):
    return b"".join(
        [
            b"HTTP/1.1 " + status + b"\r\ncontent-type: application/json\r\n",
            b"content-length: %d\r\n" % (len(body) if length is None else length),
            b"md-call: " + call + b"\r\n" if call else b"",
            extra + b"\r\n" + body + more,
        ]
    )


class Raw:
    """An endpoint over plain sockets: `reply(call id)` gives pieces of bytes, or None to close.
    Invariant: ran holds the ids of the calls whose request came whole."""

    def __init__(self, host, service, reply, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind((host, port))
        self.listener.listen()
        self.address = ":".join(map(str, self.listener.getsockname()))
        self.host, self.service, self.reply = host, service, reply
        self.ran, self.open = [], []
        self.over = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()
        self.facts = {"service": service, "address": self.address, "capacity": 4}
        self.token = self.tell("enrol", {**self.facts, "incarnation": os.urandom(4).hex()})["token"]
        threading.Thread(target=self.beat, daemon=True).start()

    def tell(self, what, facts):
        connection = http.client.HTTPConnection(self.host, 7400, 5, source_address=(self.host, 0))
        try:
            connection.request("POST", f"/md/{what}", json.dumps(facts))
            return json.load(connection.getresponse())
        finally:
            connection.close()

    def beat(self):
        while not self.over.wait(0.4):
            self.tell("beat", {"token": self.token, "capacity": 4})

    def accept(self):
        while True:
            try:
                taken, _ = self.listener.accept()
            except OSError:
                return
            self.open.append(taken)
            threading.Thread(target=self.serve, args=(taken,), daemon=True).start()

    def serve(self, taken):
        with taken:
            while call := self.request(taken):
                self.ran.append(call)
                try:
                    for data in self.reply(call):
                        if data is None:
                            return
                        taken.sendall(data)
                except OSError:
                    return

    def request(self, taken):
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                chunk = taken.recv(65536)
            except OSError:
                return None
            if not chunk:
                return None
            data += chunk
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        while len(rest) < int(lines.get(b"content-length", b"0")):
            rest += taken.recv(65536)
        return lines[b"md-call"]

    def leave(self):
        self.over.set()
        self.tell("leave", {"token": self.token})
        self.listener.close()
        for taken in self.open:
            taken.close()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    manifest = os.path.join(os.path.dirname(__file__), "sockets.json")
    with small_fleet(tmp_path_factory.mktemp("fleet"), manifest) as made:
        yield made


def ask(address, path, method="GET", body=None, headers=()):
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port or 7400), 8)
    try:
        connection.request(method, path, body, dict(headers))
        got = connection.getresponse()
        return got.status, got.getheader("md-verdict"), json.loads(got.read() or b"null")
    finally:
        connection.close()


def drips(call):
    yield answer(b" " * 4000 + b"{}", call=call)[:200]
    while True:
        yield b" "
        threading.Event().wait(0.05)


# what is sent -> the code the caller hears; None: it can't be told from a good one without `echo`
GARBAGE = {
    "half JSON": (lambda c: [answer(b'{"half": ', call=c)], "bad_answer"),
    "no JSON": (lambda c: [answer(b"<html>", call=c)], "bad_answer"),
    "nothing": (lambda c: [answer(b"", call=c)], "bad_answer"),
    "another call's": (lambda c: [answer(call=b"x-y-1")], "bad_answer"),
    "another incarnation's": (
        lambda c: [answer(call=c, extra=b"md-incarnation: other\r\n")],
        "bad_answer",
    ),
    "too short for its length": (lambda c: [answer(length=99, call=c), None], "lost"),
    "longer than its length": (lambda c: [answer(b"12345", length=2, call=c)], "lost"),
    "closed at once": (lambda c: [None], "lost"),
    "closed in the head": (lambda c: [answer(call=c)[:30], None], "lost"),
    "a broken head": (lambda c: [b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n{}"], "lost"),
    "two lengths": (
        lambda c: [answer(call=c, extra=b"content-length: 3\r\n")],
        "lost",
    ),
    "no length": (
        lambda c: [b"HTTP/1.1 200 OK\r\nmd-call: " + c + b"\r\n\r\n{}", None],
        "bad_answer",
    ),
    "no HTTP": (lambda c: [b"\x00\xff" * 40], "lost"),
    "in slow drips": (drips, "no_answer"),
    "oversized": (lambda c: [answer(BIG, call=c)], "lost"),
    "encoded": (lambda c: [answer(call=c, extra=b"content-encoding: gzip\r\n")], "bad_answer"),
}


@pytest.mark.parametrize("service", ["odd", "plain"])
def test_garbage_is_never_passed_on_and_spoils_no_later_answer(fleet, service):
    host = next(iter(fleet.application))
    current = []
    endpoint = Raw(host, service, lambda call: current[0](call))
    try:
        for name, (reply, code) in GARBAGE.items():
            current[:] = [reply]
            before = len(endpoint.ran)
            status, verdict, told = ask(host, f"/{service}/1", "POST", b"{}")
            assert len(endpoint.ran) == before + 1, name  # run-once: not sent again
            assert (told.get("code"), verdict) == (code, "may-have-run"), name
            assert status >= 500, name
            current[:] = [lambda call: [answer(b'{"own": "%s"}' % call, call=call)]]
            status, verdict, told = ask(host, f"/{service}/2", "POST", b"{}")
            own = endpoint.ran[-1].decode()
            assert (status, verdict, told) == (200, "ran", {"own": own}), name
    finally:
        endpoint.leave()


@pytest.mark.parametrize("service", ["odd", "plain"])
def test_a_whole_second_answer_behind_the_first_is_given_to_nobody(fleet, service):
    """The next caller on that connection would have got it."""
    host = next(iter(fleet.application))

    def twice(call):
        own = answer(b'{"own": "%s"}' % call, call=call)
        return [own + answer(b'{"own": "nobody"}')]

    endpoint = Raw(host, service, twice)
    try:
        for _ in range(4):
            status, verdict, told = ask(host, f"/{service}/1", "POST", b"{}")
            assert (status, verdict, told["code"]) == (502, "may-have-run", "lost")
    finally:
        endpoint.leave()


def test_an_address_that_passes_to_another_service_with_connections_open(fleet):
    """The old process keeps its side open, as one that is just being replaced."""
    host = next(iter(fleet.application))

    def good(call):
        return [answer(b'{"own": "%s"}' % call, call=call)]

    old = Raw(host, "odd", good)
    new = None
    try:
        assert ask(host, "/odd/1", "POST", b"{}")[0] == 200  # leaves a connection that stays open
        old.over.set()  # it beats no more, and does not leave
        old.listener.shutdown(socket.SHUT_RDWR)  # close alone would not wake its thread
        old.listener.close()
        new = Raw(host, "plain", good, int(old.address.rpartition(":")[2]))
        status, verdict, told = ask(host, "/odd/1", "POST", b"{}")
        assert (status, verdict, told["code"]) == (503, "not-run", "home_gone")
        assert ask(host, "/plain/1", "POST", b"{}")[0] == 200
        assert (len(old.ran), len(new.ran)) == (1, 1)
        # and the old one may not speak for the address any more
        assert old.tell("beat", {"token": old.token, "capacity": 4})["code"] == "superseded"
    finally:
        (new or old).leave()


def keyed(fleet):
    found = set()
    for name in os.listdir(fleet.folder):
        if name.startswith("journal-"):
            with open(os.path.join(fleet.folder, name), encoding="utf-8") as file:
                found |= {json.loads(line)["key"] for line in file}
    return found


def test_calls_in_the_buffers_of_a_stopped_neighbour_do_not_run_when_it_goes_on(fleet):
    desk, paper = fleet.application
    fleet.wait_for_list(paper, "member-desk")
    pid = fleet.processes[f"mdproxy-{desk}"].handle.pid
    found = {}

    def call(key):
        found[key] = ask(paper, "/withdrawals", "POST", b"{}", {"md-key": key})

    call("buffer-first")
    assert found["buffer-first"][1] == "ran"
    os.kill(pid, signal.SIGSTOP)
    try:
        threads = [threading.Thread(target=call, args=(f"buffer-{n}",)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        os.kill(pid, signal.SIGCONT)
    assert {verdict for key, (_, verdict, _) in found.items()} >= {"may-have-run"}
    fleet.wait_ready([f"{desk}:7400"])
    fleet.wait_for_list(paper, "member-desk")
    call("buffer-last")  # over the same machine, after all that lay there
    assert found["buffer-last"][1] == "ran"
    ran = keyed(fleet)
    assert {"buffer-first", "buffer-last"} <= ran
    assert not {k for k, (_, verdict, _) in found.items() if verdict == "not-run"} & ran
    assert not {f"buffer-{n}" for n in range(8)} & ran  # nobody waits for them any more


def test_a_planned_stop_under_callers_that_never_look_at_ready(fleet):
    """They keep their connections: they are told to close them, and no call that was taken is
    dropped; what comes after the door is closed was surely not sent, or finds no listener."""
    desk = next(iter(fleet.application))
    name = f"mdproxy-{desk}"
    found, told_to_close = [], threading.Event()
    gone = threading.Event()

    def caller():
        connection = None
        while not gone.is_set():
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(desk, 7400, 8)
                    connection.connect()
            except OSError:
                return  # nobody listens any more
            try:
                connection.request("GET", "/balances/1")
                got = connection.getresponse()
                found.append((got.status, got.getheader("md-verdict"), json.loads(got.read())))
                if (got.getheader("connection") or "").lower() == "close":
                    told_to_close.set()
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException) as cause:
                found.append((0, repr(cause), None))
                connection.close()
                connection = None

    threads = [threading.Thread(target=caller) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        while len(found) < 40:
            threads[0].join(0.01)
        status, _ = fleet.stop(name)  # killed, so not 0, if it takes too long
    finally:
        gone.set()
    for thread in threads:
        thread.join()
    assert status == 0
    assert told_to_close.is_set()
    lost = [f for f in found if f[0] == 0]
    assert lost == [], (len(lost), len(found))
    fleet.start_daemon("mdproxy", desk)
    fleet.wait_ready([f"{desk}:7400"])


def test_kill_9_of_everything_under_load_then_the_day_ends_as_it_was_accepted(fleet, tmp_path):
    over = threading.Event()
    served = []

    def caller():
        while not over.is_set():
            for host, path in zip(fleet.application, ("/balances/1", "/statements/1"), strict=True):
                served.append((host, get(f"{host}:7400", path)[0]))

    thread = threading.Thread(target=caller)
    thread.start()
    try:
        facts = fleet.ctl("get")
        facts["manifest"]["load"]["omega"] = 0.87
        path = tmp_path / "m.json"
        path.write_text(json.dumps(facts["manifest"]))
        version = fleet.ctl("confirm", fleet.ctl("plan", str(path))["plan"])["version"]
        daemons = [n for n in fleet.processes if n.split("-")[0] in ("mdproxy", "mdreg", "mdconf")]
        for name in daemons:
            os.kill(fleet.processes[name].handle.pid, signal.SIGKILL)
        for name in daemons:
            fleet.stop(name, signal.SIGKILL)
            fleet.start_daemon(*name.split("-"))
        fleet.wait_ready([*fleet.conf_http, *(f"{h}:7400" for h in fleet.application)])
    finally:
        over.set()
        thread.join()
    read = fleet.ctl("get")
    assert (read["version"], read["manifest"]["load"]["omega"]) == (version, 0.87)
    assert {host for host, status in served if status == 200} == set(fleet.application)
    for host, path in zip(fleet.application, ("/balances/1", "/statements/1"), strict=True):
        assert get(f"{host}:7400", path)[0] == 200
    assert fleet.ctl("audit")["wrong"] == []
