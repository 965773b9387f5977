"""Stand-in of a service: instances that speak the wire protocol, and replicate a log."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .platform import Store

HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
NETWORK_S = 0.0014
LAG_S = 0.02
PROMOTE_S = 1.0
SLOTS = 2
MAX_CONNECTIONS = 16
MAX_MESSAGE_BYTES = 1 << 20
OPENING_S = 0.012
WORK_S = 0.003

# Term, number, and the id, item and data of each write.
Commit = tuple[int, int, tuple[tuple[str, str, str], ...]]


class Instance:
    """One instance; `log` is what it has received, `applied` how much of it reads can see."""

    def __init__(self, service: "Service", name: str, zone: str, primary: bool) -> None:
        self.service, self.name, self.zone, self.primary = service, name, zone, primary
        self.log: list[Commit] = []
        self.applied = 0
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.deaf = self.paused = self.running = False
        self.held_term = 0
        self.late_orders: list[tuple[str, Callable[[], Awaitable[None]]]] = []
        self.slots = asyncio.Semaphore(SLOTS)
        self.sessions: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.heartbeat: asyncio.Task[None] | None = None
        self.executed: list[tuple[float, str, str, tuple[int, int]]] = []
        # Request, access and shape of each run of a prepared statement.
        self.prepared_runs: list[tuple[str, str, str]] = []

    async def start(self) -> None:
        """Listens, at the same port as before, and registers."""
        self.server = await asyncio.start_server(
            self._serve, self.service.host, self.port, limit=2 * MAX_MESSAGE_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True
        self.heartbeat = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Writes the entry of this instance into the store."""
        self.sequence += 1
        entry = {
            "service": self.service.name,
            "address": f"{self.service.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.primary else "replica",
            "seq": self.sequence,
            "born": self.born,
        }
        self.service.store.put("servers", self.name, entry)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self) -> None:
        """Ends as planned: the entry is removed."""
        await self._end()
        self.service.store.put("servers", self.name, None)

    async def crash(self) -> None:
        """Ends without notice; the store drops the entry after three silent intervals."""
        await self._end()
        asyncio.create_task(self._lapse(self.sequence))

    async def _lapse(self, sequence: int) -> None:
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        if self.sequence == sequence:
            self.service.store.put("servers", self.name, None)

    async def _end(self) -> None:
        self.running = False
        assert self.server is not None and self.heartbeat is not None
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.sessions):
            writer.transport.abort()

    @property
    def position(self) -> tuple[int, int]:
        """Position of what it has received."""
        return self.log[-1][:2] if self.log else (1, 0)

    @property
    def read_position(self) -> tuple[int, int]:
        """Position that reads see."""
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    def read(self, item: str) -> str | None:
        """Returns the newest data of an item."""
        for _, _, writes in reversed(self.log[: self.applied]):
            for _, key, data in reversed(writes):
                if key == item:
                    return data
        return None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.sessions.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.sessions.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


