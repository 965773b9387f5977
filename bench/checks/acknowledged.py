"""Promise 2: each acknowledged write is durable on the present primary."""

from bench.checks import CHECKS, Verdict, done_writes, verdict
from bench.history import Record

NAME = "no stale acknowledgement"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Looks for every acknowledged write on the final primary of its database."""
    present = {state.database: {uid for uid, _, _ in state.events} for state in record.final}
    writes = [w for w in done_writes(record) if w.database in present]
    missing = (
        f"{w.uid} ({w.kind}) in {w.database}, acknowledged at {w.ended_at:.3f}, is absent"
        for w in writes
        if w.uid not in present[w.database]
    )
    promotions = sum(bool(f.found.get("lost_primary")) for f in record.faults)
    evidence = f"{len(writes)} acknowledged writes, {promotions} lost primaries"
    return verdict(NAME, len(writes) if promotions else 0, evidence, missing)
