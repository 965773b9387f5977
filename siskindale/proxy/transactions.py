"""Transactions, which keep one connection to a target from their first statement to their end."""

import attrs
import gevent

from siskindale.models.catalog import Route
from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Reply, SessionState, Statement
from siskindale.platform import wire
from siskindale.proxy import metrics
from siskindale.proxy.connection import TargetConnection
from siskindale.proxy.decisions import outcomes, placement
from siskindale.proxy.decisions.freshness import required_position
from siskindale.proxy.decisions.outcomes import Progress, StatementKind
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.routing import (
    EXCHANGE_ERRORS,
    RETRY_PAUSE_S,
    Router,
    preparation_messages,
    prepared_name,
)
from siskindale.proxy.tables import Group, Need
from siskindale.runtime.logs import logger

# A statement of a transaction without a reply for this long is given up, so that the client can
# repeat the transaction while it has time.
TRANSACTION_REPLY_S = 0.5


@attrs.define
class Transaction:
    """An open transaction; `begun_by` is the id of the client's request that began it.

    `starting` is the greenlet that starts it on a target while the client prepares its first
    statement. `reported` is set once the client has been told that the transaction failed.
    """

    read_only: bool
    route: Route
    group: Group
    arrived: float
    begun_by: bytes
    connection: TargetConnection | None = None
    starting: gevent.Greenlet | None = None
    wrote: bool = False
    failed: bool = False
    reported: bool = False


class TransactionRunner:
    """Runs transactions of client sessions on the connections of a pool."""

    def __init__(self, pool: ConnectionPool, router: Router) -> None:
        self._pool = pool
        self._router = router

    def begin_early(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> None:
        """Starts a transaction in the background, while its client prepares a statement."""
        deadline = self._pool.now() + transaction.route.timeout_s
        transaction.starting = gevent.spawn(
            self._begin, transaction, values, session_position, deadline
        )

    def begin(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> Reply | None:
        """Waits until a transaction has started; returns None on success, else the error.

        Both attempts together take no longer than one statement may.
        """
        deadline = self._pool.now() + transaction.route.timeout_s
        starting, transaction.starting = transaction.starting, None
        if starting is not None:
            starting.join(transaction.route.timeout_s)
            starting.kill()
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
        route = transaction.route
        excluded: set[str] = set()
        position_rolled_back = False
        while True:
            minimum = None
            if transaction.read_only:
                minimum = required_position(
                    route, transaction.group.freshness, session_position, transaction.arrived
                )
            if position_rolled_back:
                minimum = None
            if minimum is None:
                excluded.clear()
            access = Access.READ if transaction.read_only else Access.WRITE
            need = self._router.need_of(
                transaction.group, route, minimum, access, deadline, excluded
            )
            connection = self._pool.acquire(transaction.group, need, excluded)
            if connection is None:
                if self._pool.now() < deadline:
                    self._router.reset_exhausted_exclusions(transaction.group, excluded)
                    continue
                logger().info(
                    "transaction-refused",
                    request=transaction.begun_by.decode(errors="replace"),
                    group=transaction.group.name,
                    primary=transaction.group.leadership.primary_id,
                    waiting=len(transaction.group.waiters),
                )
                return Reply(error=ErrorCode.OVERLOADED, detail=b"no connection in time")
            error = self._begin_on(transaction, values, connection, need)
            if error is None:
                transaction.connection = connection
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

    def _begin_on(
        self,
        transaction: Transaction,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
    ) -> ErrorCode | None:
        """Starts the transaction on a connection; what failed has not run and may be repeated.

        A read-only transaction at the primary is started as one that may write, which proves its
        role for each of its reads.
        """
        started = self._pool.now()
        proof = need.min_position is None
        messages = preparation_messages(connection, values, None)
        messages.append(wire.encode_begin(not proof, need.min_position))
        try:
            connection.send(messages)
            limit = min(need.deadline, started + TRANSACTION_REPLY_S)
            replies = [connection.receive(limit - self._pool.now()) for _ in messages]
        except EXCHANGE_ERRORS as error:
            logger().info(
                "begin-failed",
                request=transaction.begun_by.decode(errors="replace"),
                target=connection.target.id,
                reason=repr(error),
            )
            self._pool.close_in_use(transaction.group, connection)
            return ErrorCode.FAILED
        except BaseException:
            self._pool.close_in_use(transaction.group, connection)
            raise
        failed = next((r for r in replies if r.error is not None), None)
        if failed is None:
            if proof:
                self._pool.note_primary(
                    transaction.group, connection.target, replies[-1].position, started
                )
            return None
        if failed is not replies[-1]:
            connection.state = SessionState.FAILED
        elif failed.error is ErrorCode.LAGGING:
            self._router.note_lagging(
                transaction.group, connection, need.min_position, failed.position
            )
        self._end_failed(transaction.group, connection)
        return failed.error

    def _end_failed(self, group: Group, connection: TargetConnection) -> None:
        if connection.state is SessionState.IDLE:
            self._pool.release(group, connection)
        else:
            self._pool.close_in_use(group, connection)

    def run(
        self,
        transaction: Transaction,
        values: SessionValues,
        statement: Statement,
        work: StatementKind,
    ) -> Reply:
        """Runs one statement of a transaction that has a connection."""
        connection = transaction.connection
        assert connection is not None
        started = self._pool.now()
        messages = preparation_messages(connection, values, statement)
        messages.append(wire.encode_statement(statement, prepared_name(values, statement)))
        try:
            connection.send(messages)
            limit = started + self._reply_limit(transaction.route, work)
            replies = [connection.receive(limit - self._pool.now()) for _ in messages]
        except EXCHANGE_ERRORS as error:
            return self._broken(transaction, statement, work, error, started)
        reply = replies[-1]
        reply.target = connection.target.id
        if reply.error is None:
            now = self._pool.now()
            placement.note_latency(connection.target, now - started, now)
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

    def _reply_limit(self, route: Route, work: StatementKind) -> float:
        if work is StatementKind.COMMIT_OF_WRITES:
            return route.timeout_s
        return min(route.timeout_s, TRANSACTION_REPLY_S)

    def _broken(
        self,
        transaction: Transaction,
        statement: Statement,
        work: StatementKind,
        error: BaseException,
        started: float,
    ) -> Reply:
        connection = transaction.connection
        assert connection is not None
        decision = outcomes.after_exchange_failure(work, Progress.SENT)
        logger().info(
            "transaction-broken",
            request=statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            after_ms=round((self._pool.now() - started) * 1000, 1),
            reason=repr(error),
            error=decision.error.value if decision.error else "",
        )
        self._pool.close_in_use(transaction.group, connection)
        transaction.connection = None
        return Reply(error=decision.error, detail=b"connection lost", state=SessionState.FAILED)

    def end(self, transaction: Transaction) -> None:
        """Gives the transaction's connection back, rolling back what is open on it."""
        starting, transaction.starting = transaction.starting, None
        if starting is not None:
            starting.kill()
        connection, transaction.connection = transaction.connection, None
        if connection is None:
            return
        if connection.state is SessionState.IDLE:
            self._pool.release(transaction.group, connection)
        else:
            self._pool.roll_back(transaction.group, connection)
