"""HTTP resources of the callers' API, built on falcon; `docs/api.md` describes the API."""

from collections.abc import Callable

import falcon
from returns.result import Failure, Result, Success

from siskindale.entry import problems
from siskindale.entry.gateway import Exchange, Gateway, Reply
from siskindale.entry.headers import REQUEST_ID, SESSION
from siskindale.entry.problems import Problem, refusal_problem
from siskindale.entry.server import RECEIVED_AT
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.runtime.logs import logger

JSON_CONTENT_TYPE = "application/json"
READ_CHUNK_BYTES = 64 << 10

Action = Callable[[Exchange], Result[Reply, Problem]]


class Endpoint:
    """Base class of all resources."""

    def __init__(self, gateway: Gateway, max_body_bytes: int) -> None:
        self._gateway = gateway
        self._max_body_bytes = max_body_bytes

    def serve(
        self,
        request: falcon.Request,
        response: falcon.Response,
        action: Action,
        status: str = falcon.HTTP_200,
    ) -> None:
        """Runs an action and writes its result; an exception of the action becomes a problem."""
        exchange = self._gateway.open_exchange(
            request,
            lambda: read_body(request, self._max_body_bytes),
            request.env[RECEIVED_AT],
        )
        result = _run_action(action, exchange)
        response.set_header(REQUEST_ID, exchange.request_id)
        if isinstance(result, Success):
            _write_reply(response, result.unwrap(), status)
        else:
            write_problem(response, result.failure(), exchange.request_id)
        self._gateway.close_exchange(exchange, result)


class Statements(Endpoint):
    """`/v1/databases/{database}/statements`."""

    def on_post(self, request: falcon.Request, response: falcon.Response, database: str) -> None:
        """Runs one statement."""
        self.serve(request, response, lambda e: self._gateway.run_statement(e, database))


class Transactions(Endpoint):
    """`/v1/databases/{database}/transactions`."""

    def on_post(self, request: falcon.Request, response: falcon.Response, database: str) -> None:
        """Starts a transaction."""
        action: Action = lambda e: self._gateway.begin_transaction(e, database)  # noqa: E731
        self.serve(request, response, action, falcon.HTTP_201)


class TransactionStatements(Endpoint):
    """`/v1/transactions/{transaction}/statements`."""

    def on_post(self, request: falcon.Request, response: falcon.Response, transaction: str) -> None:
        """Runs one statement of an open transaction."""
        self.serve(
            request,
            response,
            lambda e: self._gateway.run_transaction_statement(e, transaction),
        )


class FinishTransaction(Endpoint):
    """`/v1/transactions/{transaction}/commit` and `/rollback`."""

    def __init__(self, gateway: Gateway, max_body_bytes: int, commit: bool) -> None:
        super().__init__(gateway, max_body_bytes)
        self._commit = commit

    def on_post(self, request: falcon.Request, response: falcon.Response, transaction: str) -> None:
        """Commits or rolls back a transaction."""
        self.serve(
            request,
            response,
            lambda e: self._gateway.finish_transaction(e, transaction, self._commit),
        )


def create_app(gateway: Gateway, max_body_bytes: int) -> falcon.App:
    """Returns the WSGI application."""
    app: falcon.App = falcon.App()
    app.add_route("/v1/databases/{database}/statements", Statements(gateway, max_body_bytes))
    app.add_route("/v1/databases/{database}/transactions", Transactions(gateway, max_body_bytes))
    transaction = "/v1/transactions/{transaction}"
    app.add_route(f"{transaction}/statements", TransactionStatements(gateway, max_body_bytes))
    app.add_route(f"{transaction}/commit", FinishTransaction(gateway, max_body_bytes, commit=True))
    app.add_route(
        f"{transaction}/rollback", FinishTransaction(gateway, max_body_bytes, commit=False)
    )
    app.set_error_serializer(_serialize_http_error)
    return app


def read_body(request: falcon.Request, max_bytes: int) -> Result[bytes, Problem]:
    """Reads a body of at most `max_bytes` bytes."""
    too_large = refusal_problem(RefusalKind.TOO_LARGE, f"the body is larger than {max_bytes} bytes")
    if (request.content_length or 0) > max_bytes:
        return Failure(too_large)
    stream = request.env["wsgi.input"]
    content = b""
    try:
        while chunk := stream.read(READ_CHUNK_BYTES):
            content += chunk
            if len(content) > max_bytes:
                return Failure(too_large)
    except (OSError, ValueError) as error:
        return Failure(refusal_problem(RefusalKind.MALFORMED, f"the body is incomplete: {error}"))
    return Success(content)


def write_problem(response: falcon.Response, problem: Problem, request_id: str) -> None:
    """Writes a problem document to the response."""
    response.status = falcon.code_to_http_status(problem.http_status)
    response.set_headers(problems.response_headers(problem))
    response.data = problems.encode_document(problem, request_id)
    if problem.refusal.kind is RefusalKind.TOO_LARGE:
        response.set_header("Connection", "close")


def _run_action(action: Action, exchange: Exchange) -> Result[Reply, Problem]:
    try:
        return action(exchange)
    except Exception:
        logger().exception("request-failed", request_id=exchange.request_id)
        refusal = Refusal(RefusalKind.ANSWER_LOST, "internal error")
        return Failure(Problem(refusal, Outcome.UNKNOWN))


def _write_reply(response: falcon.Response, reply: Reply, status: str) -> None:
    response.status = status
    response.content_type = JSON_CONTENT_TYPE
    response.data = reply.content
    if reply.session_token is not None:
        response.set_header(SESSION, reply.session_token)


def _serialize_http_error(
    request: falcon.Request, response: falcon.Response, error: falcon.HTTPError
) -> None:
    """Writes errors raised by falcon, such as an unknown path, as problem documents."""
    detail = error.description or error.title or str(error.status)
    problem = Problem(Refusal(RefusalKind.MALFORMED, detail), status=error.status_code)
    write_problem(response, problem, "")
