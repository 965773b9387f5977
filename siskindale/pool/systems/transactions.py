"""Transactions: each reserves a connection, runs one statement at a time and has a deadline."""

from siskindale import transactions as ids
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.wire import Answer, FinishRequest, TransactionStatement
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.stages import Stage, TimerKind
from siskindale.pool.systems import connections, timers
from siskindale.pool.tables import RequestRow, Tables, TransactionRow

TransactionRequest = TransactionStatement | FinishRequest


def open_transaction(tables: Tables, request: RequestRow, now: float) -> TransactionRow:
    """Adds the transaction that a `Begin` step opened on the request's connection."""
    assert tables.bundle is not None and request.connection is not None
    durations = tables.bundle.durations
    number = tables.next_number()
    transaction_id = ids.TransactionId(request.group.name, tables.settings.vm, tables.boot, number)
    row = TransactionRow(
        number=number,
        id=ids.encode(tables.settings.session_keys, transaction_id),
        group=request.group,
        caller=request.body.caller,
        statement_class=request.statement_class,
        connection=request.connection,
        term=request.group.term,
        deadline=now + durations.transaction_limit_ms / 1000,
        idle_deadline=now + durations.idle_transaction_ms / 1000,
    )
    request.connection.transaction = row
    request.connection.request = None
    tables.transactions[number] = row
    timers.schedule(tables, min(row.deadline, row.idle_deadline), TimerKind.TRANSACTION, row)
    return row


def find_open(tables: Tables, body: TransactionRequest) -> TransactionRow | Answer:
    """Returns the open transaction of a request, or an answer that refuses the request."""
    unknown = answers.refusal_answer(
        body.request_id,
        Outcome.NOT_RUN,
        RefusalKind.UNKNOWN_TRANSACTION,
        "this pool holds no such transaction",
    )
    transaction_id = ids.decode(tables.settings.session_keys, body.transaction).value_or(None)
    if (
        transaction_id is None
        or transaction_id.vm != tables.settings.vm
        or transaction_id.boot != tables.boot
    ):
        return unknown
    row = tables.transactions.get(transaction_id.number)
    if row is None or row.caller != body.caller:
        return unknown
    if row.request is not None:
        return answers.refusal_answer(
            body.request_id,
            Outcome.NOT_RUN,
            RefusalKind.TRANSACTION_BUSY,
            "another request of the transaction is in progress",
        )
    return row


def end(tables: Tables, row: TransactionRow) -> None:
    """Removes a transaction; the calling function releases or closes its connection."""
    tables.transactions.pop(row.number, None)
    row.connection.transaction = None


def abort(tables: Tables, row: TransactionRow) -> list[Effect]:
    """Ends a transaction by closing its connection, so that the target rolls it back."""
    request = row.request
    end(tables, row)
    effects = connections.close(tables, row.connection)
    if request is None:
        return effects
    if request.stage is Stage.ROLLBACK:
        return effects + answers.succeed(tables, request)
    return effects + answers.end_unknown(tables, request, "the transaction was ended")


def start_idle_timeout(tables: Tables, row: TransactionRow, now: float) -> None:
    """Starts the idle timeout of a transaction whose statement was answered."""
    assert tables.bundle is not None
    row.request = None
    row.idle_deadline = now + tables.bundle.durations.idle_transaction_ms / 1000


def check_deadlines(tables: Tables, row: TransactionRow, now: float) -> list[Effect]:
    """Ends a transaction that has reached a deadline; otherwise schedules the next check."""
    if row.number not in tables.transactions:
        return []
    if now >= row.deadline or (row.request is None and now >= row.idle_deadline):
        return abort(tables, row)
    next_check_at = (
        row.deadline if row.request is not None else min(row.deadline, row.idle_deadline)
    )
    timers.schedule(tables, max(next_check_at, now + 0.05), TimerKind.TRANSACTION, row)
    return []
