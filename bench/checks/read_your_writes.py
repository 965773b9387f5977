"""Promise 1: a session sees its own acknowledged writes."""

from collections import defaultdict
from collections.abc import Iterator

from bench.checks import CHECKS, READ_KINDS, WRITE_KINDS, Verdict, make_verdict
from bench.history import DONE, Event, Record

NAME = "read-your-writes"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Compares each read with the writes of its session that were acknowledged before it."""
    read_write_pairs = list(_reads_after_writes(record))
    roamed_count = sum(read.vm != write.vm for read, write in read_write_pairs)
    replica_count = sum(read.role == "replica" for read, _ in read_write_pairs)
    evidence = (
        f"{len(read_write_pairs)} reads after own writes, {roamed_count} at another VM, "
        f"{replica_count} on replicas"
    )
    return make_verdict(NAME, roamed_count, evidence, _violations(read_write_pairs))


def _violations(read_write_pairs: list[tuple[Event, Event]]) -> Iterator[str]:
    for read, write in read_write_pairs:
        if (read.seen or 0) < write.seq:
            yield (
                f"{read.session} in {read.database} saw {read.seen} after write {write.seq}"
                f" ({write.uid}), at {read.target}"
            )


def _reads_after_writes(record: Record) -> Iterator[tuple[Event, Event]]:
    """Returns each read with its session's newest write that was acknowledged before it."""
    by_session = defaultdict(list)
    for event in record.events:
        if event.outcome == DONE and event.kind in (*READ_KINDS, *WRITE_KINDS):
            by_session[event.session, event.database].append(event)
    for events in by_session.values():
        # Operations of a session do not overlap, so ordering them by their end is exact.
        newest: Event | None = None
        for event in sorted(events, key=lambda e: e.ended_at):
            if event.kind in WRITE_KINDS:
                newest = max(newest or event, event, key=lambda e: e.seq)
            elif newest is not None:
                yield event, newest
