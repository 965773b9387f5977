"""Starts transactions on targets, and repeats a start that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Reply, SessionState
from siskindale.platform import wire
from siskindale.proxy import metrics
from siskindale.proxy.connection import TargetConnection
from siskindale.proxy.decisions.freshness import required_position
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.preparation import Preparation
from siskindale.proxy.routing import EXCHANGE_ERRORS, RETRY_PAUSE_S, Router
from siskindale.proxy.tables import Group, Need
from siskindale.runtime.logs import logger

if TYPE_CHECKING:
    from siskindale.proxy.transactions import Transaction

# A statement of a transaction is given up after this time without a reply, so that the client has
# time left to repeat the transaction.
TRANSACTION_REPLY_TIMEOUT_S = 0.5


class TransactionStarter:
    """Finds a connection for a transaction and begins it there."""

    def __init__(self, pool: ConnectionPool, router: Router) -> None:
        self._pool = pool
        self._router = router

    def start(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
        deadline: float,
    ) -> Reply | None:
        """Starts a transaction on a target; returns None on success, else the error.

        The start is repeated until the deadline, since nothing has run yet.
        """
        route = transaction.route
        excluded: set[str] = set()
        position_rolled_back = False
        while True:
            minimum = None
            if transaction.read_only:
                minimum = required_position(
                    route, transaction.group.freshness, session_position, transaction.arrived_at
                )
            if position_rolled_back:
                minimum = None
            if minimum is None:
                excluded.clear()
            access = Access.READ if transaction.read_only else Access.WRITE
            need = self._router.need_of(
                transaction.group,
                route,
                minimum,
                access,
                transaction.arrived_at,
                deadline,
                excluded,
                transaction.workspace,
            )
            connection = self._pool.acquire(transaction.group, need, excluded)
            if connection is None:
                if self._pool.now() < deadline and not self._pool.interrupted:
                    self._router.reset_exhausted_exclusions(transaction.group, excluded)
                    continue
                return self._refuse_begin(transaction)
            error = self._begin_on_connection(transaction, values, connection, need)
            if error is None:
                transaction.connection = connection
                connection.rest()
                return None
            metrics.RETRIES.labels(error.value).inc()
            if error is ErrorCode.READ_ONLY:
                self._router.note_demoted(transaction.group, connection)
            elif error is ErrorCode.OVERLOADED:
                gevent.sleep(RETRY_PAUSE_S)
            elif self._router.primary_lacks_position(transaction.group, connection, error):
                position_rolled_back = True
            else:
                excluded.add(connection.target.id)
                self._router.reset_exhausted_exclusions(transaction.group, excluded)
            if self._pool.now() >= deadline:
                return self._refuse_begin(transaction)

    @staticmethod
    def _refuse_begin(transaction: Transaction) -> Reply:
        logger().info(
            "transaction-refused",
            request=transaction.begin_request_id.decode(errors="replace"),
            group=transaction.group.name,
            workspace=transaction.workspace,
            primary=transaction.group.leadership.primary_id,
            waiting=len(transaction.group.waiters),
        )
        return Reply(error=ErrorCode.OVERLOADED, detail=b"no connection in time")

    def _begin_on_connection(
        self,
        transaction: Transaction,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
    ) -> ErrorCode | None:
        """Starts the transaction on a connection; after an error the start may be repeated.

        A read-only transaction that needs the primary is started as read-write: the target then
        refuses each of its reads if it is not the primary.
        """
        started_at = self._pool.now()
        prove_primary = need.min_position is None
        preparation = Preparation(connection, values, None)
        begin = wire.encode_begin(not prove_primary, need.min_position)
        reply_deadline = min(need.deadline, started_at + TRANSACTION_REPLY_TIMEOUT_S)
        try:
            connection.send([*preparation.messages, begin])
            failed_reply = preparation.receive(lambda: reply_deadline - self._pool.now())
            reply = connection.receive(reply_deadline - self._pool.now())
        except EXCHANGE_ERRORS as error:
            logger().info(
                "begin-failed",
                request=transaction.begin_request_id.decode(errors="replace"),
                target=connection.target.id,
                reason=repr(error),
            )
            self._pool.close_in_use(transaction.group, connection)
            return ErrorCode.FAILED
        except BaseException:
            self._pool.close_in_use(transaction.group, connection)
            raise
        failure = reply.error if failed_reply is None else failed_reply.error
        if failure is None:
            if prove_primary:
                self._pool.note_primary(
                    transaction.group, connection.target, reply.position, started_at
                )
            return None
        if failure is ErrorCode.LAGGING:
            self._router.note_lagging(
                transaction.group, connection, need.min_position, reply.position
            )
        self._release_after_failed_begin(transaction.group, connection)
        return failure

    def _release_after_failed_begin(self, group: Group, connection: TargetConnection) -> None:
        if connection.state is SessionState.IDLE:
            self._pool.release(group, connection)
        else:
            self._pool.close_in_use(group, connection)
