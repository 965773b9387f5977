"""A small deployment on loopback: the proxies as processes, beside the stand-ins."""

import asyncio
import contextlib
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

from .instances import Service
from .platform import Platform

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
READY_S = 20.0
CASE_S = 105.0


def _rendered_settings(fields: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings that the template of the deploy file gives on a small deployment."""
    template = (ROOT / "deploy" / "settings.json").read_text()
    known = set(re.findall(r'"([a-z_]+)":', template))
    return {name: value for name, value in fields.items() if name in known}


class Machine:
    """One machine with its proxy process."""

    def __init__(self, name: str, zone: str, host: str, settings: dict[str, Any]) -> None:
        self.name, self.zone, self.host, self.settings = name, zone, host, settings
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def clients(self) -> tuple[str, int]:
        """Address for clients."""
        host, _, port = self.settings["clients"].rpartition(":")
        return host, int(port)

    async def ready(self) -> bool:
        """Asks as the platform does whether the machine takes clients."""
        host, _, port = self.settings["readiness"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return b" 200 " in line


class Lab:
    """The deployment; everything that it starts ends with it."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        pid = os.getpid()
        self._hosts = (f"127.{n}.{pid >> 8 & 255}.{pid & 255 or 1}" for n in itertools.count(20))
        self.host = next(self._hosts)
        self.platform = Platform(self._promote)
        self.services: dict[str, Service] = {}
        self.machines: dict[str, Machine] = {}
        self.lines: list[str] = []
        self.directory = Path(tempfile.mkdtemp(prefix="review3-"))

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self.note_at(time.monotonic(), text)

    def note_at(self, at: float, text: str) -> None:
        """Adds a line on an earlier moment to the record."""
        self.lines.append(f"{at - self.started:8.3f} {text}")

    async def _promote(self, service: str, name: str) -> int:
        return await self.services[service].promote(name)

    def service(self, name: str, sync: int = 0, **figures: Any) -> Service:
        """Adds a service without instances."""
        found = self.services[name] = Service(name, self.host, self.platform.store, sync, **figures)
        return found

    async def add_machine(self, index: int, seeds: list[str]) -> Machine:
        """Prepares a machine and its settings, without starting its process."""
        host, zone = next(self._hosts), ZONES[index % len(ZONES)]
        name = f"front-{zone}-{index // len(ZONES) + 1}"
        store = await self.platform.listen(self.host, name)
        clients, readiness, peers, forwarding = (free_port(host) for _ in range(4))
        fields = {
            "vm": name,
            "failure_domain": zone,
            "clients": f"{host}:{clients}",
            "readiness": f"{host}:{readiness}",
            "peers": f"{host}:{peers}",
            "store": f"{self.host}:{store}",
            "promotions": f"{self.host}:{store}",
            "drain_ms": 7000,
            "catalog_apply_ms": 3000,
            "grace_s": 6,
            "seeds": seeds,
            "processor_share": 0.537,
            "cores": 2,
            "forwarding": f"{host}:{forwarding}",
            "metrics_port": 9464,
        }
        machine = self.machines[name] = Machine(name, zone, host, _rendered_settings(fields))
        return machine

    async def start_machines(self, count: int) -> list[Machine]:
        """Starts machines within a moment of each other, and waits until they are ready."""
        machines = [await self.add_machine(index, []) for index in range(count)]
        seeds = [machine.settings["peers"] for machine in machines[:3]]
        for machine in machines:
            machine.settings["seeds"] = seeds
            self.start(machine)
        deadline = time.monotonic() + READY_S
        while not all(await asyncio.gather(*(machine.ready() for machine in machines))):
            if time.monotonic() > deadline:
                raise RuntimeError("the machines did not become ready")
            await asyncio.sleep(0.1)
        self.note(f"{count} machines are ready")
        return machines

    def start(self, machine: Machine) -> None:
        """Starts the process of a machine with the command of the deploy file."""
        path = self.directory / f"{machine.name}.json"
        path.write_text(json.dumps(machine.settings))
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = {**kept, "PYTHONPATH": "target/deps", "SISKINDALE_SETTINGS": str(path)}
        with (self.directory / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                ["python3", "-S", "-m", "siskindale.proxy"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, machine: Machine, number: int) -> None:
        """Sends a signal to a process of this lab."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.note(f"{signal.Signals(number).name} to {machine.name}")

    def logged(self, event: str) -> list[str]:
        """Returns the lines of all machines' logs with an event."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self.directory.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if f"event={event}" in line
        ]

    def close(self) -> None:
        """Ends all processes and removes the folder of their settings and logs."""
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)

    def write_record(self, path: Path) -> None:
        """Writes the record, with what the instances noted, in the order of time."""
        notes = [
            f"{at - self.started:8.3f} {service.name}: {text}"
            for service in self.services.values()
            for at, text in service.notes
        ]
        calls = [
            f"{at - self.started:8.3f} platform: promote {name} of {service} by {holder}, "
            f"fence {fence} -> {status}"
            for at, holder, service, name, fence, status in self.platform.promotions
        ]
        path.write_text("\n".join(sorted([*self.lines, *notes, *calls])) + "\n")


