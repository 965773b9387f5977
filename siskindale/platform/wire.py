"""Codec of the session protocol, which clients and targets speak.

A message is a line of a word and its fields, ended by CR LF. Some words differ from the names of
the product: the error `BUSY` is an overload, `MISROUTED` a wrong target, `TOOMANY` too many
connections, `NOSTMT` an unknown prepared statement and `UNKNOWN` an unknown outcome. `AFTER` gives
the log position that the target must have reached to run the statement.
"""

import attrs
from gevent import socket

from siskindale.models.group import LogPosition
from siskindale.models.statements import (
    Access,
    ErrorCode,
    PreparedStatement,
    Reply,
    SessionState,
    Statement,
    Verb,
)

MAX_MESSAGE_BYTES = 1 << 20
READ_CHUNK_BYTES = 1 << 16
# Stands for an absent position or receipt, and is the request id of statements of the proxy itself.
ABSENT = b"-"
# Numbers of so many digits fit into 64 bits.
MAX_NUMBER_DIGITS = 18
CLOSE = b"CLOSE\r\n"
# Stands for the workspace on connections that serve no particular one.
_NO_WORKSPACE = "siskindale"

_ERROR_CODES = {
    b"BUSY": ErrorCode.OVERLOADED,
    b"ABORTED": ErrorCode.ABORTED,
    b"LAGGING": ErrorCode.LAGGING,
    b"READONLY": ErrorCode.READ_ONLY,
    b"MISROUTED": ErrorCode.WRONG_TARGET,
    b"TOOMANY": ErrorCode.TOO_MANY_CONNECTIONS,
    b"FAILED": ErrorCode.FAILED,
    b"NOSTMT": ErrorCode.UNKNOWN_PREPARED,
    b"TIMEOUT": ErrorCode.TIMEOUT,
    b"NOAUTH": ErrorCode.UNAUTHORIZED,
    b"NODB": ErrorCode.UNKNOWN_DATABASE,
    b"TOOBIG": ErrorCode.TOO_LARGE,
    b"MALFORMED": ErrorCode.MALFORMED,
    b"UNKNOWN": ErrorCode.OUTCOME_UNKNOWN,
}
_ERROR_WORDS = {code: word for word, code in _ERROR_CODES.items()}
_STATES = {b"I": SessionState.IDLE, b"T": SessionState.OPEN, b"E": SessionState.FAILED}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ACCESS = {b"READ": Access.READ, b"WRITE": Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS.items()}


class ProtocolError(Exception):
    """The peer violated the protocol."""


class LineReader:
    """Reads lines from a socket, independent of how they are split into segments."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._buffer = bytearray()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes were received that belong to no line read so far."""
        return bool(self._buffer)

    def read_line(self) -> bytes | None:
        """Returns the next line without CR LF, None at the end of the stream.

        Raises `OSError` of the socket, and `ProtocolError` for a line over `MAX_MESSAGE_BYTES`.
        """
        searched = 0
        while True:
            end = self._buffer.find(b"\r\n", max(0, searched - 1))
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + 2]
                return line
            searched = len(self._buffer)
            if searched > MAX_MESSAGE_BYTES:
                raise ProtocolError("message is too long")
            data = self._socket.recv(READ_CHUNK_BYTES)
            if not data:
                return None
            self._buffer += data


@attrs.frozen
class ClientStart:
    """First message of a client: the database that it asks for, and its key."""

    database: str
    key: str


def decode_start(line: bytes) -> ClientStart:
    """Decodes the first message of a client."""
    words = line.split(b" ", 2)
    if len(words) < 3 or words[0] != b"START":
        raise ProtocolError("expected START")
    try:
        return ClientStart(words[1].decode("ascii"), words[2].decode("ascii"))
    except UnicodeDecodeError as error:
        raise ProtocolError("database name or key is not ASCII") from error


def decode_request(line: bytes) -> Statement | None:
    """Decodes a client's request; returns None for the end of the session."""
    if line == b"CLOSE" or line.startswith(b"CLOSE "):
        return None
    words = line.split(b" ", 2)
    if len(words) != 3 or words[0] != b"QUERY" or not words[1] or words[1] == ABSENT:
        raise ProtocolError("expected QUERY or CLOSE")
    return _parse_statement(words[1], words[2])


