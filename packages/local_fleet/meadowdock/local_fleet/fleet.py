"""Starts and stops a whole deployment. Ends only processes that it started."""

from __future__ import annotations

import http.client
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
import urllib.error
import urllib.request
from dataclasses import dataclass, field

HERE = os.path.join(os.path.dirname(__file__), "topologies")


# The package that is run for each program's name.
PROGRAM_PACKAGES = {
    "mdproxy": "meadowdock.proxy",
    "mdreg": "meadowdock.registry",
    "mdconf": "meadowdock.config_store",
}

CORE_PORTS, PORTS = (7410, 7411, 7420, 7421), (7400, 7401, 8000)


class Taken(Exception):
    def __init__(self, addresses):
        first = ", ".join(addresses[:3]) + (" ..." if len(addresses) > 3 else "")
        super().__init__(f"somebody listens on {len(addresses)} of its addresses: {first}")


@dataclass
class Process:
    name: str
    argv: list
    handle: subprocess.Popen
    log: str


@dataclass
class Fleet:
    """Invariant: every process under way that this fleet started is in processes."""

    topology: dict
    folder: str
    processes: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)

    # ------------------------------------------------------------ facts

    @property
    def core(self):
        return list(self.topology["core"])

    @property
    def application(self):
        return self.topology["application"]

    @property
    def conf_http(self):
        return [f"{host}:7420" for host in self.core]

    def hall(self, host):
        return self.topology["core"].get(host) or self.application[host][0]

    def hosts_of(self, service):
        return [host for host, facts in self.application.items() if facts[1] == service]

    # ------------------------------------------------------------ processes

    def spawn(self, name, argv, stdout=None):
        log = os.path.join(self.folder, "logs", f"{name}.log")
        with open(log, "a", encoding="utf-8") as out:
            handle = subprocess.Popen(
                [sys.executable, "-m", *argv],
                stdin=subprocess.DEVNULL,
                stdout=stdout or out,
                stderr=out,
                start_new_session=True,
            )
        self.processes[name] = Process(name, argv, handle, log)
        return handle

    def boot(self, role, host):
        lines = self.boot_lines(host, [f"{h}:7411" for h in self.core[:3]])
        if role == "mdconf":
            lines += [
                f"data = {json.dumps(os.path.join(self.folder, 'data', host))}",
                f"members = {json.dumps([f'{h}:7421' for h in self.core])}",
            ]
        return self.write_boot(role, host, lines)

    def boot_lines(self, host, seeds):
        """What the boot files of all roles say."""
        return [
            f'host = "{host}"',
            f'hall = "{self.hall(host)}"',
            f"seeds = {json.dumps(seeds)}",
            f"fleet_key_file = {json.dumps(os.path.join(self.folder, 'fleet.key'))}",
            f"nodes_expected = {len(self.application)}",
        ]

    def write_boot(self, role, host, lines):
        path = os.path.join(self.folder, "boot", f"{role}-{host}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_daemon(self, role, host):
        return self.spawn(
            f"{role}-{host}", [PROGRAM_PACKAGES[role], "run", "--boot", self.boot(role, host)]
        )

    def start_endpoint(self, host, port=8000):
        _, service, capacity, mean_us = self.application[host]
        name = f"endpoint-{host}-{port}"
        spec = {
            "service": service,
            "address": f"{host}:{port}",
            "proxy": f"{host}:7400",
            "incarnation": secrets.token_hex(6),
            "capacity": capacity,
            "mean_us": mean_us,
            "seed": f"{self.topology['name']}{host}{port}",
            "journal": os.path.join(self.folder, f"journal-{host}-{port}.jsonl"),
            "record": os.path.join(self.folder, f"record-{host}"),
        }
        handle = self.spawn(
            name, ["meadowdock.local_fleet.standin", json.dumps(spec)], subprocess.PIPE
        )
        return name, handle

    def taken(self):
        """Addresses of this deployment that somebody listens on already."""
        ports = {**dict.fromkeys(self.core, CORE_PORTS), **dict.fromkeys(self.application, PORTS)}
        found = []
        for host, wanted in ports.items():
            for port in wanted:
                try:
                    socket.create_server((host, port)).close()
                except OSError:
                    found.append(f"{host}:{port}")
        return found

    def up(self):
        taken = self.taken()
        if taken:  # told before anything is started, or removed from the folder
            raise Taken(taken)
        shutil.rmtree(self.folder, ignore_errors=True)
        for part in ("boot", "logs", "data", "again"):
            os.makedirs(os.path.join(self.folder, part))
        with open(os.path.join(self.folder, "fleet.key"), "w", encoding="ascii") as key:
            key.write(secrets.token_hex(32))
        os.chmod(key.name, 0o600)
        for host in self.core:
            self.start_daemon("mdreg", host)
            self.start_daemon("mdconf", host)
        for host in self.application:
            self.start_daemon("mdproxy", host)
        self.wait_ready(self.conf_http)

    def configure(self, manifest=None):
        """Plan and confirm by mdctl, as an operator would; gives the version."""
        manifest = manifest or os.path.join(HERE, self.topology["manifest"])
        planned = self.ctl("plan", manifest)
        if planned["plan"] is None:
            return planned["base"]
        return self.ctl("confirm", planned["plan"])["version"]

    def ctl(self, *words, given=None):
        found = subprocess.run(
            [sys.executable, "-m", "meadowdock.cli", f"--core={','.join(self.conf_http)}", *words],
            input=given,
            capture_output=True,
            text=True,
            check=False,
        )
        if found.returncode:
            raise RuntimeError(f"mdctl {words}: {found.stdout}{found.stderr}")
        return json.loads(found.stdout)

    def endpoints_up(self):
        started = {host: self.start_endpoint(host) for host in self.application}
        for host, (_, handle) in started.items():
            self.tokens[host] = json.loads(handle.stdout.readline())["token"]

    def wait_ready(self, addresses, seconds=30):
        until = time.monotonic() + seconds
        waiting = set(addresses)
        while waiting:
            waiting = {a for a in waiting if ready(a) is not True}
            if time.monotonic() > until:
                raise TimeoutError(f"not ready: {sorted(waiting)}")
            if waiting:
                time.sleep(0.1)

    def wait_for_list(self, host, service, seconds=15):
        """Until the proxy's load list names a node for the service."""
        until = time.monotonic() + seconds
        while service not in (self.proxy_status(host) or {"listed": {}})["listed"]:
            if time.monotonic() > until:
                raise TimeoutError(f"{host} has no {service} in its list")
            time.sleep(0.1)

    def start_all(self, manifest=None):
        """Everything up, configured and serving."""
        self.up()
        version = self.configure(manifest)
        self.wait_ready([f"{host}:7400" for host in self.application])
        self.endpoints_up()
        self.note()
        return version

    def again(self):
        """Start again what a drill took out and asks back: a file by its name in FOLDER/again."""
        folder = os.path.join(self.folder, "again")
        for name in sorted(os.listdir(folder), reverse=True):  # daemons before their endpoints
            os.remove(os.path.join(folder, name))
            kind, host, *port = name.split("-")
            former = self.processes.pop(name)
            if former.handle.poll() is None:
                former.handle.kill()
            former.handle.wait()
            if kind == "endpoint":
                former.handle.stdout.close()
                _, handle = self.start_endpoint(host, int(port[0]))
                threading.Thread(target=self.learn_token, args=(host, handle), daemon=True).start()
            else:
                self.start_daemon(kind, host)
            self.note()

    def learn_token(self, host, handle):
        self.tokens[host] = json.loads(handle.stdout.readline() or '{"token": null}')["token"]
        self.note()

    def knobs(self, host, port=8000, **knobs):
        """Turn a stand-in endpoint's knobs."""
        body = json.dumps(knobs).encode()
        with urllib.request.urlopen(f"http://{host}:{port}/standin", body, timeout=5) as answer:
            return json.load(answer)

    def proxy_status(self, host):
        """What the proxy says to its own machine."""
        connection = http.client.HTTPConnection(host, 7400, 5, source_address=(host, 0))
        try:
            connection.request("GET", "/md/status")
            return json.load(connection.getresponse())
        except OSError:
            return None
        finally:
            connection.close()

    def note(self):
        facts = {
            "topology": self.topology["name"],
            "core": self.conf_http,
            "proxies": {h: f"{h}:7400" for h in self.application},
            "halls": {h: self.hall(h) for h in [*self.core, *self.application]},
            "mean_us": {h: facts[3] for h, facts in self.application.items()},
            "tokens": self.tokens,
            "processes": {
                name: {"pid": p.handle.pid, "argv": p.argv} for name, p in self.processes.items()
            },
        }
        path = os.path.join(self.folder, "fleet.json")
        with open(path + ".aside", "w", encoding="utf-8") as file:
            json.dump(facts, file, indent=1)
        os.rename(path + ".aside", path)

    def stop(self, name, how=signal.SIGTERM, wait=8):
        """Signal one process and wait for it; gives (exit status, seconds)."""
        process = self.processes.pop(name)
        begun = time.monotonic()
        process.handle.send_signal(how)
        try:
            status = process.handle.wait(wait)
        except subprocess.TimeoutExpired:
            process.handle.kill()
            status = process.handle.wait()
        if process.handle.stdout:
            process.handle.stdout.close()
        return status, time.monotonic() - begun

    def down(self):
        for process in self.processes.values():
            if process.handle.poll() is None:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
        until = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.handle.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.handle.kill()
                process.handle.wait()
        self.processes = {}

    # ------------------------------------------------------------ load

    def arrivals(self, rate_factor=1.0):
        """[stream, proxy, rate, token's host, others] for every stream at every machine where it begins;
        others serve its callers while the machine isn't ready."""
        return [
            [
                stream,
                f"{host}:7400",
                stream["rate"] * rate_factor / len(self.hosts_of(stream["at"])),
                host if "by" in stream else None,
                [f"{other}:7400" for other in self.hosts_of(stream["at"]) if other != host],
            ]
            for stream in self.topology["load"]
            for host in self.hosts_of(stream["at"])
        ]

    def start_callers(self, seconds, processes=4, rate_factor=1.0, surges=(), label="load"):
        arrivals = self.arrivals(rate_factor)
        handles = []
        for index in range(processes):
            spec = {
                "seed": f"{label}{index}",
                "seconds": seconds,
                "arrivals": arrivals[index::processes],
                "surges": list(surges),
                "facts": os.path.join(self.folder, "fleet.json"),
                "report": os.path.join(self.folder, f"{label}-{index}.report.json"),
            }
            path = os.path.join(self.folder, f"{label}-{index}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(spec, file)
            handles.append(self.spawn(f"{label}-{index}", ["meadowdock.local_fleet.caller", path]))
        return handles

    def rows(self, label="load"):
        found = []
        for name in sorted(os.listdir(self.folder)):
            if name.startswith(f"{label}-") and name.endswith(".report.json"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as file:
                    found += json.load(file)
        return found


def load_topology(name):
    """A shipped topology by name, or a file."""
    path = name if os.path.exists(name) else os.path.join(HERE, f"{name}.toml")
    with open(path, "rb") as file:
        return tomllib.load(file)


def get(address, path):
    """(status, facts) by plain HTTP, or (0, None)."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as refused:
        with refused:
            return refused.code, json.load(refused)
    except (OSError, ValueError):
        return 0, None


def ready(address):
    status, facts = get(address, "/ready")
    return True if status == 200 else (facts or {}).get("why", "no answer")
