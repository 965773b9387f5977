"""Connections to targets and the exchange of messages on them."""

import contextlib
import socket as system_socket
import struct
from collections.abc import Iterable

import attrs
import gevent
from gevent import socket

from siskindale.context import SuspendAwareClock
from siskindale.models.group import LogPosition
from siskindale.models.statements import ErrorCode, Reply, SessionState
from siskindale.platform import wire
from siskindale.proxy.decisions.session_state import (
    ConnectionValues,
    Prepare,
    Reset,
    SetValue,
)
from siskindale.proxy.tables import Target
from siskindale.transport.sockets import PeekResult, peek_socket

now = SuspendAwareClock().monotonic

# Data unacknowledged for this long ends the connection, even if the target sends no reset.
TCP_USER_TIMEOUT_MS = 4000

# The network answers within milliseconds, but the start of a session waits for a slot.
CONNECT_TIMEOUT_S = 0.3
START_TIMEOUT_S = 1.0


class ConnectTimeoutError(Exception):
    """No answer came from the target's address in time."""


class ConnectRefusedError(Exception):
    """Nothing listens at the target's address."""


class StartRefusedError(Exception):
    """The target refused to start the session; `reply` holds the reason."""

    def __init__(self, reply: Reply) -> None:
        super().__init__(str(reply.error))
        self.reply = reply


class ReplyTimeoutError(Exception):
    """The target did not reply in time; the reply may still come."""


@attrs.define(eq=False)
class TargetConnection:
    """A connection to `target`, used by one statement at a time.

    All of its statements run in the name of `workspace`. While it is `resting`, it is in use by a
    transaction that waits for its client.
    """

    target: Target
    _socket: socket.socket
    _reader: wire.LineReader
    values: ConnectionValues = attrs.field(factory=ConnectionValues)
    used_at: float = 0.0
    state: SessionState = SessionState.IDLE
    closed: bool = False
    outstanding_replies: int = 0
    workspace: str = ""
    in_use: bool = False
    resting: bool = False

    @classmethod
    def open(cls, target: Target, workspace: str = "") -> "TargetConnection":
        """Opens a connection.

        Raises `ConnectRefusedError` or `ConnectTimeoutError` where nothing answers at the address,
        `StartRefusedError`, or another `OSError` where the start of the session fails.
        """
        address = target.entry.address
        try:
            sock = socket.create_connection((address.host, address.port), CONNECT_TIMEOUT_S)
        except TimeoutError as error:
            raise ConnectTimeoutError(str(address)) from error
        except ConnectionRefusedError as error:
            raise ConnectRefusedError(str(address)) from error
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        sock.setsockopt(
            system_socket.IPPROTO_TCP, system_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        connection = cls(target, sock, wire.LineReader(sock), workspace=workspace)
        try:
            connection._start()
        except BaseException:
            connection.close()
            raise
        return connection

    @property
    def reusable(self) -> bool:
        """Whether a statement may be sent: open, with known values, no reply due or unread."""
        if self.closed or self.values.uncertain:
            return False
        if self._reader.has_unread_bytes or self.outstanding_replies:
            return False
        return peek_socket(self._socket) is PeekResult.NOTHING

    def close(self) -> None:
        """Closes the connection; the target then rolls back an open transaction."""
        self.closed = True
        self._socket.close()

    def abort(self) -> None:
        """Breaks the connection off; a greenlet that waits for its reply gets an error."""
        # The target may have closed it first.
        with contextlib.suppress(OSError):
            self._socket.shutdown(system_socket.SHUT_RDWR)

    def withdraw(self) -> None:
        """Lets the next close drop what the target's host has not received, by a reset."""
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                system_socket.SOL_SOCKET, system_socket.SO_LINGER, struct.pack("ii", 1, 0)
            )

    def rest(self) -> None:
        """Records that its transaction waits for the client."""
        self.resting = True
        self.target.idle_transaction_count += 1

    def resume(self) -> None:
        """Records that its transaction runs a statement again, or ends."""
        self.resting = False
        self.target.idle_transaction_count -= 1

    def _start(self) -> None:
        entry = self.target.entry
        self._socket.settimeout(START_TIMEOUT_S)
        self._socket.sendall(wire.encode_start(entry.group, entry.id, self.workspace))
        reply = wire.read_start_reply(self._reader)
        if reply.error is not None:
            raise StartRefusedError(reply)
        self._socket.settimeout(None)

    def send(self, messages: Iterable[bytes]) -> None:
        """Sends messages in one write; each of them gets one reply."""
        batch = list(messages)
        self.outstanding_replies += len(batch)
        if self.target.silent_since is None:
            self.target.silent_since = now()
        self._socket.sendall(b"".join(batch))

    def receive(self, timeout_s: float) -> Reply:
        """Reads the next reply; raises `ReplyTimeoutError`, `OSError` or `wire.ProtocolError`."""
        with gevent.Timeout(max(timeout_s, 0.001), ReplyTimeoutError):
            reply = wire.read_reply(self._reader)
        self.outstanding_replies -= 1
        self.state = reply.state
        if reply.error is ErrorCode.UNKNOWN_PREPARED:
            # Only names that count as prepared are executed.
            self.values.uncertain = True
        replies_due = self.target.in_flight > 1 or self.outstanding_replies
        self.target.silent_since = now() if replies_due else None
        return reply


def encode_step(step: Reset | SetValue | Prepare) -> bytes:
    """Returns the message for one step of `session_state.preparation_steps`."""
    if isinstance(step, SetValue):
        return wire.encode_set(step.name, step.value)
    if isinstance(step, Prepare):
        return wire.encode_prepare(step.name, step.prepared)
    return wire.encode_reset()


def probe_primary(connection: TargetConnection, timeout_s: float) -> LogPosition | None:
    """Returns the end of the target's log if it is the primary, None if it is not.

    Only a primary starts a read-write transaction, and starting one takes no slot.
    """
    connection.send([wire.encode_begin(read_only=False), wire.encode_rollback()])
    begun = connection.receive(timeout_s)
    connection.receive(timeout_s)
    return begun.position if begun.succeeded else None
