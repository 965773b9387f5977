"""Processing of callers' requests: authentication, checks, forwarding and the reply."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.entry import bodies, headers, metrics, planning, tokens
from siskindale.entry.access import Access
from siskindale.entry.dispatcher import Dispatcher
from siskindale.entry.planning import ForwardingPlan, RequestContext
from siskindale.entry.problems import Problem, malformed_problem, refusal_problem
from siskindale.entry.tables import Resolution
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.session import Session
from siskindale.models.wire import Answer
from siskindale.runtime.logs import logger
from siskindale.runtime.program import ProgramComponents

NOT_READY_RETRY_MS = 1000
# The load balancer sends a retry to another entry; this process does not return to service.
DRAINING_RETRY_MS = 100

AnswerEncoder = Callable[[Answer], bytes]
Planner = Callable[[RequestContext, Any], Result[ForwardingPlan, Problem]]


@attrs.frozen
class Reply:
    """Reply to a request that succeeded: the body and the new session token."""

    content: bytes
    session_token: str | None


@attrs.define
class Exchange:
    """A request of a caller, with the fields of its log line."""

    header_source: headers.HeaderSource
    read_body: Callable[[], Result[bytes, Problem]]
    request_id: str
    received_at: float
    caller: str = ""
    group: str = ""
    statement_class: str = ""
    pool: str = ""
    attempts: int = 0


class Gateway:
    """Serves callers; each request runs in its own greenlet."""

    def __init__(self, components: ProgramComponents, dispatcher: Dispatcher) -> None:
        self._components = components
        self._settings = components.settings.entry
        self._dispatcher = dispatcher
        self._request_ids = headers.RequestIdGenerator(components.mailbox.boot)
        self._access = Access()
        # Created once, because a logger created for each line costs a quarter more.
        self._log = logger()
        components.bundles.subscribe(self._access.adopt)

    def open_exchange(
        self,
        header_source: headers.HeaderSource,
        read_body: Callable[[], Result[bytes, Problem]],
        received_at: float,
    ) -> Exchange:
        """Starts a request that began to arrive at `received_at`; `read_body` returns its body."""
        request_id = self._request_ids.next_id(header_source.get_header(headers.REQUEST_ID))
        return Exchange(header_source, read_body, request_id, received_at)

    def close_exchange(self, exchange: Exchange, result: Result[Reply, Problem]) -> None:
        """Logs a finished request and updates the metrics."""
        duration_s = self._components.env.clock.monotonic() - exchange.received_at
        outcome, refusal = Outcome.DONE, ""
        if isinstance(result, Failure):
            problem = result.failure()
            outcome, refusal = problem.outcome, str(problem.refusal.kind)
        class_name = exchange.statement_class
        metrics.record_request(class_name, str(outcome), refusal, duration_s)
        self._log.info(
            "request",
            request_id=exchange.request_id,
            caller=exchange.caller,
            group=exchange.group,
            statement_class=class_name,
            outcome=str(outcome),
            refusal=refusal,
            duration_ms=round(duration_s * 1000, 2),
            pool=exchange.pool,
            attempts=exchange.attempts,
        )

    def run_statement(self, exchange: Exchange, database: str) -> Result[Reply, Problem]:
        """Runs one statement in its own transaction."""
        return self._serve(
            exchange,
            bodies.StatementBody,
            lambda context, body: planning.plan_statement(context, database, body),
            bodies.encode_result,
        )

    def begin_transaction(self, exchange: Exchange, database: str) -> Result[Reply, Problem]:
        """Starts a transaction."""
        return self._serve(
            exchange,
            bodies.BeginBody,
            lambda context, body: planning.plan_begin(context, database, body),
            bodies.encode_transaction,
        )

    def run_transaction_statement(
        self, exchange: Exchange, transaction: str
    ) -> Result[Reply, Problem]:
        """Runs one statement of an open transaction."""
        return self._serve(
            exchange,
            bodies.TransactionStatementBody,
            lambda context, body: planning.plan_transaction_statement(context, transaction, body),
            bodies.encode_result,
        )

    def finish_transaction(
        self, exchange: Exchange, transaction: str, commit: bool
    ) -> Result[Reply, Problem]:
        """Commits or rolls back a transaction."""
        return self._serve(
            exchange,
            bodies.FinishBody,
            lambda context, _: planning.plan_finish(context, transaction, commit),
            bodies.encode_result,
        )

    def _serve(
        self, exchange: Exchange, body_type: type, planner: Planner, encode_answer: AnswerEncoder
    ) -> Result[Reply, Problem]:
        problem = self._refuse_if_not_serving()
        if problem is not None:
            return Failure(problem)
        authenticated = self._access.authenticate(
            exchange.header_source.get_header(headers.AUTHORIZATION)
        )
        if isinstance(authenticated, Failure):
            return authenticated
        caller = authenticated.unwrap()
        exchange.caller = caller.name
        limit_problem = self._access.start_request(caller)
        if limit_problem is not None:
            return Failure(limit_problem)
        try:
            return self._plan_and_forward(exchange, caller, body_type, planner, encode_answer)
        finally:
            self._access.end_request(caller)

    def _refuse_if_not_serving(self) -> Problem | None:
        if self._components.shutdown.draining:
            detail = "this entry takes no new requests"
            return refusal_problem(RefusalKind.SHUTTING_DOWN, detail, DRAINING_RETRY_MS)
        if self._access.bundle_version == 0:
            detail = "no bundle is in effect yet"
            return refusal_problem(RefusalKind.UNAVAILABLE, detail, NOT_READY_RETRY_MS)
        return None

    def _plan_and_forward(
        self,
        exchange: Exchange,
        caller: Any,
        body_type: type,
        planner: Planner,
        encode_answer: AnswerEncoder,
    ) -> Result[Reply, Problem]:
        raw = exchange.read_body()
        if isinstance(raw, Failure):
            return raw
        decoded = self._decode_request(exchange, body_type, raw.unwrap())
        if isinstance(decoded, Failure):
            return decoded
        request_headers, body = decoded.unwrap()
        session = self._decode_session(exchange, caller.name)
        if isinstance(session, Failure):
            return session
        context = RequestContext(
            exchange.request_id,
            caller,
            request_headers,
            session.unwrap(),
            self._access,
            self._components.bundles.degraded,
            self._components.settings.session_keys,
        )
        plan = planner(context, body)
        return plan.bind(lambda p: self._forward(exchange, context, p, encode_answer))

    def _decode_request(
        self, exchange: Exchange, body_type: type, raw: bytes
    ) -> Result[tuple[headers.RequestHeaders, Any], Problem]:
        decoded_headers = headers.decode(exchange.header_source, self._settings)
        body: Result[Any, tuple[Finding, ...]] = bodies.decode(body_type, raw)
        if isinstance(decoded_headers, Success) and isinstance(body, Success):
            return Success((decoded_headers.unwrap(), body.unwrap()))
        failures = [r.failure() for r in (decoded_headers, body) if isinstance(r, Failure)]
        return Failure(malformed_problem(tuple(finding for part in failures for finding in part)))

    def _decode_session(self, exchange: Exchange, caller: str) -> Result[Session, Problem]:
        text = exchange.header_source.get_header(headers.SESSION)
        keys = self._components.settings.session_keys
        return headers.decode_session(text, keys, caller).alt(
            lambda reason: refusal_problem(RefusalKind.INVALID_SESSION, f"session token: {reason}")
        )

    def _forward(
        self,
        exchange: Exchange,
        context: RequestContext,
        plan: ForwardingPlan,
        encode_answer: AnswerEncoder,
    ) -> Result[Reply, Problem]:
        exchange.group, exchange.statement_class = plan.group, plan.statement_class
        deadline = exchange.received_at + context.headers.deadline_s
        resolution = self._dispatcher.call(
            plan.request, plan.policy, plan.group, deadline, plan.fixed_pool
        )
        exchange.pool, exchange.attempts = resolution.pool, resolution.attempts
        return self._build_reply(context, plan, resolution, encode_answer)

    def _build_reply(
        self,
        context: RequestContext,
        plan: ForwardingPlan,
        resolution: Resolution,
        encode_answer: AnswerEncoder,
    ) -> Result[Reply, Problem]:
        answer = resolution.answer
        if answer.outcome is Outcome.DONE:
            session = context.session.with_position(plan.group, answer.position)
            return Success(Reply(encode_answer(answer), self._encode_session_token(session)))
        if answer.refusal is None:
            problem = refusal_problem(RefusalKind.ANSWER_LOST, "the pool gave no reason")
            return Failure(attrs.evolve(problem, outcome=Outcome.UNKNOWN))
        return Failure(Problem(answer.refusal, answer.outcome))

    def _encode_session_token(self, session: Session) -> str | None:
        """Returns the token of a session, without groups that no longer exist, to keep it short."""
        group_names = self._access.group_names
        positions = {g: p for g, p in session.positions.items() if g in group_names and p.term}
        if not positions:
            return None
        return tokens.encode(
            self._components.settings.session_keys, Session(session.caller, positions)
        )