def free_port(host: str) -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Client:
    """A session of a client."""

    _ids = itertools.count(1)

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self.state = "I"

    @classmethod
    async def connect(cls, machine: Machine, database: str, key: str = "key") -> "Client":
        """Opens a session; raises `ConnectionError` where it is refused."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*machine.clients), 2.0)
        writer.write(f"START {database} {key}\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2.0)
        if not line.startswith(b"READY "):
            writer.close()
            raise ConnectionError(line.decode().strip() or "closed")
        return cls(reader, writer)

    async def query(
        self, text: str, request: str = "", timeout_s: float = 5.0
    ) -> tuple[str, list[str]]:
        """Runs one statement; returns `DONE`, the code of the error, or `NONE`, and the rows."""
        request = request or f"{next(self._ids):08x}"
        outcome, rows = "NONE", []
        try:
            self._writer.write(f"QUERY {request} {text}\r\n".encode())
            while line := await asyncio.wait_for(self._reader.readline(), timeout_s):
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "READY":
                    self.state = rest.split(" ")[0]
                    return outcome, rows
                if word == "ROW":
                    rows.append(rest)
                else:
                    outcome = "DONE" if word == "DONE" else rest.split(" ")[0]
        except (TimeoutError, OSError):
            pass
        return "NONE", rows

    def close(self) -> None:
        """Closes the session."""
        with contextlib.suppress(OSError):
            self._writer.close()


async def writer(
    lab: Lab,
    machine: Machine,
    database: str,
    prefix: str,
    pause_s: float,
    done: Callable[[], bool],
    outcomes: dict[str, str],
) -> None:
    """Writes one item after another through a machine, and records the outcome of each."""
    client: Client | None = None
    for number in itertools.count(1):
        if done():
            break
        request = f"{prefix}{number:05d}"
        try:
            client = client or await Client.connect(machine, database)
            outcomes[request] = (await client.query(f"WRITE {prefix} {request}", request))[0]
        except (TimeoutError, OSError) as error:
            outcomes[request] = f"not sent: {error!r}"
            client = None
            await asyncio.sleep(0.1)
            continue
        lab.note(f"client {prefix}: WRITE {request} -> {outcomes[request]}")
        if outcomes[request] == "NONE":
            client.close()
            client = None
        await asyncio.sleep(pause_s)
    if client is not None:
        client.close()


def judge_lost(lab: Lab, name: str, outcomes: dict[str, str]) -> bool:
    """Returns whether each acknowledged commit was in the log of the instance that led next."""
    service = lab.services[name]
    held = True
    for at, leader, log in service.leads:
        term = log[-1][0] if log else 1
        present = {write[0] for commit in log for write in commit[2]}
        acknowledged = {
            request
            for instance in service.instances.values()
            for when, request, text, _ in instance.executed
            if text.startswith("WRITE") and when <= at and outcomes.get(request) == "DONE"
        }
        lost = sorted(acknowledged - present)
        lab.note(
            f"{leader} leads after term {term}: {len(lost)} acknowledged commits are not in its log"
        )
        for request in lost:
            lab.note(f"lost: {request}, answered with DONE")
        held = held and not lost
    lab.note(f"writes: {len(outcomes)}, done: {sum(o == 'DONE' for o in outcomes.values())}")
    return held


def trouble() -> bool:
    """Returns whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[Lab], Awaitable[bool]]


def run_case(case: Case) -> NoReturn:
    """Runs a case, writes its record, and exits with 1 if the rule was broken, else 0, or 2.

    The first argument of the program is the path of the record.
    """
    record = Path(sys.argv[1])
    lab = Lab()

    async def run() -> int:
        status = 2
        try:
            held = await asyncio.wait_for(case(lab), CASE_S)
            status = 0 if held else 1
            lab.note(f"result: the rule {'held' if held else 'was broken'}")
        except Exception as error:
            lab.note(f"result: the case could not run: {error!r}")
        return status

    def stop(number: int, _: object) -> None:
        lab.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    loop = asyncio.new_event_loop()
    try:
        status = loop.run_until_complete(run())
    finally:
        lab.write_record(record)
        lab.close()
    print(lab.lines[-1][9:])
    sys.stdout.flush()
    # The servers of the stand-ins end with this process.
    os._exit(status)
