"""Execution of statements on targets, with retries where they are safe."""

from collections.abc import Callable

import attrs
import gevent

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Reply, SessionState, Statement, Verb
from siskindale.platform import wire
from siskindale.proxy import metrics
from siskindale.proxy.connection import ReplyTimeoutError, TargetConnection, encode_step
from siskindale.proxy.decisions import leadership, outcomes, placement
from siskindale.proxy.decisions.freshness import required_position
from siskindale.proxy.decisions.outcomes import Progress, Step, Work
from siskindale.proxy.decisions.session_state import SessionValues, preparation, shared_name
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.tables import Group, Need
from siskindale.runtime.logs import logger

# An overloaded target is asked again after this time.
RETRY_PAUSE_S = 0.01
# A statement of a transaction without a reply for this long is given up, so that the client can
# repeat the transaction while it has time.
TRANSACTION_REPLY_S = 0.5
# A peer answers within a round trip; then the read looks again for a target.
SAMPLE_WAIT_S = 0.1

_BROKEN = (OSError, ReplyTimeoutError, wire.ProtocolError)


@attrs.define
class Transaction:
    """An open transaction.

    `starting` is the greenlet that starts it on a target while the client prepares its first
    statement. `reported` is set once the client has been told that the transaction failed.
    """

    read_only: bool
    route: Route
    group: Group
    arrived: float
    connection: TargetConnection | None = None
    starting: gevent.Greenlet | None = None
    wrote: bool = False
    failed: bool = False
    reported: bool = False


@attrs.define
class Operation:
    """A statement that runs outside a transaction."""

    statement: Statement
    route: Route
    group: Group
    arrived: float
    access: Access
    session_position: LogPosition | None
    excluded: set[str] = attrs.field(factory=set)
    attempts: int = 0

    @property
    def deadline(self) -> float:
        """When the client no longer waits for the reply."""
        return self.arrived + self.route.timeout_s

    @property
    def work(self) -> Work:
        """Kind of work for decisions on retries."""
        return Work.READ if self.access is Access.READ else Work.WRITE


