"""Probes of all targets of the controlled groups, and recording of their statuses."""

from siskindale.controller import views
from siskindale.controller.effects import Effect, Operation, TargetCall
from siskindale.controller.tables import GroupRow, Tables, TargetRow
from siskindale.models.group import Role, TargetStatus


def run(tables: Tables, now: float) -> list[Effect]:
    """Returns the probes that are due; a target has at most one in flight."""
    _detect_pause(tables, now)
    rows = (t for g in tables.groups.values() for t in g.targets.values())
    return [
        _start_probe(tables, row, now)
        for row in rows
        if not row.probe_in_flight and row.next_probe_at <= now
    ]


def next_due_at(tables: Tables) -> float | None:
    """Returns the time of the next probe."""
    rows = (t for g in tables.groups.values() for t in g.targets.values() if not t.probe_in_flight)
    return min((row.next_probe_at for row in rows), default=None)


def record_status(
    tables: Tables, group: str, name: str, status: TargetStatus, sent_at: float, now: float
) -> None:
    """Records a status unless the answer to a later request was recorded before."""
    row = tables.groups.get(group)
    target = row.targets.get(name) if row else None
    if row is None or target is None or sent_at < target.status_requested_at:
        return
    previous = target.status
    target.status, target.status_requested_at = status, sent_at
    _update_primary_heard_at(target, previous, sent_at)
    _update_highest_term(tables, row, status.term, now)
    views.update_committed_marker(row)


def probe_now(tables: Tables, group: str) -> None:
    """Makes the probes of a group due at once."""
    row = tables.groups.get(group)
    for target in row.targets.values() if row else ():
        target.next_probe_at = 0.0


def _start_probe(tables: Tables, row: TargetRow, now: float) -> TargetCall:
    row.probe_in_flight = True
    row.next_probe_at = now + tables.durations.probe_interval_ms / 1000
    timeout_s = tables.durations.probe_timeout_ms / 1000
    return TargetCall(row.group, row.target, Operation.STATUS, timeout_s)


def _detect_pause(tables: Tables, now: float) -> None:
    # Otherwise a controller that was paused would consider every primary lost when it resumes.
    limit = max(tables.durations.loss_after_ms / 2, 2 * tables.durations.probe_interval_ms) / 1000
    if tables.last_tick_at is None or now - tables.last_tick_at > limit:
        tables.resumed_at = now
    tables.last_tick_at = now


def _update_primary_heard_at(
    target: TargetRow, previous: TargetStatus | None, sent_at: float
) -> None:
    status = target.status
    if status is None:
        return
    if previous is None or previous.term != status.term:
        target.primary_heard_at = sent_at
    if status.role is Role.REPLICA and status.primary_heard_ms is not None:
        target.primary_heard_at = sent_at - status.primary_heard_ms / 1000


def _update_highest_term(tables: Tables, row: GroupRow, term: int, now: float) -> None:
    if term <= row.highest_term:
        return
    first = row.highest_term == 0
    row.highest_term, row.highest_term_at = term, now
    own = tables.promotions.get(row.name)
    if not first and (own is None or own.term != term):
        row.promotion_times.append(now)
