"""Checks of a soak's record, one for each promise; each returns the violations that it finds."""

import signal
from collections.abc import Callable, Iterator

from bench.soak.history import Record, Request, VmEvent
from siskindale.registry import Registry

# Errors by which nothing of a request is kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"})
GRACE_S = 4.0
# A request that is sent earlier may still be at work at a target when the grace period ends.
LATE_AFTER_SIGTERM_S = GRACE_S / 2
RECOVERY_SHARE = 0.75
# Time after the last trouble in which requests may still fail.
RECOVERY_S = 8.0
# The interpreter takes some tens of milliseconds until it runs the program.
INTERPRETER_START_S = 0.1
# Kinds of events by the exit statuses of processes that their signals end.
EARLY_SIGNALS: dict[int | None, str] = {-signal.SIGTERM: "sigterm", -signal.SIGHUP: "sighup"}
# Longer than a statement, a grace period or a pause lasts.
UNDISTURBED_S = 6.0

Check = Callable[[Record], Iterator[str]]
CHECKS: Registry[Check] = Registry("check of a soak")


@CHECKS.register("at-most-once")
def at_most_once(record: Record) -> Iterator[str]:
    """No write runs twice for one request."""
    writes = {request.id: request for request in record.requests if request.kind == "write"}
    for request_id, count in record.runs.items():
        if count > 1 and request_id in writes:
            yield f"{request_id.decode()} ran {count} times"


@CHECKS.register("acknowledged-commits")
def acknowledged_commits(record: Record) -> Iterator[str]:
    """No promotion with synchronous replicas loses an acknowledged commit."""
    for promotion in record.promotions:
        if promotion.synchronous_replicas and promotion.lost:
            yield f"{promotion.group} term {promotion.term} lacks {len(promotion.lost)} commits"


@CHECKS.register("own-reads")
def own_reads(record: Record) -> Iterator[str]:
    """A read of a session sees the session's last commit in its group."""
    for request in record.requests:
        if request.kind == "read" and request.succeeded and request.value < request.expected:
            yield (
                f"{request.id.decode()} at {request.vm} saw {request.value} of {request.item}, "
                f"not {request.expected}"
            )


@CHECKS.register("whole-answers")
def whole_answers(record: Record) -> Iterator[str]:
    """A request is answered, unless its VM was killed or paused.

    While a VM stops, that holds for those that it has passed on to a target.
    """
    for request in record.requests:
        if request.answered_at is not None or request.sent_at > record.ended_at - UNDISTURBED_S:
            continue
        stopped_at = _stopped_at(record, request)
        if stopped_at is not None and request.id in record.runs:
            yield f"{request.id.decode()} sent {request.sent_at - stopped_at:.2f} s after SIGTERM"
        if not any(
            event.vm == request.vm and abs(event.at - request.sent_at) < UNDISTURBED_S
            for event in record.vm_events
            if event.kind != "sighup"
        ):
            yield f"{request.id.decode()} at {request.vm}, which nothing disturbed"


def _stopped_at(record: Record, request: Request) -> float | None:
    """Returns when the request's VM got SIGTERM, if nothing else explains its silence."""
    events = [
        e
        for e in record.vm_events
        if e.vm == request.vm and e.at <= request.sent_at + GRACE_S
        if e.kind not in ("ended", "sighup")
    ]
    last = max(events, key=lambda event: event.at, default=None)
    if last is None or last.kind != "sigterm":
        return None
    late = LATE_AFTER_SIGTERM_S < request.sent_at - last.at < GRACE_S
    return last.at if late else None


@CHECKS.register("not-run")
def not_run(record: Record) -> Iterator[str]:
    """A write that was answered as not kept is in no log."""
    for request in record.requests:
        if request.kind == "write" and request.error in PROMISES and request.id in record.stored:
            yield f"{request.id.decode()} was answered {request.error} and is stored"


@CHECKS.register("no-own-ends")
def no_own_ends(record: Record) -> Iterator[str]:
    """No process ends by itself, or otherwise than by status 0 after SIGTERM.

    A process that gets SIGTERM or SIGHUP before its program runs has opened nothing, and ends by
    the signal.
    """
    for event in record.vm_events:
        if event.kind == "ended" and event.status != 0 and not _ended_before_it_ran(record, event):
            yield f"{event.vm} ended with status {event.status}"


def _ended_before_it_ran(record: Record, ended: VmEvent) -> bool:
    signal_kind = EARLY_SIGNALS.get(ended.status)
    events = [e for e in record.vm_events if e.vm == ended.vm and e.at < ended.at]
    kinds = [event.kind for event in events[-2:]]
    return kinds == ["started", signal_kind] and events[-1].at - events[-2].at < INTERPRETER_START_S


@CHECKS.register("no-failed-tasks")
def no_failed_tasks(record: Record) -> Iterator[str]:
    """No long-lived task, session or message fails by an exception."""
    for vm, log in record.logs.items():
        for line in log.splitlines():
            if "Traceback" in line or "-failed" in line and "level=error" in line:
                yield f"{vm}: {line[:300]}"


@CHECKS.register("recovery")
def recovery(record: Record) -> Iterator[str]:
    """Requests are served again some time after the last trouble."""
    since = record.calm_since + RECOVERY_S
    late = [request for request in record.requests if since <= request.sent_at]
    served = sum(request.succeeded for request in late)
    if served < RECOVERY_SHARE * len(late) or not late:
        yield f"{served} of {len(late)} requests served later than {RECOVERY_S:.0f} s"


def run_checks(record: Record) -> dict[str, list[str]]:
    """Returns the violations of each check that finds any."""
    found = {name: list(CHECKS.get(name)(record)) for name in CHECKS.names}
    return {name: violations for name, violations in found.items() if violations}
