"""Tables of the pool: rows of attrs classes without decisions."""

import enum
import math
from collections import deque
from typing import Any

import attrs

from siskindale.models.bundle import Bundle, Group, StatementClass, Target, TargetState
from siskindale.models.group import LogPosition, TargetStatus
from siskindale.models.settings import Settings
from siskindale.models.wire import (
    BeginRequest,
    FinishRequest,
    StatementRequest,
    StatementResult,
    TransactionStatement,
)
from siskindale.targets.interface import BatchResult

Work = StatementRequest | BeginRequest | TransactionStatement | FinishRequest


class Lane(enum.Enum):
    """What a request waits for; a write may wait for locks that do not concern a read."""

    READ = "read"
    WRITE = "write"
    REPLICA = "replica"


class Stage(enum.Enum):
    """Batch that a request runs or runs next."""

    READ = "read"
    REPLICA_READ = "replica-read"
    WRITE = "write"
    KEY_INSERT = "key-insert"
    KEY_RECORD = "key-record"
    KEY_LOOKUP = "key-lookup"
    SCHEMA = "schema"
    BEGIN = "begin"
    TRANSACTION_STATEMENT = "transaction-statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    PRUNE = "prune"


LANES = {
    Stage.READ: Lane.READ,
    Stage.KEY_LOOKUP: Lane.READ,
    Stage.REPLICA_READ: Lane.REPLICA,
}


class Phase(enum.Enum):
    """Progress of a request."""

    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"
    WAITING = "waiting"
    ENDED = "ended"


@attrs.define(eq=False)
class ConnectionRow:
    """Data connection; `transaction` is the transaction that it is reserved for.

    `handle` is the driver's connection, which decisions only pass on.
    """

    number: int
    target: "TargetRow"
    handle: Any
    busy: bool = False
    closed: bool = False
    request: "RequestRow | None" = None
    transaction: "TransactionRow | None" = None


@attrs.define(eq=False)
class TargetRow:
    """Target of a group with the pool's share of its slots and connections.

    `running` counts batches in progress, `reading` the reads among them, `opening` connections
    being opened. `held` and
    `confirmed_at` belong to the group's term: the highest position that the target reported as
    matched, and the latest sending time (seconds) of a request that it answered in that term.
    `reached_at` is that of a status request that it answered in any term, 0 before the first.
    """

    definition: Target
    group: "GroupRow"
    state: TargetState = TargetState.ACTIVE
    slots: int = 1
    connections: int = 1
    running: int = 0
    reading: int = 0
    opening: int = 0
    open: dict[int, ConnectionRow] = attrs.field(factory=dict)
    idle: list[ConnectionRow] = attrs.field(factory=list)
    avoided_until: float = 0.0
    failures: int = 0
    open_after: float = 0.0
    leaving_since: float | None = None
    status: TargetStatus | None = None
    status_at: float = 0.0
    reached_at: float = 0.0
    held: int = -1
    confirmed_at: float = -1.0
    applied: int = -1
    service_s: float = 0.002
    polling: bool = False
    waiting: bool = False
    wait_sent_at: float = -1.0
    probing: bool = False
    probe_sent_at: float = -1.0
    distance: int = 0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.definition.name


@attrs.define(eq=False)
class SampleRow:
    """Freshness proof: no write acknowledged before `at` lies above `position` in `term`."""

    at: float
    term: int
    position: int


@attrs.define(eq=False)
class SamplingRow:
    """Sample in progress; `responders` are the targets that answered in the term."""

    at: float
    term: int
    position: int | None = None
    responders: set[str] = attrs.field(factory=set)
    outstanding: int = 0


@attrs.define(eq=False)
class QueueRow:
    """Bounded queue of one class and lane; `deficit` grows while others are served.

    `waiting` is a heap by rank; `live` counts the requests in it that have not ended meanwhile.
    """

    statement_class: StatementClass
    waiting: "list[tuple[float, int, RequestRow]]" = attrs.field(factory=list)
    live: int = 0
    deficit: float = 0.0


