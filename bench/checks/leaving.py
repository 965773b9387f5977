"""Promise 7: a target that leaves gets no new work after 3 s."""

from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, verdict
from bench.history import DONE, Event, FaultEvent, Record

NAME = "leaving targets"
LIMIT_S = 3.0
# Requests inside a transaction are not new work.
NEW_WORK = ("browse", "strict", "large", "write", "keyed")


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Looks for answers of a leaving target to requests sent after the limit."""
    leaves = [f for f in record.faults if f.action == "leave"]
    later = [pair for leave in leaves for pair in _later(record, leave)]
    violations = (
        f"{e.kind} {e.nonce} ran on {e.target} {e.sent_at - leave.at:.2f} s after it was to leave"
        for leave, e in later
        if e.target == leave.found["target"]
    )
    before = sum(
        e.target == leave.found["target"] and e.sent_at < leave.at
        for leave in leaves
        for e in record.events
    )
    evidence = (
        f"{len(leaves)} leaving targets with {before} requests before, "
        f"{len(later)} requests to their databases after {LIMIT_S:g} s"
    )
    return verdict(NAME, len(later) if before else 0, evidence, violations)


def _later(record: Record, leave: FaultEvent) -> Iterator[tuple[FaultEvent, Event]]:
    for event in record.events:
        same = event.database == leave.found["database"] and event.kind in NEW_WORK
        if same and event.outcome == DONE and event.sent_at > leave.at + LIMIT_S:
            yield leave, event