class Session:
    """One connection of a proxy to an instance."""

    def __init__(
        self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._instance, self._reader, self._writer = instance, reader, writer
        self._state, self._read_write = "I", False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, tuple[str, str]] = {}
        self._values: dict[str, str] = {}

    async def run(self) -> None:
        """Serves the connection until it is closed."""
        instance = self._instance
        words = (await self._reader.readline()).decode().split()
        if words[1:2] != [instance.service.name] or words[3:] not in ([], [instance.name]):
            self._writer.write(b"ERR MISROUTED -\r\n")
            return
        if len(instance.sessions) > instance.service.max_connections:
            self._writer.write(b"ERR TOOMANY -\r\n")
            return
        async with instance.slots:
            await asyncio.sleep(instance.service.opening_s)
        self._writer.write(f"READY I {_text(instance.read_position)}\r\n".encode())
        while line := await self._reader.readuntil(b"\r\n"):
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word != "QUERY":
                return
            request, _, text = rest.partition(" ")
            answer = await self._run(request, text)
            if not instance.running:
                return
            if not answer:
                continue
            position = instance.position if instance.primary else instance.read_position
            self._writer.write(f"{answer}READY {self._state} {_text(position)}\r\n".encode())
            await self._writer.drain()

    async def _run(self, request: str, text: str) -> str:
        instance = self._instance
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if instance.read_position < _position(position):
                return self._fail("LAGGING")
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return "ERR MALFORMED -\r\n"
        if self._state == "T" and self._read_write and not instance.primary and word != "ROLLBACK":
            return self._fail("READONLY")
        if word == "BEGIN":
            return self._begin(rest)
        if word in ("ROLLBACK", "COMMIT"):
            return await self._finish(request, word)
        if word == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
            return "DONE -\r\n"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self._prepared[name] = (access, shape)
            return "DONE -\r\n"
        if word == "RESET":
            self._values.clear()
            self._prepared.clear()
            return "DONE -\r\n"
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._fail("NOSTMT")
            word, shape = self._prepared[name]
            instance.prepared_runs.append((request, word, shape))
        if word == "READ":
            return await self._read(request, rest)
        if word == "WRITE":
            return await self._write(request, rest)
        if word in ("STATUS", "PAUSE", "RESUME"):
            return await self._control(word, rest)
        return "ERR MALFORMED -\r\n"

    def _fail(self, code: str) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERR {code} {self._instance.name}\r\n"

    def _begin(self, rest: str) -> str:
        self._read_write = rest != "READ"
        if self._read_write and not self._instance.primary:
            return self._fail("READONLY")
        self._state, self._writes = "T", []
        return "DONE -\r\n"

    async def _finish(self, request: str, word: str) -> str:
        failed, writes = self._state == "E", self._writes
        self._state, self._writes = "I", []
        if word == "ROLLBACK":
            return "DONE -\r\n"
        if failed:
            return "ERR ABORTED -\r\n"
        async with self._instance.slots:
            await asyncio.sleep(WORK_S)
            if writes and not self._instance.primary:
                return "ERR READONLY -\r\n"
            if writes:
                await self._instance.service.commit(self._instance, tuple(writes))
        return self._receipt(request, word)

    async def _read(self, request: str, rest: str) -> str:
        async with self._instance.slots:
            await asyncio.sleep(WORK_S)
            item = rest.split(" ")[0]
            own = [data for _, key, data in self._writes if key == item]
            data = own[-1] if own else self._instance.read(item)
        return ("" if data is None else f"ROW {data}\r\n") + self._receipt(request, f"READ {rest}")

    async def _write(self, request: str, rest: str) -> str:
        instance = self._instance
        if not instance.primary:
            return self._fail("READONLY")
        item, _, data = rest.partition(" ")
        async with instance.slots:
            await asyncio.sleep(WORK_S)
            if not instance.primary:
                return self._fail("READONLY")
            if self._state == "T":
                self._writes.append((request, item, data))
            else:
                await instance.service.commit(instance, ((request, item, data),))
        return self._receipt(request, f"WRITE {rest}")

    async def _control(self, word: str, rest: str) -> str:
        """Carries out an order; one that is carried out late gets no answer."""
        instance = self._instance
        for late in instance.late_orders:
            if late[0] == word:
                instance.late_orders.remove(late)
                instance.service.note(f"{instance.name} {word} {rest} -> no answer")
                asyncio.create_task(self._control_late(late[1], word, rest))
                return ""
        return await self._carry_out(word, rest)

    async def _control_late(
        self, wait: Callable[[], Awaitable[None]], word: str, rest: str
    ) -> None:
        await wait()
        self._instance.service.note(f"{self._instance.name} carries out {word} {rest} late")
        await self._carry_out(word, rest)

    async def _carry_out(self, word: str, rest: str) -> str:
        instance = self._instance
        async with instance.slots:
            if word == "PAUSE":
                if int(rest) <= max(instance.service.term, instance.held_term):
                    return "ERR MALFORMED -\r\n"
                instance.paused, instance.held_term = True, int(rest)
            if word == "RESUME":
                instance.paused = False
                instance.service.ship(instance)
        role = "primary" if instance.primary else "replica"
        term, received = instance.service.term, _text(instance.position)
        busy, connections = SLOTS - instance.slots._value, len(instance.sessions)
        row = f"{role} {term} {received} {instance.held_term} 0 {busy} {connections}"
        instance.service.note(f"{instance.name} {word} {rest} -> {row}")
        instance.service.orders.append((time.monotonic(), instance.name, word))
        return f"ROW {row}\r\nDONE -\r\n"

    def _receipt(self, request: str, text: str) -> str:
        instance = self._instance
        position = instance.position if instance.primary else instance.read_position
        instance.executed.append((time.monotonic(), request, text, position))
        return f"DONE {instance.name}.{len(instance.executed)}\r\n"


