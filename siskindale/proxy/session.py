"""Sessions of clients, each of which runs one statement at a time."""

from __future__ import annotations

import enum
import socket as system_socket
from typing import TYPE_CHECKING

import gevent
from gevent import socket

from siskindale.models.catalog import Route
from siskindale.models.statements import (
    Access,
    ErrorCode,
    PreparedStatement,
    Reply,
    SessionState,
    Statement,
    Verb,
)
from siskindale.platform import wire
from siskindale.proxy.decisions.identity import Caller
from siskindale.proxy.decisions.outcomes import StatementKind
from siskindale.proxy.decisions.session_state import SessionPositions, SessionValues
from siskindale.proxy.reporting import report_statement
from siskindale.proxy.runners import Runners
from siskindale.proxy.single import StatementExecution
from siskindale.proxy.state import ProxyState
from siskindale.proxy.transactions import Transaction
from siskindale.runtime.logs import logger
from siskindale.transport.sockets import PeekResult, peek_socket

if TYPE_CHECKING:
    from siskindale.proxy.runners import AnyTransactionRunner

START_TIMEOUT_S = 5.0
# A client gives up if the reply to its start takes 2 s.
CATALOG_TIMEOUT_S = 1.5
SEND_TIMEOUT_S = 5.0
# Session values and prepared statements together.
MAX_SESSION_VALUES = 1000

# Receipt of statements that the proxy completes itself.
_LOCAL_RECEIPT = b"-"


class Phase(enum.Enum):
    """Activity of a session; only a session that waits for a request can be shut down."""

    CONNECTED = "connected"
    STARTING = "starting"
    WAITING = "waiting"
    RUNNING = "running"


