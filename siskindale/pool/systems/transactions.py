"""Transactions: a reserved connection, one statement at a time, a limited life."""

from siskindale import transactions as ids
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.wire import Answer, FinishRequest, TransactionStatement
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.systems import connections, timers
from siskindale.pool.tables import (
    RequestRow,
    Stage,
    Tables,
    TimerKind,
    TransactionRow,
)

FinishOrStatement = TransactionStatement | FinishRequest


def open_transaction(tables: Tables, request: RequestRow, now: float) -> TransactionRow:
    """Adds the transaction that a Begin opened on the request's connection."""
    assert tables.bundle is not None and request.connection is not None
    durations = tables.bundle.durations
    number = tables.next_number()
    place = ids.TransactionId(request.group.name, tables.settings.vm, tables.boot, number)
    row = TransactionRow(
        number=number,
        id=ids.encode(tables.settings.session_keys, place),
        group=request.group,
        caller=request.body.caller,
        statement_class=request.statement_class,
        connection=request.connection,
        term=request.group.term,
        limit=now + durations.transaction_limit_ms / 1000,
        idle_limit=now + durations.idle_transaction_ms / 1000,
    )
    request.connection.transaction = row
    request.connection.request = None
    tables.transactions[number] = row
    timers.schedule(tables, min(row.limit, row.idle_limit), TimerKind.TRANSACTION, row)
    return row


def find(tables: Tables, body: FinishOrStatement) -> TransactionRow | Answer:
    """Returns the open transaction of a request, or the refusal that the request gets."""
    unknown = answers.refusal(
        body.request_id,
        Outcome.NOT_RUN,
        RefusalKind.UNKNOWN_TRANSACTION,
        "this pool holds no such transaction",
    )
    place = ids.decode(tables.settings.session_keys, body.transaction).value_or(None)
    if place is None or place.vm != tables.settings.vm or place.boot != tables.boot:
        return unknown
    row = tables.transactions.get(place.number)
    if row is None or row.caller != body.caller:
        return unknown
    if row.request is not None:
        return answers.refusal(
            body.request_id,
            Outcome.NOT_RUN,
            RefusalKind.TRANSACTION_BUSY,
            "another request of the transaction is in progress",
        )
    return row


def end(tables: Tables, row: TransactionRow) -> None:
    """Removes a transaction; its connection is the caller's to release or close."""
    tables.transactions.pop(row.number, None)
    row.connection.transaction = None


def abort(tables: Tables, row: TransactionRow) -> list[Effect]:
    """Ends a transaction by closing its connection, on which the target rolls it back."""
    request = row.request
    end(tables, row)
    effects = connections.close(tables, row.connection)
    if request is None:
        return effects
    if request.stage is Stage.ROLLBACK:
        return effects + answers.succeed(tables, request)
    return effects + answers.lose(tables, request, "the transaction was ended")


def idle(tables: Tables, row: TransactionRow, now: float) -> None:
    """Starts the idle time of a transaction whose statement was answered."""
    assert tables.bundle is not None
    row.request = None
    row.idle_limit = now + tables.bundle.durations.idle_transaction_ms / 1000


def due(tables: Tables, row: TransactionRow, now: float) -> list[Effect]:
    """Ends a transaction at its limit or after its idle time; else schedules the next look."""
    if row.number not in tables.transactions:
        return []
    if now >= row.limit or (row.request is None and now >= row.idle_limit):
        return abort(tables, row)
    following = row.limit if row.request is not None else min(row.limit, row.idle_limit)
    timers.schedule(tables, max(following, now + 0.05), TimerKind.TRANSACTION, row)
    return []
