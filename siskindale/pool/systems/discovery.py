"""Discovery: which groups the pool serves, their terms and primaries, as the targets report."""

from random import Random

from returns.result import Success

from siskindale.models.bundle import Group, TargetState
from siskindale.models.group import Role, TargetStatus, majority
from siskindale.pool.effects import AskStatus, Effect, ReportPrimary, StatusEnded
from siskindale.pool.systems import acknowledgement, connections, freshness, timers
from siskindale.pool.tables import (
    GroupRow,
    Lane,
    QueueRow,
    RequestRow,
    SamplingRow,
    Tables,
    TargetRow,
    TimerKind,
)

# Controllers announce a new primary, and batches that take long shorten the interval.
POLL_SETTLED_S = 2.0
# While batches or confirmations take long, the primary may be lost.
POLL_SUSPICIOUS_S = 0.25
POLL_UNSETTLED_S = 0.05
POLL_TIMEOUT_S = 0.5
NOTICE_HOLD_S = 2.0
SUBSTITUTE_S = 30.0
REPORT_INTERVAL_S = 0.1
AVOID_MIN_S = 0.05
AVOID_MAX_S = 1.0


def refresh(tables: Tables, now: float) -> None:
    """Creates, updates and drops group rows after a change of the bundle or the directory."""
    assert tables.bundle is not None
    for definition in tables.bundle.groups:
        rank = own_rank(tables, definition.name, ())
        row = tables.groups.get(definition.name)
        if rank is not None and rank < tables.bundle.pools_per_group:
            serve(tables, definition, rank, now)
        elif row is not None:
            row.rank = None
            update(tables, row, definition, row.substitute_rank, now)
    for name in [n for n, row in tables.groups.items() if _is_unused(tables, row, now)]:
        _drop(tables, name)


def own_rank(tables: Tables, group: str, excluded: tuple[str, ...]) -> int | None:
    """Returns the pool's place among the pools of a group without the excluded ones."""
    order = [vm for vm in tables.ranks.get(group, ()) if vm not in excluded]
    return order.index(tables.settings.vm) if tables.settings.vm in order else None


def serve(tables: Tables, definition: Group, rank: int, now: float) -> GroupRow:
    """Makes the pool serve a group at a rank."""
    row = tables.groups.get(definition.name)
    if row is None:
        row = tables.groups[definition.name] = GroupRow(definition)
        timers.schedule(tables, now, TimerKind.POLL, row)
    row.rank = rank
    update(tables, row, definition, rank, now)
    return row


def substitute(tables: Tables, definition: Group, rank: int, now: float) -> GroupRow:
    """Serves a group for a while in place of pools that an entry found dead."""
    row = tables.groups.get(definition.name)
    if row is None:
        row = serve(tables, definition, rank, now)
        row.rank = None
    row.substitute_rank = rank
    row.substitute_until = now + SUBSTITUTE_S
    return row


def update(tables: Tables, row: GroupRow, definition: Group, rank: int, now: float) -> None:
    """Applies a group's definition: targets, shares and queues."""
    assert tables.bundle is not None
    row.definition = definition
    names = {target.name for target in definition.targets}
    for name in [name for name in row.targets if name not in names]:
        del row.targets[name]
    for target in definition.targets:
        held = row.targets.get(target.name)
        if held is None or held.definition.data != target.data:
            held = row.targets[target.name] = TargetRow(target, row)
        held.definition = target
        held.slots = connections.share(target.slots, tables.bundle.pools_per_group, rank)
        held.connections = connections.share(
            target.connections, tables.bundle.pools_per_group, rank
        )
        held.distance = int(target.failure_domain != tables.settings.failure_domain)
        _mark_leaving(tables, held, now)
    if row.primary is not None and row.targets.get(row.primary.name) is not row.primary:
        row.primary = row.targets.get(row.primary.name)
    _update_queues(tables, row)
    tables.touch(row)


def _mark_leaving(tables: Tables, target: TargetRow, now: float) -> None:
    leaving = target.definition.state is TargetState.LEAVING or target.name in tables.leaving
    if not leaving:
        target.leaving_since = None
    elif target.leaving_since is None:
        target.leaving_since = now
        timers.schedule(tables, now + connections.LEAVING_PRIMARY_S, TimerKind.OPEN, target.group)


def _update_queues(tables: Tables, row: GroupRow) -> None:
    assert tables.bundle is not None
    for lane in Lane:
        old = row.queues.get(lane, {})
        new = {
            c.name: old.pop(c.name) if c.name in old else QueueRow(c) for c in tables.bundle.classes
        }
        for entry in tables.bundle.classes:
            new[entry.name].statement_class = entry
        # Classes that left the bundle keep their queues until the group is dropped, as requests may
        # come back to them; there are few.
        row.queues[lane] = new | old


def _is_unused(tables: Tables, row: GroupRow, now: float) -> bool:
    if row.name in tables.definitions and (row.rank is not None or now < row.substitute_until):
        return False
    busy = any(
        connection.busy or connection.transaction
        for t in row.targets.values()
        for connection in t.open.values()
    )
    return not busy and not any(q.live for lane in row.queues.values() for q in lane.values())


def _drop(tables: Tables, name: str) -> None:
    row = tables.groups[name]
    for target in row.targets.values():
        target.connections = 0
    # Connections close in the next pass of the connection system over the touched group.
    tables.touch(row)
    row.dropped = True
    del tables.groups[name]


