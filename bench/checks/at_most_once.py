"""Promise 6: a write that must not be repeated runs at most once."""

from collections import Counter

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import Record

NAME = "at most once"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Counts the rows of each write on the final primary; unkeyed writes are sent once."""
    keyed = {(e.database, e.uid) for e in record.events if e.kind == "keyed"}
    repeated = {(e.database, e.uid) for e in record.events if e.kind == "keyed" and e.attempt > 1}
    row_counts = Counter(
        (state.database, uid) for state in record.final for uid, _, _ in state.events
    )
    violations = (f"{uid} in {db} ran {count} times" for (db, uid), count in row_counts.items()
                  if count > 1)  # fmt: skip
    evidence = f"{len(keyed)} keyed writes, {len(repeated)} of them sent again"
    return make_verdict(NAME, len(repeated) if record.final else 0, evidence, violations)
