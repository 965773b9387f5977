"""Effects that the engine requests from the adapter, and events that the adapter reports."""

from typing import Any

import attrs
from returns.result import Result

from siskindale.models.bundle import Bundle
from siskindale.models.group import TargetStatus
from siskindale.models.wire import Answer
from siskindale.pool.tables import ConnectionRow, RequestBody, RequestRow, TargetRow
from siskindale.targets.interface import BatchResult, DataConnection, Step, TargetError


@attrs.frozen(eq=False)
class Reply:
    """Send an answer to the sender of a request; `request` is None if it was not admitted."""

    request: RequestRow | None
    reply_handle: Any
    answer: Answer


@attrs.frozen(eq=False)
class RunBatch:
    """Run a batch on a connection and report `BatchCompleted`."""

    connection: ConnectionRow
    steps: tuple[Step, ...]
    timeout_s: float


@attrs.frozen(eq=False)
class OpenConnection:
    """Open a data connection and report `ConnectionOpened` or `ConnectionFailed`."""

    target: TargetRow


@attrs.frozen(eq=False)
class CloseConnection:
    """Close a data connection; nothing is reported."""

    connection: ConnectionRow


@attrs.frozen(eq=False)
class RequestStatus:
    """Request a target's status and report `StatusCompleted` with the same `purpose`."""

    target: TargetRow
    purpose: Any
    timeout_s: float


@attrs.frozen(eq=False)
class WaitForPosition:
    """Wait until a target holds a position and report `StatusCompleted` with the same `purpose`."""

    target: TargetRow
    term: int
    position: int
    purpose: Any
    timeout_s: float


@attrs.frozen(eq=False)
class ReportUnreachablePrimary:
    """Tell the group's controllers that this pool cannot reach the primary of a term."""

    group: str
    term: int


Effect = (
    Reply
    | RunBatch
    | OpenConnection
    | CloseConnection
    | RequestStatus
    | WaitForPosition
    | ReportUnreachablePrimary
)


@attrs.frozen(eq=False)
class RequestArrived:
    """A request from an entry; `delay_s` is its transit time beyond that of the fastest message."""

    body: RequestBody
    reply_handle: Any
    delay_s: float


@attrs.frozen(eq=False)
class BatchCompleted:
    """A batch was answered or failed."""

    connection: ConnectionRow
    outcome: Result[BatchResult, TargetError]


@attrs.frozen(eq=False)
class ConnectionOpened:
    """A connection to a target is open."""

    target: TargetRow
    handle: DataConnection


@attrs.frozen(eq=False)
class ConnectionFailed:
    """A connection to a target could not be opened."""

    target: TargetRow
    error: TargetError


@attrs.frozen(eq=False)
class ConnectionLost:
    """The target has closed an idle connection."""

    connection: ConnectionRow


@attrs.frozen(eq=False)
class StatusCompleted:
    """A status request was answered or failed; `sent_at` is the time at which it was sent."""

    target: TargetRow
    sent_at: float
    purpose: Any
    outcome: Result[TargetStatus, TargetError]


@attrs.frozen(eq=False)
class PrimaryAnnounced:
    """A controller announced a new primary, which the targets have yet to confirm."""

    group: str
    term: int


@attrs.frozen(eq=False)
class BundleAdopted:
    """A bundle has taken effect."""

    bundle: Bundle


@attrs.frozen(eq=False)
class DirectoryChanged:
    """VMs of each group in rank order, and the names of leaving VMs and targets."""

    ranks: dict[str, tuple[str, ...]]
    leaving: frozenset[str]


Event = (
    RequestArrived
    | BatchCompleted
    | ConnectionOpened
    | ConnectionFailed
    | ConnectionLost
    | StatusCompleted
    | PrimaryAnnounced
    | BundleAdopted
    | DirectoryChanged
)
