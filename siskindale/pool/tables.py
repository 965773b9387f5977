"""In-memory tables of the pool: attrs classes that hold its state and make no decisions."""

import math
from collections import deque
from typing import Any

import attrs

from siskindale.models.bundle import Bundle, Group, StatementClass, Target
from siskindale.models.group import LogPosition, TargetStatus
from siskindale.models.settings import Settings
from siskindale.models.wire import (
    BeginRequest,
    FinishRequest,
    StatementRequest,
    StatementResult,
    TransactionStatement,
)
from siskindale.pool.stages import QUEUE_KIND_BY_STAGE, Phase, QueueKind, Stage, TimerKind
from siskindale.targets.interface import BatchResult

RequestBody = StatementRequest | BeginRequest | TransactionStatement | FinishRequest


@attrs.define(eq=False)
class ConnectionRow:
    """Data connection to a target.

    `transaction` is the transaction that the connection is reserved for. `handle` is the driver's
    connection object; the systems pass it on without using it.
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
    """Target of a group, with this pool's share of its slots and connections.

    `running_batches` includes `running_reads`. `matched_position` and `confirmed_at` apply to the
    group's current term: the highest position that the target reported as matched, and the latest
    sending time (seconds) of a request that it answered in that term. `reached_at` is the sending
    time of the latest status request that it answered in any term, 0 before the first.
    `distance` is 0 in the failure domain of the pool and 1 elsewhere.
    """

    definition: Target
    group: "GroupRow"
    slots: int = 1
    max_connections: int = 1
    running_batches: int = 0
    running_reads: int = 0
    opening_connections: int = 0
    open_connections: dict[int, ConnectionRow] = attrs.field(factory=dict)
    idle_connections: list[ConnectionRow] = attrs.field(factory=list)
    avoided_until: float = 0.0
    consecutive_failures: int = 0
    next_open_at: float = 0.0
    leaving_since: float | None = None
    status: TargetStatus | None = None
    status_sent_at: float = 0.0
    reached_at: float = 0.0
    matched_position: int = -1
    confirmed_at: float = -1.0
    applied_position: int = -1
    service_time_s: float = 0.002
    poll_in_flight: bool = False
    wait_in_flight: bool = False
    wait_sent_at: float = -1.0
    probe_in_flight: bool = False
    probe_sent_at: float = -1.0
    distance: int = 0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.definition.name


@attrs.define(eq=False)
class SampleRow:
    """Upper bound on a position at a time, from which the age of replica data is derived.

    No write that was acknowledged before `taken_at` has a position above `position` in `term`.
    """

    taken_at: float
    term: int
    position: int


@attrs.define(eq=False)
class PendingSampleRow:
    """Sample in progress; `responders` are the names of targets that answered in `term`."""

    taken_at: float
    term: int
    position: int | None = None
    responders: set[str] = attrs.field(factory=set)
    outstanding_answers: int = 0


@attrs.define(eq=False)
class QueueRow:
    """Bounded queue of one statement class and queue kind.

    `heap` is ordered by rank and may contain requests that have ended in the meantime;
    `queued_count` does not include those. `deficit` grows while requests of other classes are
    started.
    """

    statement_class: StatementClass
    heap: "list[tuple[float, int, RequestRow]]" = attrs.field(factory=list)
    queued_count: int = 0
    deficit: float = 0.0


@attrs.define(eq=False)
class GroupRow:
    """Group that this pool serves: its term, its targets and the requests that wait.

    `rank` is the position of this pool in the order of the group's pools, None if it does not serve
    the group regularly. `durable_position` is the position that a majority of the voters holds in
    `term`. A majority has answered, in the term, requests that were sent at `majority_confirmed_at`
    (seconds) or later. `unconfirmed_by_start` and `unconfirmed_by_position` are heaps of requests
    that wait for a majority.
    """

    definition: Group
    rank: int | None = None
    substitute_until: float = 0.0
    substitute_rank: int = 0
    targets: dict[str, TargetRow] = attrs.field(factory=dict)
    queues: dict[QueueKind, dict[str, QueueRow]] = attrs.field(factory=dict)
    term: int = 0
    primary: TargetRow | None = None
    voters: tuple[str, ...] = ()
    previous_voters: tuple[str, ...] = ()
    marker_position: int = 0
    writable: bool = False
    highest_seen_term: int = 0
    last_read_sent_at: float = -1.0
    confirm_timer_due: float = math.inf
    highest_unconfirmed_position: int = -1
    durable_position: int = -1
    majority_confirmed_at: float = -1.0
    unconfirmed_by_start: list[tuple[float, int, "RequestRow"]] = attrs.field(factory=list)
    unconfirmed_by_position: list[tuple[int, int, "RequestRow"]] = attrs.field(factory=list)
    unconfirmed_of_later_terms: "list[RequestRow]" = attrs.field(factory=list)
    samples: list[SampleRow] = attrs.field(factory=list)
    pending_sample: PendingSampleRow | None = None
    last_sample_at: float = -1e9
    sample_interval_s: float = 0.05
    last_bounded_read_at: float = -1e9
    smallest_max_age_s: float = 1.0
    awaiting_sample: "list[RequestRow]" = attrs.field(factory=list)
    next_poll_at: float = 0.0
    announced_at: float = -1e9
    announced_term: int = 0
    last_report_at: float = -1e9
    dropped: bool = False
    run_times_by_sql: dict[str, deque[float]] = attrs.field(factory=dict)
    schema_ready: bool = False
    last_prune_at: float = -1e9
    prune_in_flight: bool = False
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
    deadline: float
    idle_deadline: float
    request: "RequestRow | None" = None


@attrs.define(eq=False)
class RequestRow:
    """Request from its arrival to its answer; times are monotonic seconds.

    `reply_handle` identifies the sender to the adapter that executes effects; internal requests
    have none. `batch_sent_at` and `batch_sent_term` are the time and the group's term at which the
    last batch was sent, and `was_sent` tells whether any batch was sent. `unknown_commit_term` is
    the term in which a commit with an unknown outcome was sent, 0 if there was none.
    `awaited_sample_at` is the time of the sample that a replica read last waited for.
    """

    number: int
    body: RequestBody
    reply_handle: Any
    group: GroupRow
    statement_class: str
    arrived_at: float
    deadline: float
    stage: Stage
    phase: Phase = Phase.QUEUED
    max_age_s: float = 0.0
    batch_sent_at: float = 0.0
    connection: ConnectionRow | None = None
    transaction: TransactionRow | None = None
    batch: BatchResult | None = None
    result: StatementResult | None = None
    served_by: str = ""
    was_sent: bool = False
    batch_sent_term: int = 0
    unknown_commit_term: int = 0
    awaited_sample_at: float = -1.0
    below_watermark: bool = False
    retries: int = 0

    @property
    def queue_kind(self) -> QueueKind:
        """Kind of queue for the current stage."""
        return QUEUE_KIND_BY_STAGE.get(self.stage, QueueKind.WRITE)

    @property
    def is_write(self) -> bool:
        """Whether the request may change data."""
        body = self.body
        return not isinstance(body, StatementRequest) or body.access != "read"

    @property
    def token(self) -> LogPosition:
        """Latest position that the session has observed."""
        body = self.body
        if isinstance(body, StatementRequest | BeginRequest):
            return body.token
        return LogPosition()


@attrs.define(eq=False)
class Tables:
    """All tables of a pool.

    `wall_clock_offset_s` is the time since the epoch minus the monotonic time. `seen_ids` maps
    the id of a request to the time in seconds at which it is forgotten, its key in
    `seen_ids_by_expiry`.
    """

    settings: Settings
    boot: str = ""
    wall_clock_offset_s: float = 0.0
    bundle: Bundle | None = None
    group_definitions: dict[str, Group] = attrs.field(factory=dict)
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
    in_flight_by_caller: dict[str, int] = attrs.field(factory=dict)
    seen_ids: dict[str, int] = attrs.field(factory=dict)
    seen_ids_by_expiry: dict[int, list[str]] = attrs.field(factory=dict)
    seen_swept_at: int = 0
    timers: list[tuple[float, int, TimerKind, Any]] = attrs.field(factory=list)
    dirty_groups: list[GroupRow] = attrs.field(factory=list)
    last_number: int = 0

    def next_number(self) -> int:
        """Returns a number that no other row of this boot has."""
        self.last_number += 1
        return self.last_number

    def mark_dirty(self, group: GroupRow) -> None:
        """Marks a group as changed, so that the current or next tick processes it."""
        if not group.dirty:
            group.dirty = True
            self.dirty_groups.append(group)
