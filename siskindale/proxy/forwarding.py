"""Forwards statements to the owners of a group's connections."""

from __future__ import annotations

import itertools

import attrs
import gevent

from siskindale.context import Clock
from siskindale.models.forwarding import (
    REPLY_RESERVE_S,
    ForwardedBegin,
    ForwardedEnd,
    ForwardedReply,
    ForwardedStatement,
    ForwardedStep,
    ForwardingDeclined,
    SessionSnapshot,
)
from siskindale.models.group import LogPosition
from siskindale.models.members import MemberFact
from siskindale.models.statements import ErrorCode, Reply, SessionState, Statement
from siskindale.proxy import metrics
from siskindale.proxy.decisions import outcomes
from siskindale.proxy.decisions.outcomes import Progress, StatementKind, Step
from siskindale.proxy.decisions.session_state import SessionValues
from siskindale.proxy.links import Link, LinkBrokenError, Links, LinkUnavailableError
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.single import StatementExecution
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group
from siskindale.proxy.transactions import Transaction
from siskindale.runtime.logs import logger
from siskindale.transport.frames import FrameTooLargeError

# An owner that is short of processor time answers later than planned. Its certain answer is worth
# more to the client than an unknown outcome at the deadline.
LATE_REPLY_S = 0.05
# Pause before owners are tried again when none can be reached.
NO_OWNER_RETRY_S = 0.05


def snapshot(values: SessionValues, position: LogPosition | None) -> SessionSnapshot:
    """Returns the state of a session as it is sent to an owner."""
    return SessionSnapshot(values.values, values.prepared, position)


@attrs.frozen
class Forwarding:
    """Runners that forward statements outside and inside transactions, over the same links."""

    statements: ForwardingStatementRunner
    transactions: ForwardingTransactionRunner
    links: Links


def create_forwarding(ownership: Ownership, state: ProxyState, clock: Clock) -> Forwarding:
    """Returns the runners, which share their links to owners."""
    links = Links(clock)
    selector = OwnerSelector(ownership, links)
    return Forwarding(
        ForwardingStatementRunner(selector, state),
        ForwardingTransactionRunner(selector, state),
        links,
    )


class OwnerSelector:
    """Finds a link to an owner of a group."""

    def __init__(self, ownership: Ownership, links: Links) -> None:
        self._ownership = ownership
        self._links = links

    def link(
        self, group: Group, workspace: str, excluded: set[str]
    ) -> tuple[MemberFact, Link] | None:
        """Returns the best owner that can be reached and a link to it, None if there is none."""
        candidates = [
            m for m in self._ownership.candidates(group, workspace) if m.vm not in excluded
        ]
        reachable = [m for m in candidates if not self._links.avoided(m.forwarding)]
        for member in reachable or candidates:
            try:
                return member, self._links.get(member.forwarding)
            except LinkUnavailableError as error:
                logger().info("owner-unreachable", owner=member.vm, reason=str(error))
        return None

    @property
    def closed(self) -> bool:
        """Whether no owner can be reached any more because the VM stops."""
        return self._links.closed

    def note_broken(self, member: MemberFact) -> None:
        """Passes an owner over for a while after its link broke."""
        self._links.avoid(member.forwarding)


class ForwardingStatementRunner:
    """Runs statements outside transactions at an owner."""

    def __init__(self, selector: OwnerSelector, state: ProxyState) -> None:
        self._selector = selector
        self._state = state

    def run(self, execution: StatementExecution, values: SessionValues) -> Reply:
        """Forwards a statement until it has a reply or its deadline has passed."""
        excluded: set[str] = set()
        while (remaining_s := execution.deadline - self._state.now()) > REPLY_RESERVE_S:
            if self._selector.closed:
                break
            found = self._selector.link(execution.group, execution.workspace, excluded)
            if found is None:
                excluded.clear()
                gevent.sleep(min(NO_OWNER_RETRY_S, remaining_s))
                continue
            owner, link = found
            execution.attempts += 1
            outcome = self._attempt(execution, values, owner, link, remaining_s)
            if isinstance(outcome, Reply):
                outcome.attempts = max(outcome.attempts, execution.attempts)
                return outcome
            excluded.add(owner.vm)
        return self._refuse(execution)

    def _attempt(
        self,
        execution: StatementExecution,
        values: SessionValues,
        owner: MemberFact,
        link: Link,
        remaining_s: float,
    ) -> Reply | None:
        """Returns the reply of one owner, None if the statement may go to another one."""
        message = ForwardedStatement(
            execution.statement,
            execution.route,
            snapshot(values, execution.session_position),
            self._state.now() - execution.arrived_at,
            execution.workspace,
        )
        metrics.FORWARDED.labels("statement").inc()
        try:
            received = link.request(message, remaining_s + LATE_REPLY_S)
        except LinkBrokenError as error:
            self._selector.note_broken(owner)
            return self._after_broken_link(execution, owner, str(error))
        except FrameTooLargeError as error:
            return _refuse_too_large(execution.statement, error)
        if isinstance(received, ForwardedReply):
            received.reply.owner = received.owner
            return received.reply
        if isinstance(received, ForwardingDeclined):
            return None
        return self._after_broken_link(execution, owner, "no reply in time")

    def _after_broken_link(
        self, execution: StatementExecution, owner: MemberFact, reason: str
    ) -> Reply | None:
        decision = outcomes.after_exchange_failure(execution.work, Progress.SENT)
        logger().info(
            "forwarding-failed",
            request=execution.statement.request_id.decode(errors="replace"),
            owner=owner.vm,
            reason=reason,
            step=decision.step.value,
        )
        if decision.step is not Step.RETURN:
            return None
        return Reply(error=decision.error, detail=b"owner lost")

    def _refuse(self, execution: StatementExecution) -> Reply:
        logger().info(
            "statement-refused",
            request=execution.statement.request_id.decode(errors="replace"),
            route=execution.route.name,
            group=execution.group.name,
            attempts=execution.attempts,
            reason="no owner",
        )
        error = ErrorCode.TIMEOUT if execution.attempts else ErrorCode.OVERLOADED
        return Reply(error=error, detail=b"no owner in time")


