"""Targets that join, leave or stray: followers of the right primary, and voters one by one."""

from siskindale.controller import views
from siskindale.controller.effects import Effect, Operation, Record, TargetCall
from siskindale.controller.systems import limits, promotion
from siskindale.controller.tables import GroupRow, PromotionRow, Tables, TargetRow
from siskindale.models.group import Role, TargetStatus

FOLLOW_TIMEOUT_S = 0.5
FOLLOW_RETRY_S = 0.5
# A joining target may become a voter when it is this many entries behind: a majority with it then
# waits for less than one batch of shipping.
CATCH_UP_ENTRIES = 64
# The platform's list may be wrong, so by it alone the voters never become fewer.
MIN_VOTERS = 2


def run(tables: Tables, now: float) -> list[Effect]:
    """Repairs followers and starts the planned changes that are due."""
    return [e for row in list(tables.groups.values()) for e in _group(tables, row, now)]


def next_change(
    tables: Tables, row: GroupRow, primary: TargetStatus, now: float
) -> PromotionRow | None:
    """Returns the next planned promotion, changing the voters by at most one target."""
    gone = views.leaving(row, tables.leaving)
    wanted = _wanted(row, primary.voters, gone)
    joining = [v for v in wanted if v not in primary.voters and _caught_up(row, v, primary)]
    excess = [v for v in primary.voters if v not in wanted]
    if primary.name in gone or primary.name not in wanted:
        return _replace(row, primary, gone, excess, now)
    if joining:
        voters = tuple(v for v in wanted if v in (*primary.voters, joining[0]))
        return _planned(row, primary, f"{joining[0]} joins", (*voters, *excess), now)
    if excess:
        return _remove(row, primary, excess[0], now)
    return None


def _group(tables: Tables, row: GroupRow, now: float) -> list[Effect]:
    limit = tables.durations.loss_after_ms / 1000
    primary = views.serving_primary(row, now, limit)
    if primary is None or row.name in tables.promotions:
        row.needed_since = None
        return []
    repairs = [e for r in row.targets.values() for e in _repair(tables, row, r, primary, now)]
    return repairs + _change(tables, row, primary, now)


def _repair(
    tables: Tables, row: GroupRow, target: TargetRow, primary: TargetStatus, now: float
) -> list[Effect]:
    """Tells a target that responds but does not follow the primary to follow it."""
    status = target.status
    limit = tables.durations.loss_after_ms / 1000
    if status is None or not views.recent(target, now, limit) or not _strays(status, primary):
        target.stray_since = None
        return []
    if target.stray_since is None:
        target.stray_since = now
    due = target.stray_since + row.rank * tables.durations.rank_delay_ms / 1000
    if now < max(due, target.follow_at):
        return []
    target.follow_at = now + FOLLOW_RETRY_S
    call = TargetCall(
        row.name,
        target.target,
        Operation.FOLLOW,
        FOLLOW_TIMEOUT_S,
        term=primary.term,
        primary=row.targets[primary.name].target,
    )
    fields = {"target": status.name, "term": primary.term, "primary": primary.name}
    return [Record("follow-requested", row.name, {**fields, "old_term": status.term}), call]


def _strays(status: TargetStatus, primary: TargetStatus) -> bool:
    if status.name == primary.name or status.term > primary.term:
        return False
    follows = status.role is Role.REPLICA and status.primary == primary.name
    return not (follows and status.term == primary.term)


def _change(tables: Tables, row: GroupRow, primary: TargetStatus, now: float) -> list[Effect]:
    # A change of voters needs a marker that is known to be held by majorities of both sets.
    settled = primary.marker == row.committed
    planned = next_change(tables, row, primary, now) if settled else None
    if planned is None:
        row.needed_since = None
        return []
    if row.needed_since is None:
        row.needed_since = now
    if not limits.may_promote(tables, row, row.needed_since, now):
        return []
    return promotion.start(tables, row, planned, now)


def _wanted(row: GroupRow, present: tuple[str, ...], gone: frozenset[str]) -> tuple[str, ...]:
    """Returns the voters that bundle and platform ask for."""
    by_bundle = row.group.voters
    kept = tuple(v for v in by_bundle if v not in gone)
    if len(kept) >= min(MIN_VOTERS, len(by_bundle)):
        return kept
    return tuple(v for v in by_bundle if v in present)


def _caught_up(row: GroupRow, name: str, primary: TargetStatus) -> bool:
    found = row.targets.get(name)
    status = found.status if found else None
    if status is None or status.term != primary.term or not status.matched:
        return False
    return primary.log.position - status.log.position <= CATCH_UP_ENTRIES


def _replace(
    row: GroupRow, primary: TargetStatus, gone: frozenset[str], excess: list[str], now: float
) -> PromotionRow | None:
    """Replaces a primary that leaves, once a target that stays and a majority can take over."""
    remaining = tuple(v for v in primary.voters if v != primary.name)
    ready = [v for v in remaining if _caught_up(row, v, primary)]
    if not set(ready) - gone or not views.has_majority(ready, remaining):
        return None
    voters = remaining if primary.name in excess else primary.voters
    reason = f"primary {primary.name} leaves"
    return _planned(row, primary, reason, voters, now, gone | {primary.name})


def _remove(row: GroupRow, primary: TargetStatus, name: str, now: float) -> PromotionRow | None:
    remaining = tuple(v for v in primary.voters if v != name)
    ready = [v for v in remaining if v == primary.name or _caught_up(row, v, primary)]
    if not views.has_majority(ready, remaining):
        return None
    return _planned(row, primary, f"{name} leaves", remaining, now, frozenset({name}))


def _planned(
    row: GroupRow,
    primary: TargetStatus,
    reason: str,
    voters: tuple[str, ...],
    now: float,
    avoid: frozenset[str] = frozenset(),
) -> PromotionRow:
    return PromotionRow(
        row.name,
        0,
        reason,
        now,
        voters=voters,
        base=primary.marker,
        avoid=avoid | views.without_vote(row),
        preferred="" if primary.name in avoid else primary.name,
    )
