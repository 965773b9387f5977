"""Stand-in of database groups: instances with a log, replication and the session protocol."""

import asyncio
import itertools
import time
from collections.abc import Callable

# Term, number, item and data.
Entry = tuple[int, int, bytes, bytes]
START_POSITION = (1, 0)
# The bound `drain_ms` of the small installations.
DRAIN_S = 7.0


class Instance:
    """One instance; `received` is its log, of which the first `applied` entries can be read."""

    def __init__(self, service: "Service", instance_id: str, zone: str) -> None:
        self.service = service
        self.id = instance_id
        self.zone = zone
        self.address = ""
        self.received: list[Entry] = []
        self.applied = 0
        self.apply_lag_s = service.apply_lag_s
        self.deaf = False
        self.running = True
        self.draining = False
        self.draining_since = 0.0
        self.slots = asyncio.Semaphore(service.slots)
        self.busy = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._receipts = itertools.count(1)

    @property
    def is_primary(self) -> bool:
        """Whether it leads the present term."""
        return self.service.primary is self

    @property
    def position(self) -> tuple[int, int]:
        """Position of the part of the log that can be read."""
        return self.received[self.applied - 1][:2] if self.applied else START_POSITION

    @property
    def received_position(self) -> tuple[int, int]:
        """Position of the whole log."""
        return self.received[-1][:2] if self.received else START_POSITION

    def receipt(self) -> str:
        """Returns the next receipt of this instance."""
        return f"{self.id}.{next(self._receipts)}"

    async def start(self, host: str) -> None:
        """Listens at a free port and registers itself."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self.register()

    def register(self) -> None:
        """Writes the entry in the store."""
        self.service.register(self)

    def crash(self) -> None:
        """Ends without notice: connections break and new ones are refused."""
        self.running = False
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def receive(self, entry: Entry) -> bool:
        """Appends an entry of the primary's log; returns whether it was received."""
        if not self.running or self.deaf or self.is_primary:
            return False
        if len(self.received) != len(self.service.primary.received) - 1 and not self._catch_up():
            return False
        if not self.received or self.received[-1] != entry:
            self.received.append(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(self.apply_lag_s, self._apply, len(self.received), entry)
        return True

    def _catch_up(self) -> bool:
        missing = self.service.primary.received[len(self.received) :]
        self.received += missing
        return True

    def _apply(self, count: int, entry: Entry) -> None:
        if count <= len(self.received) and self.received[count - 1] == entry:
            self.applied = max(self.applied, count)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Service:
    """A primary and its replicas; `sync_replicas` replicas receive a commit before its ack."""

    def __init__(
        self,
        name: str,
        put: Callable[[str, str, object], None],
        record: Callable[..., None],
        *,
        sync_replicas: int = 0,
        slots: int = 2,
        max_conns: int = 16,
        work_s: float = 0.005,
        apply_lag_s: float = 0.02,
        promote_s: float = 0.6,
    ) -> None:
        self.name = name
        self.record = record
        self.sync_replicas = sync_replicas
        self.slots = slots
        self.max_conns = max_conns
        self.work_s = work_s
        self.apply_lag_s = apply_lag_s
        self.promote_s = promote_s
        self.term = 1
        self.instances: dict[str, Instance] = {}
        self.primary: Instance
        self.on_promoted: Callable[[Instance], None] = lambda instance: None
        self.run_ids: set[str] = set()
        # Requests that reached a draining instance too late: id, instance and seconds.
        self.late_at_draining: list[tuple[str, str, float]] = []
        self._put = put
        self._sequence = itertools.count(1)

    async def add(self, instance_id: str, zone: str, host: str, primary: bool = False) -> Instance:
        """Starts an instance."""
        instance = Instance(self, instance_id, zone)
        self.instances[instance_id] = instance
        if primary:
            self.primary = instance
        await instance.start(host)
        return instance

    def register(self, instance: Instance) -> None:
        """Writes the entry of an instance in the store."""
        self._put("servers", instance.id, self.entry(instance))

    def entry(self, instance: Instance) -> dict[str, object]:
        """Returns the entry of an instance as it is now."""
        return {
            "service": self.name,
            "address": instance.address,
            "zone": instance.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if instance.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if instance.is_primary else "replica",
            "seq": next(self._sequence),
            "born": 1,
        }

    def route_entry(self) -> dict[str, object]:
        """Returns the entry of the service in the manifest."""
        return {
            "name": self.name,
            "health_path": "/health",
            "max_conns": self.max_conns,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": self.sync_replicas,
        }

    async def commit(self, instance: Instance, writes: list[tuple[bytes, bytes]]) -> bool:
        """Appends the writes of a transaction; returns whether the commit may be acknowledged."""
        number = instance.received_position[1] + 1
        entries = [(self.term, number, item, data) for item, data in writes]
        receipts = 0
        for entry in entries:
            instance.received.append(entry)
            instance.applied = len(instance.received)
            receipts = sum([replica.receive(entry) for replica in self.instances.values()])
        while receipts < self.sync_replicas:
            await asyncio.sleep(0.005)
            if not instance.running or not instance.is_primary:
                return False
            receipts = sum(
                entries[-1] in replica.received
                for replica in self.instances.values()
                if replica is not instance
            )
        return instance.running and instance.is_primary

    async def promote(self, instance_id: str) -> int:
        """Orders that an instance leads the next term; returns the status of the call."""
        instance = self.instances.get(instance_id)
        if instance is None or not instance.running:
            return 409
        if not instance.is_primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, instance)
        return 200

    def _lead(self, instance: Instance) -> None:
        if not instance.running or instance.is_primary:
            return
        self.term += 1
        self.primary = instance
        instance.applied = len(instance.received)
        for other in self.instances.values():
            del other.received[len(instance.received) :]
            other.applied = min(other.applied, len(other.received))
        self.record("leads", service=self.name, id=instance.id, term=self.term)
        self.on_promoted(instance)
        for other in self.instances.values():
            if other.running:
                other.register()


