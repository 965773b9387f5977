"""Limits on promotions of a group, which keep it from flapping."""

from siskindale.controller.tables import GroupRow, Tables

MAX_ATTEMPTS = 6
ATTEMPTS_WINDOW_S = 600.0


def may_promote(tables: Tables, row: GroupRow, since: float, now: float) -> bool:
    """Whether a promotion that is needed since a time may start; failed and observed ones count.

    The delay by rank runs from the end of the minimum interval at the earliest: otherwise all
    controllers would start together once it has passed.
    """
    row.attempts = [at for at in row.attempts if now - at < ATTEMPTS_WINDOW_S]
    if row.name in tables.promotions or tables.draining or len(row.attempts) >= MAX_ATTEMPTS:
        return False
    last = max(row.attempts, default=float("-inf"))
    earliest = max(since, last + tables.durations.promotion_interval_ms / 1000)
    return now >= earliest + row.rank * tables.durations.rank_delay_ms / 1000
