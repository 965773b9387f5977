"""Promise 1: a session sees its own acknowledged writes."""

from collections import defaultdict
from collections.abc import Iterator

from bench.checks import CHECKS, READS, WRITES, Verdict, verdict
from bench.history import DONE, Event, Record

NAME = "read-your-writes"


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Compares each read with the writes that its session had acknowledged before it."""
    tested = list(_reads_after_writes(record))
    roamed = sum(read.vm != write.vm for read, write in tested)
    replica = sum(read.role == "replica" for read, _ in tested)
    evidence = (
        f"{len(tested)} reads after own writes, {roamed} at another VM, {replica} on replicas"
    )
    return verdict(NAME, roamed, evidence, _violations(tested))


def _violations(tested: list[tuple[Event, Event]]) -> Iterator[str]:
    for read, write in tested:
        if (read.seen or 0) < write.seq:
            yield (
                f"{read.session} in {read.database} saw {read.seen} after write {write.seq}"
                f" ({write.uid}), at {read.target}"
            )


def _reads_after_writes(record: Record) -> Iterator[tuple[Event, Event]]:
    """Returns each read with the newest write acknowledged before it was sent."""
    by_session = defaultdict(list)
    for event in record.events:
        if event.outcome == DONE and event.kind in (*READS, *WRITES):
            by_session[event.session, event.database].append(event)
    for events in by_session.values():
        # Operations of a session do not overlap, so that their order is that of their ends.
        newest: Event | None = None
        for event in sorted(events, key=lambda e: e.ended_at):
            if event.kind in WRITES:
                newest = max(newest or event, event, key=lambda e: e.seq)
            elif newest is not None:
                yield event, newest
