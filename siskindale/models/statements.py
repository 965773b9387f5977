"""Statements of client sessions and the replies to them."""

import enum

import attrs

from siskindale.models.group import LogPosition


class Verb(enum.Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin-read-only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    INVALID = "invalid"


class Access(enum.Enum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class SessionState(enum.Enum):
    """Transaction state of a session; a failed transaction can only be ended."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Errors that a target or the proxy reports for a statement."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read-only"
    WRONG_TARGET = "wrong-target"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    FAILED = "failed"
    UNKNOWN_PREPARED = "unknown-prepared"
    TIMEOUT = "timeout"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_DATABASE = "unknown-database"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    OUTCOME_UNKNOWN = "outcome-unknown"


@attrs.frozen
class Statement:
    """One statement of a client.

    `text` is what the client sent. `name` is the name of a session value or a prepared statement,
    `argument` is the session value, the shape of a prepared statement or the arguments of an
    execution.
    """

    request_id: bytes
    verb: Verb
    text: bytes
    name: bytes = b""
    argument: bytes = b""
    access: Access | None = None


@attrs.frozen
class PreparedStatement:
    """Prepared statement; equal ones share one name on the connections to targets."""

    access: Access
    shape: bytes


@attrs.define
class Reply:
    """Complete reply of a target or of the proxy to one statement.

    `rows` and `receipt` are forwarded unchanged. `position` is the end of the target's log at the
    time of the reply, absent in the proxy's own replies. `owner`, `target` and `attempts` are for
    logs: the VM that it was forwarded to, where the statement ran and how often.
    """

    rows: list[bytes] = attrs.field(factory=list)
    receipt: bytes | None = None
    error: ErrorCode | None = None
    detail: bytes = b""
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None
    target: str = ""
    attempts: int = 0
    owner: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the statement was completed."""
        return self.error is None and self.receipt is not None
