"""Messages between the entry, pool and controller programs.

Each message is an attrs class registered under a stable kind. msgspec encodes them as MessagePack;
`Envelope.kind` selects the class, because msgspec supports tagged unions of its own structs only.
"""

import attrs

from siskindale.models.group import LogPosition
from siskindale.models.member import Member
from siskindale.models.messages import message
from siskindale.models.outcomes import Outcome, Refusal

Scalar = None | bool | int | float | str


@message("statement")
@attrs.frozen
class StatementRequest:
    """One statement in a transaction of its own.

    `access` is "read" or "write"; `max_age_ms` is the maximum age of the data, absent for a
    strongly consistent read. `token` is the log position that the session has seen. `budget_ms` is
    the time until the deadline. `key` is the idempotency key and `digest` the hash of the request
    that it identifies.
    """

    request_id: str
    caller: str
    group: str
    statement_class: str
    access: str
    sql: str
    params: tuple[Scalar, ...]
    budget_ms: float
    bundle_version: int
    token: LogPosition = LogPosition()
    max_age_ms: float | None = None
    key: str | None = None
    digest: str = ""
    excluded_pools: tuple[str, ...] = ()


@message("begin")
@attrs.frozen
class BeginRequest:
    """Opens a transaction on the primary; the answer contains its id."""

    request_id: str
    caller: str
    group: str
    statement_class: str
    budget_ms: float
    bundle_version: int
    token: LogPosition = LogPosition()
    excluded_pools: tuple[str, ...] = ()


@message("transaction-statement")
@attrs.frozen
class TransactionStatement:
    """One statement inside an open transaction."""

    request_id: str
    caller: str
    transaction: str
    sql: str
    params: tuple[Scalar, ...]
    budget_ms: float


@message("finish")
@attrs.frozen
class FinishRequest:
    """Commits or rolls back an open transaction."""

    request_id: str
    caller: str
    transaction: str
    commit: bool
    budget_ms: float


@attrs.frozen
class StatementResult:
    """Result of a statement; `row_count` is the number of rows returned or changed."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    row_count: int = 0


@message("answer")
@attrs.frozen
class Answer:
    """Answer of a pool to any request of an entry.

    `position` is the log position that the session has seen afterwards. `age_ms` is a proven
    upper bound on the age of the data.
    """

    request_id: str
    outcome: Outcome
    result: StatementResult | None = None
    refusal: Refusal | None = None
    transaction: str | None = None
    position: LogPosition = LogPosition()
    target: str = ""
    role: str = ""
    age_ms: float | None = None


@message("head-notice")
@attrs.frozen
class HeadNotice:
    """Newest bundle that the sender knows; `age_ms` is the time since the store confirmed it.

    `delta` is the SHA-256 of the delta from the body of the previous version, empty if there is
    none.
    """

    version: int
    digest: str
    age_ms: float
    delta: str = ""


@message("head-request")
@attrs.frozen
class HeadRequest:
    """Asks a peer for a `HeadNotice` with the same correlation id.

    Only a notice that answers a request bounds the age, because the receiver counts the time since
    its request and so includes time in queues.
    """


@message("sight-request")
@attrs.frozen
class PrimaryCheckRequest:
    """Asks another controller whether it has also lost the primary of a group."""

    group: str
    term: int
    primary: str


@message("sight-reply")
@attrs.frozen
class PrimaryCheckReply:
    """Answer to `PrimaryCheckRequest`; `lost` is about the primary named in the request."""

    group: str
    term: int
    primary: str
    lost: bool


@message("group-notice")
@attrs.frozen
class GroupNotice:
    """Announces a new primary to pools, which still confirm it with the targets."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


@message("primary-report")
@attrs.frozen
class PrimaryReport:
    """Tells the controllers of a group that a pool reaches a majority but not the primary."""

    group: str
    term: int


@message("directory-request")
@attrs.frozen
class DirectoryRequest:
    """Asks the controller of the same VM for its directory if it is no longer at `revision`."""

    controller_boot: str
    revision: int


@message("directory-notice")
@attrs.frozen
class DirectoryNotice:
    """Directory of a controller, for the programs of its VM.

    `members` is absent if nothing has changed since the revision in the request; `live` is absent
    while the controller does not know the live list.
    """

    revision: int
    members: tuple[Member, ...] | None = None
    live: tuple[str, ...] | None = None
    leaving: tuple[str, ...] = ()


@message("drain-notice")
@attrs.frozen
class DrainNotice:
    """Announces that the sender accepts no new work."""

    program: str


@message("alive-request")
@attrs.frozen
class AliveRequest:
    """Liveness probe, answered at once so that a slow statement does not look like a dead pool."""


@message("alive-reply")
@attrs.frozen
class AliveReply:
    """Answer to `AliveRequest`; also sent by a pool to all entries when it becomes ready."""
