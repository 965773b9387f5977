"""Execution of statements outside transactions, with retries where they are safe."""

import attrs
import gevent

from siskindale.models.catalog import Route
from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Reply, SessionState, Statement
from siskindale.platform import wire
from siskindale.proxy import metrics
from siskindale.proxy.admission import Admission
from siskindale.proxy.connection import ReplyTimeoutError, TargetConnection
from siskindale.proxy.decisions import outcomes, placement, waiting
from siskindale.proxy.decisions.freshness import required_position
from siskindale.proxy.decisions.outcomes import Progress, StatementKind, Step
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.preparation import Preparation
from siskindale.proxy.routing import (
    EXCHANGE_ERRORS,
    RETRY_PAUSE_S,
    Router,
    prepared_name,
)
from siskindale.proxy.tables import Group, Need
from siskindale.runtime.logs import logger


@attrs.define
class StatementExecution:
    """A statement outside a transaction and the progress of its attempts.

    It runs in the name of `workspace`.
    `reply_reserve_s` is the time that its reply needs to the VM that forwarded it. `excluded` holds
    the ids of targets that the next attempt avoids. `position_rolled_back` is set
    once the primary itself lacked the position that a read needs: a promotion has rolled that
    position back, and the primary serves the read without it.
    """

    statement: Statement
    route: Route
    group: Group
    arrived_at: float
    access: Access
    session_position: LogPosition | None
    reply_reserve_s: float = 0.0
    workspace: str = ""
    excluded: set[str] = attrs.field(factory=set)
    attempts: int = 0
    position_rolled_back: bool = False

    @property
    def deadline(self) -> float:
        """Time at which the client stops waiting for the reply."""
        return self.arrived_at + self.route.timeout_s - self.reply_reserve_s

    @property
    def work(self) -> StatementKind:
        """Kind of work, by which retries are decided."""
        return StatementKind.READ if self.access is Access.READ else StatementKind.WRITE


