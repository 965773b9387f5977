"""Limits on promotions of a group, which keep it from flapping."""

from siskindale.controller.tables import GroupRow, Tables

MAX_ATTEMPTS = 6
ATTEMPTS_WINDOW_S = 600.0


def may_promote(tables: Tables, row: GroupRow, since: float, now: float) -> bool:
    """Whether a promotion that is needed since a time may start."""
    return not hindrance(tables, row, since, now)


def hindrance(tables: Tables, row: GroupRow, since: float, now: float) -> str:
    """Returns why no promotion may start, empty if one may; failed and observed ones count.

    The delay by rank runs from the end of the minimum interval at the earliest: otherwise all
    controllers would start together once it has passed.
    """
    row.attempts = [at for at in row.attempts if now - at < ATTEMPTS_WINDOW_S]
    if row.name in tables.promotions:
        return "a promotion is in progress"
    if tables.draining:
        return "the program is draining"
    if len(row.attempts) >= MAX_ATTEMPTS:
        return f"{MAX_ATTEMPTS} promotions in {ATTEMPTS_WINDOW_S:g} s"
    last = max(row.attempts, default=float("-inf"))
    earliest = max(since, last + tables.durations.promotion_interval_ms / 1000)
    waiting = now < earliest + row.rank * tables.durations.rank_delay_ms / 1000
    return "minimum interval or delay by rank" if waiting else ""
