"""Timers: a heap of pending actions, ordered by due time."""

import heapq
from typing import Any

from siskindale.pool.stages import TimerKind
from siskindale.pool.tables import Tables


def schedule(tables: Tables, due: float, kind: TimerKind, subject: Any) -> None:
    """Adds a timer; `subject` is the row that it concerns, or the number of a request."""
    heapq.heappush(tables.timers, (due, tables.next_number(), kind, subject))


def pop_due(tables: Tables, now: float) -> list[tuple[TimerKind, Any]]:
    """Removes and returns the timers that are due."""
    due = []
    while tables.timers and tables.timers[0][0] <= now:
        _, _, kind, subject = heapq.heappop(tables.timers)
        due.append((kind, subject))
    return due


def next_due(tables: Tables) -> float | None:
    """Returns the due time of the next timer, None if there is none."""
    return tables.timers[0][0] if tables.timers else None
