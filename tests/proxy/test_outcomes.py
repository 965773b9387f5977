"""Tests of the handling of error replies, broken connections and timeouts, in all cases."""

import itertools

import pytest

from siskindale.models.statements import ErrorCode
from siskindale.proxy.decisions.outcomes import (
    Progress,
    StatementKind,
    Step,
    after_error,
    after_exchange_failure,
)

WRITES = {StatementKind.WRITE, StatementKind.COMMIT_OF_WRITES}
MAY_HAVE_RUN = {ErrorCode.FAILED, ErrorCode.TIMEOUT, ErrorCode.OUTCOME_UNKNOWN}
# Errors that tell a client that nothing of its attempt is committed.
NOTHING_COMMITTED = {
    ErrorCode.OVERLOADED,
    ErrorCode.ABORTED,
    ErrorCode.LAGGING,
    ErrorCode.READ_ONLY,
    ErrorCode.WRONG_TARGET,
    ErrorCode.TOO_MANY_CONNECTIONS,
}
IN_TRANSACTION = {StatementKind.TRANSACTION_READ, StatementKind.TRANSACTION_WRITE}


@pytest.mark.parametrize(
    ("kind", "error"),
    list(itertools.product(sorted(WRITES, key=str), sorted(MAY_HAVE_RUN, key=str))),
)
def test_a_write_that_may_have_run_is_not_repeated_or_reported_as_not_run(
    kind: StatementKind, error: ErrorCode
) -> None:
    """Guards against a write that runs twice, or runs but is reported as not committed."""
    decision = after_error(kind, error)
    assert decision.step is Step.RETURN
    assert decision.error not in NOTHING_COMMITTED


@pytest.mark.parametrize("kind", sorted(WRITES, key=str))
def test_the_outcome_of_a_write_without_reply_is_unknown(kind: StatementKind) -> None:
    """Guards against reporting a definite outcome for a write whose reply was lost."""
    decision = after_exchange_failure(kind, Progress.SENT)
    assert decision.step is Step.RETURN
    assert decision.error is ErrorCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(("kind", "error"), list(itertools.product(StatementKind, ErrorCode)))
def test_only_statements_outside_transactions_are_repeated(
    kind: StatementKind, error: ErrorCode
) -> None:
    """Guards against repeating a statement of a transaction outside of it."""
    if after_error(kind, error).step is not Step.RETURN:
        assert kind in (StatementKind.READ, StatementKind.WRITE)


@pytest.mark.parametrize(
    ("kind", "error"), list(itertools.product(sorted(IN_TRANSACTION, key=str), ErrorCode))
)
def test_a_failed_transaction_is_reported_as_not_committed(
    kind: StatementKind, error: ErrorCode
) -> None:
    """Guards against hiding from the client that its transaction is certainly rolled back."""
    assert after_error(kind, error).error in NOTHING_COMMITTED


@pytest.mark.parametrize("progress", Progress)
def test_transactions_end_with_their_connection(progress: Progress) -> None:
    """Guards against treating a transaction as committed although its connection is closed."""
    for kind in (*IN_TRANSACTION, StatementKind.COMMIT_OF_READS):
        assert after_exchange_failure(kind, progress).error is ErrorCode.ABORTED


@pytest.mark.parametrize("error", ErrorCode)
def test_each_error_of_a_read_is_repeated_or_reported(error: ErrorCode) -> None:
    """Guards against errors that are neither handled nor reported."""
    decision = after_error(StatementKind.READ, error)
    assert (decision.step is Step.RETURN) == (decision.error is not None)