def _parse_statement(request_id: bytes, text: bytes) -> Statement:
    word, _, rest = text.partition(b" ")
    verb = _VERBS_WITHOUT_ARGUMENTS.get(text)
    if verb is not None:
        return Statement(request_id, verb, text)
    if word == b"READ" and rest:
        return Statement(request_id, Verb.READ, text, argument=rest, access=Access.READ)
    if word == b"WRITE" and rest:
        return Statement(request_id, Verb.WRITE, text, argument=rest, access=Access.WRITE)
    name, _, argument = rest.partition(b" ")
    if word == b"SET" and name:
        return Statement(request_id, Verb.SET, text, name, argument)
    if word == b"EXEC" and name and argument:
        return Statement(request_id, Verb.EXECUTE, text, name, argument)
    if word == b"DEALLOC" and name and not argument:
        return Statement(request_id, Verb.DEALLOCATE, text, name)
    access, _, shape = argument.partition(b" ")
    if word == b"PREPARE" and name and access in _ACCESS and shape:
        return Statement(request_id, Verb.PREPARE, text, name, shape, _ACCESS[access])
    return Statement(request_id, Verb.INVALID, text)


_VERBS_WITHOUT_ARGUMENTS = {
    b"BEGIN": Verb.BEGIN,
    b"BEGIN READ": Verb.BEGIN_READ_ONLY,
    b"COMMIT": Verb.COMMIT,
    b"ROLLBACK": Verb.ROLLBACK,
}


def encode_ready(state: SessionState, position: LogPosition | None = None) -> bytes:
    """Returns the message that ends each reply."""
    return b"READY %b %b\r\n" % (_STATE_WORDS[state], _encode_position(position))


def encode_error(code: ErrorCode, detail: bytes) -> bytes:
    """Returns an error message; `encode_ready` gives the message that ends its reply."""
    return b"ERR %b %b\r\n" % (_ERROR_WORDS[code], detail or b"-")


def encode_reply(reply: Reply) -> bytes:
    """Returns a complete reply to a client."""
    if reply.error is not None:
        return encode_error(reply.error, reply.detail) + encode_ready(reply.state, reply.position)
    rows = b"".join(b"ROW %b\r\n" % row for row in reply.rows)
    receipt = ABSENT if reply.receipt is None else reply.receipt
    return rows + b"DONE %b\r\n" % receipt + encode_ready(reply.state, reply.position)


def _encode_position(position: LogPosition | None) -> bytes:
    return ABSENT if position is None else b"%d.%d" % (position.term, position.position)


def encode_start(group: str, target_id: str, workspace: str = "") -> bytes:
    """Returns the first message to a target, which refuses one for another group or id.

    All statements of the connection run in the name of `workspace`.
    """
    return f"START {group} {workspace or _NO_WORKSPACE} {target_id}\r\n".encode("ascii")


def encode_statement(
    statement: Statement, prepared_name: bytes = b"", minimum: LogPosition | None = None
) -> bytes:
    """Returns the message that forwards a client's statement, with its id and text unchanged.

    The execution of a prepared statement uses `prepared_name`. A read with `minimum` runs only if
    the target's log has that position.
    """
    text = statement.text
    if statement.verb is Verb.EXECUTE:
        text = b"EXEC %b %b" % (prepared_name, statement.argument)
    return _encode_query(statement.request_id, text, minimum)


def encode_begin(read_only: bool, minimum: LogPosition | None = None) -> bytes:
    """Returns the statement that starts a transaction for the proxy itself."""
    return _encode_query(ABSENT, b"BEGIN READ" if read_only else b"BEGIN", minimum)


def encode_rollback() -> bytes:
    """Returns the statement that rolls back a transaction for the proxy itself."""
    return _encode_query(ABSENT, b"ROLLBACK")


def encode_reset() -> bytes:
    """Returns the statement that clears session values and prepared statements."""
    return _encode_query(ABSENT, b"RESET")