def _refuse_too_large(statement: Statement, error: FrameTooLargeError) -> Reply:
    """Returns the reply to a statement that cannot be forwarded, with the values of its session."""
    request = statement.request_id.decode(errors="replace")
    logger().warning("forwarding-too-large", request=request, reason=str(error))
    return Reply(error=ErrorCode.TOO_LARGE, detail=b"too large to forward")


class ForwardingTransactionRunner:
    """Runs transactions at an owner, which keeps them under a handle of the link."""

    def __init__(self, selector: OwnerSelector, state: ProxyState) -> None:
        self._selector = selector
        self._state = state
        self._handles = itertools.count(1)

    def begin_in_background(
        self, transaction: Transaction, values: SessionValues, position: LogPosition | None
    ) -> None:
        """Begins a transaction at an owner without waiting for it."""
        transaction.begin_greenlet = gevent.spawn(self._begin, transaction, values, position)

    def run(
        self,
        transaction: Transaction,
        values: SessionValues,
        position: LogPosition | None,
        statement: Statement,
        work: StatementKind,
    ) -> Reply:
        """Runs one statement of a transaction, or its commit."""
        deadline = self._state.now() + transaction.route.timeout_s
        begin_greenlet, transaction.begin_greenlet = transaction.begin_greenlet, None
        if begin_greenlet is not None:
            begin_greenlet.join(transaction.route.timeout_s)
            begin_greenlet.kill()
        if transaction.link is None and not transaction.started:
            self._begin(transaction, values, position)
        link = transaction.link
        if link is None:
            return Reply(error=ErrorCode.OVERLOADED, detail=b"no owner", state=SessionState.FAILED)
        transaction.started = True
        return self._step(transaction, link, values, position, statement, work, deadline)

    def _step(
        self,
        transaction: Transaction,
        link: Link,
        values: SessionValues,
        position: LogPosition | None,
        statement: Statement,
        work: StatementKind,
        deadline: float,
    ) -> Reply:
        message = ForwardedStep(transaction.handle, statement, snapshot(values, position))
        metrics.FORWARDED.labels("step").inc()
        reason = "no reply in time"
        try:
            received = link.request(message, deadline + LATE_REPLY_S - self._state.now())
        except LinkBrokenError as error:
            received, reason = None, str(error)
        except FrameTooLargeError as error:
            self.end(transaction)
            return _refuse_too_large(statement, error)
        if isinstance(received, ForwardedReply):
            received.reply.owner = received.owner
            return received.reply
        decision = outcomes.after_exchange_failure(work, Progress.SENT)
        logger().info(
            "transaction-broken",
            request=statement.request_id.decode(errors="replace"),
            owner=str(link.address),
            reason=reason,
            error=decision.error.value if decision.error else "",
        )
        self.end(transaction)
        return Reply(error=decision.error, detail=b"owner lost", state=SessionState.FAILED)

    def end(self, transaction: Transaction) -> None:
        """Ends a transaction; the owner rolls it back unless it was committed."""
        begin_greenlet, transaction.begin_greenlet = transaction.begin_greenlet, None
        if begin_greenlet is not None:
            begin_greenlet.kill()
        link, transaction.link = transaction.link, None
        if link is None or link.broken:
            return
        try:
            link.notify(ForwardedEnd(transaction.handle))
        except LinkBrokenError as error:
            # The owner ends all transactions of a link that breaks.
            logger().debug("transaction-end-not-sent", reason=str(error))

    def _begin(
        self, transaction: Transaction, values: SessionValues, position: LogPosition | None
    ) -> None:
        excluded: set[str] = set()
        deadline = self._state.now() + transaction.route.timeout_s
        while transaction.link is None and self._state.now() < deadline:
            if self._selector.closed:
                return
            found = self._selector.link(transaction.group, transaction.workspace, excluded)
            if found is None:
                excluded.clear()
                gevent.sleep(NO_OWNER_RETRY_S)
                continue
            owner, link = found
            transaction.handle = next(self._handles)
            message = ForwardedBegin(
                transaction.handle,
                transaction.read_only,
                transaction.route,
                snapshot(values, position),
                transaction.begin_request_id,
                transaction.workspace,
            )
            try:
                link.notify(message)
            except LinkBrokenError as error:
                logger().info("owner-unreachable", owner=owner.vm, reason=str(error))
                self._selector.note_broken(owner)
                excluded.add(owner.vm)
                continue
            except FrameTooLargeError as error:
                logger().warning("forwarding-too-large", reason=str(error))
                return
            metrics.FORWARDED.labels("transaction").inc()
            transaction.link = link