@attrs.define(eq=False)
class GroupRow:
    """Group that this pool serves, with its term and everything that waits in it.

    `rank` is the pool's place among the pools of the group. `durable` is the position that a
    majority of the voters holds in `term`; `fresh_since` the time (seconds) after which a
    majority has confirmed the term.
    """

    definition: Group
    rank: int | None = None
    substitute_until: float = 0.0
    substitute_rank: int = 0
    targets: dict[str, TargetRow] = attrs.field(factory=dict)
    queues: dict[Lane, dict[str, QueueRow]] = attrs.field(factory=dict)
    term: int = 0
    primary: TargetRow | None = None
    voters: tuple[str, ...] = ()
    previous_voters: tuple[str, ...] = ()
    marker: int = 0
    writable: bool = False
    highest_term: int = 0
    read_sent_at: float = -1.0
    confirm_due: float = math.inf
    highest_pending: int = -1
    durable: int = -1
    fresh_since: float = -1.0
    by_since: list[tuple[float, int, "RequestRow"]] = attrs.field(factory=list)
    by_position: list[tuple[int, int, "RequestRow"]] = attrs.field(factory=list)
    later_terms: "list[RequestRow]" = attrs.field(factory=list)
    samples: list[SampleRow] = attrs.field(factory=list)
    sampling: SamplingRow | None = None
    sampled_at: float = -1e9
    sample_interval_s: float = 0.05
    bounded_read_at: float = -1e9
    smallest_age_s: float = 1.0
    parked: "list[RequestRow]" = attrs.field(factory=list)
    poll_due: float = 0.0
    noticed_at: float = -1e9
    noticed_term: int = 0
    reported_at: float = -1e9
    dropped: bool = False
    costs: dict[str, deque[float]] = attrs.field(factory=dict)
    schema_ready: bool = False
    pruned_at: float = -1e9
    pruning: bool = False
    retry_tokens: float = 10.0
    dirty: bool = False

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.definition.name


@attrs.define(eq=False)
class TransactionRow:
    """Open transaction; its connection is reserved until it ends."""

    number: int
    id: str
    group: GroupRow
    caller: str
    statement_class: str
    connection: ConnectionRow
    term: int
    limit: float
    idle_limit: float
    request: "RequestRow | None" = None


@attrs.define(eq=False)
class RequestRow:
    """Request from its arrival to its answer; times are monotonic seconds.

    `reply` names the sender for the adapter. `since` and `sent_term` are the time and the group's
    term at which its last batch was sent. `unsure_term` is the term in which a commit with
    an unknown outcome was sent, 0 if there was none.
    """

    number: int
    body: Work
    reply: Any
    group: GroupRow
    statement_class: str
    arrived: float
    deadline: float
    stage: Stage
    phase: Phase = Phase.QUEUED
    max_age_s: float = 0.0
    since: float = 0.0
    connection: ConnectionRow | None = None
    transaction: TransactionRow | None = None
    batch: BatchResult | None = None
    result: StatementResult | None = None
    served_by: str = ""
    sent: bool = False
    sent_term: int = 0
    unsure_term: int = 0
    parked_since: float = -1.0
    below_watermark: bool = False
    retries: int = 0

    @property
    def lane(self) -> Lane:
        """Kind of target and lock that the stage needs."""
        return LANES.get(self.stage, Lane.WRITE)

    @property
    def is_write(self) -> bool:
        """Whether the request may change data."""
        body = self.body
        return not isinstance(body, StatementRequest) or body.access != "read"

    @property
    def token(self) -> LogPosition:
        """Position that the session has seen."""
        body = self.body
        if isinstance(body, StatementRequest | BeginRequest):
            return body.token
        return LogPosition()


class TimerKind(enum.Enum):
    """What a timer does when it is due."""

    DEADLINE = "deadline"
    RETRY = "retry"
    TRANSACTION = "transaction"
    CONFIRM = "confirm"
    POLL = "poll"
    OPEN = "open"


@attrs.define(eq=False)
class Tables:
    """All tables of a pool; `wall_offset` is the time since the epoch less monotonic time."""

    settings: Settings
    boot: str = ""
    wall_offset: float = 0.0
    bundle: Bundle | None = None
    definitions: dict[str, Group] = attrs.field(factory=dict)
    classes: dict[str, StatementClass] = attrs.field(factory=dict)
    caller_limits: dict[str, int] = attrs.field(factory=dict)
    degraded: bool = False
    draining: bool = False
    ranks: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    leaving: frozenset[str] = frozenset()
    groups: dict[str, GroupRow] = attrs.field(factory=dict)
    requests: dict[int, RequestRow] = attrs.field(factory=dict)
    connections: dict[int, ConnectionRow] = attrs.field(factory=dict)
    transactions: dict[int, TransactionRow] = attrs.field(factory=dict)
    callers: dict[str, int] = attrs.field(factory=dict)
    seen: dict[str, int] = attrs.field(factory=dict)
    seen_buckets: dict[int, list[str]] = attrs.field(factory=dict)
    seen_swept: int = 0
    timers: list[tuple[float, int, TimerKind, Any]] = attrs.field(factory=list)
    dirty: list[GroupRow] = attrs.field(factory=list)
    counter: int = 0

    def next_number(self) -> int:
        """Returns a number that no other row of this boot has."""
        self.counter += 1
        return self.counter

    def touch(self, group: GroupRow) -> None:
        """Marks a group for the systems that look at changed groups only."""
        if not group.dirty:
            group.dirty = True
            self.dirty.append(group)
