"""Targets that join, leave or do not follow the primary.

Voters are added and removed one at a time, each by a planned promotion.
"""

from siskindale.controller import views
from siskindale.controller.effects import Effect, LogEvent, Operation, TargetCall
from siskindale.controller.systems import limits, promotion
from siskindale.controller.tables import GroupRow, PromotionRow, Tables, TargetRow
from siskindale.models.group import Role, TargetStatus

FOLLOW_TIMEOUT_S = 0.5
FOLLOW_RETRY_S = 0.5
# A joining target may become a voter when it lags by at most this many entries: a majority that
# includes it then waits for less than one shipped batch.
MAX_VOTER_LAG_ENTRIES = 64
# The platform's list of leaving targets may be wrong; it alone never reduces the voters below this.
MIN_VOTERS = 2


def run(tables: Tables, now: float) -> list[Effect]:
    """Redirects targets to their primary and starts the planned voter changes that are due."""
    return [e for row in list(tables.groups.values()) for e in _update_group(tables, row, now)]


def next_voter_change(
    tables: Tables, row: GroupRow, primary: TargetStatus, now: float
) -> PromotionRow | None:
    """Returns the next planned promotion, which changes the voters by at most one target."""
    leaving = views.leaving_targets(row, tables.leaving)
    wanted = _wanted_voters(row, primary.voters, leaving)
    joining = [v for v in wanted if v not in primary.voters and _is_caught_up(row, v, primary)]
    excess = [v for v in primary.voters if v not in wanted]
    if primary.name in leaving or primary.name not in wanted:
        return _replace_primary(row, primary, leaving, excess, now)
    if joining:
        voters = tuple(v for v in wanted if v in (*primary.voters, joining[0]))
        return _planned_promotion(row, primary, f"{joining[0]} joins", (*voters, *excess), now)
    if excess:
        return _remove_voter(row, primary, excess[0], now)
    return None


def _update_group(tables: Tables, row: GroupRow, now: float) -> list[Effect]:
    limit = tables.durations.loss_after_ms / 1000
    primary = views.serving_primary(row, now, limit)
    if primary is None or row.name in tables.promotions:
        row.change_needed_since = None
        return []
    repairs = [
        e for r in row.targets.values() for e in _repair_follower(tables, row, r, primary, now)
    ]
    return repairs + _start_voter_change(tables, row, primary, now)


def _repair_follower(
    tables: Tables, row: GroupRow, target: TargetRow, primary: TargetStatus, now: float
) -> list[Effect]:
    """Orders a target that responds but does not follow the primary to follow it."""
    status = target.status
    limit = tables.durations.loss_after_ms / 1000
    if (
        status is None
        or not views.answered_recently(target, now, limit)
        or not _must_follow(status, primary)
    ):
        target.not_following_since = None
        return []
    if target.not_following_since is None:
        target.not_following_since = now
    due = target.not_following_since + row.rank * tables.durations.rank_delay_ms / 1000
    if now < max(due, target.next_follow_at):
        return []
    target.next_follow_at = now + FOLLOW_RETRY_S
    call = TargetCall(
        row.name,
        target.target,
        Operation.FOLLOW,
        FOLLOW_TIMEOUT_S,
        term=primary.term,
        primary=row.targets[primary.name].target,
    )
    fields = {"target": status.name, "term": primary.term, "primary": primary.name}
    return [LogEvent("follow-requested", row.name, {**fields, "old_term": status.term}), call]


def _must_follow(status: TargetStatus, primary: TargetStatus) -> bool:
    if status.name == primary.name or status.term > primary.term:
        return False
    follows = status.role is Role.REPLICA and status.primary == primary.name
    return not (follows and status.term == primary.term)


def _start_voter_change(
    tables: Tables, row: GroupRow, primary: TargetStatus, now: float
) -> list[Effect]:
    # A change of voters must start from a marker known to be on majorities of both voter sets.
    settled = primary.marker == row.committed_marker
    planned = next_voter_change(tables, row, primary, now) if settled else None
    if planned is None:
        row.change_needed_since = None
        return []
    if row.change_needed_since is None:
        row.change_needed_since = now
    if not limits.may_promote(tables, row, row.change_needed_since, now):
        return []
    return promotion.start(tables, row, planned, now)


def _wanted_voters(
    row: GroupRow, present: tuple[str, ...], leaving: frozenset[str]
) -> tuple[str, ...]:
    """Returns the voters that the bundle and the platform ask for."""
    by_bundle = row.group.voters
    kept = tuple(v for v in by_bundle if v not in leaving)
    if len(kept) >= min(MIN_VOTERS, len(by_bundle)):
        return kept
    return tuple(v for v in by_bundle if v in present)


def _is_caught_up(row: GroupRow, name: str, primary: TargetStatus) -> bool:
    target = row.targets.get(name)
    status = target.status if target else None
    if status is None or status.term != primary.term or not status.matched:
        return False
    return primary.log.position - status.log.position <= MAX_VOTER_LAG_ENTRIES


def _replace_primary(
    row: GroupRow, primary: TargetStatus, leaving: frozenset[str], excess: list[str], now: float
) -> PromotionRow | None:
    """Returns the promotion that replaces a leaving primary.

    None until a majority of the remaining voters, and among them one that stays, has caught up.
    """
    remaining = tuple(v for v in primary.voters if v != primary.name)
    ready = [v for v in remaining if _is_caught_up(row, v, primary)]
    if not set(ready) - leaving or not views.has_majority(ready, remaining):
        return None
    voters = remaining if primary.name in excess else primary.voters
    reason = f"primary {primary.name} leaves"
    return _planned_promotion(row, primary, reason, voters, now, leaving | {primary.name})


def _remove_voter(
    row: GroupRow, primary: TargetStatus, name: str, now: float
) -> PromotionRow | None:
    remaining = tuple(v for v in primary.voters if v != name)
    ready = [v for v in remaining if v == primary.name or _is_caught_up(row, v, primary)]
    if not views.has_majority(ready, remaining):
        return None
    return _planned_promotion(row, primary, f"{name} leaves", remaining, now, frozenset({name}))


def _planned_promotion(
    row: GroupRow,
    primary: TargetStatus,
    reason: str,
    voters: tuple[str, ...],
    now: float,
    avoided: frozenset[str] = frozenset(),
) -> PromotionRow:
    return PromotionRow(
        row.name,
        0,
        reason,
        now,
        voters=voters,
        base_marker=primary.marker,
        avoided=avoided | views.non_voters(row),
        preferred_primary="" if primary.name in avoided else primary.name,
    )
