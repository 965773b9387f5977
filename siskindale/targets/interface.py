"""Interface of a target.

The operations are assumptions about the users' databases. They occur only here, in the drivers and
in the stand-in.
"""

import enum
from collections.abc import Sequence
from typing import Protocol

import attrs
from returns.result import Result

from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role, TargetStatus
from siskindale.models.wire import Scalar, StatementResult
from siskindale.registry import Registry


class TargetFailure(enum.StrEnum):
    """Kinds of failure of a target request.

    The request may have taken effect only after `UNKNOWN`. `STATEMENT` is an SQL error,
    `CONSTRAINT` a violated constraint; both roll the transaction back. `TERM` rejects an operation
    of an older term, `ROLE` one that the target's role does not allow. `LIMIT` rejects a connection
    above the connection limit.
    """

    UNREACHABLE = "unreachable"
    LIMIT = "limit"
    STATEMENT = "statement"
    CONSTRAINT = "constraint"
    ROLE = "role"
    TERM = "term"
    UNKNOWN = "unknown"


@attrs.frozen
class TargetError:
    """Failure of a target request; `step` is the index of the failed step of a batch.

    A batch that failed at a step other than a `Commit` had no effect. After `UNKNOWN` and
    `UNREACHABLE` the connection is closed.
    """

    kind: TargetFailure
    detail: str
    step: int | None = None


@attrs.frozen
class Begin:
    """Opens a transaction; `mode` is "read" or "write"."""

    mode: str


@attrs.frozen
class Statement:
    """Runs one SQL statement with positional parameters."""

    sql: str
    params: tuple[Scalar, ...] = ()


@attrs.frozen
class Commit:
    """Commits the open transaction."""


@attrs.frozen
class Rollback:
    """Rolls the open transaction back."""


Step = Begin | Statement | Commit | Rollback


@attrs.frozen
class BatchResult:
    """Results of all steps of a batch, None for steps other than statements.

    `at` is the log position of the commit, or the position that a read saw. `term` and `matched`
    are the target's values at that time.
    """

    results: tuple[StatementResult | None, ...]
    term: int
    at: LogPosition
    role: Role
    matched: bool


class DataConnection(Protocol):
    """A scarce connection with its own transaction state; used by one greenlet at a time."""

    @property
    def usable(self) -> bool:
        """Whether a batch may be sent: the connection is open and no answer is outstanding."""
        ...

    def run(self, steps: Sequence[Step], timeout_s: float) -> Result[BatchResult, TargetError]:
        """Runs the steps of a batch in order up to the first error.

        Outside a transaction, a batch without `Begin` runs in a transaction of its own, which needs
        no write access if it only reads. After a timeout, the outcome is unknown and the connection
        is closed.
        """
        ...

    def close(self) -> None:
        """Closes the connection; the target rolls back the open transaction, if any."""
        ...


class ControlClient(Protocol):
    """Administers a target over persistent connections that do not count against its limit.

    Calls may run concurrently.
    """

    def status(self, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Returns the target's status."""
        ...

    def wait_position(
        self, term: int, position: int, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Returns the status once the matched log of `term` holds `position`.

        Also returns it as soon as the target's term differs, and at the timeout.
        """
        ...

    def fence(self, term: int, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Fences the target in a term above its own; fails with `TERM` if it is not higher."""
        ...

    def promote(
        self, term: int, voters: tuple[str, ...], timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes a target that is fenced at exactly `term` the primary and writes the marker."""
        ...

    def follow(
        self, term: int, primary: Target, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes the target a replica of `primary` in its own term or a newer one."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


class TargetDriver(Protocol):
    """Opens connections to targets.

    `client_kind` ("pools" or "controllers") and `client_name` identify the caller in requests.
    """

    def __init__(self, client_kind: str = "", client_name: str = "") -> None: ...

    def connect(self, target: Target, timeout_s: float) -> Result[DataConnection, TargetError]:
        """Opens a data connection; this takes the target's connection time."""
        ...

    def control(self, target: Target) -> ControlClient:
        """Returns a control client, which connects on first use."""
        ...


TARGET_DRIVERS: Registry[type[TargetDriver]] = Registry("target driver")
