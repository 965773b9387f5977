"""Promise 8: SIGTERM cuts no request in flight."""

from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, verdict
from bench.history import CUT, UNKNOWN, Event, FaultEvent, Record

NAME = "graceful shutdown"
# The entry answers shortly before the deadline, so that the answer arrives in time.
DEADLINE_PART = 0.9
# Faults that leave outcomes unknown by themselves, and how long before a stop they matter.
DISRUPTIVE = {
    *("kill", "pause", "isolate", "target-faults", "platform"),
    *("kill-program", "pause-program", "restart"),
}
DISRUPTED_S = 15.0
DRAIN_S = 5.0


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Judges the requests that were in flight at any VM when one VM got SIGTERM."""
    stops = [f for f in record.faults if f.action == "terminate"]
    in_flight = [(stop, e) for stop in stops for e in _in_flight(record, stop)]
    own = sum(e.vm == stop.found["vm"] for stop, e in in_flight)
    evidence = (
        f"{len(stops)} VMs stopped with {own} requests in flight, "
        f"{len(in_flight) - own} at other VMs"
    )
    return verdict(NAME, own, evidence, _violations(record, in_flight))


def _in_flight(record: Record, stop: FaultEvent) -> Iterator[Event]:
    for event in record.events:
        if event.kind != "transaction" and event.sent_at <= stop.at < event.ended_at:
            yield event


def _violations(record: Record, in_flight: list[tuple[FaultEvent, Event]]) -> Iterator[str]:
    for program, status in record.exit_statuses.items():
        if status != 0:
            yield f"{program} ended with status {status}"
    for stop, event in in_flight:
        blamed = (CUT,) if _disrupted(record, stop) else (CUT, UNKNOWN)
        if event.outcome in blamed and not _reached_deadline(event):
            yield (
                f"{event.kind} {event.nonce} at {event.vm} was {event.outcome} ({event.problem})"
                f" when {stop.found['vm']} stopped"
            )


def _reached_deadline(event: Event) -> bool:
    """Whether the outcome is unknown because of the caller's own deadline."""
    spent_ms = (event.ended_at - event.sent_at) * 1000
    return event.deadline_ms > 0 and spent_ms >= DEADLINE_PART * event.deadline_ms


def _disrupted(record: Record, stop: FaultEvent) -> bool:
    """Whether another fault explains unknown outcomes; a cut connection it does not explain."""
    return any(
        fault.action in DISRUPTIVE and -DISRUPTED_S < fault.at - stop.at < DRAIN_S
        for fault in record.faults
    )
