"""Messages between the programs.

Each message is an attrs class registered under a stable kind. msgspec encodes them as MessagePack;
`Envelope.kind` selects the class, because msgspec tags unions of its own structs only.
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

    `access` is "read" or "write"; `max_age_ms` is the age of data that is accepted, absent for a
    strongly consistent read. `token` is the position that the session has seen. `budget_ms` is the
    time left. `key` is the idempotency key and `digest` the hash of the request that it stands for.
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
    """Opens a transaction on the primary; the answer carries its id."""

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
    """Rows of a statement; `row_count` is the number of rows returned or changed."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    row_count: int = 0


@message("answer")
@attrs.frozen
class Answer:
    """Answer of a pool to any request of an entry.

    `position` is what the session has seen after it. `age_ms` is the proved bound on the age of the
    data.
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

    `delta` is the SHA-256 of the delta from the body of the version before, empty without one.
    """

    version: int
    digest: str
    age_ms: float
    delta: str = ""


@message("head-request")
@attrs.frozen
class HeadRequest:
    """Asks a peer for a `HeadNotice` with the same correlation id.

    Only an answered notice proves an age: time in queues before it counts from the request on.
    """


@message("sight-request")
@attrs.frozen
class SightRequest:
    """Asks another controller whether it has lost the primary of a group too."""

    group: str
    term: int
    primary: str


@message("sight-reply")
@attrs.frozen
class SightReply:
    """Answer to `SightRequest`; `lost` speaks of the primary named there."""

    group: str
    term: int
    primary: str
    lost: bool


@message("group-notice")
@attrs.frozen
class GroupNotice:
    """Tells pools of a new primary; they still confirm it with the targets."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


@message("primary-report")
@attrs.frozen
class PrimaryReport:
    """A pool tells the controllers of a group that it reaches a majority without the primary."""

    group: str
    term: int


@message("directory-request")
@attrs.frozen
class DirectoryRequest:
    """Asks the controller of the own VM for its directory unless it is still at `revision`."""

    controller_boot: str
    revision: int


@message("directory-notice")
@attrs.frozen
class DirectoryNotice:
    """Directory of a controller, for the programs of its VM.

    `members` is absent when nothing has changed since the revision that was asked for; `live` is
    absent while the controller does not know the live list.
    """

    revision: int
    members: tuple[Member, ...] | None = None
    live: tuple[str, ...] | None = None
    leaving: tuple[str, ...] = ()


@message("drain-notice")
@attrs.frozen
class DrainNotice:
    """The sender takes no new work from now on."""

    program: str


@message("alive-request")
@attrs.frozen
class AliveRequest:
    """Asks for a sign of life, answered at once: a slow statement is no silent pool."""


@message("alive-reply")
@attrs.frozen
class AliveReply:
    """Answer to `AliveRequest`; also sent by a pool to all entries when it becomes ready."""
