"""Transactions, each of which holds one connection to a target until it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent

from siskindale.models.catalog import Route
from siskindale.models.group import LogPosition
from siskindale.models.statements import (
    Access,
    ErrorCode,
    Reply,
    SessionState,
    Statement,
    Verb,
)
from siskindale.platform import wire
from siskindale.proxy.admission import Admission
from siskindale.proxy.connection import ReplyTimeoutError, TargetConnection
from siskindale.proxy.decisions import idle_transactions, outcomes, placement
from siskindale.proxy.decisions.outcomes import Progress, StatementKind
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.preparation import Preparation
from siskindale.proxy.routing import EXCHANGE_ERRORS, Router, prepared_name
from siskindale.proxy.tables import Group
from siskindale.proxy.transaction_start import TRANSACTION_REPLY_TIMEOUT_S, TransactionStarter
from siskindale.runtime.logs import logger

if TYPE_CHECKING:
    from siskindale.proxy.links import Link


@attrs.define(eq=False)
class Transaction:
    """An open transaction of a client, which runs in the name of `workspace`.

    `begin_request_id` is the id of the request that began it. `begin_greenlet` starts it on a
    target while the client prepares its first statement. `failure_reported` is set once the client
    has been told that the transaction failed. `used_at` is when its last statement began or ended.
    `refusal` is the reply to its statements if it exceeds the quota of its workspace.

    At the owner of the group's connections it has a `connection`. At a VM that forwards it, it has
    the `link` to the owner and a `handle` for it; `started` once a statement was forwarded.
    """

    read_only: bool
    route: Route
    group: Group
    arrived_at: float
    begin_request_id: bytes
    connection: TargetConnection | None = None
    begin_greenlet: gevent.Greenlet | None = None
    wrote: bool = False
    failed: bool = False
    failure_reported: bool = False
    used_at: float = 0.0
    running: bool = False
    link: Link | None = None
    handle: int = 0
    started: bool = False
    workspace: str = ""
    refusal: Reply | None = None

    def kind_of(self, statement: Statement, access: Access | None) -> StatementKind:
        """Returns the kind of a statement of this transaction."""
        if statement.verb is Verb.COMMIT:
            return StatementKind.COMMIT_OF_WRITES if self.wrote else StatementKind.COMMIT_OF_READS
        if access is Access.READ:
            return StatementKind.TRANSACTION_READ
        return StatementKind.TRANSACTION_WRITE


class TransactionRunner:
    """Runs transactions of client sessions on connections of a pool."""

    def __init__(self, pool: ConnectionPool, router: Router, admission: Admission) -> None:
        self._pool = pool
        self._router = router
        self._admission = admission
        self._starter = TransactionStarter(pool, router)
        self._idle: set[Transaction] = set()

    def begin_in_background(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> None:
        """Starts a transaction on a target while its client prepares the first statement.

        It counts as one operation of its workspace, and is refused beyond the quota.
        """
        transaction.refusal = self._admission.refusal(
            transaction.group.name, transaction.workspace, transaction.begin_request_id
        )
        if transaction.refusal is not None:
            transaction.refusal.state = SessionState.FAILED
            return
        deadline = self._pool.now() + transaction.route.timeout_s
        transaction.begin_greenlet = gevent.spawn(
            self._begin, transaction, values, session_position, deadline
        )

    def run(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
        statement: Statement,
        work: StatementKind,
    ) -> Reply:
        """Runs one statement of a transaction, or its commit, and starts it before if needed."""
        if transaction.refusal is not None:
            return transaction.refusal
        transaction.running, transaction.used_at = True, self._pool.now()
        self._idle.discard(transaction)
        try:
            if transaction.connection is None:
                begin_error = self._ensure_begun(transaction, values, session_position)
                if begin_error is not None:
                    return begin_error
            if work is StatementKind.TRANSACTION_WRITE:
                transaction.wrote = True
            return self._run_begun(transaction, values, statement, work)
        finally:
            transaction.running, transaction.used_at = False, self._pool.now()
            if transaction.connection is not None:
                self._idle.add(transaction)

    def _ensure_begun(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> Reply | None:
        """Makes sure that a transaction has started; returns None on success, else the error.

        It waits for the start in the background and, if that failed, starts it again. Both
        together are limited by the timeout of one statement.
        """
        deadline = self._pool.now() + transaction.route.timeout_s
        begin_greenlet, transaction.begin_greenlet = transaction.begin_greenlet, None
        if begin_greenlet is not None:
            begin_greenlet.join(transaction.route.timeout_s)
            begin_greenlet.kill()
            if transaction.connection is not None:
                return None
        return self._begin(transaction, values, session_position, deadline)

    def _begin(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
        deadline: float,
    ) -> Reply | None:
        """Starts a transaction on a target; returns None on success, else the error."""
        error = self._starter.start(transaction, values, session_position, deadline)
        if error is None and not transaction.running:
            transaction.used_at = self._pool.now()
            self._idle.add(transaction)
        return error

    def _run_begun(
        self,
        transaction: Transaction,
        values: SessionValues,
        statement: Statement,
        work: StatementKind,
    ) -> Reply:
        """Runs one statement of a transaction that has a connection."""
        connection = transaction.connection
        assert connection is not None
        connection.resume()
        try:
            return self._exchange(transaction, connection, values, statement, work)
        finally:
            if transaction.connection is not None:
                connection.rest()

    def _exchange(
        self,
        transaction: Transaction,
        connection: TargetConnection,
        values: SessionValues,
        statement: Statement,
        work: StatementKind,
    ) -> Reply:
        """Sends a statement with the messages that must precede it, and returns its reply."""
        started_at = self._pool.now()
        preparation = Preparation(connection, values, statement)
        message = wire.encode_statement(statement, prepared_name(values, statement))
        reply_deadline = started_at + self._reply_timeout_s(transaction.route, work)
        try:
            connection.send([*preparation.messages, message])
            failed_reply = preparation.receive(lambda: reply_deadline - self._pool.now())
            reply = connection.receive(reply_deadline - self._pool.now())
        except EXCHANGE_ERRORS as error:
            return self._handle_broken_connection(transaction, statement, work, error, started_at)
        except BaseException:
            transaction.connection = None
            self._pool.close_in_use(transaction.group, connection)
            raise
        if failed_reply is not None and statement.verb is not Verb.COMMIT:
            # The statement failed because of it, or ran without the values of its session.
            reply = attrs.evolve(failed_reply, position=reply.position, state=reply.state)
        reply.target = connection.target.id
        if reply.error is None:
            now = self._pool.now()
            placement.note_latency(connection.target, now - started_at, now)
            placement.note_result(connection.target, failed=False, now=now)
            return reply
        decision = outcomes.after_error(work, reply.error)
        logger().info(
            "transaction-error",
            request=statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            error=reply.error.value,
            state=reply.state.value,
        )
        if reply.error is ErrorCode.READ_ONLY:
            self._router.note_demoted(transaction.group, connection)
        return attrs.evolve(reply, error=decision.error)

    def _reply_timeout_s(self, route: Route, work: StatementKind) -> float:
        if work is StatementKind.COMMIT_OF_WRITES:
            return route.timeout_s
        return min(route.timeout_s, TRANSACTION_REPLY_TIMEOUT_S)

    def _handle_broken_connection(
        self,
        transaction: Transaction,
        statement: Statement,
        work: StatementKind,
        error: BaseException,
        started_at: float,
    ) -> Reply:
        connection = transaction.connection
        assert connection is not None
        decision = outcomes.after_exchange_failure(work, Progress.SENT)
        logger().info(
            "transaction-broken",
            request=statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            after_ms=round((self._pool.now() - started_at) * 1000, 1),
            reason=repr(error),
            error=decision.error.value if decision.error else "",
        )
        now = self._pool.now()
        placement.note_broken_exchange(
            connection.target, now - started_at, isinstance(error, ReplyTimeoutError), now
        )
        self._pool.close_in_use(transaction.group, connection)
        transaction.connection = None
        return Reply(error=decision.error, detail=b"connection lost", state=SessionState.FAILED)

    def end(self, transaction: Transaction) -> None:
        """Returns the connection to the pool, after a rollback if its transaction is open."""
        begin_greenlet, transaction.begin_greenlet = transaction.begin_greenlet, None
        if begin_greenlet is not None:
            begin_greenlet.kill()
        self._idle.discard(transaction)
        connection, transaction.connection = transaction.connection, None
        if connection is None:
            return
        if not transaction.running:
            connection.resume()
        if connection.state is SessionState.IDLE:
            self._pool.release(transaction.group, connection)
        else:
            self._pool.roll_back(transaction.group, connection)

    def limit_idle(self, group: Group, idle_limit_s: float) -> None:
        """Rolls back transactions that are idle on connections which other statements wait for."""
        bound = self._pool.targets_without_connections(group)
        if not bound:
            return
        limit_s = idle_transactions.idle_limit(idle_limit_s, len(group.waiters))
        oldest = self._pool.now() - limit_s
        for transaction in sorted(self._idle, key=lambda t: t.used_at):
            connection = transaction.connection
            if transaction.used_at > oldest or len(group.waiters) == 0:
                return
            if connection is not None and connection.target in bound:
                logger().info(
                    "transaction-aborted",
                    request=transaction.begin_request_id.decode(errors="replace"),
                    target=connection.target.id,
                    reason="idle on a scarce connection",
                    waiting=len(group.waiters),
                    limit_ms=round(limit_s * 1000),
                )
                transaction.failed = True
                self.end(transaction)
