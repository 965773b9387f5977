"""Problem documents (RFC 9457) for refused and unresolved requests."""

import http
import math

import attrs
import msgspec

from siskindale.config.findings import Finding
from siskindale.models.outcomes import HTTP_STATUS, Outcome, Refusal, RefusalKind

PROBLEM_CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:siskindale:problem:"

TITLES: dict[RefusalKind, str] = {
    RefusalKind.MALFORMED: "The request is malformed",
    RefusalKind.TOO_LARGE: "The body is too large",
    RefusalKind.UNAUTHENTICATED: "The bearer token is missing or not known",
    RefusalKind.FORBIDDEN: "The bundle does not grant this",
    RefusalKind.UNKNOWN_DATABASE: "The database is not known",
    RefusalKind.UNKNOWN_TRANSACTION: "The transaction is not open",
    RefusalKind.INVALID_SESSION: "The session token is not valid",
    RefusalKind.INVALID_STATEMENT: "The database rejected the statement",
    RefusalKind.KEY_REQUIRED: "The class needs an idempotency key",
    RefusalKind.KEY_REUSED: "The idempotency key belongs to another request",
    RefusalKind.KEY_EXPIRED: "The idempotency key is too old",
    RefusalKind.TRANSACTION_BUSY: "Another statement of the transaction is running",
    RefusalKind.OVERLOADED: "Too many requests",
    RefusalKind.NO_PRIMARY: "The database has no primary at present",
    RefusalKind.POSITION_NOT_REACHED: "No target has reached the position of the session",
    RefusalKind.DEADLINE_EXCEEDED: "The deadline passed before the request ran",
    RefusalKind.WRONG_POOL: "No pool serves the database at present",
    RefusalKind.UNAVAILABLE: "The service is not available at present",
    RefusalKind.SHUTTING_DOWN: "The program is shutting down",
    RefusalKind.BUNDLE_NOT_CONFIRMED: "The bundle is not confirmed at present",
    RefusalKind.ANSWER_LOST: "The outcome is not known",
}


@attrs.frozen
class Problem:
    """A refusal for the caller; `status` overrides the HTTP status of the refusal kind."""

    refusal: Refusal
    outcome: Outcome = Outcome.NOT_RUN
    findings: tuple[Finding, ...] = ()
    status: int | None = None

    @property
    def http_status(self) -> int:
        """HTTP status; 504 for every unknown outcome."""
        if self.outcome is Outcome.UNKNOWN:
            return http.HTTPStatus.GATEWAY_TIMEOUT
        return self.status or HTTP_STATUS[self.refusal.kind]


def refusal_problem(kind: RefusalKind, detail: str, retry_after_ms: int | None = None) -> Problem:
    """Returns a refusal by the entry itself, for a request that no pool received: `not_run`."""
    return Problem(Refusal(kind, detail, retry_after_ms))


def malformed_problem(findings: tuple[Finding, ...]) -> Problem:
    """Returns a refusal that lists every finding."""
    detail = "; ".join(str(finding) for finding in findings)
    return Problem(Refusal(RefusalKind.MALFORMED, detail), findings=findings)


def encode_document(problem: Problem, request_id: str) -> bytes:
    """Returns the problem document as JSON."""
    refusal = problem.refusal
    content = {
        "type": TYPE_PREFIX + refusal.kind,
        "title": TITLES[refusal.kind],
        "status": int(problem.http_status),
        "outcome": problem.outcome,
        "detail": refusal.detail,
        "request_id": request_id,
    }
    if refusal.retry_after_ms is not None:
        content["retry_after_ms"] = refusal.retry_after_ms
    if problem.findings:
        content["findings"] = [
            {"place": finding.place, "problem": finding.problem} for finding in problem.findings
        ]
    return msgspec.json.encode(content)


def response_headers(problem: Problem) -> dict[str, str]:
    """Returns the HTTP headers of a problem document."""
    result = {"Content-Type": PROBLEM_CONTENT_TYPE}
    refusal = problem.refusal
    if refusal.retry_after_ms is not None:
        result["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_ms / 1000)))
    if refusal.kind is RefusalKind.UNAUTHENTICATED:
        result["WWW-Authenticate"] = "Bearer"
    return result
