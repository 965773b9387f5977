"""Intake: checks requests on arrival and creates their rows."""

from siskindale.models.bundle import RepeatPolicy
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.wire import (
    BeginRequest,
    FinishRequest,
    StatementRequest,
    TransactionStatement,
)
from siskindale.pool import answers
from siskindale.pool.effects import Effect, Reply, RequestArrived
from siskindale.pool.stages import Phase, Stage, TimerKind
from siskindale.pool.systems import (
    admission,
    batches,
    expiry,
    freshness,
    idempotency,
    serving,
    timers,
    transactions,
)
from siskindale.pool.tables import GroupRow, RequestRow, Tables

RefusalReason = tuple[RefusalKind, str]
CALLER_LIMIT_RETRY_MS = 100


def request_arrived(tables: Tables, event: RequestArrived, now: float) -> list[Effect]:
    """Admits a request; drops duplicates and requests whose time budget has run out."""
    body = event.body
    remaining = body.budget_ms / 1000 - event.delay_s
    if (
        expiry.check_duplicate(tables, body.request_id, now + max(remaining, 0.0), now)
        or remaining <= 0
    ):
        return []
    if isinstance(body, StatementRequest | BeginRequest):
        return _admit_new_work(tables, event, body, now, now + remaining)
    return _run_in_transaction(tables, event, body, now, now + remaining)


def _refuse(
    event: RequestArrived, reason: RefusalReason, retry_ms: int | None = None
) -> list[Effect]:
    answer = answers.refusal_answer(event.body.request_id, Outcome.NOT_RUN, *reason, retry_ms)
    return [Reply(None, event.reply_handle, answer)]


def _admit_new_work(
    tables: Tables,
    event: RequestArrived,
    body: StatementRequest | BeginRequest,
    now: float,
    deadline: float,
) -> list[Effect]:
    reason = _admission_refusal(tables, body, now)
    if reason is not None:
        return _refuse(event, reason)
    group = _served_group(tables, body, now)
    if group is None:
        return _refuse(event, (RefusalKind.WRONG_POOL, "another pool serves the group"))
    admission.add_retry_tokens(tables, group)
    if _over_caller_limit(tables, body.caller):
        reason = RefusalKind.OVERLOADED, "the caller has too many requests in progress"
        return _refuse(event, reason, CALLER_LIMIT_RETRY_MS)
    request = _add_request(tables, event, group, body.statement_class, now, deadline)
    request.stage = _first_stage(tables, request, now)
    return admission.enqueue(tables, request, now)


def _admission_refusal(
    tables: Tables, body: StatementRequest | BeginRequest, now: float
) -> RefusalReason | None:
    """Returns why new work cannot be admitted, None if it can."""
    if tables.draining:
        return RefusalKind.SHUTTING_DOWN, "the pool is shutting down"
    if tables.bundle is None:
        return RefusalKind.UNAVAILABLE, "the pool has no bundle yet"
    statement_class = tables.classes.get(body.statement_class)
    if body.bundle_version > tables.bundle.version and not (
        statement_class and body.group in tables.groups
    ):
        return RefusalKind.UNAVAILABLE, "the pool has not adopted the bundle of the request yet"
    if body.group not in tables.group_definitions:
        return RefusalKind.UNKNOWN_DATABASE, f"there is no database {body.group!r}"
    if statement_class is None:
        return RefusalKind.MALFORMED, f"there is no class {body.statement_class!r}"
    if isinstance(body, StatementRequest) and body.access == "read":
        return None
    key = body.key if isinstance(body, StatementRequest) else None
    if (
        statement_class.repeat is RepeatPolicy.FORBIDDEN
        and key is None
        and isinstance(body, StatementRequest)
    ):
        return RefusalKind.KEY_REQUIRED, "writes of the class need an idempotency key"
    if tables.degraded and key is None:
        return RefusalKind.BUNDLE_NOT_CONFIRMED, "the bundle is not confirmed, only keyed writes"
    if isinstance(body, StatementRequest):
        return idempotency.key_refusal(tables, body, now)
    if len(tables.transactions) >= tables.settings.pool.max_transactions:
        return RefusalKind.OVERLOADED, "the pool has too many open transactions"
    return None


def _served_group(
    tables: Tables, body: StatementRequest | BeginRequest, now: float
) -> GroupRow | None:
    assert tables.bundle is not None
    row = tables.groups.get(body.group)
    if row is not None and row.rank is not None:
        return row
    if not body.excluded_pools:
        return None
    rank = serving.own_rank(tables, body.group, body.excluded_pools)
    if rank is None or rank >= tables.bundle.pools_per_group:
        return None
    return serving.serve_as_substitute(tables, tables.group_definitions[body.group], rank, now)


def _over_caller_limit(tables: Tables, caller: str) -> bool:
    limit = tables.caller_limits.get(caller)
    return limit is not None and tables.in_flight_by_caller.get(caller, 0) >= limit


def _add_request(
    tables: Tables,
    event: RequestArrived,
    group: GroupRow,
    statement_class: str,
    now: float,
    deadline: float,
) -> RequestRow:
    row = RequestRow(
        number=tables.next_number(),
        body=event.body,
        reply_handle=event.reply_handle,
        group=group,
        statement_class=statement_class,
        arrived_at=now,
        deadline=deadline,
        stage=Stage.WRITE,
        phase=Phase.WAITING,
    )
    tables.requests[row.number] = row
    caller = event.body.caller
    tables.in_flight_by_caller[caller] = tables.in_flight_by_caller.get(caller, 0) + 1
    timers.schedule(tables, deadline, TimerKind.DEADLINE, row.number)
    return row


def _first_stage(tables: Tables, request: RequestRow, now: float) -> Stage:
    body = request.body
    if isinstance(body, BeginRequest):
        return Stage.BEGIN
    assert isinstance(body, StatementRequest)
    if body.access != "read":
        return Stage.KEY_INSERT if body.key is not None else Stage.WRITE
    if not body.max_age_ms or tables.degraded:
        return Stage.READ
    request.max_age_s = body.max_age_ms / 1000
    freshness.note_bounded_read(tables, request.group, request, now)
    return Stage.REPLICA_READ


def _run_in_transaction(
    tables: Tables,
    event: RequestArrived,
    body: TransactionStatement | FinishRequest,
    now: float,
    deadline: float,
) -> list[Effect]:
    """Runs the request at once, before queued work, because an open transaction holds locks."""
    transaction = transactions.find_open(tables, body)
    if not isinstance(transaction, transactions.TransactionRow):
        return [Reply(None, event.reply_handle, transaction)]
    row = _add_request(
        tables,
        event,
        transaction.group,
        transaction.statement_class,
        now,
        min(deadline, transaction.deadline),
    )
    row.transaction = transaction
    transaction.request = row
    if isinstance(body, TransactionStatement):
        row.stage = Stage.TRANSACTION_STATEMENT
    else:
        row.stage = Stage.COMMIT if body.commit else Stage.ROLLBACK
    return batches.start(tables, row, transaction.connection, now)
