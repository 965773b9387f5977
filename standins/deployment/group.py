"""Stand-in for a group of targets, which speak the session protocol and replicate with a lag."""

import contextlib
import itertools
import socket as system_socket
from collections.abc import Callable

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

from siskindale.models.address import Address

# Term, number, item and data of a write.
LogEntry = tuple[int, int, bytes, bytes]


@attrs.define
class TargetStandinFaults:
    """Faults of a target.

    The next `lose_replies` statements of clients take effect, but their connections close without a
    reply. `drop_replies` runs all requests without a reply, `drop_requests` ignores all requests.
    Each request runs after `delay_s`. While it is `deaf`, it receives no commits.
    """

    lose_replies: int = 0
    drop_replies: bool = False
    drop_requests: bool = False
    delay_s: float = 0.0
    deaf: bool = False


@attrs.define(eq=False)
class TargetStandin:
    """One target; the writes of a commit share a term and a number in its log."""

    id: str
    group: "TargetGroup"
    address: Address
    primary: bool
    max_connections: int
    stopped: bool = False
    held_term: int = 0
    log: list[LogEntry] = attrs.field(factory=list)
    faults: TargetStandinFaults = attrs.field(factory=TargetStandinFaults)
    connections: set[socket.socket] = attrs.field(factory=set)
    server: StreamServer | None = None
    receipts: "itertools.count[int]" = attrs.field(factory=itertools.count)

    def start(self) -> None:
        """Starts to accept connections."""
        self.server = StreamServer((self.address.host, self.address.port), self._serve)
        self.server.start()

    def crash(self) -> None:
        """Stops without notice: closes all connections and refuses new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for sock in list(self.connections):
            # Closing alone would keep the connection open while a greenlet reads from it.
            with contextlib.suppress(OSError):
                sock.shutdown(system_socket.SHUT_RDWR)

    @property
    def position(self) -> bytes:
        """Position of the end of the log."""
        term, number = (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)
        return b"%d.%d" % (term, number)

    def has_position(self, position: bytes) -> bool:
        """Returns whether the log contains a position."""
        term, number = map(int, position.split(b"."))
        if number == 0:
            return True
        return any(entry[:2] == (term, number) for entry in self.log)

    def read(self, item: bytes) -> bytes | None:
        """Returns the newest data of an item."""
        return next((data for *_, key, data in reversed(self.log) if key == item), None)

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections.add(sock)
        try:
            TargetStandinSession(self, sock).run()
        except OSError:
            pass
        finally:
            self.connections.discard(sock)
            sock.close()


@attrs.frozen
class Execution:
    """A read or write as a target ran it, with the session values at that time.

    `workspace` is the caller that was named at the start of the connection.
    """

    target: str
    request_id: bytes
    text: bytes
    shape: bytes
    values: frozenset[tuple[bytes, bytes]]
    workspace: bytes = b""


class TargetStandinSession:
    """One connection to a target."""

    def __init__(self, target: TargetStandin, sock: socket.socket) -> None:
        self._target = target
        self._socket = sock
        self._file = sock.makefile("rb")
        self._state = b"I"
        self._read_write = False
        self._writes: list[tuple[bytes, bytes]] = []
        self._values: dict[bytes, bytes] = {}
        self._workspace = b""
        self._prepared: dict[bytes, tuple[bytes, bytes]] = {}

    def run(self) -> None:
        """Serves the connection until it is closed."""
        target = self._target
        start = self._file.readline().split()
        self._workspace = b"".join(start[2:3])
        if start[1:2] != [target.group.name.encode()] or start[3:] not in (
            [],
            [target.id.encode()],
        ):
            self._socket.sendall(b"ERR MISROUTED -\r\n")
        elif len(target.connections) > target.max_connections:
            self._socket.sendall(b"ERR TOOMANY -\r\n")
        else:
            self._socket.sendall(b"READY I %b\r\n" % target.position)
            self._serve_statements()

    def _serve_statements(self) -> None:
        for line in iter(self._file.readline, b""):
            word, request_id, text = line.rstrip(b"\r\n").split(b" ", 2)
            assert word == b"QUERY"
            if self._target.faults.drop_requests:
                continue
            gevent.sleep(self._target.faults.delay_s)
            reply = self._run_statement(request_id, text)
            if self._target.faults.drop_replies:
                continue
            if request_id != b"-" and self._target.faults.lose_replies:
                self._target.faults.lose_replies -= 1
                return
            ready = b"READY %b %b\r\n" % (self._state, self._target.position)
            self._socket.sendall(reply + ready)

    def _run_statement(self, request_id: bytes, text: bytes) -> bytes:
        if text.startswith(b"AFTER "):
            _, position, text = text.split(b" ", 2)
            if not self._target.has_position(position):
                return self._fail(b"LAGGING")
        verb = text.split(b" ")[0]
        if self._state == b"E" and verb not in (b"ROLLBACK", b"COMMIT"):
            return b"ERR MALFORMED -\r\n"
        demoted = self._state == b"T" and self._read_write and not self._target.primary
        if demoted and verb != b"ROLLBACK":
            return self._fail(b"READONLY")
        handler = _HANDLERS.get(verb)
        return b"ERR MALFORMED -\r\n" if handler is None else handler(self, request_id, text)

    def _fail(self, code: bytes) -> bytes:
        if self._state == b"T":
            self._state = b"E"
        return b"ERR %b %b\r\n" % (code, self._target.id.encode())

    def _completion(self) -> bytes:
        return b"DONE %b.%d\r\n" % (self._target.id.encode(), next(self._target.receipts))

    def begin(self, _: bytes, text: bytes) -> bytes:
        """Starts a transaction."""
        self._read_write = text == b"BEGIN"
        if self._read_write and not self._target.primary:
            return self._fail(b"READONLY")
        self._state = b"T"
        return b"DONE -\r\n"

    def commit(self, _: bytes, __: bytes) -> bytes:
        """Commits a transaction; a failed one is rolled back."""
        failed, self._state = self._state == b"E", b"I"
        writes, self._writes = self._writes, []
        if failed:
            return b"ERR ABORTED -\r\n"
        if writes:
            self._target.group.commit(self._target, writes)
        return self._completion()

    def rollback(self, _: bytes, __: bytes) -> bytes:
        """Rolls back a transaction."""
        self._state = b"I"
        self._writes.clear()
        return b"DONE -\r\n"

    def read(self, request_id: bytes, text: bytes, shape: bytes = b"") -> bytes:
        """Reads an item."""
        self._record(request_id, text, shape)
        item = text.split(b" ")[1]
        own_write = next((data for key, data in reversed(self._writes) if key == item), None)
        data = own_write if own_write is not None else self._target.read(item)
        return (b"" if data is None else b"ROW %b\r\n" % data) + self._completion()

    def write(self, request_id: bytes, text: bytes, shape: bytes = b"") -> bytes:
        """Writes an item."""
        if not self._target.primary:
            return self._fail(b"READONLY")
        self._record(request_id, text, shape)
        _, item, data = text.split(b" ", 2)
        self._writes.append((item, data))
        if self._state == b"I":
            writes, self._writes = self._writes, []
            self._target.group.commit(self._target, writes)
        return self._completion()

    def set_value(self, _: bytes, text: bytes) -> bytes:
        """Sets a session value."""
        _, name, value = text.split(b" ", 2)
        self._values[name] = value
        return b"DONE -\r\n"

    def prepare(self, _: bytes, text: bytes) -> bytes:
        """Prepares a statement."""
        _, name, access, shape = text.split(b" ", 3)
        self._prepared[name] = (access, shape)
        return b"DONE -\r\n"

    def execute(self, request_id: bytes, text: bytes) -> bytes:
        """Runs a prepared statement."""
        _, name, rest = text.split(b" ", 2)
        if name not in self._prepared:
            return self._fail(b"NOSTMT")
        access, shape = self._prepared[name]
        run = self.read if access == b"READ" else self.write
        return run(request_id, access + b" " + rest, shape)

    def reset(self, _: bytes, __: bytes) -> bytes:
        """Clears session values and prepared statements."""
        self._values.clear()
        self._prepared.clear()
        return b"DONE -\r\n"

    def pause(self, _: bytes, text: bytes) -> bytes:
        """Stops a replica from receiving until it is resumed or a target is promoted."""
        term = int(text.split(b" ")[1])
        if term <= max(self._target.group.term, self._target.held_term):
            return b"ERR MALFORMED -\r\n"
        self._target.stopped, self._target.held_term = True, term
        self._target.group.controls.append((self._target.id, "PAUSE"))
        return self.status(b"", b"")

    def resume(self, _: bytes, __: bytes) -> bytes:
        """Lets a stopped replica receive again."""
        self._target.stopped = False
        self._target.group.controls.append((self._target.id, "RESUME"))
        return self.status(b"", b"")

    def status(self, _: bytes, __: bytes) -> bytes:
        """Returns the status row."""
        role = b"primary" if self._target.primary else b"replica"
        term = self._target.group.term
        held_term = self._target.held_term
        return b"ROW %b %d %b %d 0 0 1\r\nDONE -\r\n" % (
            role,
            term,
            self._target.position,
            held_term,
        )

    def _record(self, request_id: bytes, text: bytes, shape: bytes) -> None:
        values = frozenset(self._values.items())
        execution = Execution(self._target.id, request_id, text, shape, values, self._workspace)
        self._target.group.executions.append(execution)


_HANDLERS: dict[bytes, Callable[[TargetStandinSession, bytes, bytes], bytes]] = {
    b"BEGIN": TargetStandinSession.begin,
    b"COMMIT": TargetStandinSession.commit,
    b"ROLLBACK": TargetStandinSession.rollback,
    b"READ": TargetStandinSession.read,
    b"WRITE": TargetStandinSession.write,
    b"SET": TargetStandinSession.set_value,
    b"PREPARE": TargetStandinSession.prepare,
    b"EXEC": TargetStandinSession.execute,
    b"RESET": TargetStandinSession.reset,
    b"STATUS": TargetStandinSession.status,
    b"PAUSE": TargetStandinSession.pause,
    b"RESUME": TargetStandinSession.resume,
}


@attrs.define(eq=False)
class TargetGroup:
    """Targets with copies of one database; commits reach replicas after `lag_s`.

    A commit is acknowledged once `synchronous_replicas` replicas have received it.
    `before_promotion` is called with the target that is about to lead. `controls` are the stops and
    resumptions that targets carried out, and the promotions, by the id of the target.
    """

    name: str
    lag_s: float = 0.02
    synchronous_replicas: int = 0
    term: int = 1
    targets: dict[str, TargetStandin] = attrs.field(factory=dict)
    executions: list[Execution] = attrs.field(factory=list)
    controls: list[tuple[str, str]] = attrs.field(factory=list)
    before_promotion: Callable[[TargetStandin], None] = lambda _: None

    def add(self, target_id: str, address: Address, primary: bool, max_connections: int) -> None:
        """Adds and starts a target."""
        target = TargetStandin(target_id, self, address, primary, max_connections)
        self.targets[target_id] = target
        target.start()

    @property
    def primary(self) -> TargetStandin:
        """The target that is the primary."""
        return next(i for i in self.targets.values() if i.primary)

    def commit(self, target: TargetStandin, writes: list[tuple[bytes, bytes]]) -> None:
        """Appends a commit to the log of `target` and ships it to the other targets."""
        number = (target.log[-1][1] if target.log else 0) + 1
        entries = [(self.term, number, item, data) for item, data in writes]
        target.log += entries
        shipped = list(target.log)
        for replica in self.targets.values():
            if replica is not target:
                gevent.spawn_later(self.lag_s, self._ship, replica, self.term, shipped)
        while self._receipt_count(entries[-1]) < self.synchronous_replicas:
            gevent.sleep(self.lag_s / 2)
            if target.server is None or not target.primary:
                raise ConnectionError("the target ended before the commit was acknowledged")

    def _receipt_count(self, entry: LogEntry) -> int:
        return sum(entry in t.log for t in self.targets.values() if not t.primary)

    def promote(self, target_id: str) -> bool:
        """Makes a running target the primary of the next term."""
        successor = self.targets[target_id]
        if successor.server is None:
            return False
        if not successor.primary:
            self.before_promotion(successor)
            self.controls.append((target_id, "promote"))
            self.term += 1
            for target in self.targets.values():
                target.primary = target is successor
                target.log[:] = target.log[: len(successor.log)]
                target.stopped = False
        return True

    def _ship(self, replica: TargetStandin, term: int, log: list[LogEntry]) -> None:
        """Brings a replica up to the log as it was when a commit was made."""
        receives = not replica.primary and not replica.stopped and not replica.faults.deaf
        if term == self.term and receives and len(replica.log) < len(log):
            replica.log[:] = log
