"""A deployment on loopback: the stand-in of the platform, one group, and proxies as processes."""

import itertools
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import gevent
from gevent import socket

from bench.processes import Process, Processes, free_ports, own_host, wait_until
from siskindale.models.address import Address
from standins.deployment.group import Instance, TargetGroup
from standins.deployment.store import PlatformStandin

GROUP = "g1"
DATABASE = "db1"
# A loaded machine may take this long where the program takes milliseconds.
PATIENCE_S = 20.0


@attrs.frozen
class Answer:
    """A reply as the client sees it."""

    rows: tuple[bytes, ...]
    receipt: bytes | None
    error: bytes | None
    state: bytes
    position: bytes


class Client:
    """A client's session."""

    def __init__(self, address: Address, database: str = DATABASE) -> None:
        self._ids = itertools.count(1)
        self._socket = socket.create_connection((address.host, address.port), PATIENCE_S)
        self._file = self._socket.makefile("rb")
        self._socket.sendall(f"START {database} test\r\n".encode())
        self.greeting = self._file.readline()

    def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self._socket.sendall(data)

    def query(self, text: str, request_id: str = "") -> Answer:
        """Runs a statement."""
        number = request_id or f"q{id(self):x}-{next(self._ids)}"
        self.send(f"QUERY {number} {text}\r\n".encode())
        return self.answer()

    def answer(self) -> Answer:
        """Reads a whole reply; raises `ConnectionError` at the end of the stream."""
        rows, receipt, error = [], None, None
        while True:
            line = self._file.readline()
            if not line:
                raise ConnectionError("closed")
            word, _, rest = line.rstrip(b"\r\n").partition(b" ")
            if word == b"READY":
                state, position = rest.split(b" ")
                return Answer(tuple(rows), receipt, error, state, position)
            if word == b"ROW":
                rows.append(rest)
            elif word == b"DONE":
                receipt = rest
            else:
                error = rest.split(b" ")[0]

    def read_line(self) -> bytes:
        """Reads one line, empty at the end of the stream."""
        return self._file.readline()

    def close(self) -> None:
        """Closes without a word."""
        self._file.close()
        self._socket.close()


class Deployment:
    """Platform, three targets of one group, and proxies."""

    def __init__(self, processes: Processes, directory: Path) -> None:
        self._processes = processes
        self._directory = directory
        # Each proxy has an address of its own, because the port of its metrics is fixed.
        rest = own_host().split(".", 2)[2]
        self._hosts = (f"127.{n}.{rest}" for n in itertools.count(100))
        self.group = TargetGroup(GROUP)
        self.platform = PlatformStandin(free_ports(1)[0], lambda _, t: self.group.promote(t))
        self.platform.server.start()
        self._sequence = itertools.count(1)
        for index, address in enumerate(free_ports(3)):
            self.group.add(f"t{index}", address, primary=index == 0, max_connections=16)
        self.register_all()
        self.configure(1)

    def register_all(self) -> None:
        """Writes the registration of each target that runs."""
        for instance in self.group.instances.values():
            if instance.server is not None:
                self.register(instance)

    def register(self, instance: Instance, state: str = "ready") -> None:
        """Writes a target's registration."""
        value = {
            "service": GROUP,
            "address": str(instance.address),
            "zone": instance.id,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if instance.primary else "replica",
            "seq": next(self._sequence),
            "born": 1,
        }
        self.platform.put("servers", instance.id, value)

    def configure(self, version: int, **routes: dict[str, Any] | None) -> None:
        """Writes a configuration with the given routes, or with one for each consistency."""
        route = {
            "service": GROUP,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "priority": 1,
            "max_staleness_ms": 1500,
        }
        known: dict[str, Any] = {
            DATABASE: {"kind": "primary"},
            "own": {"kind": "read_own"},
            "bounded": {"kind": "bounded_staleness"},
            **routes,
        }
        value = {
            "version": version,
            "routes": [
                {**route, "name": f"r-{host}", "host": host, **fields}
                for host, fields in known.items()
                if fields is not None
            ],
            "services": [{"name": GROUP, "max_conns": 16, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3000},
        }
        self.platform.put("op", "config", value)

    def path(self, name: str) -> Path:
        """Path of a proxy's settings."""
        return self._directory / f"{name}.json"

    def settings_file(self, name: str) -> tuple[Path, Address, Address]:
        """Writes the settings of a proxy; returns them and the addresses for clients and probes."""
        clients, readiness, peers = free_ports(3, next(self._hosts))
        path = self.path(name)
        platform = "{}:{}".format(*self.platform.server.address)
        settings = {
            "vm": name,
            "failure_domain": "t0",
            "clients": str(clients),
            "readiness": str(readiness),
            "peers": str(peers),
            "store": platform,
            "promotions": platform,
            "seeds": [str(peers)],
            "grace_s": 4,
        }
        path.write_text(json.dumps(settings, indent=1))
        return path, clients, readiness

    def peers_address(self, name: str) -> str:
        """Address at which a proxy listens for its peers."""
        return str(json.loads(self.path(name).read_text())["peers"])

    def start_proxy(
        self, name: str = "vm1", ready: bool = True, seeds: Sequence[str] = ()
    ) -> "Proxy":
        """Starts a proxy, which knows the peers at `seeds`, and waits until it is ready."""
        path, *addresses = self.settings_file(name)
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, "seeds": [*seeds, *settings["seeds"]]}, indent=1))
        proxy = self.start_with(name, path, *addresses)
        if ready:
            wait_until(lambda: proxy.ready, PATIENCE_S, "proxy is ready")
        return proxy

    def start_with(self, name: str, path: Path, clients: Address, readiness: Address) -> "Proxy":
        """Starts a proxy with a settings file and waits until it listens."""
        process = self._processes.start(name, "siskindale.proxy", ["--settings", str(path)])
        self._processes.wait_accepting(name, clients)
        return Proxy(name, process, clients, readiness)


@attrs.frozen
class Proxy:
    """A running proxy."""

    name: str
    process: Process
    clients: Address
    readiness: Address

    @property
    def ready(self) -> bool:
        """Whether the platform would send clients."""
        try:
            with socket.create_connection((self.readiness.host, self.readiness.port), 5) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.0\r\n\r\n")
                return b" 200 " in sock.recv(1000).split(b"\r\n")[0]
        except ConnectionRefusedError:
            # The proxy listens for clients before it listens for probes.
            return False

    @property
    def log(self) -> str:
        """What the proxy has logged."""
        return self.process.log.read_text()

    def client(self, database: str = DATABASE) -> Client:
        """Opens a session."""
        return Client(self.clients, database)


def eventually(check: Any, what: str) -> Any:
    """Calls `check` until it returns something true, and returns that."""
    found: list[Any] = []

    def holds() -> bool:
        found[:] = [check()]
        return bool(found[0])

    wait_until(holds, PATIENCE_S, what)
    gevent.sleep(0)
    return found[0]