class Service:
    """A primary and its replicas; a commit is acknowledged once `sync` replicas received it."""

    def __init__(
        self,
        name: str,
        host: str,
        store: Store,
        sync: int,
        max_connections: int = MAX_CONNECTIONS,
        opening_s: float = OPENING_S,
    ) -> None:
        self.name, self.host, self.store, self.sync = name, host, store, sync
        self.max_connections, self.opening_s = max_connections, opening_s
        self.term = 1
        self.instances: dict[str, Instance] = {}
        self.notes: list[tuple[float, str]] = []
        self.orders: list[tuple[float, str, str]] = []
        self.leads: list[tuple[float, str, list[Commit]]] = []
        self.grown = asyncio.Event()
        self._random = random.Random(1)

    def note(self, text: str) -> None:
        """Records an event."""
        self.notes.append((time.monotonic(), text))

    async def add(
        self,
        name: str,
        zone: str,
        primary: bool = False,
        replaces: Instance | None = None,
    ) -> Instance:
        """Starts an instance, perhaps at the address and with the log of one that has left."""
        instance = self.instances[name] = Instance(self, name, zone, primary)
        if replaces is not None:
            instance.port, instance.log = replaces.port, list(replaces.log)
        instance.applied = len(instance.log)
        await instance.start()
        self.ship(instance)
        self.note(f"{name} starts as {'primary' if primary else 'replica'}")
        return instance

    @property
    def primary(self) -> Instance | None:
        """The instance that leads, if it runs."""
        return next((i for i in self.instances.values() if i.primary and i.running), None)

    async def commit(self, leader: Instance, writes: tuple[tuple[str, str, str], ...]) -> None:
        """Appends a commit to the log of the leader; returns once it is acknowledged."""
        commit = (self.term, leader.position[1] + 1, writes)
        leader.log.append(commit)
        leader.applied = len(leader.log)
        for instance in self.instances.values():
            self.ship(instance)
        while self._receivers(leader, commit) < self.sync:
            await self.grown.wait()
            if not leader.primary or not leader.running:
                raise ConnectionError("the instance lost the lead before the commit was received")

    def _receivers(self, leader: Instance, commit: Commit) -> int:
        index = commit[1] - 1
        return sum(
            len(i.log) > index and i.log[index][:2] == commit[:2]
            for i in self.instances.values()
            if i is not leader
        )

    def ship(self, replica: Instance) -> None:
        """Sends the log of the leader to a replica."""
        leader = self.primary
        if leader is not None and leader is not replica and replica.running:
            asyncio.create_task(self._ship(leader, replica, list(leader.log), self.term))

    async def _ship(
        self, leader: Instance, replica: Instance, log: list[Commit], term: int
    ) -> None:
        await asyncio.sleep(NETWORK_S)
        sound = replica.running and not replica.deaf and not replica.paused
        if not sound or term != self.term or not leader.running or len(log) <= len(replica.log):
            return
        replica.log = log
        self.grown.set()
        self.grown = asyncio.Event()
        await asyncio.sleep(self._random.uniform(0.5, 1.5) * LAG_S)
        if term == self.term:
            replica.applied = max(replica.applied, min(len(log), len(replica.log)))

    async def promote(self, name: str) -> int:
        """Lets an instance lead the next term, some time after the call is answered."""
        instance = self.instances.get(name)
        if instance is None or not instance.running:
            return 409
        if not instance.primary:
            asyncio.create_task(self._lead(instance))
        return 200

    async def _lead(self, instance: Instance) -> None:
        await asyncio.sleep(PROMOTE_S)
        if not instance.running or instance.primary:
            return
        self.term += 1
        for other in self.instances.values():
            other.primary = other is instance
            other.paused = False
            if other is not instance and len(other.log) > len(instance.log):
                other.log = list(instance.log)
            other.applied = min(other.applied, len(other.log))
        instance.applied = len(instance.log)
        self.leads.append((time.monotonic(), instance.name, list(instance.log)))
        self.note(f"{instance.name} leads term {self.term} at {_text(instance.position)}")
        self.grown.set()
        self.grown = asyncio.Event()
        for other in self.instances.values():
            if other.running:
                other.register()
            self.ship(other)


def _text(position: tuple[int, int]) -> str:
    return f"{position[0]}.{position[1]}"


def _position(text: str) -> tuple[int, int]:
    term, _, number = text.partition(".")
    return int(term), int(number)


def manifest(
    version: int,
    routes: dict[str, dict[str, Any]],
    services: dict[str, int],
    max_connections: int = MAX_CONNECTIONS,
) -> dict[str, Any]:
    """Returns a manifest; `routes` by the name of the database, `services` with `sync_replicas`."""
    common = {
        "prefix": "/",
        "timeout_ms": 800,
        "target_latency_ms": 200,
        "priority": 1,
        "attempts": 2,
        "max_staleness_ms": 1500,
    }
    return {
        "version": version,
        "routes": [
            {**common, "name": f"r-{host}", "host": host, **route} for host, route in routes.items()
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": max_connections,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": sync,
            }
            for name, sync in services.items()
        ],
        "limits": {"tx_idle_ms": 3000},
    }
