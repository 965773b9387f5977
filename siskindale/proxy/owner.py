"""Serves the statements that other VMs forward to this one as an owner of connections."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from siskindale.models.catalog import Route
from siskindale.models.forwarding import (
    REPLY_RESERVE_S,
    ForwardedBegin,
    ForwardedEnd,
    ForwardedReply,
    ForwardedStatement,
    ForwardedStep,
    ForwardingDeclined,
    LinkProbe,
    SessionSnapshot,
)
from siskindale.models.messages import Body
from siskindale.models.statements import ErrorCode, Reply, SessionState
from siskindale.models.vm import ProxySettings
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.runners import Runners
from siskindale.proxy.single import StatementExecution
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group
from siskindale.proxy.transactions import Transaction
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.transport.frames import FrameError, FrameStream, FrameTooLargeError

IDLE_CHECK_INTERVAL_S = 0.5


def restore(session: SessionSnapshot) -> SessionValues:
    """Returns the values of a session from what an entry VM has sent."""
    return SessionValues(session.values, session.prepared)


class ForwardingServer:
    """Runs the statements that other VMs forward to this one."""

    def __init__(
        self, settings: ProxySettings, state: ProxyState, ownership: Ownership, runners: Runners
    ) -> None:
        self._vm = settings.vm
        self._state = state
        self._ownership = ownership
        self._runners = runners
        self._links: set[_ServedLink] = set()
        self._refusing = False
        address = settings.forwarding
        self._server = StreamServer((address.host, address.port), self._serve)

    def start(self) -> None:
        """Starts to accept links."""
        self._server.start()

    @property
    def unfinished_count(self) -> int:
        """Number of statements that run, and of open transactions."""
        return sum(link.unfinished_count for link in self._links)

    def refuse_requests(self) -> None:
        """Declines further statements and transactions, so that they go to another owner."""
        self._refusing = True

    def abort_transactions(self) -> None:
        """Rolls back the transactions that run no statement at the moment."""
        for link in list(self._links):
            link.abort_transactions("shutdown of the owner")

    def served_group(self, route: Route) -> Group | None:
        """Returns the group of a route, None if this VM cannot serve it."""
        group = self._state.groups.get(route.group)
        known = group is not None and (bool(group.targets) or self._ownership.owns(group))
        if known and not self._refusing:
            return group
        logger().info(
            "forwarding-declined",
            group=route.group,
            known=group is not None,
            refusing=self._refusing,
        )
        return None

    def _serve(self, sock: socket.socket, _: Any) -> None:
        link = _ServedLink(sock, self._vm, self._state, self._runners, self.served_group)
        self._links.add(link)
        try:
            link.run()
        finally:
            self._links.discard(link)


class _ServedLink:
    """A link of another VM and the transactions that it has open here."""

    def __init__(
        self,
        sock: socket.socket,
        vm: str,
        state: ProxyState,
        runners: Runners,
        served_group: Callable[[Route], Group | None],
    ) -> None:
        self._stream = FrameStream(sock)
        self._vm = vm
        self._state = state
        self._served_group = served_group
        self._statements = runners.statements
        self._transactions = runners.transactions
        self._open: dict[int, Transaction] = {}
        self._running_count = 0

    @property
    def unfinished_count(self) -> int:
        """Number of statements that run, and of open transactions that have not failed."""
        open_count = sum(not transaction.failed for transaction in self._open.values())
        return self._running_count + open_count

    def abort_transactions(self, reason: str) -> None:
        """Rolls back the transactions that run no statement at the moment."""
        for transaction in self._open.values():
            if not transaction.running and not transaction.failed:
                logger().info("transaction-aborted", reason=reason)
                self._fail(transaction)

    def run(self) -> None:
        """Serves the link until it ends, then rolls back what it has left open."""
        limiter = supervise(self._end_idle_transactions)
        try:
            while (received := self._stream.receive()) is not None:
                self._handle(*received)
        except (OSError, FrameError) as error:
            logger().info("served-link-lost", reason=repr(error), transactions=len(self._open))
        except Exception:
            logger().exception("served-link-failed", transactions=len(self._open))
        finally:
            limiter.kill()
            for transaction in self._open.values():
                self._fail(transaction)
            self._stream.close()

    @long_lived("forwarded-transactions")
    def _end_idle_transactions(self) -> None:
        """Rolls back transactions whose VM is paused or cut off and cannot end them itself."""
        while True:
            gevent.sleep(IDLE_CHECK_INTERVAL_S)
            oldest = self._state.now() - self._state.transaction_idle_s - IDLE_CHECK_INTERVAL_S
            for transaction in self._open.values():
                idle = not transaction.running and transaction.used_at < oldest
                if idle and not transaction.failed:
                    logger().info("transaction-aborted", reason="idle at the owner")
                    self._fail(transaction)

    def _fail(self, transaction: Transaction) -> None:
        """Ends a transaction; while one of its statements runs, that one ends it afterwards."""
        transaction.failed = True
        if not transaction.running:
            self._transactions.end(transaction)

    def _handle(self, number: int, body: Body) -> None:
        if isinstance(body, ForwardedStatement):
            gevent.spawn(self._count_running, self._run_statement, number, body)
        elif isinstance(body, ForwardedStep):
            gevent.spawn(self._count_running, self._run_step, number, body)
        elif isinstance(body, ForwardedBegin):
            self._begin(body)
        elif isinstance(body, ForwardedEnd):
            transaction = self._open.pop(body.handle, None)
            if transaction is not None:
                self._fail(transaction)
        elif isinstance(body, LinkProbe):
            self._send(body, number)

    def _count_running(self, run: Callable[[int, Any], None], number: int, body: Body) -> None:
        self._running_count += 1
        try:
            run(number, body)
        finally:
            self._running_count -= 1

    def _run_statement(self, number: int, body: ForwardedStatement) -> None:
        group = self._served_group(body.route)
        values = restore(body.session)
        access = values.access_of(body.statement)
        if group is None or access is None:
            self._send(ForwardingDeclined(), number)
            return
        execution = StatementExecution(
            body.statement,
            body.route,
            group,
            self._state.now() - body.elapsed_s,
            access,
            body.session.position,
            REPLY_RESERVE_S,
            workspace=body.workspace,
        )
        self._reply(number, self._statements.run(execution, values))

    def _begin(self, body: ForwardedBegin) -> None:
        group = self._served_group(body.route)
        if group is None:
            return
        now = self._state.now()
        transaction = Transaction(
            body.read_only, body.route, group, now, body.request_id, workspace=body.workspace
        )
        transaction.used_at = now
        self._open[body.handle] = transaction
        self._transactions.begin_in_background(
            transaction, restore(body.session), body.session.position
        )

    def _run_step(self, number: int, body: ForwardedStep) -> None:
        transaction = self._open.get(body.handle)
        if transaction is None or transaction.failed:
            failed = Reply(error=ErrorCode.ABORTED, detail=b"aborted", state=SessionState.FAILED)
            self._reply(number, failed)
            return
        values = restore(body.session)
        work = transaction.kind_of(body.statement, values.access_of(body.statement))
        reply = self._transactions.run(
            transaction, values, body.session.position, body.statement, work
        )
        if reply.error is not None or transaction.failed:
            self._fail(transaction)
        self._reply(number, reply)

    def _reply(self, number: int, reply: Reply) -> None:
        try:
            self._send(ForwardedReply(reply, self._vm), number)
        except FrameTooLargeError as error:
            logger().warning("forwarded-reply-too-large", reason=str(error))
            refused = Reply(error=ErrorCode.TOO_LARGE, detail=b"reply too large", state=reply.state)
            self._send(ForwardedReply(refused, self._vm), number)

    def _send(self, body: Body, number: int) -> None:
        try:
            self._stream.send(body, number)
        except OSError as error:
            logger().info("forwarded-reply-lost", reason=repr(error))
