"""Deployment on loopback: stand-in of the platform, one group, and proxies as processes."""

import itertools
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import gevent
from gevent import socket

from bench.processes import Process, Processes, free_addresses, loopback_host, wait_until
from siskindale.models.address import Address
from standins.deployment.group import TargetGroup, TargetStandin
from standins.deployment.store import PlatformStandin

GROUP = "g1"
DATABASE = "db1"
# A loaded machine may take this long for what otherwise takes milliseconds.
WAIT_TIMEOUT_S = 20.0


@attrs.frozen
class ClientReply:
    """A reply as a client receives it."""

    rows: tuple[bytes, ...]
    receipt: bytes | None
    error: bytes | None
    state: bytes
    position: bytes


class Client:
    """A session of a client."""

    def __init__(
        self,
        address: Address,
        database: str = DATABASE,
        key: str = "test",
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> None:
        self._ids = itertools.count(1)
        self._socket = socket.create_connection((address.host, address.port), timeout_s)
        self._file = self._socket.makefile("rb")
        self._socket.sendall(f"START {database} {key}\r\n".encode())
        self.greeting = self._file.readline()

    @property
    def socket(self) -> socket.socket:
        """Connection of the session."""
        return self._socket

    def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self._socket.sendall(data)

    def query(self, text: str, request_id: str = "") -> ClientReply:
        """Runs a statement."""
        query_id = request_id or f"q{id(self):x}-{next(self._ids)}"
        self.send(f"QUERY {query_id} {text}\r\n".encode())
        return self.read_reply()

    def read_reply(self) -> ClientReply:
        """Reads a complete reply; raises `ConnectionError` at the end of the stream."""
        rows: list[bytes] = []
        receipt: bytes | None = None
        error: bytes | None = None
        while True:
            line = self._file.readline()
            if not line:
                raise ConnectionError("the proxy closed the connection")
            word, _, rest = line.rstrip(b"\r\n").partition(b" ")
            if word == b"READY":
                state, position = rest.split(b" ")
                return ClientReply(tuple(rows), receipt, error, state, position)
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
        """Closes the connection without sending CLOSE."""
        self._file.close()
        self._socket.close()


class Deployment:
    """Stand-in of the platform, three targets of one group, and proxies."""

    def __init__(self, processes: Processes, directory: Path) -> None:
        self._processes = processes
        self._directory = directory
        # Each proxy gets its own IP address, because the port of its metrics is fixed.
        host_suffix = loopback_host().split(".", 2)[2]
        self._hosts = (f"127.{n}.{host_suffix}" for n in itertools.count(100))
        self.group = TargetGroup(GROUP)
        self.transaction_idle_ms = 3000
        self.max_connections = 16
        self.workspaces: list[dict[str, Any]] | None = None
        self.settings: dict[str, Any] = {}
        self.groups = {GROUP: self.group}
        self.platform = PlatformStandin(
            free_addresses(1)[0], lambda group, target: self.groups[group].promote(target)
        )
        self.platform.server.start()
        self._sequence = itertools.count(1)
        for index, address in enumerate(free_addresses(3)):
            self.group.add(f"t{index}", address, primary=index == 0, max_connections=16)
        self.register_all()
        self.configure(1)

    def add_group(self, name: str) -> TargetGroup:
        """Adds a group of three targets, which the next configuration lists."""
        group = self.groups[name] = TargetGroup(name)
        for index, address in enumerate(free_addresses(3)):
            group.add(f"{name}-t{index}", address, primary=index == 0, max_connections=16)
        self.register_all()
        return group

    def register_all(self) -> None:
        """Writes the registration of each running target."""
        for group in self.groups.values():
            for target in group.targets.values():
                if target.server is not None:
                    self.register(target)

    def register(self, target: TargetStandin, state: str = "ready") -> None:
        """Writes a target's registration."""
        value = {
            "service": target.group.name,
            "address": str(target.address),
            "zone": target.id,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if target.primary else "replica",
            "seq": next(self._sequence),
            "born": 1,
        }
        self.platform.put("servers", target.id, value)

    def configure(self, version: int, **routes: dict[str, Any] | None) -> None:
        """Writes a configuration with a route for each consistency, changed by `routes`."""
        route = {
            "service": GROUP,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "priority": 1,
            "max_staleness_ms": 1500,
        }
        routes_by_database: dict[str, Any] = {
            DATABASE: {"kind": "primary"},
            "own": {"kind": "read_own"},
            "bounded": {"kind": "bounded_staleness"},
            **routes,
        }
        value = {
            "version": version,
            "routes": [
                {**route, "name": f"r-{host}", "host": host, **fields}
                for host, fields in routes_by_database.items()
                if fields is not None
            ],
            "services": [
                {
                    "name": group.name,
                    "max_conns": self.max_connections,
                    "sync_replicas": group.synchronous_replicas,
                }
                for group in self.groups.values()
            ],
            "limits": {"tx_idle_ms": self.transaction_idle_ms},
        }
        if self.workspaces is not None:
            value["tenants"] = self.workspaces
        self.platform.put("op", "config", value)

    def path(self, name: str) -> Path:
        """Returns the path of a proxy's settings file."""
        return self._directory / f"{name}.json"

    def write_settings(self, name: str) -> tuple[Path, Address, Address]:
        """Writes a proxy's settings; returns their path and its client and readiness addresses."""
        clients, readiness, peers, forwarding = free_addresses(4, next(self._hosts))
        path = self.path(name)
        platform = "{}:{}".format(*self.platform.server.address)
        settings = {
            "vm": name,
            "failure_domain": "t0",
            "clients": str(clients),
            "readiness": str(readiness),
            "peers": str(peers),
            "forwarding": str(forwarding),
            "store": platform,
            "promotions": platform,
            "seeds": [str(peers)],
            "grace_s": 4,
            **self.settings,
        }
        path.write_text(json.dumps(settings, indent=1))
        return path, clients, readiness

    def peers_address(self, name: str) -> str:
        """Returns the address at which a proxy listens for its peers."""
        return str(json.loads(self.path(name).read_text())["peers"])

    def start_proxy(
        self, name: str = "vm1", ready: bool = True, seeds: Sequence[str] = ()
    ) -> "Proxy":
        """Starts a proxy with peers at `seeds` and, with `ready`, waits until it is ready."""
        path, *addresses = self.write_settings(name)
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, "seeds": [*seeds, *settings["seeds"]]}, indent=1))
        proxy = self.start_with_settings(name, path, *addresses)
        if ready:
            wait_until(lambda: proxy.ready, WAIT_TIMEOUT_S, "proxy is ready")
        return proxy

    def restart_proxy(self, name: str) -> None:
        """Starts the process of a proxy again, with the settings that it had."""
        self._processes.restart(name)

    def start_with_settings(
        self, name: str, path: Path, clients: Address, readiness: Address
    ) -> "Proxy":
        """Starts a proxy with a settings file and waits until it accepts connections."""
        process = self._processes.start(name, "siskindale.proxy", ["--settings", str(path)])
        self._processes.wait_accepting(name, clients)
        return Proxy(name, process, clients, readiness)


@attrs.frozen
class Proxy:
    """A proxy that runs as a process."""

    name: str
    process: Process
    clients: Address
    readiness: Address

    @property
    def ready(self) -> bool:
        """Whether the readiness probe succeeds, so that the platform would send clients."""
        try:
            with socket.create_connection((self.readiness.host, self.readiness.port), 5) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.0\r\n\r\n")
                return b" 200 " in sock.recv(1000).split(b"\r\n")[0]
        except ConnectionRefusedError:
            # The proxy accepts clients before it accepts readiness probes.
            return False

    @property
    def log(self) -> str:
        """What the proxy has logged."""
        return self.process.log.read_text()

    def client(self, database: str = DATABASE, key: str = "test") -> Client:
        """Opens a client session."""
        return Client(self.clients, database, key)


def eventually(condition: Any, description: str) -> Any:
    """Calls `condition` until its result is true, and returns that result."""
    result: list[Any] = []

    def holds() -> bool:
        result[:] = [condition()]
        return bool(result[0])

    wait_until(holds, WAIT_TIMEOUT_S, description)
    gevent.sleep(0)
    return result[0]
