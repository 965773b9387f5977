"""A small deployment on loopback: platform, database groups, VMs as processes, clients, a record.

The platform and the targets are the project's own stand-ins, with three additions: a promoted
target leads some hundred milliseconds after the call, a target can be cut off from all machines,
and clients record what they sent and got.
"""

import itertools
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from siskindale.models.address import Address
from standins.deployment.group import TargetGroup, TargetStandin, TargetStandinSession
from standins.deployment.store import PlatformStandin

ROOT = Path(__file__).resolve().parents[2]
DOMAINS = ("smolyan", "chepelare", "devin")
# Bounds of the small deployment that the users' pages describe.
DRAIN_MS = 7000
CONFIG_APPLY_MS = 3000
GRACE_S = 6
HEARTBEAT_S = 1.2
PROMOTE_S = 0.6
READY_TIMEOUT_S = 25.0
# A script has 120 s; what it started has to be ended by then.
SCRIPT_TIMEOUT_S = 105.0
REPLY_TIMEOUT_S = 8.0
# Fence numbers hold the era of the store above the number of the commit.
COMMIT_MASK = (1 << 40) - 1
_USED: set[Address] = set()


def host(number: int) -> str:
    """Returns a loopback host that this process uses alone."""
    pid = os.getpid()
    return f"127.{100 + number}.{(pid >> 8) % 256}.{pid % 254 + 1}"


def free_address(on_host: str) -> Address:
    """Returns an address with a port that is free now and was not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((on_host, 0))
            address = Address(on_host, sock.getsockname()[1])
        if address not in _USED:
            _USED.add(address)
            return address


class Record:
    """Lines of what happened, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, kind: str, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now:9.3f} {kind:<8} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class _Session(TargetStandinSession):
    """A connection to a target, which delivers nothing while the target is cut off."""

    def _run_statement(self, request_id: bytes, text: bytes) -> bytes:
        target = self._target
        assert isinstance(target, CuttableTarget)
        target.reachable.wait()
        reply = super()._run_statement(request_id, text)
        state = self._state.decode()
        if request_id != b"-":
            target.note(
                f"{target.id} {request_id.decode()} {text.decode()} -> "
                f"{reply.decode().split(chr(13))[0]} state={state} values={_shown(self._values)}"
            )
        return reply


def _shown(values: dict[bytes, bytes]) -> str:
    return ",".join(f"{k.decode()}={v.decode()}" for k, v in sorted(values.items())) or "none"