class Executor:
    """Runs statements of client sessions on the connections of a pool."""

    def __init__(self, pool: ConnectionPool, request_sample: Callable[[str], None]) -> None:
        self._pool = pool
        self._request_sample = request_sample

    def run_single(self, operation: Operation, values: SessionValues) -> Reply:
        """Runs a statement outside a transaction until it has a reply or no time is left."""
        last_error = ErrorCode.OVERLOADED
        while True:
            need = self._need(operation)
            connection = self._pool.acquire(operation.group, need, operation.excluded)
            if connection is None:
                if self._pool.now() < operation.deadline:
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
        if operation.group.leadership.target in operation.excluded:
            operation.excluded.clear()
            minimum = None
        return self._need_of(
            operation.group, operation.route, minimum, operation.access, operation.deadline
        )

    def _need_of(
        self,
        group: Group,
        route: Route,
        minimum: LogPosition | None,
        access: Access,
        deadline: float,
    ) -> Need:
        """Returns what a statement needs.

        A read that only lacks a sample asks peers for one and waits for the primary meanwhile, but
        only as long as an answer takes.
        """
        lacks_sample = (
            minimum is None
            and access is Access.READ
            and route.consistency is not Consistency.LATEST
        )
        if lacks_sample:
            self._request_sample(group.name)
            deadline = min(deadline, self._pool.now() + SAMPLE_WAIT_S)
        return Need(minimum, route.priority, deadline, minimum is None)

    def _refused(self, operation: Operation, error: ErrorCode) -> Reply:
        logger().info(
            "statement-refused",
            request=operation.statement.request_id.decode(errors="replace"),
            route=operation.route.name,
            group=operation.group.name,
            primary=operation.group.leadership.target,
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
        proof = operation.access is Access.READ and need.minimum is None
        try:
            reply = self._exchange(operation, values, connection, need, proof, started)
        except _BROKEN as error:
            return self._broken(operation, connection, error, started)
        self._note_reply(operation, connection, reply, started, proof)
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
        steps = preparation(connection.values, values, statement)
        message = wire.encode_statement(statement, self._name(values, statement), need.minimum)
        before = [encode_step(step) for step in steps]
        if proof:
            before.append(wire.encode_begin(read_only=False))
        connection.send([*before, message, *([wire.encode_rollback()] if proof else [])])
        limit = self._reply_limit(operation, connection, started)
        replies = [connection.receive(limit - self._pool.now()) for _ in [*before, message]]
        if proof:
            connection.receive(limit - self._pool.now())
        failed = next((r for r in replies[:-1] if r.error is not None), None)
        if failed is not None:
            return self._unprepared(connection, failed, proof)
        return replies[-1]

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
            repeated_at = started + placement.repeat_after(connection.target, started)
            return min(operation.deadline, repeated_at)
        return operation.deadline

    @staticmethod
    def _name(values: SessionValues, statement: Statement) -> bytes:
        if statement.verb is Verb.EXECUTE:
            return shared_name(values.prepared[statement.name])
        return b""

    def _broken(
        self,
        operation: Operation,
        connection: TargetConnection,
        error: BaseException,
        started: float,
    ) -> Reply | outcomes.Decision:
        now = self._pool.now()
        placement.note_latency(connection.target, now - started, now)
        self._pool.break_off(operation.group, connection)
        decision = outcomes.after_break(operation.work, Progress.SENT)
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
            primary=operation.group.leadership.target,
        )
        metrics.RETRIES.labels(error.value if error else "connection").inc()
        if decision.step is Step.RETRY_DEMOTED:
            self.note_demoted(operation.group, connection)
        elif decision.step is Step.RETRY_ELSEWHERE:
            operation.excluded.add(connection.target.id)
            self._allow_all_again(operation)
        else:
            gevent.sleep(RETRY_PAUSE_S)
        return error

    def _allow_all_again(self, operation: Operation) -> None:
        usable = {t.id for t in operation.group.targets.values() if not t.leaving}
        if usable <= operation.excluded:
            operation.excluded.clear()
            gevent.sleep(RETRY_PAUSE_S)

    def note_demoted(self, group: Group, connection: TargetConnection) -> None:
        """Records that a target refused as a replica what only the primary does."""
        if leadership.note_not_primary(group, connection.target, self._pool.now()):
            logger().info("primary-demoted", group=group.name, target=connection.target.id)

    def begin_early(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> None:
        """Starts a transaction in the background, while its client prepares a statement."""
        transaction.starting = gevent.spawn(self._begin, transaction, values, session_position)

    def begin(
        self,
        transaction: Transaction,
        values: SessionValues,
        session_position: LogPosition | None,
    ) -> Reply | None:
        """Waits until a transaction has started; returns None on success, else the error."""
        starting, transaction.starting = transaction.starting, None
        if starting is not None:
            starting.join()
            if transaction.connection is not None:
                return None
        return self._begin(transaction, values, session_position)

    def _begin(
        self, transaction: Transaction, values: SessionValues, session_position: LogPosition | None
    ) -> Reply | None:
        """Starts a transaction on a target; returns None on success, else the error."""
        route = transaction.route
        deadline = self._pool.now() + route.timeout_s
        excluded: set[str] = set()
        while True:
            minimum = None
            if transaction.read_only:
                minimum = required_position(
                    route, transaction.group.freshness, session_position, transaction.arrived
                )
            if transaction.group.leadership.target in excluded:
                excluded.clear()
                minimum = None
            access = Access.READ if transaction.read_only else Access.WRITE
            need = self._need_of(transaction.group, route, minimum, access, deadline)
            connection = self._pool.acquire(transaction.group, need, excluded)
            if connection is None:
                if self._pool.now() < deadline:
                    continue
                logger().info(
                    "transaction-refused",
                    group=transaction.group.name,
                    primary=transaction.group.leadership.target,
                    waiting=len(transaction.group.waiters),
                )
                return Reply(error=ErrorCode.OVERLOADED, detail=b"no connection in time")
            error = self._begin_on(transaction, values, connection, need)
            if error is None:
                transaction.connection = connection
                return None
            metrics.RETRIES.labels(error.value).inc()
            if error is ErrorCode.READ_ONLY:
                self.note_demoted(transaction.group, connection)
            elif error is ErrorCode.OVERLOADED:
                gevent.sleep(RETRY_PAUSE_S)
            else:
                excluded.add(connection.target.id)

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
        steps = preparation(connection.values, values, None)
        proof = need.minimum is None
        messages = [encode_step(step) for step in steps]
        messages.append(wire.encode_begin(not proof, need.minimum))
        try:
            connection.send(messages)
            limit = min(need.deadline, started + TRANSACTION_REPLY_S)
            replies = [connection.receive(limit - self._pool.now()) for _ in messages]
        except _BROKEN as error:
            logger().info("begin-failed", target=connection.target.id, reason=repr(error))
            self._pool.break_off(transaction.group, connection)
            return ErrorCode.FAILED
        except BaseException:
            self._pool.break_off(transaction.group, connection)
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
        self._end_failed(transaction.group, connection)
        return failed.error

    def _end_failed(self, group: Group, connection: TargetConnection) -> None:
        if connection.state is SessionState.IDLE:
            self._pool.release(group, connection)
        else:
            self._pool.break_off(group, connection)

    def run_in_transaction(
        self, transaction: Transaction, values: SessionValues, statement: Statement, work: Work
    ) -> Reply:
        """Runs one statement of a transaction that has a connection."""
        connection = transaction.connection
        assert connection is not None
        started = self._pool.now()
        steps = preparation(connection.values, values, statement)
        messages = [encode_step(step) for step in steps]
        messages.append(wire.encode_statement(statement, self._name(values, statement)))
        try:
            connection.send(messages)
            limit = started + self._transaction_limit(transaction.route, work)
            replies = [connection.receive(limit - self._pool.now()) for _ in messages]
        except _BROKEN as error:
            return self._broken_transaction(transaction, statement, work, error, started)
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
            self.note_demoted(transaction.group, connection)
        return attrs.evolve(reply, error=decision.error)

    def _transaction_limit(self, route: Route, work: Work) -> float:
        if work is Work.COMMIT_OF_WRITES:
            return route.timeout_s
        return min(route.timeout_s, TRANSACTION_REPLY_S)

    def _broken_transaction(
        self,
        transaction: Transaction,
        statement: Statement,
        work: Work,
        error: BaseException,
        started: float,
    ) -> Reply:
        connection = transaction.connection
        assert connection is not None
        decision = outcomes.after_break(work, Progress.SENT)
        logger().info(
            "transaction-broken",
            request=statement.request_id.decode(errors="replace"),
            target=connection.target.id,
            after_ms=round((self._pool.now() - started) * 1000, 1),
            reason=repr(error),
            error=decision.error.value if decision.error else "",
        )
        self._pool.break_off(transaction.group, connection)
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
