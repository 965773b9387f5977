"""Promise 4: each caller gets the complete response to its own request."""

from collections.abc import Iterable, Iterator

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import DONE, Event, Record

NAME = "whole answers"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks that each answer echoes the request's nonce and has the expected number of rows."""
    answers = [e for e in record.events if e.outcome == DONE and e.nonce]
    evidence = f"{len(answers)} answers with a nonce, {sum(e.rows > 1 for e in answers)} large"
    return make_verdict(NAME, len(answers), evidence, _violations(answers))


def _violations(answers: Iterable[Event]) -> Iterator[str]:
    for event in answers:
        if event.echo != event.nonce:
            yield f"{event.kind} {event.nonce} got the answer to {event.echo!r}"
        elif event.expected_rows is not None and event.rows != event.expected_rows:
            yield f"{event.kind} {event.nonce} got {event.rows} of {event.expected_rows} rows"
