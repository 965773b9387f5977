"""Promise 5: a request with the outcome `not_run` never ran and never will."""

from collections import defaultdict

from bench.checks import CHECKS, READ_KINDS, WRITE_KINDS, Verdict, make_verdict
from bench.history import NEVER_RAN_OUTCOMES, NOT_RUN, Record

NAME = "truthful refusals"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks that no refused write is on the final primary or was returned by a read."""
    outcomes: dict[tuple[str, str], set[str]] = defaultdict(set)
    session_seqs = {}
    for event in record.events:
        if event.kind in WRITE_KINDS:
            outcomes[event.database, event.uid].add(event.outcome)
            session_seqs[event.database, event.uid] = (event.session, event.seq)
    refused = {
        write
        for write, write_outcomes in outcomes.items()
        if write_outcomes <= set(NEVER_RAN_OUTCOMES)
    }
    present = {(state.database, uid) for state in record.final for uid, _, _ in state.events}
    seen = {
        (e.database, e.session, e.seen)
        for e in record.events
        if e.kind in READ_KINDS and e.seen is not None
    }
    violations = [f"{uid} in {database} was refused and is present" for database, uid in
                  sorted(refused & present)]  # fmt: skip
    violations += [
        f"{uid} in {database} was refused and was read"
        for database, uid in sorted(refused)
        if (database, *session_seqs[database, uid]) in seen
    ]
    not_run_count = sum(NOT_RUN in outcomes[write] for write in refused)
    evidence = f"{not_run_count} writes refused as not run"
    return make_verdict(NAME, not_run_count if record.final else 0, evidence, violations)
