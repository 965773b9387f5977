"""Promise 8: SIGTERM cuts no request in flight."""

from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import CUT, UNKNOWN, Event, FaultEvent, Record

NAME = "graceful shutdown"
# The entry answers a little before the deadline so that the answer arrives in time.
DEADLINE_FRACTION = 0.9
# Faults that can themselves make an outcome unknown. They explain unknown outcomes of a stop
# that they precede or follow by less than these times.
DISRUPTIVE_ACTIONS = {
    *("kill", "pause", "isolate", "target-faults", "platform"),
    *("kill-program", "pause-program", "restart"),
}
DISRUPTION_BEFORE_STOP_S = 15.0
DISRUPTION_AFTER_STOP_S = 5.0


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks the exit statuses and all requests in flight when a VM received SIGTERM."""
    stops = [f for f in record.faults if f.action == "terminate"]
    in_flight = [(stop, e) for stop in stops for e in _in_flight(record, stop)]
    at_stopped_vm = sum(e.vm == stop.found["vm"] for stop, e in in_flight)
    evidence = (
        f"{len(stops)} VMs stopped with {at_stopped_vm} requests in flight, "
        f"{len(in_flight) - at_stopped_vm} at other VMs"
    )
    return make_verdict(NAME, at_stopped_vm, evidence, _violations(record, in_flight))


def _in_flight(record: Record, stop: FaultEvent) -> Iterator[Event]:
    for event in record.events:
        if event.kind != "transaction" and event.sent_at <= stop.at < event.ended_at:
            yield event


def _violations(record: Record, in_flight: list[tuple[FaultEvent, Event]]) -> Iterator[str]:
    for program, status in record.exit_statuses.items():
        if status != 0:
            yield f"{program} ended with status {status}"
    for stop, event in in_flight:
        violating_outcomes = (CUT,) if _has_other_fault(record, stop) else (CUT, UNKNOWN)
        if event.outcome in violating_outcomes and not _reached_deadline(event):
            yield (
                f"{event.kind} {event.nonce} at {event.vm} was {event.outcome} ({event.problem})"
                f" when {stop.found['vm']} stopped"
            )


def _reached_deadline(event: Event) -> bool:
    """Whether the caller's own deadline explains an unknown outcome."""
    elapsed_ms = (event.ended_at - event.sent_at) * 1000
    return event.deadline_ms > 0 and elapsed_ms >= DEADLINE_FRACTION * event.deadline_ms


def _has_other_fault(record: Record, stop: FaultEvent) -> bool:
    """Whether another fault explains unknown outcomes; it never excuses a cut connection."""
    return any(
        fault.action in DISRUPTIVE_ACTIONS
        and -DISRUPTION_BEFORE_STOP_S < fault.at - stop.at < DISRUPTION_AFTER_STOP_S
        for fault in record.faults
    )
