"""Completion: what follows the answer or the confirmation of a batch."""

from collections.abc import Callable

from returns.result import Success

from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import StatementRequest
from siskindale.pool import answers, results
from siskindale.pool.effects import BatchEnded, Effect
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
from siskindale.pool.tables import (
    GroupRow,
    Phase,
    RequestRow,
    Stage,
    Tables,
)
from siskindale.targets.interface import BatchResult

Step = Callable[[Tables, RequestRow, float], list[Effect]]

LOOKUP_RETRY_S = 0.03
# Stages in whose open transaction a connection may be left when the request has ended.
OPEN_STAGES = frozenset({Stage.KEY_INSERT, Stage.KEY_RECORD, Stage.BEGIN})


def ended(tables: Tables, event: BatchEnded, now: float) -> list[Effect]:
    """Continues the request of a batch that was answered or failed."""
    connection, request = event.connection, event.connection.request
    if connection.closed or request is None:
        return []
    ordering.note(request, now - request.since)
    connections.finished(connection, now)
    tables.touch(connection.target.group)
    if isinstance(event.outcome, Success):
        connection.target.failures = 0
        return _succeeded(tables, request, event.outcome.unwrap(), now)
    return failure.failed(tables, request, event.outcome.failure(), now)


def _succeeded(tables: Tables, request: RequestRow, batch: BatchResult, now: float) -> list[Effect]:
    connection = request.connection
    assert connection is not None
    if request.phase is Phase.ENDED:
        if request.stage in OPEN_STAGES or connection.transaction is not None:
            return connections.close(tables, connection)
        return connections.release(tables, connection)
    request.batch = batch
    if batch.term > request.group.term:
        discovery.poll_soon(tables, request.group, now)
    if results.size(batch) > tables.settings.pool.max_result_bytes:
        return _too_large(tables, request)
    return _SUCCEEDED[request.stage](tables, request, now)


def _too_large(tables: Tables, request: RequestRow) -> list[Effect]:
    """Ends a request whose result exceeds the limit, together with its transaction if any."""
    connection, request.connection = request.connection, None
    assert connection is not None
    if connection.transaction is not None:
        transactions.end(tables, connection.transaction)
    effects = connections.close(tables, connection)
    if request.stage in (Stage.WRITE, Stage.COMMIT):
        return effects + answers.lose(tables, request, "the result of the write is too large")
    limit = tables.settings.pool.max_result_bytes
    return effects + answers.refuse(
        tables, request, RefusalKind.TOO_LARGE, f"the result exceeds {limit} bytes"
    )


