"""Probes of all targets of the controlled groups, and the statuses they bring."""

from siskindale.controller import views
from siskindale.controller.effects import Effect, Operation, TargetCall
from siskindale.controller.tables import GroupRow, Tables, TargetRow
from siskindale.models.group import Role, TargetStatus


def run(tables: Tables, now: float) -> list[Effect]:
    """Returns the probes that are due; a target has at most one outstanding."""
    _note_pause(tables, now)
    rows = (t for g in tables.groups.values() for t in g.targets.values())
    return [_probe(tables, row, now) for row in rows if not row.probing and row.probe_at <= now]


def next_at(tables: Tables) -> float | None:
    """Returns the time of the next probe."""
    rows = (t for g in tables.groups.values() for t in g.targets.values() if not t.probing)
    return min((row.probe_at for row in rows), default=None)


def observe(
    tables: Tables, group: str, name: str, status: TargetStatus, sent_at: float, now: float
) -> None:
    """Takes a status over unless a newer request was answered before."""
    row = tables.groups.get(group)
    target = row.targets.get(name) if row else None
    if row is None or target is None or sent_at < target.answered_at:
        return
    previous = target.status
    target.status, target.answered_at = status, sent_at
    _note_heard(target, previous, sent_at)
    _note_term(tables, row, status.term, now)
    views.update_committed(row)


def hasten(tables: Tables, group: str) -> None:
    """Probes the targets of a group at once."""
    row = tables.groups.get(group)
    for target in row.targets.values() if row else ():
        target.probe_at = 0.0


def _probe(tables: Tables, row: TargetRow, now: float) -> TargetCall:
    row.probing = True
    row.probe_at = now + tables.durations.probe_interval_ms / 1000
    timeout_s = tables.durations.probe_timeout_ms / 1000
    return TargetCall(row.group, row.target, Operation.STATUS, timeout_s)


def _note_pause(tables: Tables, now: float) -> None:
    # Without this a controller that was paused would take every primary for lost on waking up.
    limit = max(tables.durations.loss_after_ms / 2, 2 * tables.durations.probe_interval_ms) / 1000
    if tables.ticked_at is None or now - tables.ticked_at > limit:
        tables.awake_since = now
    tables.ticked_at = now


def _note_heard(target: TargetRow, previous: TargetStatus | None, sent_at: float) -> None:
    status = target.status
    if status is None:
        return
    if previous is None or previous.term != status.term:
        target.heard_at = sent_at
    if status.role is Role.REPLICA and status.primary_heard_ms is not None:
        target.heard_at = sent_at - status.primary_heard_ms / 1000


def _note_term(tables: Tables, row: GroupRow, term: int, now: float) -> None:
    if term <= row.top_term:
        return
    first = row.top_term == 0
    row.top_term, row.top_term_at = term, now
    own = tables.promotions.get(row.name)
    if not first and (own is None or own.term != term):
        row.attempts.append(now)