class Connection:
    """One connection to an instance."""

    def __init__(
        self, instance: Instance, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._instance = instance
        self._service = instance.service
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._plain = False
        self._term = 0
        self._writes: list[tuple[bytes, bytes]] = []
        self._prepared: dict[bytes, bytes] = {}

    async def run(self) -> None:
        """Serves the connection until it ends."""
        instance = self._instance
        start = (await self._reader.readuntil(b"\r\n")).split()
        if start[1].decode() != self._service.name or (
            len(start) > 3 and start[3].decode() != instance.id
        ):
            self._writer.write(b"ERR MISROUTED -\r\n")
            return
        if len(instance.writers) > self._service.max_conns:
            self._writer.write(b"ERR TOOMANY -\r\n")
            return
        async with instance.slots:
            await asyncio.sleep(0.012)
        self._ready()
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2]
            if line.startswith(b"CLOSE"):
                return
            _, request_id, text = line.split(b" ", 2)
            for message in await self._run(request_id, text):
                self._writer.write(message + b"\r\n")
            self._ready()
            await self._writer.drain()

    def _ready(self) -> None:
        term, number = self._instance.position
        self._writer.write(f"READY {self._state} {term}.{number}\r\n".encode())

    def _fail(self, code: str) -> list[bytes]:
        if self._state == "T":
            self._state = "E"
        return [f"ERR {code} {self._instance.id}".encode()]

    def _done(self) -> bytes:
        return f"DONE {self._instance.receipt()}".encode()

    async def _run(self, request_id: bytes, text: bytes) -> list[bytes]:
        if text.startswith(b"AFTER "):
            _, position, text = text.split(b" ", 2)
            term, _, number = position.partition(b".")
            if self._instance.position < (int(term), int(number)):
                return self._fail("LAGGING")
        verb, _, rest = text.partition(b" ")
        if self._state == "E" and verb not in (b"ROLLBACK", b"COMMIT"):
            return [b"ERR MALFORMED -"]
        if verb == b"BEGIN":
            return self._begin(plain=not rest)
        if verb == b"ROLLBACK":
            self._state = "I"
            self._writes = []
            return [b"DONE -"]
        if verb in (b"SET", b"RESET"):
            return [b"DONE -"]
        if verb == b"PREPARE":
            name, access, _ = rest.split(b" ", 2)
            self._prepared[name] = access
            return [b"DONE -"]
        if verb == b"EXEC":
            name, _, rest = rest.partition(b" ")
            verb = self._prepared[name]
        if verb == b"STATUS":
            return await self._status()
        return await self._work(request_id, verb, rest)

    def _begin(self, plain: bool) -> list[bytes]:
        if plain and not self._instance.is_primary:
            return self._fail("READONLY")
        self._state, self._plain, self._term = "T", plain, self._service.term
        return [b"DONE -"]

    async def _status(self) -> list[bytes]:
        instance = self._instance
        if instance.slots.locked():
            return [b"ERR BUSY -"]
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.received_position
        held = f"{instance.busy} {len(instance.writers)}"
        return [f"ROW {role} {self._service.term} {term}.{number} 0 0 {held}".encode(), b"DONE -"]

    async def _work(self, request_id: bytes, verb: bytes, rest: bytes) -> list[bytes]:
        instance = self._instance
        self._service.run_ids.add(request_id.decode())
        draining_s = time.monotonic() - instance.draining_since
        if instance.draining and draining_s > DRAIN_S and self._state == "I":
            self._service.late_at_draining.append((request_id.decode(), instance.id, draining_s))
        async with instance.slots:
            instance.busy += 1
            await asyncio.sleep(self._service.work_s)
            instance.busy -= 1
        lost_lead = self._plain and (not instance.is_primary or self._term != self._service.term)
        read_only_commit = verb == b"COMMIT" and not self._writes
        if self._state == "T" and lost_lead and not read_only_commit:
            return self._fail("READONLY")
        self._service.record(
            "run", id=request_id.decode(), verb=verb.decode(), at=instance.id, text=rest.decode()
        )
        if verb == b"READ":
            return self._read(rest)
        if verb == b"WRITE":
            return await self._write(rest)
        if verb == b"COMMIT":
            return await self._commit()
        return [b"ERR MALFORMED -"]

    def _read(self, item: bytes) -> list[bytes]:
        log = self._instance.received[: self._instance.applied]
        found = [data for _, _, key, data in log if key == item]
        found += [data for key, data in self._writes if key == item]
        return [*(b"ROW " + data for data in found[-1:]), self._done()]

    async def _write(self, rest: bytes) -> list[bytes]:
        if not self._instance.is_primary:
            return self._fail("READONLY")
        item, _, data = rest.partition(b" ")
        if self._state == "T":
            self._writes.append((item, data))
            return [self._done()]
        if not await self._service.commit(self._instance, [(item, data)]):
            raise ConnectionError("the instance ended before the commit was acknowledged")
        return [self._done()]

    async def _commit(self) -> list[bytes]:
        failed, writes = self._state == "E", self._writes
        self._state, self._writes = "I", []
        if failed:
            return [b"ERR ABORTED -"]
        if writes and not await self._service.commit(self._instance, writes):
            raise ConnectionError("the instance ended before the commit was acknowledged")
        return [self._done()]