def _confirm(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Holds a result back until a majority has confirmed it."""
    if acknowledgement.submit(tables, request):
        return []
    return unconfirmed(tables, request, now)


def _take_result(request: RequestRow, index: int) -> None:
    assert request.batch is not None
    request.result = request.batch.results[index]


def _read(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _take_result(request, 1)
    return connections.release_from(tables, request) + _confirm(tables, request, now)


def _write(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _take_result(request, 0)
    return connections.release_from(tables, request) + _confirm(tables, request, now)


def _replica_read(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _take_result(request, 1)
    effects = connections.release_from(tables, request)
    target = request.group.targets.get(request.served_by)
    assert request.batch is not None
    if target is not None and request.batch.matched and request.batch.term == request.group.term:
        target.applied = max(target.applied, request.batch.at.position)
    return effects + check_age(tables, request, now)


def check_age(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Answers a replica's read if its age is proved; else waits for a sample or falls back."""
    assert request.batch is not None
    group = request.group
    age = None
    if not tables.degraded:
        age = freshness.acceptable(group, request, request.batch, now)
    if age is not None:
        return answers.succeed(tables, request, age_s=age)
    sampling = group.sampling
    if sampling is not None and sampling.at > request.parked_since:
        request.phase, request.parked_since = Phase.WAITING, sampling.at
        group.parked.append(request)
        return []
    return admission.requeue(tables, request, Stage.READ, now)


def _key_insert(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    connection = request.connection
    assert request.batch is not None and connection is not None
    request.group.schema_ready = True
    inserted = request.batch.results[idempotency.INSERT_STEP]
    if inserted is None or inserted.row_count < 1:
        request.below_watermark = True
        effects = connections.close(tables, connection)
        request.connection = None
        return effects + admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    _take_result(request, idempotency.STATEMENT_STEP)
    request.stage = Stage.KEY_RECORD
    return batches.start(tables, request, connection, now)


def _recorded(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    assert request.batch is not None
    recorded = request.batch.results[0]
    if recorded is None or recorded.row_count != 1:
        # The target has lost the transaction, so this batch ran outside of it.
        return connections.release_from(tables, request) + failure.lost(tables, request, now)
    return connections.release_from(tables, request) + _confirm(tables, request, now)


def _schema(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    request.group.schema_ready = True
    effects = connections.release_from(tables, request)
    return effects + admission.requeue(tables, request, Stage.KEY_INSERT, now)


def _begin(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    row = transactions.open_transaction(tables, request, now)
    request.connection = request.batch = None
    return answers.succeed(tables, request, transaction=row.id)


def _transaction_statement(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _take_result(request, 0)
    return _confirm(tables, request, now)


def _commit(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _end_transaction(tables, request)
    return connections.release_from(tables, request) + _confirm(tables, request, now)


def _rollback(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    _end_transaction(tables, request)
    request.batch = None
    return connections.release_from(tables, request) + answers.succeed(tables, request)


def _prune(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    request.group.pruning = False
    return connections.release_from(tables, request) + answers.succeed(tables, request)


def _end_transaction(tables: Tables, request: RequestRow) -> None:
    if request.transaction is not None:
        transactions.end(tables, request.transaction)


_SUCCEEDED: dict[Stage, Step] = {
    Stage.READ: _read,
    Stage.REPLICA_READ: _replica_read,
    Stage.WRITE: _write,
    Stage.KEY_INSERT: _key_insert,
    Stage.KEY_RECORD: _recorded,
    Stage.KEY_LOOKUP: _read,
    Stage.SCHEMA: _schema,
    Stage.BEGIN: _begin,
    Stage.TRANSACTION_STATEMENT: _transaction_statement,
    Stage.COMMIT: _commit,
    Stage.ROLLBACK: _rollback,
    Stage.PRUNE: _prune,
}


def confirmed(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Ends a request that a majority has confirmed."""
    group = request.group
    assert request.batch is not None
    if request.stage not in (Stage.TRANSACTION_STATEMENT, Stage.COMMIT):
        # Positions of a transaction may be those of a snapshot older than the request.
        freshness.add(group, request.batch.term, request.batch.at.position, request.since)
    if request.stage is Stage.KEY_LOOKUP:
        return _looked_up(tables, request, now)
    if request.stage is Stage.TRANSACTION_STATEMENT and request.transaction is not None:
        transactions.idle(tables, request.transaction, now)
    return answers.succeed(tables, request)


def _looked_up(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Decides a keyed write by the row of its key on the current primary."""
    body, found = request.body, idempotency.recorded(request)
    assert isinstance(body, StatementRequest) and request.batch is not None
    if found is not None:
        digest, request.result = found
        if digest != body.digest:
            request.unsure_term = 0
            return answers.refuse(
                tables,
                request,
                RefusalKind.KEY_REUSED,
                "the idempotency key was used for another request",
            )
        return answers.succeed(tables, request)
    request.result = None
    if request.unsure_term and request.batch.term <= request.unsure_term:
        # The commit may still arrive at the primary of this term.
        return admission.later(tables, request, now, LOOKUP_RETRY_S)
    request.unsure_term = 0
    if request.below_watermark:
        return answers.refuse(
            tables,
            request,
            RefusalKind.KEY_EXPIRED,
            "the idempotency key lies below the pruning watermark",
        )
    return admission.requeue(tables, request, Stage.KEY_INSERT, now)


def unconfirmed(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Continues a request whose term ended before a majority confirmed its batch."""
    discovery.poll_soon(tables, request.group, now)
    batch_term = request.batch.term if request.batch is not None else 0
    if request.stage in (Stage.READ, Stage.KEY_LOOKUP):
        return admission.requeue(tables, request, request.stage, now)
    if request.stage is Stage.KEY_RECORD:
        request.unsure_term = max(request.unsure_term, batch_term)
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if request.stage is Stage.TRANSACTION_STATEMENT and request.transaction is not None:
        return transactions.abort(tables, request.transaction)
    return answers.lose(tables, request, "the primary was replaced before a majority confirmed")


def term_ended(
    tables: Tables, group: GroupRow, waiting: list[RequestRow], now: float
) -> list[Effect]:
    """Ends what ran or waited in a term that a newer one has replaced."""
    effects: list[Effect] = []
    for request in waiting:
        if request.batch is not None and request.batch.term >= group.term:
            effects += _confirm(tables, request, now)
        else:
            effects += unconfirmed(tables, request, now)
    for target in group.targets.values():
        if target is not group.primary:
            effects += _abandon(tables, target.name, group, now)
    return effects


def _abandon(tables: Tables, name: str, group: GroupRow, now: float) -> list[Effect]:
    """Gives up the batches and transactions on a target that is no longer the primary."""
    effects: list[Effect] = []
    for connection in list(group.targets[name].open.values()):
        request, transaction = connection.request, connection.transaction
        if transaction is not None:
            effects += transactions.abort(tables, transaction)
        elif connection.busy and request is not None and request.stage is not Stage.REPLICA_READ:
            effects += connections.close(tables, connection)
            request.connection = None
            if request.phase is not Phase.ENDED:
                effects += failure.lost(tables, request, now)
    return effects
