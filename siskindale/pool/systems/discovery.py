"""Discovery: terms and primaries of the groups that the pool serves, by target status."""

from random import Random

from returns.result import Success

from siskindale.models.group import Role, TargetStatus, majority
from siskindale.pool.effects import Effect, ReportUnreachablePrimary, RequestStatus, StatusCompleted
from siskindale.pool.stages import TimerKind
from siskindale.pool.systems import acknowledgement, freshness, serving, timers
from siskindale.pool.tables import (
    GroupRow,
    PendingSampleRow,
    RequestRow,
    Tables,
    TargetRow,
)

# Can be long, because controllers announce a new primary and slow batches shorten the interval.
SETTLED_POLL_INTERVAL_S = 2.0
# Batches or confirmations that take long may mean that the primary is lost.
BUSY_POLL_INTERVAL_S = 0.25
UNSETTLED_POLL_INTERVAL_S = 0.05
POLL_TIMEOUT_S = 0.5
ANNOUNCEMENT_HOLD_S = 2.0
REPORT_INTERVAL_S = 0.1
AVOID_MIN_S = 0.05
AVOID_MAX_S = 1.0


def poll_targets(tables: Tables, group: GroupRow, now: float, random: Random) -> list[Effect]:
    """Requests the status of all targets and schedules the next poll."""
    if group.dropped:
        return []
    substituted = group.rank is None and now >= group.substitute_until
    if substituted and serving.drop_if_unused(tables, group, now):
        return []
    group.next_poll_at = now + poll_interval_s(group, now) * random.uniform(0.8, 1.0)
    timers.schedule(tables, group.next_poll_at, TimerKind.POLL, group)
    due = [t for t in group.targets.values() if not t.poll_in_flight]
    for target in due:
        target.poll_in_flight = True
    requests: list[Effect] = [RequestStatus(target, "poll", POLL_TIMEOUT_S) for target in due]
    return requests + _report_unreachable_primary(tables, group, now)


