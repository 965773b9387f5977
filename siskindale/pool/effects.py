"""What the decisions ask the adapter to do, and what the adapter reports back."""

from typing import Any

import attrs
from returns.result import Result

from siskindale.models.bundle import Bundle
from siskindale.models.group import TargetStatus
from siskindale.models.wire import Answer
from siskindale.pool.tables import ConnectionRow, RequestRow, TargetRow, Work
from siskindale.targets.interface import BatchResult, DataConnection, Step, TargetError


@attrs.frozen(eq=False)
class Reply:
    """Send an answer to the sender of a request; `request` is absent if it was not admitted."""

    request: RequestRow | None
    reply: Any
    answer: Answer


@attrs.frozen(eq=False)
class RunBatch:
    """Run a batch on a connection and report `BatchEnded`."""

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
class AskStatus:
    """Request a target's status and report `StatusEnded` with the same `purpose`."""

    target: TargetRow
    purpose: Any
    timeout_s: float


@attrs.frozen(eq=False)
class WaitPosition:
    """Wait until a target holds a position and report `StatusEnded` with the same `purpose`."""

    target: TargetRow
    term: int
    position: int
    purpose: Any
    timeout_s: float


@attrs.frozen(eq=False)
class ReportPrimary:
    """Tell the group's controllers that this pool does not reach the primary of a term."""

    group: str
    term: int


Effect = (
    Reply | RunBatch | OpenConnection | CloseConnection | AskStatus | WaitPosition | ReportPrimary
)


@attrs.frozen(eq=False)
class RequestArrived:
    """A request of an entry; `delay_s` is the time that it spent beyond the fastest message."""

    body: Work
    reply: Any
    delay_s: float


@attrs.frozen(eq=False)
class BatchEnded:
    """Answer or failure of a batch."""

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
class StatusEnded:
    """Status or failure; `sent_at` is the time at which the request was sent."""

    target: TargetRow
    sent_at: float
    purpose: Any
    outcome: Result[TargetStatus, TargetError]


@attrs.frozen(eq=False)
class GroupNoticed:
    """A controller named a new primary; the targets must confirm it."""

    group: str
    term: int


@attrs.frozen(eq=False)
class BundleAdopted:
    """A bundle is in effect."""

    bundle: Bundle


@attrs.frozen(eq=False)
class DirectoryChanged:
    """VMs in rank order by group, and the names of leaving VMs and targets."""

    ranks: dict[str, tuple[str, ...]]
    leaving: frozenset[str]


Event = (
    RequestArrived
    | BatchEnded
    | ConnectionOpened
    | ConnectionFailed
    | ConnectionLost
    | StatusEnded
    | GroupNoticed
    | BundleAdopted
    | DirectoryChanged
)
