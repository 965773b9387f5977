"""Completion: continues a request after its batch was answered or confirmed."""

from collections.abc import Callable

from returns.result import Success

from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import StatementRequest
from siskindale.pool import answers, results
from siskindale.pool.effects import BatchCompleted, Effect
from siskindale.pool.stages import Phase, Stage
from siskindale.pool.systems import (
    acknowledgement,
    admission,
    batches,
    connections,
    discovery,
    failure,
    freshness,
    idempotency,
    ordering,
    transactions,
)
from siskindale.pool.tables import GroupRow, RequestRow, Tables
from siskindale.targets.interface import BatchResult

StageHandler = Callable[[Tables, RequestRow, float], list[Effect]]

LOOKUP_RETRY_S = 0.03
# Stages that leave a transaction open on the connection if the request has ended meanwhile.
OPEN_TRANSACTION_STAGES = frozenset({Stage.KEY_INSERT, Stage.KEY_RECORD, Stage.BEGIN})


def batch_completed(tables: Tables, event: BatchCompleted, now: float) -> list[Effect]:
    """Continues a request whose batch was answered or failed."""
    connection, request = event.connection, event.connection.request
    if connection.closed or request is None:
        return []
    connections.mark_finished(connection, now)
    tables.mark_dirty(connection.target.group)
    if isinstance(event.outcome, Success):
        ordering.record_run(request, now - request.batch_sent_at)
        connection.target.consecutive_failures = 0
        return _batch_succeeded(tables, request, event.outcome.unwrap(), now)
    return failure.handle_failed_batch(tables, request, event.outcome.failure(), now)


def _batch_succeeded(
    tables: Tables, request: RequestRow, batch: BatchResult, now: float
) -> list[Effect]:
    connection = request.connection
    assert connection is not None
    if request.phase is Phase.ENDED:
        if request.stage in OPEN_TRANSACTION_STAGES or connection.transaction is not None:
            return connections.close(tables, connection)
        return connections.release(tables, connection)
    request.batch = batch
    if batch.term > request.group.term:
        discovery.poll_soon(tables, request.group, now)
    if results.estimated_bytes(batch) > tables.settings.pool.max_result_bytes:
        return _end_too_large(tables, request)
    return _STAGE_HANDLERS[request.stage](tables, request, now)


def _end_too_large(tables: Tables, request: RequestRow) -> list[Effect]:
    """Ends a request whose result exceeds the limit, and its transaction if it has one."""
    connection, request.connection = request.connection, None
    assert connection is not None
    if connection.transaction is not None:
        transactions.end(tables, connection.transaction)
    effects = connections.close(tables, connection)
    if request.stage in (Stage.WRITE, Stage.COMMIT):
        return effects + answers.end_unknown(
            tables, request, "the result of the write is too large"
        )
    limit = tables.settings.pool.max_result_bytes
    return effects + answers.refuse(
        tables, request, RefusalKind.TOO_LARGE, f"the result exceeds {limit} bytes"
    )