class StatementRunner:
    """Runs statements outside transactions on connections of a pool."""

    def __init__(self, pool: ConnectionPool, router: Router, admission: Admission) -> None:
        self._pool = pool
        self._router = router
        self._admission = admission

    def run(self, execution: StatementExecution, values: SessionValues) -> Reply:
        """Runs a statement within the quota of its workspace.

        Returns once there is a reply, or its deadline has passed.
        """
        group_name, workspace = execution.group.name, execution.workspace
        request_id = execution.statement.request_id
        refusal = self._admission.refusal(group_name, workspace, request_id)
        if refusal is not None:
            return refusal
        reply = self._run(execution, values)
        if reply.error is ErrorCode.OVERLOADED:
            self._admission.put_back(group_name, workspace)
        return reply

    def _run(self, execution: StatementExecution, values: SessionValues) -> Reply:
        last_error = ErrorCode.OVERLOADED
        while True:
            need = self._build_need(execution)
            queue_deadline = execution.deadline
            full_need = attrs.evolve(need, deadline=execution.deadline)
            if self._pool.cannot_be_served(execution.group, full_need):
                return self._refuse_overloaded(execution, last_error)
            overloaded = self._pool.reachable(execution.group, need)
            if overloaded:
                queue_deadline = waiting.queue_deadline(full_need, execution.arrived_at)
                need = attrs.evolve(need, deadline=min(need.deadline, queue_deadline))
            connection = self._pool.acquire(execution.group, need, execution.excluded)
            if connection is None:
                if overloaded and self._pool.now() >= queue_deadline:
                    return self._refuse_overloaded(execution, last_error)
                if self._pool.now() < execution.deadline:
                    self._router.reset_exhausted_exclusions(execution.group, execution.excluded)
                    continue
                return self._refuse_overloaded(execution, last_error)
            execution.attempts += 1
            outcome = self._attempt(execution, values, connection, need)
            if isinstance(outcome, Reply):
                outcome.target = connection.target.id
                outcome.attempts = execution.attempts
                return outcome
            last_error = self._prepare_retry(execution, connection, outcome) or last_error
            if self._pool.now() >= execution.deadline:
                return self._refuse_overloaded(execution, last_error)

    def _build_need(self, execution: StatementExecution) -> Need:
        minimum = None
        if execution.access is Access.READ:
            minimum = required_position(
                execution.route,
                execution.group.freshness,
                execution.session_position,
                execution.arrived_at,
            )
        if execution.position_rolled_back:
            minimum = None
        if minimum is None:
            # Only the primary can serve it, so no target is excluded.
            execution.excluded.clear()
        return self._router.need_of(
            execution.group,
            execution.route,
            minimum,
            execution.access,
            execution.arrived_at,
            execution.deadline,
            execution.excluded,
            execution.workspace,
        )

    def _refuse_overloaded(self, execution: StatementExecution, error: ErrorCode) -> Reply:
        logger().info(
            "statement-refused",
            request=execution.statement.request_id.decode(errors="replace"),
            route=execution.route.name,
            group=execution.group.name,
            workspace=execution.workspace,
            primary=execution.group.leadership.primary_id,
            waiting=len(execution.group.waiters),
            attempts=execution.attempts,
            reason=error.value,
        )
        return Reply(error=ErrorCode.OVERLOADED, detail=b"no connection in time")

    def _attempt(
        self,
        execution: StatementExecution,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
    ) -> Reply | outcomes.Decision:
        started_at = self._pool.now()
        prove_primary = execution.access is Access.READ and need.min_position is None
        try:
            reply = self._exchange_messages(
                execution, values, connection, need, prove_primary, started_at
            )
        except EXCHANGE_ERRORS as error:
            return self._handle_broken_connection(execution, connection, error, started_at)
        except BaseException:
            self._pool.close_in_use(execution.group, connection)
            raise
        self._record_reply(execution, connection, reply, started_at, prove_primary)
        if reply.error is ErrorCode.LAGGING:
            self._router.note_lagging(
                execution.group, connection, need.min_position, reply.position
            )
        self._pool.release(execution.group, connection)
        if reply.error is None:
            reply.state = SessionState.IDLE
            return reply
        decision = outcomes.after_error(execution.work, reply.error)
        if decision.step is Step.RETURN:
            return Reply(error=decision.error, detail=reply.detail, position=reply.position)
        return attrs.evolve(decision, error=reply.error)

    def _exchange_messages(
        self,
        execution: StatementExecution,
        values: SessionValues,
        connection: TargetConnection,
        need: Need,
        prove_primary: bool,
        started_at: float,
    ) -> Reply:
        """Sends a statement with the messages that must precede it, and returns its reply.

        With `prove_primary`, a read runs inside a read-write transaction. Its success shows that
        the target was the primary at that time: a target that has lost the role refuses the read.
        """
        statement = execution.statement
        message = wire.encode_statement(
            statement, prepared_name(values, statement), need.min_position
        )
        preparation = Preparation(connection, values, statement)
        messages = [*preparation.messages, message]
        if prove_primary:
            messages[-1:] = [wire.encode_begin(read_only=False), message, wire.encode_rollback()]
        connection.send(messages)
        reply_deadline = self._reply_deadline(execution, connection, started_at)

        def remaining_s() -> float:
            return reply_deadline - self._pool.now()

        failed_reply = preparation.receive(remaining_s)
        if prove_primary:
            begun = connection.receive(remaining_s())
            failed_reply = failed_reply or (begun if begun.error is not None else None)
        reply = connection.receive(remaining_s())
        if prove_primary:
            connection.receive(remaining_s())
        if failed_reply is None:
            return reply
        if execution.access is Access.WRITE and reply.error is None:
            # The write ran without the values of its session and must not be repeated.
            return Reply(error=ErrorCode.OUTCOME_UNKNOWN, detail=b"preparation failed")
        return Reply(error=failed_reply.error, detail=failed_reply.detail)

    def _reply_deadline(
        self, execution: StatementExecution, connection: TargetConnection, started_at: float
    ) -> float:
        if execution.access is Access.READ:
            retry_at = started_at + placement.read_attempt_timeout(connection.target, started_at)
            return min(execution.deadline, retry_at)
        return execution.deadline

    def _handle_broken_connection(
        self,
        execution: StatementExecution,
        connection: TargetConnection,
        error: BaseException,
        started_at: float,
    ) -> Reply | outcomes.Decision:
        now = self._pool.now()
        placement.note_broken_exchange(
            connection.target, now - started_at, isinstance(error, ReplyTimeoutError), now
        )
        self._pool.close_in_use(execution.group, connection)
        decision = outcomes.after_exchange_failure(execution.work, Progress.SENT)
        logger().info(
            "exchange-failed",
            request=execution.statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            after_ms=round((now - started_at) * 1000, 1),
            reason=repr(error),
            step=decision.step.value,
        )
        if decision.step is Step.RETURN:
            return Reply(error=decision.error, detail=b"reply lost")
        if now >= execution.deadline:
            return Reply(error=ErrorCode.TIMEOUT, detail=b"no reply in time")
        return decision

    def _record_reply(
        self,
        execution: StatementExecution,
        connection: TargetConnection,
        reply: Reply,
        started_at: float,
        prove_primary: bool,
    ) -> None:
        now = self._pool.now()
        if reply.error in (None, ErrorCode.FAILED):
            placement.note_result(connection.target, failed=reply.error is not None, now=now)
        if reply.error is None:
            placement.note_latency(connection.target, now - started_at, now)
        if reply.succeeded and (prove_primary or execution.access is Access.WRITE):
            self._pool.note_primary(execution.group, connection.target, reply.position, started_at)

    def _prepare_retry(
        self,
        execution: StatementExecution,
        connection: TargetConnection,
        decision: outcomes.Decision,
    ) -> ErrorCode | None:
        error = decision.error
        logger().info(
            "statement-retried",
            request=execution.statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            attempt=execution.attempts,
            reason=error.value if error else "connection",
            step=decision.step.value,
            primary=execution.group.leadership.primary_id,
        )
        metrics.RETRIES.labels(error.value if error else "connection").inc()
        if decision.step is Step.RETRY_DEMOTED:
            self._router.note_demoted(execution.group, connection)
        elif self._router.primary_lacks_position(execution.group, connection, error):
            execution.position_rolled_back = True
        elif decision.step is Step.RETRY_ELSEWHERE:
            execution.excluded.add(connection.target.id)
            self._router.reset_exhausted_exclusions(execution.group, execution.excluded)
        else:
            gevent.sleep(RETRY_PAUSE_S)
        return error
