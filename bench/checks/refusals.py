"""Promise 5: a request with the outcome `not_run` never ran and never will."""

from collections import defaultdict

from bench.checks import CHECKS, READS, WRITES, Verdict, verdict
from bench.history import NEVER_RAN, NOT_RUN, Record

NAME = "truthful refusals"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Looks for refused writes on the final primary and in earlier reads."""
    outcomes: dict[tuple[str, str], set[str]] = defaultdict(set)
    places = {}
    for event in record.events:
        if event.kind in WRITES:
            outcomes[event.database, event.uid].add(event.outcome)
            places[event.database, event.uid] = (event.session, event.seq)
    refused = {write for write, found in outcomes.items() if found <= set(NEVER_RAN)}
    present = {(state.database, uid) for state in record.final for uid, _, _ in state.events}
    seen = {
        (e.database, e.session, e.seen)
        for e in record.events
        if e.kind in READS and e.seen is not None
    }
    violations = [f"{uid} in {database} was refused and is present" for database, uid in
                  sorted(refused & present)]  # fmt: skip
    violations += [
        f"{uid} in {database} was refused and was read"
        for database, uid in sorted(refused)
        if (database, *places[database, uid]) in seen
    ]
    count = sum(NOT_RUN in outcomes[write] for write in refused)
    evidence = f"{count} writes refused as not run"
    return verdict(NAME, count if record.final else 0, evidence, violations)