def _await_majority(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Holds a result back until a majority confirms it."""
    if acknowledgement.await_majority(tables, request):
        return []
    return continue_unconfirmed(tables, request, now)


def _store_result(request: RequestRow, index: int) -> None:
    assert request.batch is not None
    request.result = request.batch.results[index]


def _read_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _store_result(request, 1)
    return connections.release_from_request(tables, request) + _await_majority(tables, request, now)


def _write_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _store_result(request, 0)
    return connections.release_from_request(tables, request) + _await_majority(tables, request, now)


def _replica_read_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _store_result(request, 1)
    effects = connections.release_from_request(tables, request)
    target = request.group.targets.get(request.served_by)
    assert request.batch is not None
    if target is not None and request.batch.matched and request.batch.term == request.group.term:
        target.applied_position = max(target.applied_position, request.batch.at.position)
    return effects + answer_replica_read(tables, request, now)


def answer_replica_read(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Answers a replica read if its age is within the limit.

    Otherwise the request waits for the pending sample or is queued for the primary.
    """
    assert request.batch is not None
    group = request.group
    age = None
    if not tables.degraded:
        age = freshness.acceptable_age_s(group, request, request.batch, now)
    if age is not None:
        return answers.succeed(tables, request, age_s=age)
    pending = group.pending_sample
    if pending is not None and pending.taken_at > request.awaited_sample_at:
        request.phase, request.awaited_sample_at = Phase.WAITING, pending.taken_at
        group.awaiting_sample.append(request)
        return []
    return admission.requeue(tables, request, Stage.READ, now)


def _key_insert_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    connection = request.connection
    assert request.batch is not None and connection is not None
    request.group.schema_ready = True
    inserted = request.batch.results[idempotency.INSERT_STEP]
    if inserted is None or inserted.row_count < 1:
        request.below_watermark = True
        effects = connections.close(tables, connection)
        request.connection = None
        return effects + admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    _store_result(request, idempotency.STATEMENT_STEP)
    request.stage = Stage.KEY_RECORD
    return batches.start(tables, request, connection, now)


def _key_record_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    assert request.batch is not None
    recorded = request.batch.results[0]
    if recorded is None or recorded.row_count != 1:
        # The target has lost the transaction, so this batch ran outside it.
        return connections.release_from_request(tables, request) + failure.handle_unknown_outcome(
            tables, request, now
        )
    return connections.release_from_request(tables, request) + _await_majority(tables, request, now)


def _schema_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    request.group.schema_ready = True
    effects = connections.release_from_request(tables, request)
    return effects + admission.requeue(tables, request, Stage.KEY_INSERT, now)


def _begin_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    row = transactions.open_transaction(tables, request, now)
    request.connection = request.batch = None
    return answers.succeed(tables, request, transaction=row.id)


def _transaction_statement_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _store_result(request, 0)
    return _await_majority(tables, request, now)


def _commit_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _end_transaction(tables, request)
    return connections.release_from_request(tables, request) + _await_majority(tables, request, now)


def _rollback_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _end_transaction(tables, request)
    request.batch = None
    return connections.release_from_request(tables, request) + answers.succeed(tables, request)


def _prune_done(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    request.group.prune_in_flight = False
    return connections.release_from_request(tables, request) + answers.succeed(tables, request)


def _end_transaction(tables: Tables, request: RequestRow) -> None:
    if request.transaction is not None:
        transactions.end(tables, request.transaction)


_STAGE_HANDLERS: dict[Stage, StageHandler] = {
    Stage.READ: _read_done,
    Stage.REPLICA_READ: _replica_read_done,
    Stage.WRITE: _write_done,
    Stage.KEY_INSERT: _key_insert_done,
    Stage.KEY_RECORD: _key_record_done,
    Stage.KEY_LOOKUP: _read_done,
    Stage.SCHEMA: _schema_done,
    Stage.BEGIN: _begin_done,
    Stage.TRANSACTION_STATEMENT: _transaction_statement_done,
    Stage.COMMIT: _commit_done,
    Stage.ROLLBACK: _rollback_done,
    Stage.PRUNE: _prune_done,
}


def complete_confirmed(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Continues or answers a request that a majority has confirmed."""
    group = request.group
    assert request.batch is not None
    if request.stage not in (Stage.TRANSACTION_STATEMENT, Stage.COMMIT):
        # The position may belong to the transaction's snapshot, which may precede the request.
        freshness.add_sample(
            group, request.batch.term, request.batch.at.position, request.batch_sent_at
        )
    if request.stage is Stage.KEY_LOOKUP:
        return _resolve_keyed_write(tables, request, now)
    if request.stage is Stage.TRANSACTION_STATEMENT and request.transaction is not None:
        transactions.start_idle_timeout(tables, request.transaction, now)
    return answers.succeed(tables, request)


def _resolve_keyed_write(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Resolves a keyed write by the row of its key, as read from the current primary."""
    body, found = request.body, idempotency.recorded_result(request)
    assert isinstance(body, StatementRequest) and request.batch is not None
    if found is not None:
        digest, request.result = found
        if digest != body.digest:
            request.unknown_commit_term = 0
            return answers.refuse(
                tables,
                request,
                RefusalKind.KEY_REUSED,
                "the idempotency key was used for another request",
            )
        return answers.succeed(tables, request)
    request.result = None
    if request.unknown_commit_term and request.batch.term <= request.unknown_commit_term:
        # The commit may still reach the primary of this term.
        return admission.schedule_requeue(tables, request, now, LOOKUP_RETRY_S)
    request.unknown_commit_term = 0
    if request.below_watermark:
        return answers.refuse(
            tables,
            request,
            RefusalKind.KEY_EXPIRED,
            "the idempotency key lies below the pruning watermark",
        )
    return admission.requeue(tables, request, Stage.KEY_INSERT, now)


def continue_unconfirmed(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Continues a request whose term ended before a majority confirmed its batch."""
    discovery.poll_soon(tables, request.group, now)
    batch_term = request.batch.term if request.batch is not None else 0
    if request.stage in (Stage.READ, Stage.KEY_LOOKUP):
        return admission.requeue(tables, request, request.stage, now)
    if request.stage is Stage.KEY_RECORD:
        request.unknown_commit_term = max(request.unknown_commit_term, batch_term)
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if request.stage is Stage.TRANSACTION_STATEMENT and request.transaction is not None:
        return transactions.abort(tables, request.transaction)
    return answers.end_unknown(
        tables, request, "the primary was replaced before a majority confirmed"
    )


def end_term(
    tables: Tables, group: GroupRow, waiting: list[RequestRow], now: float
) -> list[Effect]:
    """Continues the requests that ran or waited in a term that a newer term has replaced."""
    effects: list[Effect] = []
    for request in waiting:
        if request.batch is not None and request.batch.term >= group.term:
            effects += _await_majority(tables, request, now)
        else:
            effects += continue_unconfirmed(tables, request, now)
    for target in group.targets.values():
        if target is not group.primary:
            effects += _abandon_target(tables, target.name, group, now)
    return effects


def _abandon_target(tables: Tables, name: str, group: GroupRow, now: float) -> list[Effect]:
    """Aborts the batches and transactions on a target that is no longer the primary."""
    effects: list[Effect] = []
    for connection in list(group.targets[name].open_connections.values()):
        request, transaction = connection.request, connection.transaction
        if transaction is not None:
            effects += transactions.abort(tables, transaction)
        elif connection.busy and request is not None and request.stage is not Stage.REPLICA_READ:
            effects += connections.close(tables, connection)
            request.connection = None
            if request.phase is not Phase.ENDED:
                effects += failure.handle_unknown_outcome(tables, request, now)
    return effects
