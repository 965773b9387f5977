"""Outcomes of requests, and refusals with their stable identifiers."""

import enum

import attrs


class Outcome(enum.StrEnum):
    """Whether a request has taken effect, as far as is known."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalKind(enum.StrEnum):
    """Stable identifiers of refusals, used as the last part of a problem document's `type`."""

    MALFORMED = "malformed-request"
    TOO_LARGE = "request-too-large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_DATABASE = "unknown-database"
    UNKNOWN_TRANSACTION = "unknown-transaction"
    INVALID_SESSION = "invalid-session"
    INVALID_STATEMENT = "invalid-statement"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    KEY_EXPIRED = "idempotency-key-expired"
    TRANSACTION_BUSY = "transaction-busy"
    OVERLOADED = "overloaded"
    NO_PRIMARY = "no-primary"
    POSITION_NOT_REACHED = "position-not-reached"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    WRONG_POOL = "wrong-pool"
    UNAVAILABLE = "unavailable"
    SHUTTING_DOWN = "shutting-down"
    BUNDLE_NOT_CONFIRMED = "bundle-not-confirmed"
    ANSWER_LOST = "answer-lost"


# HTTP status of each refusal with the outcome `not_run`; every `unknown` outcome returns 504.
HTTP_STATUS: dict[RefusalKind, int] = {
    RefusalKind.MALFORMED: 400,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.UNAUTHENTICATED: 401,
    RefusalKind.FORBIDDEN: 403,
    RefusalKind.UNKNOWN_DATABASE: 404,
    RefusalKind.UNKNOWN_TRANSACTION: 404,
    RefusalKind.INVALID_SESSION: 400,
    RefusalKind.INVALID_STATEMENT: 400,
    RefusalKind.KEY_REQUIRED: 400,
    RefusalKind.KEY_REUSED: 409,
    RefusalKind.KEY_EXPIRED: 409,
    RefusalKind.TRANSACTION_BUSY: 409,
    RefusalKind.OVERLOADED: 429,
    RefusalKind.NO_PRIMARY: 503,
    RefusalKind.POSITION_NOT_REACHED: 503,
    RefusalKind.DEADLINE_EXCEEDED: 503,
    RefusalKind.WRONG_POOL: 503,
    RefusalKind.UNAVAILABLE: 503,
    RefusalKind.SHUTTING_DOWN: 503,
    RefusalKind.BUNDLE_NOT_CONFIRMED: 503,
    RefusalKind.ANSWER_LOST: 504,
}


@attrs.frozen
class Refusal:
    """Reason why a request has no result.

    `retry_after_ms` is a hint in milliseconds, absent if waiting does not help.
    """

    kind: RefusalKind
    detail: str
    retry_after_ms: int | None = None