def encode_set(name: bytes, value: bytes) -> bytes:
    """Returns the statement that sets a session value."""
    return _encode_query(ABSENT, b"SET %b %b" % (name, value))


def encode_prepare(name: bytes, prepared: PreparedStatement) -> bytes:
    """Returns the statement that creates a prepared statement."""
    access = _ACCESS_WORDS[prepared.access]
    return _encode_query(ABSENT, b"PREPARE %b %b %b" % (name, access, prepared.shape))


def encode_status() -> bytes:
    """Returns the statement that asks for a target's status; it takes a slot."""
    return _encode_query(ABSENT, b"STATUS")


def encode_pause(term: int) -> bytes:
    """Returns the statement that stops a replica from receiving, with a term above the newest."""
    return _encode_query(ABSENT, b"PAUSE %d" % term)


def encode_resume() -> bytes:
    """Returns the statement that lets a stopped replica receive again."""
    return _encode_query(ABSENT, b"RESUME")


def _encode_query(request_id: bytes, text: bytes, minimum: LogPosition | None = None) -> bytes:
    if minimum is not None:
        return b"QUERY %b AFTER %b %b\r\n" % (request_id, _encode_position(minimum), text)
    return b"QUERY %b %b\r\n" % (request_id, text)


def read_reply(reader: LineReader) -> Reply:
    """Reads one complete reply of a target.

    Raises `ConnectionError` if the stream ends within the reply, `ProtocolError` for an unexpected
    message.
    """
    reply = Reply()
    while True:
        line = reader.read_line()
        if line is None:
            raise ConnectionError("connection was closed before the reply was complete")
        word, _, rest = line.partition(b" ")
        if word == b"ROW":
            reply.rows.append(rest)
        elif word == b"DONE":
            reply.receipt = rest
        elif word == b"ERR":
            code, _, reply.detail = rest.partition(b" ")
            reply.error = _ERROR_CODES.get(code, ErrorCode.FAILED)
        elif word == b"READY":
            return _decode_ready(reply, rest)
        else:
            raise ProtocolError(f"unexpected message {word[:20]!r}")


def _decode_ready(reply: Reply, rest: bytes) -> Reply:
    state, _, position = rest.partition(b" ")
    if state not in _STATES:
        raise ProtocolError(f"unknown session state {state[:20]!r}")
    reply.state = _STATES[state]
    reply.position = decode_position(position)
    return reply


def read_start_reply(reader: LineReader) -> Reply:
    """Reads the reply to the first message; after an error the target closes the connection."""
    line = reader.read_line()
    if line is None:
        raise ConnectionError("connection was closed before the session started")
    word, _, rest = line.partition(b" ")
    if word == b"READY":
        return _decode_ready(Reply(), rest)
    if word != b"ERR":
        raise ProtocolError(f"unexpected message {word[:20]!r}")
    code, _, detail = rest.partition(b" ")
    return Reply(error=_ERROR_CODES.get(code, ErrorCode.FAILED), detail=detail)


def decode_position(text: bytes) -> LogPosition | None:
    """Decodes a log position; returns None if the text is not one."""
    term, _, number = text.partition(b".")
    numbers = _decode_number(term), _decode_number(number)
    return None if None in numbers else LogPosition(*numbers)  # type: ignore[arg-type]


def _decode_number(text: bytes) -> int | None:
    """Decodes a number that fits into messages between VMs; returns None for any other text."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        return None
    return int(text)


@attrs.frozen
class TargetStatus:
    """What a target says of its log: how far it has received it, and the newest term it knows.

    `leads` if it sees itself as the primary.
    """

    received: LogPosition
    newest_term: int
    leads: bool = False


def decode_status(row: bytes) -> TargetStatus | None:
    """Decodes a status row: role, term, received position, term held and counters."""
    fields = row.split(b" ")
    if len(fields) < 4:
        return None
    terms = _decode_number(fields[1]), _decode_number(fields[3])
    received = decode_position(fields[2])
    if received is None or terms[0] is None or terms[1] is None:
        return None
    return TargetStatus(received, max(terms[0], terms[1]), fields[0] == b"primary")
