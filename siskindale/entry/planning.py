"""Checks a decoded request against the bundle and builds the message for the pool."""

import hashlib
from collections.abc import Sequence

import attrs
import msgspec
from returns.result import Failure, Result, Success

from siskindale import transactions
from siskindale.entry.access import Access
from siskindale.entry.bodies import BeginBody, StatementBody, TransactionStatementBody
from siskindale.entry.headers import RequestHeaders
from siskindale.entry.problems import Problem, refusal_problem
from siskindale.entry.tables import Request, RetryPolicy
from siskindale.models.bundle import Caller, RepeatPolicy, StatementClass
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
class RequestContext:
    """Data that a request is checked against and that goes into its message."""

    request_id: str
    caller: Caller
    headers: RequestHeaders
    session: Session
    access: Access
    degraded: bool
    session_keys: Sequence[SessionKey]


@attrs.frozen
class ForwardingPlan:
    """A checked request, with its retry policy and destination."""

    request: Request
    policy: RetryPolicy
    group: str
    statement_class: str = ""
    fixed_pool: str | None = None


def plan_statement(
    context: RequestContext, database: str, body: StatementBody
) -> Result[ForwardingPlan, Problem]:
    """Plans a statement in its own transaction."""
    return _check_grant(context, database, body.statement_class).bind(
        lambda statement_class: _plan_granted_statement(context, database, body, statement_class)
    )


def plan_begin(
    context: RequestContext, database: str, body: BeginBody
) -> Result[ForwardingPlan, Problem]:
    """Plans the start of a transaction."""
    granted = _check_grant(context, database, body.statement_class)
    return granted.bind(lambda statement_class: _check_unkeyed_write(context, statement_class)).map(
        lambda _: ForwardingPlan(
            _begin_request(context, database, body), RetryPolicy.BEGIN, database
        )
    )


def plan_transaction_statement(
    context: RequestContext, transaction: str, body: TransactionStatementBody
) -> Result[ForwardingPlan, Problem]:
    """Plans a statement of an open transaction."""
    request = TransactionStatement(
        context.request_id, context.caller.name, transaction, body.sql, body.params, 0.0
    )
    return _decode_transaction(context, transaction).map(
        lambda transaction_id: _plan_for_transaction_pool(request, transaction_id)
    )


def plan_finish(
    context: RequestContext, transaction: str, commit: bool
) -> Result[ForwardingPlan, Problem]:
    """Plans a commit or a rollback."""
    request = FinishRequest(context.request_id, context.caller.name, transaction, commit, 0.0)
    return _decode_transaction(context, transaction).map(
        lambda transaction_id: _plan_for_transaction_pool(request, transaction_id)
    )


def request_digest(caller: str, database: str, body: StatementBody) -> str:
    """Returns the hash of the parts of a request that its idempotency key identifies."""
    parts = (caller, database, body.statement_class, body.sql, body.params)
    return hashlib.sha256(msgspec.msgpack.encode(parts)).hexdigest()


def _check_grant(
    context: RequestContext, database: str, class_name: str
) -> Result[StatementClass, Problem]:
    return context.access.granted_group(context.caller, database).bind(
        lambda _: context.access.granted_class(context.caller, class_name)
    )


def _plan_granted_statement(
    context: RequestContext, database: str, body: StatementBody, statement_class: StatementClass
) -> Result[ForwardingPlan, Problem]:
    if body.access == "read":
        request = _statement_request(context, database, body, key=None)
        return Success(ForwardingPlan(request, RetryPolicy.READ, database, statement_class.name))
    key = context.headers.idempotency_key
    if key is None:
        checked = _check_unkeyed_write(context, statement_class)
        if isinstance(checked, Failure):
            return checked
    request = _statement_request(context, database, body, key)
    return Success(
        ForwardingPlan(
            request,
            RetryPolicy.KEYED if key else RetryPolicy.AT_MOST_ONCE,
            database,
            statement_class.name,
        )
    )


def _check_unkeyed_write(
    context: RequestContext, statement_class: StatementClass
) -> Result[None, Problem]:
    """Refuses writes without a key if they must not be repeated or the bundle is not confirmed."""
    if statement_class.repeat is RepeatPolicy.FORBIDDEN:
        detail = (
            f"writes of class {statement_class.name!r} need an Idempotency-Key and no transaction"
        )
        return Failure(refusal_problem(RefusalKind.KEY_REQUIRED, detail))
    if context.degraded:
        detail = "only reads and writes with an Idempotency-Key run until the bundle is confirmed"
        return Failure(
            refusal_problem(RefusalKind.BUNDLE_NOT_CONFIRMED, detail, NOT_CONFIRMED_RETRY_MS)
        )
    return Success(None)


def _statement_request(
    context: RequestContext, database: str, body: StatementBody, key: str | None
) -> StatementRequest:
    caller, class_name = context.caller, body.statement_class
    bounded = body.access == "read" and not context.degraded
    return StatementRequest(
        request_id=context.request_id,
        caller=caller.name,
        group=database,
        statement_class=class_name,
        access=body.access,
        sql=body.sql,
        params=body.params,
        budget_ms=0.0,
        bundle_version=context.access.bundle_version,
        token=context.session.position(database),
        max_age_ms=(
            context.access.effective_max_age_ms(caller, class_name, body.max_age_ms)
            if bounded
            else None
        ),
        key=key,
        digest=request_digest(caller.name, database, body) if key else "",
    )


def _begin_request(context: RequestContext, database: str, body: BeginBody) -> BeginRequest:
    return BeginRequest(
        request_id=context.request_id,
        caller=context.caller.name,
        group=database,
        statement_class=body.statement_class,
        budget_ms=0.0,
        bundle_version=context.access.bundle_version,
        token=context.session.position(database),
    )


def _decode_transaction(context: RequestContext, text: str) -> Result[TransactionId, Problem]:
    decoded = transactions.decode(context.session_keys, text)
    if isinstance(decoded, Failure):
        detail = f"the transaction id is not valid: {decoded.failure()}"
        return Failure(refusal_problem(RefusalKind.UNKNOWN_TRANSACTION, detail))
    transaction_id = decoded.unwrap()
    return context.access.granted_group(context.caller, transaction_id.group).map(
        lambda _: transaction_id
    )


def _plan_for_transaction_pool(request: Request, transaction: TransactionId) -> ForwardingPlan:
    return ForwardingPlan(request, RetryPolicy.FIXED, transaction.group, "", transaction.vm)
