"""Checks of a decoded request against the bundle, and the message that it becomes."""

import hashlib
from collections.abc import Sequence

import attrs
import msgspec
from returns.result import Failure, Result, Success

from siskindale import transactions
from siskindale.entry.access import Access
from siskindale.entry.bodies import BeginBody, StatementBody, TransactionStatementBody
from siskindale.entry.headers import Headers
from siskindale.entry.problems import Problem, refuse
from siskindale.entry.tables import Policy, Request
from siskindale.models.bundle import Caller, Repeat, StatementClass
from siskindale.models.outcomes import RefusalKind
from siskindale.models.session import Session
from siskindale.models.settings import SessionKey
from siskindale.models.wire import (
    BeginRequest,
    FinishRequest,
    StatementRequest,
    TransactionStatement,
)
from siskindale.transactions import TransactionId

NOT_CONFIRMED_RETRY_MS = 1000


@attrs.frozen
class Context:
    """What a request is checked against."""

    request_id: str
    caller: Caller
    headers: Headers
    session: Session
    access: Access
    degraded: bool
    keys: Sequence[SessionKey]


@attrs.frozen
class Plan:
    """A checked request with the way it may be sent."""

    request: Request
    policy: Policy
    group: str
    statement_class: str = ""
    fixed_pool: str | None = None


def plan_statement(context: Context, database: str, body: StatementBody) -> Result[Plan, Problem]:
    """Plans a statement in a transaction of its own."""
    return _grant(context, database, body.statement_class).bind(
        lambda found: _plan_granted(context, database, body, found)
    )


def plan_begin(context: Context, database: str, body: BeginBody) -> Result[Plan, Problem]:
    """Plans the opening of a transaction."""
    granted = _grant(context, database, body.statement_class)
    return granted.bind(lambda found: _check_unkeyed(context, found)).map(
        lambda _: Plan(_begin_request(context, database, body), Policy.BEGIN, database)
    )


def plan_transaction_statement(
    context: Context, transaction: str, body: TransactionStatementBody
) -> Result[Plan, Problem]:
    """Plans a statement of an open transaction."""
    request = TransactionStatement(
        context.request_id, context.caller.name, transaction, body.sql, body.params, 0.0
    )
    return _transaction(context, transaction).map(lambda found: _fixed(request, found))


def plan_finish(context: Context, transaction: str, commit: bool) -> Result[Plan, Problem]:
    """Plans a commit or a rollback."""
    request = FinishRequest(context.request_id, context.caller.name, transaction, commit, 0.0)
    return _transaction(context, transaction).map(lambda found: _fixed(request, found))


def digest(caller: str, database: str, body: StatementBody) -> str:
    """Returns the hash of everything that an idempotency key stands for."""
    parts = (caller, database, body.statement_class, body.sql, body.params)
    return hashlib.sha256(msgspec.msgpack.encode(parts)).hexdigest()


def _grant(context: Context, database: str, name: str) -> Result[StatementClass, Problem]:
    return context.access.group(context.caller, database).bind(
        lambda _: context.access.statement_class(context.caller, name)
    )


def _plan_granted(
    context: Context, database: str, body: StatementBody, found: StatementClass
) -> Result[Plan, Problem]:
    if body.access == "read":
        request = _statement_request(context, database, body, key=None)
        return Success(Plan(request, Policy.READ, database, found.name))
    key = context.headers.key
    if key is None:
        checked = _check_unkeyed(context, found)
        if isinstance(checked, Failure):
            return checked
    request = _statement_request(context, database, body, key)
    return Success(Plan(request, Policy.KEYED if key else Policy.ONCE, database, found.name))


def _check_unkeyed(context: Context, found: StatementClass) -> Result[None, Problem]:
    """Refuses writes without a key that must not be repeated or while the bundle is in doubt."""
    if found.repeat is Repeat.FORBIDDEN:
        detail = f"writes of class {found.name!r} need an Idempotency-Key and no transaction"
        return Failure(refuse(RefusalKind.KEY_REQUIRED, detail))
    if context.degraded:
        detail = "only reads and writes with an Idempotency-Key run until the bundle is confirmed"
        return Failure(refuse(RefusalKind.BUNDLE_NOT_CONFIRMED, detail, NOT_CONFIRMED_RETRY_MS))
    return Success(None)


def _statement_request(
    context: Context, database: str, body: StatementBody, key: str | None
) -> StatementRequest:
    caller, name = context.caller, body.statement_class
    bounded = body.access == "read" and not context.degraded
    return StatementRequest(
        request_id=context.request_id,
        caller=caller.name,
        group=database,
        statement_class=name,
        access=body.access,
        sql=body.sql,
        params=body.params,
        budget_ms=0.0,
        bundle_version=context.access.version,
        token=context.session.position(database),
        max_age_ms=context.access.max_age_ms(caller, name, body.max_age_ms) if bounded else None,
        key=key,
        digest=digest(caller.name, database, body) if key else "",
    )


def _begin_request(context: Context, database: str, body: BeginBody) -> BeginRequest:
    return BeginRequest(
        request_id=context.request_id,
        caller=context.caller.name,
        group=database,
        statement_class=body.statement_class,
        budget_ms=0.0,
        bundle_version=context.access.version,
        token=context.session.position(database),
    )


def _transaction(context: Context, text: str) -> Result[TransactionId, Problem]:
    decoded = transactions.decode(context.keys, text)
    if isinstance(decoded, Failure):
        detail = f"the transaction id is not valid: {decoded.failure()}"
        return Failure(refuse(RefusalKind.UNKNOWN_TRANSACTION, detail))
    found = decoded.unwrap()
    return context.access.group(context.caller, found.group).map(lambda _: found)


def _fixed(request: Request, transaction: TransactionId) -> Plan:
    return Plan(request, Policy.FIXED, transaction.group, "", transaction.vm)
