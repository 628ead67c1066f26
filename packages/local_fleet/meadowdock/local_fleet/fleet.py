"""Start and stop a whole deployment on one machine. Only processes that it started are ended."""

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

TOPOLOGIES_FOLDER = os.path.join(os.path.dirname(__file__), "topologies")

# The Python package that is run for each program.
PROGRAM_PACKAGES = {
    "mdproxy": "meadowdock.proxy",
    "mdreg": "meadowdock.registry",
    "mdconf": "meadowdock.config_store",
}

CORE_PORTS, APPLICATION_PORTS = (7410, 7411, 7420, 7421), (7400, 7401, 8000)


class AddressesInUse(Exception):
    """Another process listens on addresses of the deployment."""

    def __init__(self, addresses):
        first = ", ".join(addresses[:3]) + (" ..." if len(addresses) > 3 else "")
        super().__init__(f"{len(addresses)} addresses of the deployment are in use: {first}")


@dataclass
class Process:
    """A process that the fleet started."""

    name: str
    argv: list
    handle: subprocess.Popen
    log: str


@dataclass
class Fleet:
    """A deployment of daemons and stand-in endpoints.

    Invariant: processes holds every running process that this fleet started, by its name. tokens
    holds the token that the endpoint of each host got when it enrolled.
    """

    topology: dict
    folder: str
    processes: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)

    @property
    def core(self):
        """The hosts of the core machines."""
        return list(self.topology["core"])

    @property
    def application(self):
        """Map each application host to its [zone, service, capacity, mean service time in us]."""
        return self.topology["application"]

    @property
    def operator_addresses(self):
        """The operator addresses of all mdconf processes."""
        return [f"{host}:7420" for host in self.core]

    def zone_of(self, host):
        """Return the zone of a host."""
        return self.topology["core"].get(host) or self.application[host][0]

    def hosts_of(self, service):
        """Return the hosts that have an endpoint of a service."""
        return [host for host, entry in self.application.items() if entry[1] == service]

    def spawn(self, name, argv, stdout=None):
        """Start a Python module as a process of the fleet and return its handle."""
        log = os.path.join(self.folder, "logs", f"{name}.log")
        with open(log, "a", encoding="utf-8") as out:
            return self.spawn_to(name, argv, stdout or out, out)

    def spawn_to(self, name, argv, stdout, stderr):
        """Start a Python module as a process of the fleet with these outputs; return its handle."""
        log = os.path.join(self.folder, "logs", f"{name}.log")
        handle = subprocess.Popen(
            [sys.executable, "-m", *argv],
            stdin=subprocess.DEVNULL,
            stdout=stdout,
            stderr=stderr,
            start_new_session=True,
        )
        self.processes[name] = Process(name, argv, handle, log)
        return handle

    def write_boot_file(self, role, host):
        """Write the boot file of a daemon and return its path."""
        lines = self.common_boot_lines(host, [f"{h}:7411" for h in self.core[:3]])
        if role == "mdconf":
            lines += [
                f"data = {json.dumps(os.path.join(self.folder, 'data', host))}",
                f"members = {json.dumps([f'{h}:7421' for h in self.core])}",
            ]
        return self.save_boot_file(role, host, lines)

    def common_boot_lines(self, host, seeds):
        """Return the lines that the boot files of all roles have in common."""
        return [
            f'host = "{host}"',
            f'hall = "{self.zone_of(host)}"',
            f"seeds = {json.dumps(seeds)}",
            f"fleet_key_file = {json.dumps(os.path.join(self.folder, 'fleet.key'))}",
            f"nodes_expected = {len(self.application)}",
        ]

    def save_boot_file(self, role, host, lines):
        """Write the lines of a boot file and return its path."""
        path = os.path.join(self.folder, "boot", f"{role}-{host}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_daemon(self, role, host):
        """Start the daemon of a role on a host."""
        return self.spawn(
            f"{role}-{host}",
            [PROGRAM_PACKAGES[role], "run", "--boot", self.write_boot_file(role, host)],
        )

    def start_endpoint(self, host, port=8000):
        """Start a stand-in endpoint and return its name and handle.

        It prints its token as soon as it has enrolled.
        """
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

    def addresses_in_use(self):
        """Return the addresses of this deployment that another process listens on."""
        ports_by_host = {
            **dict.fromkeys(self.core, CORE_PORTS),
            **dict.fromkeys(self.application, APPLICATION_PORTS),
        }
        in_use = []
        for host, ports in ports_by_host.items():
            for port in ports:
                try:
                    socket.create_server((host, port)).close()
                except OSError:
                    in_use.append(f"{host}:{port}")
        return in_use

    def start_daemons(self):
        """Start all daemons with an empty folder and wait until the core is ready.

        :raises AddressesInUse: nothing was started, and the folder was not touched.
        """
        self.prepare_folder()
        for host in self.core:
            self.start_daemon("mdreg", host)
            self.start_daemon("mdconf", host)
        for host in self.application:
            self.start_daemon("mdproxy", host)
        self.wait_ready(self.operator_addresses)

    def prepare_folder(self):
        """Make an empty folder for the files of all processes.

        :raises AddressesInUse: the folder was not touched.
        """
        in_use = self.addresses_in_use()
        if in_use:
            raise AddressesInUse(in_use)
        shutil.rmtree(self.folder, ignore_errors=True)
        for part in ("boot", "logs", "data", "again"):
            os.makedirs(os.path.join(self.folder, part))
        with open(os.path.join(self.folder, "fleet.key"), "w", encoding="ascii") as key:
            key.write(secrets.token_hex(32))
        os.chmod(key.name, 0o600)

    def configure(self, manifest=None):
        """Plan and confirm a manifest with mdctl, as an operator does, and return its version."""
        manifest = manifest or os.path.join(TOPOLOGIES_FOLDER, self.topology["manifest"])
        planned = self.run_mdctl("plan", manifest)
        if planned["plan"] is None:
            return planned["base"]
        return self.run_mdctl("confirm", planned["plan"])["version"]

    def run_mdctl(self, *arguments, stdin=None):
        """Run mdctl and return the JSON value that it prints.

        :raises RuntimeError: mdctl ended with another exit status than 0.
        """
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "meadowdock.cli",
                f"--core={','.join(self.operator_addresses)}",
                *arguments,
            ],
            input=stdin,
            capture_output=True,
            text=True,
            check=False,
        )
        if process.returncode:
            raise RuntimeError(
                f"mdctl {arguments} ended with status {process.returncode}: "
                f"{process.stdout}{process.stderr}"
            )
        return json.loads(process.stdout)

    def start_endpoints(self):
        """Start an endpoint on each application machine and wait until all have enrolled."""
        started = {host: self.start_endpoint(host) for host in self.application}
        for host, (_, handle) in started.items():
            self.tokens[host] = json.loads(handle.stdout.readline())["token"]

    def wait_ready(self, addresses, seconds=30):
        """Wait until the processes at all addresses report that they are ready.

        :raises TimeoutError: one of them is not ready in time.
        """
        deadline = time.monotonic() + seconds
        unready = set(addresses)
        while unready:
            unready = {address for address in unready if readiness(address) is not True}
            if time.monotonic() > deadline:
                raise TimeoutError(f"not ready within {seconds} s: {sorted(unready)}")
            if unready:
                time.sleep(0.1)

    def wait_until_listed(self, host, service, seconds=15):
        """Wait until the load list of a proxy names a node for the service.

        :raises TimeoutError: it doesn't in time.
        """
        deadline = time.monotonic() + seconds
        while service not in (self.proxy_status(host) or {"listed": {}})["listed"]:
            if time.monotonic() > deadline:
                raise TimeoutError(f"no {service} in the load list of {host} within {seconds} s")
            time.sleep(0.1)

    def start_all(self, manifest=None):
        """Start daemons and endpoints with a manifest in force, and return its version."""
        self.start_daemons()
        version = self.configure(manifest)
        self.wait_ready([f"{host}:7400" for host in self.application])
        self.start_endpoints()
        self.write_description()
        return version

    def restart_requested(self):
        """Restart the processes that a drill stopped and requests again.

        It requests a process with a file of its name in the folder "again".
        """
        folder = os.path.join(self.folder, "again")
        for name in sorted(os.listdir(folder), reverse=True):  # daemons before their endpoints
            os.remove(os.path.join(folder, name))
            kind, host, *port = name.split("-")
            stopped = self.processes.pop(name)
            if stopped.handle.poll() is None:
                stopped.handle.kill()
            stopped.handle.wait()
            if kind == "endpoint":
                stopped.handle.stdout.close()
                _, handle = self.start_endpoint(host, int(port[0]))
                threading.Thread(
                    target=self.publish_new_token, args=(host, handle), daemon=True
                ).start()
            else:
                self.start_daemon(kind, host)
            self.write_description()

    def publish_new_token(self, host, handle):
        """Wait for the token of a restarted endpoint and publish it in fleet.json."""
        self.tokens[host] = json.loads(handle.stdout.readline() or '{"token": null}')["token"]
        self.write_description()

    def set_knobs(self, host, port=8000, **knobs):
        """Set knobs of a stand-in endpoint and return all of its knobs."""
        body = json.dumps(knobs).encode()
        with urllib.request.urlopen(f"http://{host}:{port}/standin", body, timeout=5) as response:
            return json.load(response)

    def proxy_status(self, host):
        """Return the status that a proxy reports to its own machine; None without a connection."""
        connection = http.client.HTTPConnection(host, 7400, 5, source_address=(host, 0))
        try:
            connection.request("GET", "/md/status")
            return json.load(connection.getresponse())
        except OSError:
            return None
        finally:
            connection.close()

    def write_description(self):
        """Replace fleet.json, which describes the fleet to callers and drills, atomically."""
        description = {
            "topology": self.topology["name"],
            "core": self.operator_addresses,
            "proxies": {h: f"{h}:7400" for h in self.application},
            "halls": {h: self.zone_of(h) for h in [*self.core, *self.application]},
            "mean_us": {h: entry[3] for h, entry in self.application.items()},
            "tokens": self.tokens,
            "processes": {
                name: {"pid": p.handle.pid, "argv": p.argv} for name, p in self.processes.items()
            },
        }
        path = os.path.join(self.folder, "fleet.json")
        with open(path + ".aside", "w", encoding="utf-8") as file:
            json.dump(description, file, indent=1)
        os.rename(path + ".aside", path)

    def stop(self, name, signal_number=signal.SIGTERM, timeout_s=8):
        """Send a signal to a process, wait for its end, and return (exit status, seconds).

        It is killed if it doesn't end in time.
        """
        process = self.processes.pop(name)
        started = time.monotonic()
        process.handle.send_signal(signal_number)
        try:
            status = process.handle.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.handle.kill()
            status = process.handle.wait()
        if process.handle.stdout:
            process.handle.stdout.close()
        return status, time.monotonic() - started

    def stop_all(self):
        """Stop all processes together, and kill those that don't end within eight seconds."""
        for process in self.processes.values():
            if process.handle.poll() is None:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
        deadline = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.handle.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.handle.kill()
                process.handle.wait()
        self.processes = {}

    def caller_streams(self, rate_factor=1.0):
        """Return [stream, proxy, rate, token's host, others] per stream and machine of its callers.

        others are the proxies that its callers use while their own proxy isn't ready.
        """
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
        """Start processes of callers that share the load, and return their handles."""
        arrivals = self.caller_streams(rate_factor)
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

    def read_report_rows(self, label="load"):
        """Return the rows of all callers' reports."""
        rows = []
        for name in sorted(os.listdir(self.folder)):
            if name.startswith(f"{label}-") and name.endswith(".report.json"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as file:
                    rows += json.load(file)
        return rows


def load_topology(name):
    """Read a topology from a file, or one of the shipped ones by its name."""
    path = name if os.path.exists(name) else os.path.join(TOPOLOGIES_FOLDER, f"{name}.toml")
    with open(path, "rb") as file:
        return tomllib.load(file)


def http_get(address, path):
    """Send a GET request and return (status, JSON value), or (0, None) without a valid response."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.load(error)
    except (OSError, ValueError):
        return 0, None


def readiness(address):
    """Return True if the process at an address is ready, or else the reason why it isn't."""
    status, body = http_get(address, "/ready")
    return True if status == 200 else (body or {}).get("why", "no answer")