def _report_unreachable_primary(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Reports a primary that this pool cannot reach while it reaches a majority without it.

    Controllers that still reach the primary cannot detect that writes do not get through.
    """
    primary = group.primary
    if (
        primary is None
        or not primary.consecutive_failures
        or not primary.reached_at
        or not tables.bundle
    ):
        return []
    limit = tables.bundle.durations.loss_after_ms / 1000
    others = [t for name, t in group.targets.items() if name in group.voters and t is not primary]
    reached = sum(now - target.reached_at < limit for target in others)
    if now - primary.reached_at < limit or reached < majority(len(group.voters)):
        return []
    if now - group.last_report_at < REPORT_INTERVAL_S:
        return []
    group.last_report_at = now
    return [ReportUnreachablePrimary(group.name, group.term)]


def poll_interval_s(group: GroupRow, now: float) -> float:
    """Returns the time in seconds until the next poll; short without a writable primary."""
    unsettled = (
        not group.writable
        or group.highest_seen_term > group.term
        or group.unconfirmed_of_later_terms
    )
    if unsettled or (group.primary is not None and group.primary.consecutive_failures):
        return UNSETTLED_POLL_INTERVAL_S
    if group.announced_term > group.term and now - group.announced_at < ANNOUNCEMENT_HOLD_S:
        return UNSETTLED_POLL_INTERVAL_S
    if (
        group.unconfirmed_by_start
        or group.unconfirmed_by_position
        or any(t.running_batches for t in group.targets.values())
    ):
        return BUSY_POLL_INTERVAL_S
    return SETTLED_POLL_INTERVAL_S


def poll_soon(tables: Tables, group: GroupRow, now: float, within_s: float = 0.0) -> None:
    """Moves the next poll forward, unless it is due at about that time anyway."""
    due = now + within_s
    if due < group.next_poll_at - UNSETTLED_POLL_INTERVAL_S / 2:
        group.next_poll_at = due
        timers.schedule(tables, due, TimerKind.POLL, group)


def primary_announced(tables: Tables, group: GroupRow, term: int, now: float) -> None:
    """Polls at once if the announced term is newer; only the targets' answers are trusted."""
    if term > group.term:
        group.announced_term, group.announced_at = term, now
        poll_soon(tables, group, now)


def status_completed(tables: Tables, event: StatusCompleted, now: float) -> list[RequestRow]:
    """Processes the end of a status request; returns requests whose term a newer one ended."""
    target, group = event.target, event.target.group
    status = event.outcome.unwrap() if isinstance(event.outcome, Success) else None
    _clear_in_flight(target, event.purpose)
    ended: list[RequestRow] = []
    if status is None:
        avoid_target(target, now)
    else:
        target.consecutive_failures = 0
        target.reached_at = max(target.reached_at, event.sent_at)
        ended = apply_status(tables, target, status, event.sent_at, now)
    if isinstance(event.purpose, PendingSampleRow):
        freshness.sample_answered(group, event.purpose, target, status)
    tables.mark_dirty(group)
    return ended


def avoid_target(target: TargetRow, now: float) -> None:
    """Keeps reads and confirmations off a failed target, with exponential backoff."""
    target.consecutive_failures += 1
    target.avoided_until = now + min(
        AVOID_MAX_S, AVOID_MIN_S * 2 ** min(target.consecutive_failures - 1, 8)
    )


def _clear_in_flight(target: TargetRow, purpose: object) -> None:
    if purpose == "poll":
        target.poll_in_flight = False
    elif purpose == acknowledgement.ConfirmationPurpose.WAIT:
        target.wait_in_flight = False
    elif purpose == acknowledgement.ConfirmationPurpose.PROBE:
        target.probe_in_flight = False


def apply_status(
    tables: Tables, target: TargetRow, status: TargetStatus, sent_at: float, now: float
) -> list[RequestRow]:
    """Applies a target's status; a primary of a newer term replaces the known one."""
    group = target.group
    if group.targets.get(target.name) is not target or status.name != target.name:
        return []
    if sent_at >= target.status_sent_at:
        target.status, target.status_sent_at = status, sent_at
    group.highest_seen_term = max(group.highest_seen_term, status.term)
    ended: list[RequestRow] = []
    if status.role is Role.PRIMARY and status.term > group.term:
        ended = adopt_term(tables, group, target, status)
    if status.term == group.term:
        _apply_status_of_term(group, target, status, sent_at)
    elif status.term > group.term:
        poll_soon(tables, group, now, UNSETTLED_POLL_INTERVAL_S)
    return ended


def _apply_status_of_term(
    group: GroupRow, target: TargetRow, status: TargetStatus, sent_at: float
) -> None:
    if status.role is Role.FENCED:
        return
    if status.matched or status.role is Role.PRIMARY:
        acknowledgement.record_confirmation(target, status.log.position, sent_at)
    else:
        target.confirmed_at = max(target.confirmed_at, sent_at)
    if status.matched:
        target.applied_position = max(target.applied_position, status.applied_position)
    if not group.writable:
        group.writable = acknowledgement.marker_confirmed(group)


def adopt_term(
    tables: Tables, group: GroupRow, target: TargetRow, status: TargetStatus
) -> list[RequestRow]:
    """Switches to a newer term; returns the requests that waited for the old term's majority."""
    group.term = status.term
    group.primary = target
    group.voters = status.voters
    group.previous_voters = status.previous_voters
    group.marker_position = status.marker.position
    group.writable = False
    group.durable_position, group.majority_confirmed_at, group.schema_ready = -1, -1.0, False
    group.samples.clear()
    group.pending_sample = None
    for each in group.targets.values():
        each.matched_position, each.confirmed_at, each.applied_position = -1, -1.0, -1
    return acknowledgement.take_unconfirmed(group)
