"""How to proceed after an error reply, a broken connection or a timeout of a statement."""

import enum

import attrs

from siskindale.models.statements import ErrorCode


class StatementKind(enum.Enum):
    """Kinds of statements, which differ in whether they may be repeated."""

    READ = "read"
    WRITE = "write"
    TRANSACTION_READ = "transaction-read"
    TRANSACTION_WRITE = "transaction-write"
    COMMIT_OF_WRITES = "commit-of-writes"
    COMMIT_OF_READS = "commit-of-reads"


class Progress(enum.Enum):
    """How far a statement got before its exchange failed."""

    NOT_SENT = "not-sent"
    SENT = "sent"


class Step(enum.Enum):
    """What to do next; `RETRY_DEMOTED` also means that the target is not the primary."""

    RETURN = "return"
    RETRY = "retry"
    RETRY_DEMOTED = "retry-demoted"
    RETRY_ELSEWHERE = "retry-elsewhere"


@attrs.frozen
class Decision:
    """Next step, and the error for the client if the step is `RETURN`."""

    step: Step
    error: ErrorCode | None = None


_NOT_RUN = {
    ErrorCode.OVERLOADED: Step.RETRY,
    ErrorCode.LAGGING: Step.RETRY_ELSEWHERE,
    ErrorCode.READ_ONLY: Step.RETRY_DEMOTED,
    ErrorCode.UNKNOWN_PREPARED: Step.RETRY,
    ErrorCode.WRONG_TARGET: Step.RETRY_ELSEWHERE,
    ErrorCode.TOO_MANY_CONNECTIONS: Step.RETRY_ELSEWHERE,
}
_OUTSIDE_TRANSACTION = frozenset({StatementKind.READ, StatementKind.WRITE})


def after_error(kind: StatementKind, error: ErrorCode) -> Decision:
    """Decides how to proceed after an error reply of a target.

    A statement outside a transaction may be repeated if it did not run, and a read also if it did.
    A transaction is repeated as a whole by the client.
    """
    if kind in _OUTSIDE_TRANSACTION and error in _NOT_RUN:
        return Decision(_NOT_RUN[error])
    if kind is StatementKind.READ and error is ErrorCode.FAILED:
        return Decision(Step.RETRY_ELSEWHERE)
    return Decision(Step.RETURN, _error_to_report(kind, error))


def _error_to_report(kind: StatementKind, error: ErrorCode) -> ErrorCode:
    """Returns the error for the client; one that states that nothing is committed must be true.

    An unknown prepared name is an error of the proxy itself, so it is not reported. A statement
    that failed inside a transaction leaves nothing behind, because the transaction can only be
    rolled back.
    """
    if kind in (StatementKind.TRANSACTION_READ, StatementKind.TRANSACTION_WRITE):
        reportable = error in _NOT_RUN and error is not ErrorCode.UNKNOWN_PREPARED
        return error if reportable else ErrorCode.ABORTED
    return error


def after_exchange_failure(kind: StatementKind, progress: Progress) -> Decision:
    """Decides how to proceed after a broken connection or a timeout before a complete reply.

    The target rolls a transaction back when its connection closes, unless its commit was sent.
    """
    if kind is StatementKind.READ:
        return Decision(Step.RETRY_ELSEWHERE)
    if kind in (
        StatementKind.TRANSACTION_READ,
        StatementKind.TRANSACTION_WRITE,
        StatementKind.COMMIT_OF_READS,
    ):
        return Decision(Step.RETURN, ErrorCode.ABORTED)
    if progress is Progress.SENT:
        return Decision(Step.RETURN, ErrorCode.OUTCOME_UNKNOWN)
    if kind is StatementKind.WRITE:
        return Decision(Step.RETRY)
    return Decision(Step.RETURN, ErrorCode.ABORTED)
