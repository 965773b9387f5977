"""What follows from a reply, a broken connection or a timeout of a statement."""

import enum

import attrs

from siskindale.models.statements import ErrorCode


class Work(enum.Enum):
    """Kinds of statement by what a repetition would do."""

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
    """What to do next; `DEMOTED` also means that the target is not the primary."""

    RETURN = "return"
    RETRY = "retry"
    RETRY_DEMOTED = "retry-demoted"
    RETRY_ELSEWHERE = "retry-elsewhere"


@attrs.frozen
class Decision:
    """Next step, with the error for the client where the step is `RETURN`."""

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
_SINGLE = frozenset({Work.READ, Work.WRITE})


def after_error(work: Work, error: ErrorCode) -> Decision:
    """Decides after a target's error.

    A statement outside a transaction may be repeated if it did not run, and a read also if it did.
    Inside a transaction the client repeats the whole.
    """
    if work in _SINGLE and error in _NOT_RUN:
        return Decision(_NOT_RUN[error])
    if work is Work.READ and error is ErrorCode.FAILED:
        return Decision(Step.RETRY_ELSEWHERE)
    return Decision(Step.RETURN, _reported(work, error))


def _reported(work: Work, error: ErrorCode) -> ErrorCode:
    """Returns the error to report: a promise that nothing is kept must be true.

    A missing prepared name is the proxy's own fault, and a statement that failed inside a
    transaction leaves nothing behind, because the transaction can only be rolled back.
    """
    if work in (Work.TRANSACTION_READ, Work.TRANSACTION_WRITE):
        kept = error in _NOT_RUN and error is not ErrorCode.UNKNOWN_PREPARED
        return error if kept else ErrorCode.ABORTED
    return error


def after_break(work: Work, progress: Progress) -> Decision:
    """Decides after a connection broke, or a target took too long, without a whole reply.

    The target rolls a transaction back when its connection closes, unless its commit was sent.
    """
    if work is Work.READ:
        return Decision(Step.RETRY_ELSEWHERE)
    if work in (Work.TRANSACTION_READ, Work.TRANSACTION_WRITE, Work.COMMIT_OF_READS):
        return Decision(Step.RETURN, ErrorCode.ABORTED)
    if progress is Progress.SENT:
        return Decision(Step.RETURN, ErrorCode.OUTCOME_UNKNOWN)
    if work is Work.WRITE:
        return Decision(Step.RETRY)
    return Decision(Step.RETURN, ErrorCode.ABORTED)
