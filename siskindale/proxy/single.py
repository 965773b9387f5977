"""Statements outside of transactions, repeated where that is safe."""

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
from siskindale.proxy.decisions.outcomes import Progress, StatementKind, Step
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


@attrs.define
class Operation:
    """A statement that runs outside a transaction.

    `position_rolled_back` is set once the primary itself lacked the position that a read needs: a
    promotion has rolled it back, and the primary can serve the read without it.
    """

    statement: Statement
    route: Route
    group: Group
    arrived: float
    access: Access
    session_position: LogPosition | None
    excluded: set[str] = attrs.field(factory=set)
    attempts: int = 0
    position_rolled_back: bool = False

    @property
    def deadline(self) -> float:
        """When the client no longer waits for the reply."""
        return self.arrived + self.route.timeout_s

    @property
    def work(self) -> StatementKind:
        """Kind of work for decisions on retries."""
        return StatementKind.READ if self.access is Access.READ else StatementKind.WRITE


class StatementRunner:
    """Runs single statements of client sessions on the connections of a pool."""

    def __init__(self, pool: ConnectionPool, router: Router) -> None:
        self._pool = pool
        self._router = router

    def run(self, operation: Operation, values: SessionValues) -> Reply:
        """Runs a statement outside a transaction until it has a reply or no time is left."""
        last_error = ErrorCode.OVERLOADED
        while True:
            need = self._need(operation)
            connection = self._pool.acquire(operation.group, need, operation.excluded)
            if connection is None:
                if self._pool.now() < operation.deadline:
                    self._router.reset_exhausted_exclusions(operation.group, operation.excluded)
                    continue
                return self._refused(operation, last_error)
            operation.attempts += 1
            outcome = self._attempt(operation, values, connection, need)
            if isinstance(outcome, Reply):
                outcome.target = connection.target.id
                outcome.attempts = operation.attempts
                return outcome
            last_error = self._prepare_retry(operation, connection, outcome) or last_error

    def _need(self, operation: Operation) -> Need:
        minimum = None
        if operation.access is Access.READ:
            minimum = required_position(
                operation.route,
                operation.group.freshness,
                operation.session_position,
                operation.arrived,
            )
        if operation.position_rolled_back:
            minimum = None
        if minimum is None:
            # There is no other target to go to.
            operation.excluded.clear()
        return self._router.need_of(
            operation.group,
            operation.route,
            minimum,
            operation.access,
            operation.deadline,
            operation.excluded,
        )

    def _refused(self, operation: Operation, error: ErrorCode) -> Reply:
        logger().info(
            "statement-refused",
            request=operation.statement.request_id.decode(errors="replace"),
            route=operation.route.name,
            group=operation.group.name,
            primary=operation.group.leadership.primary_id,
            waiting=len(operation.group.waiters),
            attempts=operation.attempts,
            reason=error.value,
        )
        return Reply(error=ErrorCode.OVERLOADED, detail=b"no connection in time")

    def _attempt(
        self,
        operation: Operation,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
    ) -> Reply | outcomes.Decision:
        started = self._pool.now()
        proof = operation.access is Access.READ and need.min_position is None
        try:
            reply = self._exchange(operation, values, connection, need, proof, started)
        except EXCHANGE_ERRORS as error:
            return self._broken(operation, connection, error, started)
        self._note_reply(operation, connection, reply, started, proof)
        if reply.error is ErrorCode.LAGGING:
            self._router.note_lagging(
                operation.group, connection, need.min_position, reply.position
            )
        self._pool.release(operation.group, connection)
        if reply.error is None:
            reply.state = SessionState.IDLE
            return reply
        decision = outcomes.after_error(operation.work, reply.error)
        if decision.step is Step.RETURN:
            return Reply(error=decision.error, detail=reply.detail, position=reply.position)
        return attrs.evolve(decision, error=reply.error)

    def _exchange(
        self,
        operation: Operation,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
        proof: bool,
        started: float,
    ) -> Reply:
        """Sends a statement with what must precede it, and returns its reply.

        With `proof`, a read runs inside a transaction that may write. Its success shows that the
        target was the primary then: a target that lost that role refuses the read.
        """
        statement = operation.statement
        message = wire.encode_statement(
            statement, prepared_name(values, statement), need.min_position
        )
        before = preparation_messages(connection, values, statement)
        if proof:
            before.append(wire.encode_begin(read_only=False))
        connection.send([*before, message, *([wire.encode_rollback()] if proof else [])])
        limit = self._reply_limit(operation, connection, started)
        replies = [connection.receive(limit - self._pool.now()) for _ in [*before, message]]
        if proof:
            connection.receive(limit - self._pool.now())
        failed = next((r for r in replies[:-1] if r.error is not None), None)
        if failed is None:
            return replies[-1]
        if operation.access is Access.WRITE and replies[-1].error is None:
            # The write ran, but not with the values of its session; it must not be repeated.
            return Reply(error=ErrorCode.OUTCOME_UNKNOWN, detail=b"preparation failed")
        return self._unprepared(connection, failed, proof)

    def _unprepared(self, connection: TargetConnection, failed: Reply, proof: bool) -> Reply:
        """Returns the reply of a failed step before a read; values are then unknown."""
        if not (proof and failed.error is ErrorCode.READ_ONLY):
            logger().warning(
                "preparation-failed", target=connection.target.id, reason=str(failed.error)
            )
            connection.state = SessionState.FAILED
        return Reply(error=failed.error, detail=failed.detail)

    def _reply_limit(
        self, operation: Operation, connection: TargetConnection, started: float
    ) -> float:
        if operation.access is Access.READ:
            repeated_at = started + placement.read_attempt_timeout(connection.target, started)
            return min(operation.deadline, repeated_at)
        return operation.deadline

    def _broken(
        self,
        operation: Operation,
        connection: TargetConnection,
        error: BaseException,
        started: float,
    ) -> Reply | outcomes.Decision:
        now = self._pool.now()
        placement.note_latency(connection.target, now - started, now)
        self._pool.close_in_use(operation.group, connection)
        decision = outcomes.after_exchange_failure(operation.work, Progress.SENT)
        logger().info(
            "exchange-failed",
            request=operation.statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            after_ms=round((now - started) * 1000, 1),
            reason=repr(error),
            step=decision.step.value,
        )
        if decision.step is Step.RETURN:
            return Reply(error=decision.error, detail=b"reply lost")
        if now >= operation.deadline:
            return Reply(error=ErrorCode.TIMEOUT, detail=b"no reply in time")
        return decision

    def _note_reply(
        self,
        operation: Operation,
        connection: TargetConnection,
        reply: Reply,
        started: float,
        proof: bool,
    ) -> None:
        now = self._pool.now()
        if reply.error is None:
            placement.note_latency(connection.target, now - started, now)
        if reply.succeeded and (proof or operation.access is Access.WRITE):
            self._pool.note_primary(operation.group, connection.target, reply.position, started)

    def _prepare_retry(
        self, operation: Operation, connection: TargetConnection, decision: outcomes.Decision
    ) -> ErrorCode | None:
        error = decision.error
        logger().info(
            "statement-retried",
            request=operation.statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            attempt=operation.attempts,
            reason=error.value if error else "connection",
            step=decision.step.value,
            primary=operation.group.leadership.primary_id,
        )
        metrics.RETRIES.labels(error.value if error else "connection").inc()
        if decision.step is Step.RETRY_DEMOTED:
            self._router.note_demoted(operation.group, connection)
        elif self._router.primary_lacks_position(operation.group, connection, error):
            operation.position_rolled_back = True
        elif decision.step is Step.RETRY_ELSEWHERE:
            operation.excluded.add(connection.target.id)
            self._router.reset_exhausted_exclusions(operation.group, operation.excluded)
        else:
            gevent.sleep(RETRY_PAUSE_S)
        return error