def poll(tables: Tables, group: GroupRow, now: float, random: Random) -> list[Effect]:
    """Requests the status of all targets and schedules the next time."""
    if group.dropped:
        return []
    if group.rank is None and now >= group.substitute_until and _is_unused(tables, group, now):
        _drop(tables, group.name)
        return []
    group.poll_due = now + interval(group, now) * random.uniform(0.8, 1.0)
    timers.schedule(tables, group.poll_due, TimerKind.POLL, group)
    due = [t for t in group.targets.values() if not t.polling]
    for target in due:
        target.polling = True
    questions: list[Effect] = [AskStatus(target, "poll", POLL_TIMEOUT_S) for target in due]
    return questions + _report(tables, group, now)


def _report(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Reports a primary that this pool does not reach while it reaches a majority without it.

    Controllers that still reach the primary cannot see that no write gets through.
    """
    primary = group.primary
    if primary is None or not primary.failures or not primary.reached_at or not tables.bundle:
        return []
    limit = tables.bundle.durations.loss_after_ms / 1000
    others = [t for name, t in group.targets.items() if name in group.voters and t is not primary]
    reached = sum(now - target.reached_at < limit for target in others)
    if now - primary.reached_at < limit or reached < majority(len(group.voters)):
        return []
    if now - group.reported_at < REPORT_INTERVAL_S:
        return []
    group.reported_at = now
    return [ReportPrimary(group.name, group.term)]


def interval(group: GroupRow, now: float) -> float:
    """Returns the time in seconds to the next poll; short while there is no writable primary."""
    unsettled = not group.writable or group.highest_term > group.term or group.later_terms
    if unsettled or (group.primary is not None and group.primary.failures):
        return POLL_UNSETTLED_S
    if group.noticed_term > group.term and now - group.noticed_at < NOTICE_HOLD_S:
        return POLL_UNSETTLED_S
    if group.by_since or group.by_position or any(t.running for t in group.targets.values()):
        return POLL_SUSPICIOUS_S
    return POLL_SETTLED_S


def poll_soon(tables: Tables, group: GroupRow, now: float, within_s: float = 0.0) -> None:
    """Brings the next poll forward."""
    due = now + within_s
    if due < group.poll_due - POLL_UNSETTLED_S / 2:
        group.poll_due = due
        timers.schedule(tables, due, TimerKind.POLL, group)


def noticed(tables: Tables, group: GroupRow, term: int, now: float) -> None:
    """Polls at once after a notice of a newer term; only the targets' answers count."""
    if term > group.term:
        group.noticed_term, group.noticed_at = term, now
        poll_soon(tables, group, now)


def answered(tables: Tables, event: StatusEnded, now: float) -> list[RequestRow]:
    """Takes a status answer in; returns the requests whose term a newer one has ended."""
    target, group = event.target, event.target.group
    status = event.outcome.unwrap() if isinstance(event.outcome, Success) else None
    _clear_channel(target, event.purpose)
    ended: list[RequestRow] = []
    if status is None:
        avoid(target, now)
    else:
        target.failures = 0
        target.reached_at = max(target.reached_at, event.sent_at)
        ended = observe(tables, target, status, event.sent_at, now)
    if isinstance(event.purpose, SamplingRow):
        freshness.answered(group, event.purpose, target, status)
    tables.touch(group)
    return ended


def avoid(target: TargetRow, now: float) -> None:
    """Keeps reads and confirmations away from a target that failed, longer each time."""
    target.failures += 1
    target.avoided_until = now + min(AVOID_MAX_S, AVOID_MIN_S * 2 ** min(target.failures - 1, 8))


def _clear_channel(target: TargetRow, purpose: object) -> None:
    if purpose == "poll":
        target.polling = False
    elif purpose == acknowledgement.Purpose.WAIT:
        target.waiting = False
    elif purpose == acknowledgement.Purpose.PROBE:
        target.probing = False


def observe(
    tables: Tables, target: TargetRow, status: TargetStatus, sent_at: float, now: float
) -> list[RequestRow]:
    """Takes a target's status in; a primary of a newer term replaces the known one."""
    group = target.group
    if group.targets.get(target.name) is not target or status.name != target.name:
        return []
    if sent_at >= target.status_at:
        target.status, target.status_at = status, sent_at
    group.highest_term = max(group.highest_term, status.term)
    ended: list[RequestRow] = []
    if status.role is Role.PRIMARY and status.term > group.term:
        ended = adopt(tables, group, target, status)
    if status.term == group.term:
        _observe_term(group, target, status, sent_at)
    elif status.term > group.term:
        poll_soon(tables, group, now, POLL_UNSETTLED_S)
    return ended


def _observe_term(group: GroupRow, target: TargetRow, status: TargetStatus, sent_at: float) -> None:
    if status.role is Role.FENCED:
        return
    if status.matched or status.role is Role.PRIMARY:
        acknowledgement.note(target, status.log.position, sent_at)
    else:
        target.confirmed_at = max(target.confirmed_at, sent_at)
    if status.matched:
        target.applied = max(target.applied, status.applied_position)
    if not group.writable:
        group.writable = acknowledgement.marker_confirmed(group)


def adopt(
    tables: Tables, group: GroupRow, target: TargetRow, status: TargetStatus
) -> list[RequestRow]:
    """Starts a newer term; returns the requests that waited for the old one's majority."""
    group.term = status.term
    group.primary = target
    group.voters = status.voters
    group.previous_voters = status.previous_voters
    group.marker = status.marker.position
    group.writable = False
    group.durable, group.fresh_since, group.schema_ready = -1, -1.0, False
    group.samples.clear()
    group.sampling = None
    for each in group.targets.values():
        each.held, each.confirmed_at, each.applied = -1, -1.0, -1
    return acknowledgement.superseded(group)
