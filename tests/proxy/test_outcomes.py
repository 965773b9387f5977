"""What follows from replies, broken connections and timeouts, over all cases."""

import itertools

import pytest

from siskindale.models.statements import ErrorCode
from siskindale.proxy.decisions.outcomes import (
    Progress,
    Step,
    Work,
    after_break,
    after_error,
)

WRITES = {Work.WRITE, Work.COMMIT_OF_WRITES}
RAN = {ErrorCode.FAILED, ErrorCode.TIMEOUT, ErrorCode.OUTCOME_UNKNOWN}
# Errors by which a client is told that nothing of its attempt is kept.
PROMISES = {
    ErrorCode.OVERLOADED,
    ErrorCode.ABORTED,
    ErrorCode.LAGGING,
    ErrorCode.READ_ONLY,
    ErrorCode.WRONG_TARGET,
    ErrorCode.TOO_MANY_CONNECTIONS,
}
IN_TRANSACTION = {Work.TRANSACTION_READ, Work.TRANSACTION_WRITE}


@pytest.mark.parametrize(
    ("work", "error"), list(itertools.product(sorted(WRITES, key=str), sorted(RAN, key=str)))
)
def test_what_may_have_taken_effect_is_neither_repeated_nor_denied(
    work: Work, error: ErrorCode
) -> None:
    """Guards against a write that runs twice or is reported as not kept."""
    decision = after_error(work, error)
    assert decision.step is Step.RETURN
    assert decision.error not in PROMISES


@pytest.mark.parametrize("work", sorted(WRITES, key=str))
def test_a_break_after_sending_promises_nothing(work: Work) -> None:
    """Guards against a promise about a write whose reply was lost."""
    decision = after_break(work, Progress.SENT)
    assert decision.step is Step.RETURN
    assert decision.error is ErrorCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(("work", "error"), list(itertools.product(Work, ErrorCode)))
def test_only_single_statements_are_repeated(work: Work, error: ErrorCode) -> None:
    """Guards against a statement of a transaction that runs again outside of it."""
    if after_error(work, error).step is not Step.RETURN:
        assert work in (Work.READ, Work.WRITE)


@pytest.mark.parametrize(
    ("work", "error"), list(itertools.product(sorted(IN_TRANSACTION, key=str), ErrorCode))
)
def test_a_failed_transaction_can_be_repeated(work: Work, error: ErrorCode) -> None:
    """Guards against a client that is told less than is known: its transaction is rolled back."""
    assert after_error(work, error).error in PROMISES


@pytest.mark.parametrize("progress", Progress)
def test_transactions_end_with_their_connection(progress: Progress) -> None:
    """Guards against a transaction that is taken for kept although its connection is gone."""
    for work in (*IN_TRANSACTION, Work.COMMIT_OF_READS):
        assert after_break(work, progress).error is ErrorCode.ABORTED


@pytest.mark.parametrize("error", ErrorCode)
def test_each_error_of_a_read_is_repeated_or_reported(error: ErrorCode) -> None:
    """Guards against an error that is swallowed."""
    decision = after_error(Work.READ, error)
    assert (decision.step is Step.RETURN) == (decision.error is not None)
