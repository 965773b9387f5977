"""Promise 7: a leaving target gets no new work after 3 s."""

from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import DONE, Event, FaultEvent, Record

NAME = "leaving targets"
LEAVING_LIMIT_S = 3.0
# Requests inside a transaction are not new work.
NEW_WORK_KINDS = ("browse", "strict", "large", "write", "keyed")


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks that a leaving target served no request that was sent after the limit."""
    leaves = [f for f in record.faults if f.action == "leave"]
    after_limit = [pair for leave in leaves for pair in _requests_after_limit(record, leave)]
    violations = (
        f"{e.kind} {e.nonce} ran on {e.target} {e.sent_at - leave.at:.2f} s after it was to leave"
        for leave, e in after_limit
        if e.target == leave.found["target"]
    )
    before = sum(
        e.target == leave.found["target"] and e.sent_at < leave.at
        for leave in leaves
        for e in record.events
    )
    evidence = (
        f"{len(leaves)} leaving targets with {before} requests before, "
        f"{len(after_limit)} requests to their databases after {LEAVING_LIMIT_S:g} s"
    )
    return make_verdict(NAME, len(after_limit) if before else 0, evidence, violations)


def _requests_after_limit(record: Record, leave: FaultEvent) -> Iterator[tuple[FaultEvent, Event]]:
    for event in record.events:
        is_new_work = event.database == leave.found["database"] and event.kind in NEW_WORK_KINDS
        if is_new_work and event.outcome == DONE and event.sent_at > leave.at + LEAVING_LIMIT_S:
            yield leave, event
