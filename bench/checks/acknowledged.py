"""Promise 2: each acknowledged write is durable on the current primary."""

from bench.checks import CHECKS, Verdict, acknowledged_writes, make_verdict
from bench.history import Record

NAME = "no stale acknowledgement"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks that the final primary of each database has every acknowledged write."""
    present_uids = {state.database: {uid for uid, _, _ in state.events} for state in record.final}
    writes = [w for w in acknowledged_writes(record) if w.database in present_uids]
    violations = (
        f"{w.uid} ({w.kind}) in {w.database}, acknowledged at {w.ended_at:.3f}, is absent"
        for w in writes
        if w.uid not in present_uids[w.database]
    )
    lost_primaries = sum(bool(f.found.get("lost_primary")) for f in record.faults)
    evidence = f"{len(writes)} acknowledged writes, {lost_primaries} lost primaries"
    return make_verdict(NAME, len(writes) if lost_primaries else 0, evidence, violations)
