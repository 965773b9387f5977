"""Limits on promotions of a group, which keep it from flapping."""

from siskindale.controller.tables import GroupRow, Tables

MAX_ATTEMPTS = 6
ATTEMPTS_WINDOW_S = 600.0


def may_promote(tables: Tables, row: GroupRow, now: float) -> bool:
    """Whether another promotion may start; failed and observed ones count."""
    row.attempts = [at for at in row.attempts if now - at < ATTEMPTS_WINDOW_S]
    if row.name in tables.promotions or tables.draining:
        return False
    return len(row.attempts) < MAX_ATTEMPTS and now >= earliest(tables, row)


def earliest(tables: Tables, row: GroupRow) -> float:
    """Returns the time at which the minimum interval has passed."""
    last = max(row.attempts, default=float("-inf"))
    return last + tables.durations.promotion_interval_ms / 1000
