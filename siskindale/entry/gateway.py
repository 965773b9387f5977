"""The way of one request of a caller: authentication, checks, forwarding, answer."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.entry import bodies, headers, metrics, planning, tokens
from siskindale.entry.access import Access
from siskindale.entry.dispatcher import Dispatcher
from siskindale.entry.planning import Context, Plan
from siskindale.entry.problems import Problem, malformed, refuse
from siskindale.entry.tables import Resolve
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.session import Session
from siskindale.models.wire import Answer
from siskindale.runtime.logs import logger
from siskindale.runtime.program import Parts

NOT_READY_RETRY_MS = 1000
# Answer by another entry of the load balancer; this one does not come back.
DRAINING_RETRY_MS = 100

Encode = Callable[[Answer], bytes]
Planner = Callable[[Context, Any], Result[Plan, Problem]]


@attrs.frozen
class Reply:
    """Answer to a request that was done."""

    content: bytes
    session: str | None


@attrs.define
class Exchange:
    """A request of a caller and what the log says of it."""

    carrier: headers.Carrier
    read: Callable[[], Result[bytes, Problem]]
    request_id: str
    received_at: float
    caller: str = ""
    group: str = ""
    statement_class: str = ""
    pool: str = ""
    attempts: int = 0


class Gateway:
    """Serves callers; each request runs in a greenlet of its own."""

    def __init__(self, parts: Parts, dispatcher: Dispatcher) -> None:
        self._parts = parts
        self._settings = parts.settings.entry
        self._dispatcher = dispatcher
        self._ids = headers.RequestIds(parts.mailbox.boot)
        self._access = Access()
        # A logger that is made for each line costs a quarter more.
        self._log = logger()
        parts.bundles.subscribe(self._access.adopt)

    def open(
        self, carrier: headers.Carrier, read: Callable[[], Result[bytes, Problem]]
    ) -> Exchange:
        """Starts a request; `read` returns its body."""
        request_id = self._ids.next(carrier.get_header(headers.REQUEST_ID))
        return Exchange(carrier, read, request_id, self._parts.env.clock.monotonic())

    def close(self, exchange: Exchange, result: Result[Reply, Problem]) -> None:
        """Logs and counts a request."""
        duration_s = self._parts.env.clock.monotonic() - exchange.received_at
        outcome, refusal = Outcome.DONE, ""
        if isinstance(result, Failure):
            problem = result.failure()
            outcome, refusal = problem.outcome, str(problem.refusal.kind)
        name = exchange.statement_class
        metrics.answered(name, str(outcome), refusal, duration_s)
        self._log.info(
            "request",
            request_id=exchange.request_id,
            caller=exchange.caller,
            group=exchange.group,
            statement_class=name,
            outcome=str(outcome),
            refusal=refusal,
            duration_ms=round(duration_s * 1000, 2),
            pool=exchange.pool,
            attempts=exchange.attempts,
        )

    def statement(self, exchange: Exchange, database: str) -> Result[Reply, Problem]:
        """Runs one statement in a transaction of its own."""
        return self._serve(
            exchange,
            bodies.StatementBody,
            lambda context, body: planning.plan_statement(context, database, body),
            bodies.encode_done,
        )

    def begin(self, exchange: Exchange, database: str) -> Result[Reply, Problem]:
        """Opens a transaction."""
        return self._serve(
            exchange,
            bodies.BeginBody,
            lambda context, body: planning.plan_begin(context, database, body),
            bodies.encode_begun,
        )

    def transaction_statement(self, exchange: Exchange, transaction: str) -> Result[Reply, Problem]:
        """Runs one statement of an open transaction."""
        return self._serve(
            exchange,
            bodies.TransactionStatementBody,
            lambda context, body: planning.plan_transaction_statement(context, transaction, body),
            bodies.encode_done,
        )

    def finish(self, exchange: Exchange, transaction: str, commit: bool) -> Result[Reply, Problem]:
        """Commits or rolls back a transaction."""
        return self._serve(
            exchange,
            bodies.FinishBody,
            lambda context, _: planning.plan_finish(context, transaction, commit),
            bodies.encode_done,
        )

    def _serve(
        self, exchange: Exchange, cls: type, planner: Planner, encode: Encode
    ) -> Result[Reply, Problem]:
        refused = self._refuse_now()
        if refused is not None:
            return Failure(refused)
        found = self._access.authenticate(exchange.carrier.get_header(headers.AUTHORIZATION))
        if isinstance(found, Failure):
            return found
        caller = found.unwrap()
        exchange.caller = caller.name
        limited = self._access.enter(caller)
        if limited is not None:
            return Failure(limited)
        try:
            return self._admitted(exchange, caller, cls, planner, encode)
        finally:
            self._access.leave(caller)

    def _refuse_now(self) -> Problem | None:
        if self._parts.shutdown.draining:
            detail = "this entry takes no new requests"
            return refuse(RefusalKind.SHUTTING_DOWN, detail, DRAINING_RETRY_MS)
        if self._access.version == 0:
            detail = "no bundle is in effect yet"
            return refuse(RefusalKind.UNAVAILABLE, detail, NOT_READY_RETRY_MS)
        return None

    def _admitted(
        self, exchange: Exchange, caller: Any, cls: type, planner: Planner, encode: Encode
    ) -> Result[Reply, Problem]:
        raw = exchange.read()
        if isinstance(raw, Failure):
            return raw
        decoded = self._decode(exchange, cls, raw.unwrap())
        if isinstance(decoded, Failure):
            return decoded
        found, body = decoded.unwrap()
        session = self._session(exchange, caller.name)
        if isinstance(session, Failure):
            return session
        context = Context(
            exchange.request_id,
            caller,
            found,
            session.unwrap(),
            self._access,
            self._parts.bundles.degraded,
            self._parts.settings.session_keys,
        )
        plan = planner(context, body)
        return plan.bind(lambda p: self._forward(exchange, context, p, encode))

    def _decode(
        self, exchange: Exchange, cls: type, raw: bytes
    ) -> Result[tuple[headers.Headers, Any], Problem]:
        found = headers.decode(exchange.carrier, self._settings)
        body: Result[Any, tuple[Finding, ...]] = bodies.decode(cls, raw)
        if isinstance(found, Success) and isinstance(body, Success):
            return Success((found.unwrap(), body.unwrap()))
        faults = [r.failure() for r in (found, body) if isinstance(r, Failure)]
        return Failure(malformed(tuple(finding for part in faults for finding in part)))

    def _session(self, exchange: Exchange, caller: str) -> Result[Session, Problem]:
        text = exchange.carrier.get_header(headers.SESSION)
        keys = self._parts.settings.session_keys
        return headers.decode_session(text, keys, caller).alt(
            lambda reason: refuse(RefusalKind.INVALID_SESSION, f"session token: {reason}")
        )

    def _forward(
        self, exchange: Exchange, context: Context, plan: Plan, encode: Encode
    ) -> Result[Reply, Problem]:
        exchange.group, exchange.statement_class = plan.group, plan.statement_class
        deadline = exchange.received_at + context.headers.deadline_s
        resolved = self._dispatcher.call(
            plan.request, plan.policy, plan.group, deadline, plan.fixed_pool
        )
        exchange.pool, exchange.attempts = resolved.pool, resolved.attempts
        return self._reply(context, plan, resolved, encode)

    def _reply(
        self, context: Context, plan: Plan, resolved: Resolve, encode: Encode
    ) -> Result[Reply, Problem]:
        answer = resolved.answer
        if answer.outcome is Outcome.DONE:
            session = context.session.advanced(plan.group, answer.position)
            return Success(Reply(encode(answer), self._token(session)))
        if answer.refusal is None:
            lost = refuse(RefusalKind.ANSWER_LOST, "the pool gave no reason")
            return Failure(attrs.evolve(lost, outcome=Outcome.UNKNOWN))
        return Failure(Problem(answer.refusal, answer.outcome))

    def _token(self, session: Session) -> str | None:
        """Returns the token of a session, without groups that are gone: it must stay short."""
        groups = self._access.groups
        positions = {g: p for g, p in session.positions.items() if g in groups and p.term}
        if not positions:
            return None
        return tokens.encode(self._parts.settings.session_keys, Session(session.caller, positions))