class CuttableTarget(TargetStandin):
    """A target that can be cut off: no connection opens, and open ones deliver nothing."""

    reachable: Event
    note: Callable[[str], None]
    _fillers: list[socket.socket]

    def start(self) -> None:
        """Starts to accept connections; a short queue lets a cut target drop new ones."""
        self.reachable = Event()
        self.reachable.set()
        self._fillers = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.address.host, self.address.port))
        listener.listen(8)
        listener.setblocking(False)
        self.server = StreamServer(listener, self._serve)
        self.server.start()

    def cut_off(self) -> None:
        """Cuts the target off from all machines; packets to it get no answer."""
        assert self.server is not None
        self.reachable.clear()
        self.server.stop_accepting()
        # A full queue of new connections drops further ones silently.
        for _ in range(12):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address.host, self.address.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """Ends the cut; what was sent to the target meanwhile arrives now."""
        assert self.server is not None
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.server.start_accepting()
        self.reachable.set()

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections.add(sock)
        try:
            _Session(self, sock).run()
        except (OSError, ValueError, AssertionError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()


class Group(TargetGroup):
    """A group of three targets that can be cut off."""

    def add(  # type: ignore[override]
        self, target_id: str, address: Address, primary: bool, max_connections: int
    ) -> CuttableTarget:
        """Adds and starts a target."""
        target = CuttableTarget(target_id, self, address, primary, max_connections)
        target.note = lambda text: None
        self.targets[target_id] = target
        target.start()
        return target


class Client:
    """A session of a client, which runs one statement at a time."""

    _ids = itertools.count(1)

    def __init__(self, lab: "Lab", vm: str, database: str, name: str) -> None:
        self._lab = lab
        self.name = name
        address = lab.vms[vm].clients
        self._socket = socket.create_connection((address.host, address.port), 5)
        self._file = self._socket.makefile("rb")
        self._socket.sendall(f"START {database} review\r\n".encode())
        with gevent.Timeout(REPLY_TIMEOUT_S):
            greeting = self._file.readline().decode().strip()
        lab.record.write("client", f"{name} START {database} at {vm} -> {greeting}")

    def query(self, text: str, pause_s: float = 0.0) -> tuple[str, str, list[str]]:
        """Runs a statement; returns its id, the first word and code of its reply, and its rows."""
        request_id = f"{self.name}-{next(Client._ids)}"
        self._socket.sendall(f"QUERY {request_id} {text}\r\n".encode())
        rows: list[str] = []
        outcome = ""
        with gevent.Timeout(REPLY_TIMEOUT_S):
            while True:
                line = self._file.readline().decode().rstrip("\r\n")
                word, _, rest = line.partition(" ")
                if not line:
                    outcome = "CLOSED"
                    break
                if word == "READY":
                    break
                if word == "ROW":
                    rows.append(rest)
                else:
                    outcome = " ".join(line.split(" ")[:2])
        self._lab.record.write("client", f"{request_id} {text} -> {outcome} rows={rows}")
        gevent.sleep(pause_s)
        return request_id, outcome, rows

    def close(self) -> None:
        """Closes the session."""
        self._file.close()
        self._socket.close()


class Vm:
    """A VM and its process."""

    def __init__(self, lab: "Lab", name: str, domain: str, number: int, seeds: list[str]) -> None:
        self._lab = lab
        self.name = name
        self.on_host = host(number)
        self.clients, self.readiness, self.peers, forwarding = (
            free_address(self.on_host) for _ in range(4)
        )
        settings = {
            "vm": name,
            "failure_domain": domain,
            "clients": str(self.clients),
            "readiness": str(self.readiness),
            "peers": str(self.peers),
            "store": str(lab.store_address(name)),
            "promotions": str(lab.platform_address),
            "drain_ms": DRAIN_MS,
            "catalog_apply_ms": CONFIG_APPLY_MS,
            "grace_s": GRACE_S,
            "seeds": seeds or [str(self.peers)],
            "processor_share": 0.537,
            "cores": 2,
            "forwarding": str(forwarding),
            "metrics_port": 9464,
        }
        self._path = lab.folder / f"{name}.json"
        self._path.write_text(json.dumps(settings, indent=1))
        self.log = lab.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process as the deploy file does."""
        words = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["proxy"]["run"]
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                words.split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SISKINDALE_SETTINGS": str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._lab.record.write("vm", f"{self.name} started")

    @property
    def ready(self) -> bool:
        """Whether the readiness probe answers 200."""
        try:
            with socket.create_connection((self.readiness.host, self.readiness.port), 1) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(1000).split(b"\r\n")[0]
        except OSError:
            return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._lab.record.write("vm", f"{self.name} gets {signal.Signals(number).name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait_ready(self) -> None:
        """Waits until the VM is ready."""
        wait_until(lambda: self.ready, READY_TIMEOUT_S, f"{self.name} is ready")


def wait_until(condition: Callable[[], Any], timeout_s: float, what: str) -> None:
    """Polls a condition; raises `TimeoutError` if it does not hold in time."""
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"not in time: {what}")
        gevent.sleep(0.02)


class Lab:
    """The deployment; leaving its context ends every process that it started."""

    def __init__(self, record_path: Path, groups: int = 3, vms: int = 7) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._sequence = itertools.count(1)
        self.platform_address = free_address(host(0))
        self.platform = PlatformStandin(self.platform_address, self._promote)
        self.platform.server.start()
        self.drained_at: dict[str, float] = {}
        self.states: dict[str, str] = {}
        self.notes: list[str] = []
        self.groups: dict[str, Group] = {}
        for number in range(1, groups + 1):
            self._add_group(f"db{number}")
        self.vms: dict[str, Vm] = {}
        self._vm_count = vms
        self._greenlets = [gevent.spawn(self._write_registrations)]

    def store_address(self, vm: str) -> Address:
        """Returns the address of the store for a VM."""
        return self.platform_address

    def create_group(self, name: str) -> Group:
        """Returns a group without targets."""
        return Group(name)

    def _add_group(self, name: str) -> None:
        group = self.groups[name] = self.create_group(name)
        for index, domain in enumerate(DOMAINS):
            target_id = f"i-{name}-{domain}"
            group.add(target_id, free_address(host(20)), index == 0, 16)
            target = group.targets[target_id]
            assert isinstance(target, CuttableTarget)
            target.note = self._note

    def _note(self, text: str) -> None:
        self.notes.append(text)
        self.record.write("target", text)

    def _promote(self, group_name: str, target_id: str) -> bool:
        group = self.groups[group_name]
        target = group.targets.get(target_id)
        running = target is not None and target.server is not None
        call = self.platform.promotions[-1]
        self.record.write(
            "platform",
            f"promote {target_id} by {call.holder} with fence number "
            f"{call.fencing_token & COMMIT_MASK}, accepted={running}; {self._duty()}",
        )
        if running:
            gevent.spawn_later(PROMOTE_S, self._finish_promotion, group, target_id)
        return running

    def _duty(self) -> str:
        """Returns who holds the failover duty according to the store."""
        row = self.platform.row("duties", "failover")
        return f"the store has {row.value['holder']} with {row.version}" if row else "no holder"

    def _finish_promotion(self, group: Group, target_id: str) -> None:
        if not group.targets[target_id].primary and group.promote(target_id):
            self.record.write("platform", f"{target_id} leads term {group.term}")
            for target in group.targets.values():
                self.register(target)

    def register(self, target: TargetStandin) -> None:
        """Writes the registration of a target, if it runs."""
        if target.server is None:
            return
        self.platform.put(
            "servers",
            target.id,
            {
                "service": target.group.name,
                "address": str(target.address),
                "zone": target.id.rpartition("-")[2],
                "version": "v1",
                "slots": 2,
                "state": self.states.get(target.id, "ready"),
                "cold_left_ms": 0,
                "db_role": "primary" if target.primary else "replica",
                "seq": next(self._sequence),
                "born": 1,
            },
        )

    def _write_registrations(self) -> None:
        while True:
            for group in self.groups.values():
                for target in group.targets.values():
                    if isinstance(target, CuttableTarget) and target.reachable.is_set():
                        self.register(target)
            gevent.sleep(HEARTBEAT_S)

    def configure(self, version: int, **limits: Any) -> None:
        """Writes the manifest: for each group a database of each kind of route."""
        kinds = {"primary": "primary", "bounded": "bounded_staleness", "own": "read_own"}
        routes = [
            {
                "name": f"r-{group}-{prefix}",
                "host": f"{prefix}-{group}",
                "service": group,
                "kind": kind,
                "timeout_ms": 1200 if prefix == "bounded" else 800,
                "target_latency_ms": 300,
                "priority": 1,
                "max_staleness_ms": 2500,
            }
            for group in self.groups
            for prefix, kind in kinds.items()
        ]
        services = [
            {"name": group.name, "max_conns": 16, "sync_replicas": group.synchronous_replicas}
            for group in self.groups.values()
        ]
        self.platform.put(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {"tx_idle_ms": 3000, **limits},
            },
        )

    def start(self, interval_s: float = 0.0) -> None:
        """Starts all VMs, one each `interval_s`, and waits until all are ready."""
        self.configure(1)
        seeds: list[str] = []
        for number in range(1, self._vm_count + 1):
            domain = DOMAINS[(number - 1) % len(DOMAINS)]
            vm = Vm(self, f"vm{number}", domain, number, seeds)
            seeds = [*seeds, str(vm.peers)][:3]
            self.vms[vm.name] = vm
        for vm in self.vms.values():
            vm.start()
            gevent.sleep(interval_s)
        for vm in self.vms.values():
            vm.wait_ready()
        self.record.write("vm", "all are ready")

    def __enter__(self) -> "Lab":
        return self

    def __exit__(self, *_: object) -> None:
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait()
        gevent.killall(self._greenlets)
        self.platform.server.stop()
        for group in self.groups.values():
            for target in group.targets.values():
                target.crash()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(lab: "Lab", case: Callable[[], bool]) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    SIGTERM ends it, too, after all processes that it started.
    """
    gevent.signal_handler(signal.SIGTERM, gevent.kill, gevent.getcurrent(), SystemExit(2))
    with lab:
        lab.record.write("case", f"TROUBLE={int(troubled())}")
        try:
            with gevent.Timeout(SCRIPT_TIMEOUT_S):
                held = case()
        except (AssertionError, OSError, StopIteration, gevent.Timeout) as error:
            lab.record.write("failed", f"the case could not run: {error!r}")
            return 2
        lab.record.write("result", "the rule held" if held else "the rule was broken")
        return 0 if held else 1


def troubled() -> bool:
    """Whether the script applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
