"""Batches: the steps of each stage, and the start of a batch on a connection."""

from siskindale.models.wire import BeginRequest, StatementRequest, TransactionStatement
from siskindale.pool.effects import Effect, RunBatch
from siskindale.pool.stages import Phase, Stage
from siskindale.pool.systems import connections, idempotency
from siskindale.pool.tables import ConnectionRow, RequestRow, Tables
from siskindale.targets.interface import Begin, Commit, Rollback, Statement, Step

MIN_TIMEOUT_S = 0.001
CONFIRMED_READ_STAGES = frozenset({Stage.READ, Stage.KEY_LOOKUP, Stage.TRANSACTION_STATEMENT})


def steps_of_stage(tables: Tables, request: RequestRow, now: float) -> tuple[Step, ...]:
    """Returns the steps of the request's current stage."""
    body = request.body
    match request.stage:
        case Stage.READ | Stage.REPLICA_READ:
            # In read mode the target refuses statements that change data.
            assert isinstance(body, StatementRequest)
            return (Begin("read"), Statement(body.sql, body.params), Commit())
        case Stage.WRITE | Stage.TRANSACTION_STATEMENT:
            assert isinstance(body, StatementRequest | TransactionStatement)
            return (Statement(body.sql, body.params),)
        case Stage.BEGIN:
            assert isinstance(body, BeginRequest)
            return (Begin("write"),)
        case Stage.COMMIT:
            return (Commit(),)
        case Stage.ROLLBACK:
            return (Rollback(),)
        case Stage.SCHEMA:
            return idempotency.schema_steps()
        case Stage.PRUNE:
            return idempotency.prune_steps(idempotency.prune_cutoff_ms(tables, now))
    return _keyed_steps(request)


def _keyed_steps(request: RequestRow) -> tuple[Step, ...]:
    body = request.body
    assert isinstance(body, StatementRequest)
    if request.stage is Stage.KEY_INSERT:
        return idempotency.insert_steps(body)
    if request.stage is Stage.KEY_LOOKUP:
        return idempotency.lookup_steps(body)
    assert request.result is not None
    return idempotency.record_steps(body, request.result)


def start(
    tables: Tables, request: RequestRow, connection: ConnectionRow, now: float
) -> list[Effect]:
    """Starts the batch of the request's stage on a connection that is reserved for the request."""
    connections.mark_running(connection, request)
    request.phase = Phase.RUNNING
    request.batch_sent_at = now
    request.served_by = connection.target.name
    request.was_sent = True
    request.batch_sent_term = request.group.term
    if request.stage in CONFIRMED_READ_STAGES:
        request.group.last_read_sent_at = max(request.group.last_read_sent_at, now)
    tables.mark_dirty(request.group)
    timeout = max(MIN_TIMEOUT_S, request.deadline - now)
    return [RunBatch(connection, steps_of_stage(tables, request, now), timeout)]
