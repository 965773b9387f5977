"""First promotion of a new group, whose targets have never had a primary."""

from siskindale.controller import views
from siskindale.controller.effects import Effect
from siskindale.controller.systems import limits, promotion
from siskindale.controller.tables import GroupRow, PromotionRow, Tables


def run(tables: Tables, now: float) -> list[Effect]:
    """Starts the first promotion of each new group, in order of rank."""
    return [e for row in list(tables.groups.values()) for e in _bootstrap_group(tables, row, now)]


def _bootstrap_group(tables: Tables, row: GroupRow, now: float) -> list[Effect]:
    since = max(row.created_at, row.highest_term_at)
    if not _is_new(tables, row, now) or not limits.may_promote(tables, row, since, now):
        return []
    planned = PromotionRow(row.name, 0, "new group", now, voters=row.group.voters)
    return promotion.start(tables, row, planned, now)


def _is_new(tables: Tables, row: GroupRow, now: float) -> bool:
    """Whether all targets respond and none has a marker; one that does not respond may have one."""
    limit = tables.durations.loss_after_ms / 1000
    all_respond = bool(row.targets) and all(
        views.answered_recently(r, now, limit) for r in row.targets.values()
    )
    return all_respond and views.newest_marker(row) is None