class ClientSession:
    """A session of a client on one connection."""

    def __init__(self, sock: socket.socket, state: ProxyState, runners: Runners) -> None:
        self._socket = sock
        self._reader = wire.LineReader(sock)
        self._state = state
        self._runners = runners
        self._database = ""
        self._key = ""
        self._values = SessionValues()
        self._positions = SessionPositions()
        self._transaction: Transaction | None = None
        self._transaction_runner: AnyTransactionRunner
        self._phase = Phase.CONNECTED
        self._refusing = False
        self._defective = False

    @property
    def started(self) -> bool:
        """Whether the client has sent anything."""
        return self._phase is not Phase.CONNECTED or self._has_input

    @property
    def idle(self) -> bool:
        """Whether no statement runs, no transaction is open and no request has arrived."""
        return self._phase is Phase.WAITING and self._transaction is None and not self._has_input

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    @property
    def _has_input(self) -> bool:
        return self._reader.has_unread_bytes or peek_socket(self._socket) is PeekResult.DATA

    def run(self) -> None:
        """Serves the client until either side closes the session."""
        self._socket.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        try:
            if self._start():
                self._serve()
        except wire.ProtocolError as error:
            logger().info("session-protocol-error", database=self._database, reason=str(error))
            self._try_send(wire.encode_error(ErrorCode.MALFORMED, b"protocol error"))
        except OSError as error:
            logger().debug("session-lost", database=self._database, reason=repr(error))
        finally:
            self._abandon_transaction()
            self._socket.close()

    def close_if_idle(self) -> bool:
        """Closes the session if it is idle; returns whether it did."""
        if not self.idle:
            return False
        try:
            self._socket.shutdown(system_socket.SHUT_RDWR)
        except OSError as error:
            # The client has reset the connection, and the session has not noticed it yet.
            logger().debug("session-lost", database=self._database, reason=repr(error))
        return True

    def refuse_requests(self) -> None:
        """Refuses requests from now on, but for those of an open transaction.

        The session ends once it has no request to answer.
        """
        self._refusing = True

    def abort_transaction(self, reason: str) -> None:
        """Rolls back an open transaction unless one of its statements is running."""
        transaction = self._transaction
        if transaction is None or transaction.failed or self._phase is not Phase.WAITING:
            return
        logger().info("transaction-aborted", database=self._database, reason=reason)
        transaction.failed = True
        self._transaction_runner.end(transaction)

    def _start(self) -> bool:
        with gevent.Timeout(START_TIMEOUT_S, OSError("no start message")):
            line = self._reader.read_line()
        if line is None:
            return False
        self._phase = Phase.STARTING
        start = wire.decode_start(line)
        self._database, self._key = start.database, start.key
        self._state.wait_for_catalog(CATALOG_TIMEOUT_S)
        self._runners.wait_until_settled(CATALOG_TIMEOUT_S)
        if not self._state.has_catalog:
            self._refuse_start(ErrorCode.OVERLOADED, b"no configuration yet")
            return False
        if self._refusing:
            self._refuse_start(ErrorCode.OVERLOADED, b"shutdown")
            return False
        route = self._state.route(self._database)
        if route is None:
            self._refuse_start(ErrorCode.UNKNOWN_DATABASE, self._database.encode())
            return False
        caller = self._state.identify(route, self._key)
        if caller.error is ErrorCode.UNAUTHORIZED:
            self._refuse_start(caller.error, caller.reason.encode())
            return False
        self._send(wire.encode_ready(SessionState.IDLE))
        return True

    def _refuse_start(self, code: ErrorCode, detail: bytes) -> None:
        logger().info(
            "session-refused",
            database=self._database,
            reason=code.value,
            catalog_version=self._state.catalog_version,
        )
        self._send(wire.encode_error(code, detail))

    def _serve(self) -> None:
        while not self._finished:
            line = self._await_request()
            if line is None:
                return
            statement = wire.decode_request(line)
            if statement is None:
                return
            arrived_at = self._state.now()
            reply = self._answer(statement, arrived_at)
            self._send(wire.encode_reply(reply))
            self._report_reply(statement, reply, arrived_at)
            self._end_failed_transaction()

    @property
    def _finished(self) -> bool:
        """Whether the session ends: after a defect, or if it refuses requests and has none left."""
        refused_all = self._refusing and self._transaction is None and not self._has_input
        return self._defective or refused_all

    def _answer(self, statement: Statement, arrived_at: float) -> Reply:
        """Returns the reply to a statement, also if a defect of the program prevents it."""
        try:
            return self._handle_statement(statement, arrived_at)
        except Exception:
            request = statement.request_id.decode(errors="replace")
            logger().exception("statement-failed", request=request, database=self._database)
            self._defective = True
            return Reply(
                error=ErrorCode.OUTCOME_UNKNOWN,
                detail=b"internal error",
                state=SessionState.FAILED if self._transaction else SessionState.IDLE,
            )

    def _report_reply(self, statement: Statement, reply: Reply, arrived_at: float) -> None:
        state = self._state
        route = state.route(self._database)
        took_s = state.now() - arrived_at
        report_statement(statement, route, reply, took_s, state.catalog_version)

    def _await_request(self) -> bytes | None:
        self._phase = Phase.WAITING
        try:
            return self._read_request()
        finally:
            self._phase = Phase.RUNNING

    def _read_request(self) -> bytes | None:
        while True:
            # Its connection may come while the session waits, as it starts in the background.
            transaction_open = self._transaction is not None and not self._transaction.failed
            idle_timeout_s = self._state.transaction_idle_s if transaction_open else None
            timeout = gevent.Timeout(idle_timeout_s)
            try:
                with timeout:
                    return self._reader.read_line()
            except gevent.Timeout as expired:
                if expired is not timeout:
                    raise
                self.abort_transaction("idle")

    def _end_failed_transaction(self) -> None:
        transaction = self._transaction
        if transaction is not None and transaction.failed:
            self._transaction_runner.end(transaction)

    def _handle_statement(self, statement: Statement, arrived_at: float) -> Reply:
        if self._transaction is not None:
            return self._handle_in_transaction(statement)
        if self._refusing:
            return Reply(error=ErrorCode.OVERLOADED, detail=b"shutdown")
        return self._handle_outside_transaction(statement, arrived_at)

    def _handle_outside_transaction(self, statement: Statement, arrived_at: float) -> Reply:
        verb = statement.verb
        if verb in (Verb.COMMIT, Verb.ROLLBACK, Verb.INVALID):
            return Reply(error=ErrorCode.MALFORMED, detail=b"not allowed here")
        if verb in _LOCAL_VERBS:
            return self._update_values(statement, SessionState.IDLE)
        route = self._state.route(self._database)
        if route is None:
            return Reply(error=ErrorCode.UNKNOWN_DATABASE, detail=self._database.encode())
        caller = self._state.identify(route, self._key)
        if caller.error is not None:
            return self._refuse_caller(statement, caller)
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            return self._begin(statement, route, caller.workspace, arrived_at)
        return self._run_single(statement, route, caller.workspace, arrived_at)

    def _refuse_caller(self, statement: Statement, caller: Caller) -> Reply:
        logger().info(
            "caller-refused",
            request=statement.request_id.decode(errors="replace"),
            database=self._database,
            workspace=caller.workspace,
            reason=caller.reason,
            catalog_version=self._state.catalog_version,
            catalog_age_s=round(self._state.catalog_age_s, 2),
        )
        return Reply(error=caller.error, detail=caller.reason.encode())

    def _begin(
        self, statement: Statement, route: Route, workspace: str, arrived_at: float
    ) -> Reply:
        group = self._state.group(route)
        self._transaction = Transaction(
            statement.verb is Verb.BEGIN_READ_ONLY,
            route,
            group,
            arrived_at,
            statement.request_id,
            workspace=workspace,
        )
        self._transaction_runner = self._runners.transactions_for(group, workspace)
        self._transaction_runner.begin_in_background(
            self._transaction, self._values, self._positions.of(group.name)
        )
        return Reply(receipt=_LOCAL_RECEIPT, state=SessionState.OPEN)

    def _run_single(
        self, statement: Statement, route: Route, workspace: str, arrived_at: float
    ) -> Reply:
        access = self._values.access_of(statement)
        if access is None:
            return Reply(error=ErrorCode.UNKNOWN_PREPARED, detail=statement.name)
        group = self._state.group(route)
        position = self._positions.of(group.name)
        execution = StatementExecution(
            statement, route, group, arrived_at, access, position, workspace=workspace
        )
        reply = self._runners.statements_for(group, workspace).run(execution, self._values)
        if reply.succeeded and access is Access.WRITE:
            self._positions.record_commit(group.name, reply.position)
        return reply

    def _handle_in_transaction(self, statement: Statement) -> Reply:
        transaction = self._transaction
        assert transaction is not None
        if statement.verb is Verb.ROLLBACK:
            return self._rollback(transaction)
        caller = self._state.identify(transaction.route, self._key)
        if caller.error is None and caller.workspace != transaction.workspace:
            caller = Caller(caller.workspace, ErrorCode.UNAUTHORIZED, "key of another workspace")
        if caller.error is not None:
            return self._revoke_transaction(transaction, statement, caller)
        if statement.verb is Verb.COMMIT:
            return self._commit(transaction, statement)
        if transaction.failed:
            return self._reject_in_failed_transaction(transaction, statement)
        if statement.verb in _LOCAL_VERBS:
            return self._update_values(statement, SessionState.OPEN)
        if statement.verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY, Verb.INVALID):
            return self._mark_failed(
                transaction, Reply(error=ErrorCode.MALFORMED, detail=b"not allowed here")
            )
        access = self._values.access_of(statement)
        if access is None:
            return self._mark_failed(
                transaction, Reply(error=ErrorCode.UNKNOWN_PREPARED, detail=statement.name)
            )
        return self._run_in_transaction(
            transaction, statement, transaction.kind_of(statement, access)
        )

    def _revoke_transaction(
        self, transaction: Transaction, statement: Statement, caller: Caller
    ) -> Reply:
        """Refuses a statement whose key no longer holds, and rolls its transaction back."""
        reply = self._refuse_caller(statement, caller)
        if statement.verb is Verb.COMMIT:
            self._rollback(transaction)
            return reply
        return self._mark_failed(transaction, reply)

    def _reject_in_failed_transaction(
        self, transaction: Transaction, statement: Statement
    ) -> Reply:
        if not transaction.failure_reported:
            transaction.failure_reported = True
            return Reply(error=ErrorCode.ABORTED, detail=b"aborted", state=SessionState.FAILED)
        return Reply(
            error=ErrorCode.MALFORMED, detail=b"transaction failed", state=SessionState.FAILED
        )

    def _run_in_transaction(
        self, transaction: Transaction, statement: Statement, work: StatementKind
    ) -> Reply:
        reply = self._run_statement(transaction, statement, work)
        if work is StatementKind.TRANSACTION_WRITE:
            transaction.wrote = True
        if reply.error is not None:
            return self._mark_failed(transaction, reply)
        return reply

    def _run_statement(
        self, transaction: Transaction, statement: Statement, work: StatementKind
    ) -> Reply:
        position = self._positions.of(transaction.group.name)
        return self._transaction_runner.run(transaction, self._values, position, statement, work)

    def _mark_failed(self, transaction: Transaction, reply: Reply) -> Reply:
        transaction.failed = True
        transaction.failure_reported = True
        reply.state = SessionState.FAILED
        return reply

    def _rollback(self, transaction: Transaction) -> Reply:
        self._transaction = None
        self._transaction_runner.end(transaction)
        return Reply(receipt=_LOCAL_RECEIPT)

    def _commit(self, transaction: Transaction, statement: Statement) -> Reply:
        self._transaction = None
        if transaction.failed:
            self._transaction_runner.end(transaction)
            return Reply(error=ErrorCode.ABORTED, detail=b"transaction failed")
        reply = self._run_statement(transaction, statement, transaction.kind_of(statement, None))
        self._transaction_runner.end(transaction)
        if reply.succeeded and transaction.wrote:
            self._positions.record_commit(transaction.group.name, reply.position)
        reply.state = SessionState.IDLE
        return reply

    def _update_values(self, statement: Statement, state: SessionState) -> Reply:
        """Changes session values or prepared statements, which the next statement sends on."""
        values = self._values
        if values.adds_to(statement) and values.count >= MAX_SESSION_VALUES:
            return Reply(error=ErrorCode.TOO_LARGE, detail=b"too many values", state=state)
        if statement.verb is Verb.SET:
            values.values[statement.name] = statement.argument
        elif statement.verb is Verb.PREPARE:
            assert statement.access is not None
            values.prepared[statement.name] = PreparedStatement(
                statement.access, statement.argument
            )
        elif values.prepared.pop(statement.name, None) is None:
            return Reply(error=ErrorCode.UNKNOWN_PREPARED, detail=statement.name, state=state)
        return Reply(receipt=_LOCAL_RECEIPT, state=state)

    def _abandon_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._transaction_runner.end(transaction)

    def _send(self, data: bytes) -> None:
        with gevent.Timeout(SEND_TIMEOUT_S, OSError("client does not read its replies")):
            self._socket.sendall(data)

    def _try_send(self, data: bytes) -> None:
        try:
            self._send(data)
        except OSError as error:
            logger().debug("session-lost", database=self._database, reason=repr(error))


_LOCAL_VERBS = frozenset({Verb.SET, Verb.PREPARE, Verb.DEALLOCATE})
