"""Rate limits on the promotions of a group, against flapping."""

from siskindale.controller.tables import GroupRow, Tables

MAX_PROMOTIONS = 6
PROMOTIONS_WINDOW_S = 600.0


def may_promote(tables: Tables, row: GroupRow, since: float, now: float) -> bool:
    """Whether a promotion that has been needed since `since` may start."""
    return not blocked_reason(tables, row, since, now)


def blocked_reason(tables: Tables, row: GroupRow, since: float, now: float) -> str:
    """Returns why no promotion may start, empty if one may.

    Failed promotions and those of other controllers count too. The delay by rank starts at the end
    of the minimum interval at the earliest; otherwise all controllers would start together then.
    """
    row.promotion_times = [at for at in row.promotion_times if now - at < PROMOTIONS_WINDOW_S]
    if row.name in tables.promotions:
        return "a promotion is in progress"
    if tables.draining:
        return "the program is draining"
    if len(row.promotion_times) >= MAX_PROMOTIONS:
        return f"{MAX_PROMOTIONS} promotions in {PROMOTIONS_WINDOW_S:g} s"
    last = max(row.promotion_times, default=float("-inf"))
    earliest = max(since, last + tables.durations.promotion_interval_ms / 1000)
    waiting = now < earliest + row.rank * tables.durations.rank_delay_ms / 1000
    return "minimum interval or delay by rank" if waiting else ""
