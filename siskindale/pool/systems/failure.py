"""Failure: what follows a batch that failed, was refused or lost its answer."""

from siskindale.models.outcomes import RefusalKind
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.systems import admission, connections, discovery, idempotency, transactions
from siskindale.pool.tables import Phase, RequestRow, Stage, Tables
from siskindale.targets.interface import TargetError, TargetFailure

ROLE_RETRY_S = 0.02
SLOW_S = 0.25
SAFE_TO_REPEAT = frozenset(
    {Stage.READ, Stage.REPLICA_READ, Stage.KEY_LOOKUP, Stage.KEY_INSERT, Stage.SCHEMA}
)


def failed(tables: Tables, request: RequestRow, error: TargetError, now: float) -> list[Effect]:
    """Continues a request whose batch failed."""
    connection = request.connection
    assert connection is not None
    target, transaction = connection.target, connection.transaction
    effects: list[Effect] = []
    if error.kind in (TargetFailure.UNKNOWN, TargetFailure.UNREACHABLE):
        effects += connections.close(tables, connection)
        discovery.poll_soon(tables, request.group, now)
    if error.kind is TargetFailure.UNKNOWN and _suspicious(request, now):
        discovery.avoid(target, now)
    if transaction is not None:
        # Every error rolls the transaction back.
        transactions.end(tables, transaction)
    effects += connections.release_from(tables, request)
    if request.phase is Phase.ENDED:
        return effects
    if error.kind is TargetFailure.UNKNOWN or _failed_at_commit(request, error):
        return effects + lost(tables, request, now)
    return effects + _refused(tables, request, error, now)


def _suspicious(request: RequestRow, now: float) -> bool:
    """Whether a lost answer says something of the target; a short deadline does not."""
    return now < request.deadline or now - request.since > SLOW_S


def _failed_at_commit(request: RequestRow, error: TargetError) -> bool:
    if error.kind is TargetFailure.UNREACHABLE:
        return False
    if request.stage is Stage.COMMIT:
        return True
    return request.stage is Stage.KEY_RECORD and error.step == 1


def lost(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Continues a request whose batch may have taken effect."""
    if request.stage in SAFE_TO_REPEAT:
        # No commit of a change was sent, so another attempt cannot repeat anything.
        return repeat(tables, request, now)
    if request.stage is Stage.KEY_RECORD:
        request.unsure_term = max(request.unsure_term, request.sent_term)
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if request.stage is Stage.BEGIN:
        return answers.refuse(
            tables, request, RefusalKind.UNAVAILABLE, "the transaction could not be opened"
        )
    if request.stage in (Stage.ROLLBACK, Stage.PRUNE):
        request.group.pruning = request.group.pruning and request.stage is not Stage.PRUNE
        return answers.succeed(tables, request)
    return answers.lose(tables, request, "the target's answer was lost")


def repeat(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Runs a stage again that has no effect until a later one."""
    stage = Stage.READ if request.stage is Stage.REPLICA_READ else request.stage
    request.stage = stage
    if not admission.may_retry(request):
        if request.stage in (Stage.KEY_INSERT, Stage.SCHEMA):
            return answers.refuse(
                tables, request, RefusalKind.UNAVAILABLE, "the target's answers were lost"
            )
        return answers.lose(tables, request, "the target's answers were lost")
    return admission.later(tables, request, now, ROLE_RETRY_S)


def _refused(tables: Tables, request: RequestRow, error: TargetError, now: float) -> list[Effect]:
    """Continues a request whose batch certainly had no effect."""
    if request.stage is Stage.PRUNE:
        request.group.pruning = False
        return answers.succeed(tables, request)
    if error.kind in (TargetFailure.STATEMENT, TargetFailure.CONSTRAINT):
        return _statement_error(tables, request, error, now)
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
        # The connection was closed while idle; the next one is tried at once.
        return admission.requeue(tables, request, request.stage, now)
    return admission.later(tables, request, now, ROLE_RETRY_S)


def _statement_error(
    tables: Tables, request: RequestRow, error: TargetError, now: float
) -> list[Effect]:
    in_own_table = request.stage is Stage.KEY_INSERT and error.step == idempotency.INSERT_STEP
    if in_own_table and error.kind is TargetFailure.CONSTRAINT:
        return admission.requeue(tables, request, Stage.KEY_LOOKUP, now)
    if in_own_table and not request.group.schema_ready:
        return admission.requeue(tables, request, Stage.SCHEMA, now)
    if request.stage is Stage.KEY_LOOKUP and not request.group.schema_ready:
        return admission.requeue(tables, request, Stage.SCHEMA, now)
    if request.stage is Stage.REPLICA_READ:
        # A lagging replica may lack a table that the primary has.
        return admission.requeue(tables, request, Stage.READ, now)
    return answers.refuse(tables, request, RefusalKind.INVALID_STATEMENT, error.detail)
