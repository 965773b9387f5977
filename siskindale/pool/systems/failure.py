"""Failure: continues a request whose batch failed, was refused or got no answer."""

from siskindale.models.outcomes import RefusalKind
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.stages import Phase, Stage
from siskindale.pool.systems import admission, connections, discovery, idempotency, transactions
from siskindale.pool.tables import RequestRow, Tables
from siskindale.targets.interface import TargetError, TargetFailure

ROLE_RETRY_S = 0.02
SLOW_BATCH_S = 0.25
SAFE_TO_REPEAT_STAGES = frozenset(
    {Stage.READ, Stage.REPLICA_READ, Stage.KEY_LOOKUP, Stage.KEY_INSERT, Stage.SCHEMA}
)


def handle_failed_batch(
    tables: Tables, request: RequestRow, error: TargetError, now: float
) -> list[Effect]:
    """Continues a request whose batch failed."""
    connection = request.connection
    assert connection is not None
    target, transaction = connection.target, connection.transaction
    effects: list[Effect] = []
    if error.kind in (TargetFailure.UNKNOWN, TargetFailure.UNREACHABLE):
        effects += connections.close(tables, connection)
        discovery.poll_soon(tables, request.group, now)
    if error.kind is TargetFailure.UNKNOWN and _suggests_target_fault(request, now):
        discovery.avoid_target(target, now)
    if transaction is not None:
        # The target rolls the transaction back at every error.
        transactions.end(tables, transaction)
    effects += connections.release_from_request(tables, request)
    if request.phase is Phase.ENDED:
        return effects
    if error.kind is TargetFailure.UNKNOWN or _failed_at_commit(request, error):
        return effects + handle_unknown_outcome(tables, request, now)
    return effects + _handle_no_effect(tables, request, error, now)


def _suggests_target_fault(request: RequestRow, now: float) -> bool:
    """Whether a lost answer suggests a fault of the target and not just a short deadline."""
    return now < request.deadline or now - request.batch_sent_at > SLOW_BATCH_S


def _failed_at_commit(request: RequestRow, error: TargetError) -> bool:
    if error.kind is TargetFailure.UNREACHABLE:
        return False
    if request.stage is Stage.COMMIT:
        return True
    return request.stage is Stage.KEY_RECORD and error.step == 1


def handle_unknown_outcome(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Continues a request whose batch may have taken effect."""
    if request.stage in SAFE_TO_REPEAT_STAGES:
        # No commit of a change was sent, so a retry cannot apply a change twice.
        return retry_stage(tables, request, now)
    if request.stage is Stage.KEY_RECORD:
        request.unknown_commit_term = max(request.unknown_commit_term, request.batch_sent_term)
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if request.stage is Stage.BEGIN:
        return answers.refuse(
            tables, request, RefusalKind.UNAVAILABLE, "the transaction could not be opened"
        )
    if request.stage in (Stage.ROLLBACK, Stage.PRUNE):
        request.group.prune_in_flight = (
            request.group.prune_in_flight and request.stage is not Stage.PRUNE
        )
        return answers.succeed(tables, request)
    return answers.end_unknown(tables, request, "the target's answer was lost")


def retry_stage(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Retries a stage that has no effect by itself, within the retry budget."""
    stage = Stage.READ if request.stage is Stage.REPLICA_READ else request.stage
    request.stage = stage
    if not admission.take_retry(request):
        if request.stage in (Stage.KEY_INSERT, Stage.SCHEMA):
            return answers.refuse(
                tables, request, RefusalKind.UNAVAILABLE, "the target's answers were lost"
            )
        return answers.end_unknown(tables, request, "the target's answers were lost")
    return admission.schedule_requeue(tables, request, now, ROLE_RETRY_S)


def _handle_no_effect(
    tables: Tables, request: RequestRow, error: TargetError, now: float
) -> list[Effect]:
    """Continues a request whose batch definitely had no effect."""
    if request.stage is Stage.PRUNE:
        request.group.prune_in_flight = False
        return answers.succeed(tables, request)
    if error.kind in (TargetFailure.STATEMENT, TargetFailure.CONSTRAINT):
        return _handle_statement_error(tables, request, error, now)
    discovery.poll_soon(tables, request.group, now)
    if request.transaction is not None:
        return answers.refuse(
            tables, request, RefusalKind.UNKNOWN_TRANSACTION, "the transaction has ended"
        )
    if request.stage is Stage.REPLICA_READ:
        request.stage = Stage.READ
    if request.stage is Stage.KEY_RECORD:
        request.stage = Stage.KEY_INSERT
    if error.kind is TargetFailure.UNREACHABLE:
        # The connection was closed while idle; another one is tried at once.
        return admission.requeue(tables, request, request.stage, now)
    return admission.schedule_requeue(tables, request, now, ROLE_RETRY_S)


def _handle_statement_error(
    tables: Tables, request: RequestRow, error: TargetError, now: float
) -> list[Effect]:
    in_key_insert = request.stage is Stage.KEY_INSERT and error.step == idempotency.INSERT_STEP
    if in_key_insert and error.kind is TargetFailure.CONSTRAINT:
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if in_key_insert and not request.group.schema_ready:
        return admission.requeue(tables, request, Stage.SCHEMA, now)
    if request.stage is Stage.KEY_LOOKUP and not request.group.schema_ready:
        return admission.requeue(tables, request, Stage.SCHEMA, now)
    if request.stage is Stage.REPLICA_READ:
        # A lagging replica may lack a table that exists on the primary.
        return admission.requeue(tables, request, Stage.READ, now)
    return answers.refuse(tables, request, RefusalKind.INVALID_STATEMENT, error.detail)
