"""Order of requests within a class: by arrival time plus a multiple of the expected cost.

Short statements overtake long ones, but a long one waits at most `COST_FACTOR` times its own cost
longer than in order of arrival. The expected cost is a weighted mean of the recent run times of the
same SQL text, with the highest weight on the latest run. The idea comes from the case study
"Message Queue for Saving a Very High Traffic Data Analytics Based Web Application". `python -m
bench ordering` measures the effect.
"""

import heapq
from collections import deque

from siskindale.models.wire import StatementRequest
from siskindale.pool.stages import Stage
from siskindale.pool.tables import GroupRow, QueueRow, RequestRow, Tables

RECENT_RUNS = 10
COST_FACTOR = 10.0
# Limits the memory when callers write values into the SQL text.
MAX_TRACKED_TEXTS = 1000
# Puts requests that were already admitted ahead of all new ones, in order of arrival.
ADMITTED_ADVANCE_S = 3600.0
MEASURED_STAGES = frozenset({Stage.READ, Stage.REPLICA_READ, Stage.WRITE, Stage.KEY_INSERT})


def push_new(tables: Tables, queue: QueueRow, request: RequestRow, now: float) -> None:
    """Adds a new request to a queue."""
    _push(tables, queue, request, now + COST_FACTOR * expected_cost_s(request))


def push_admitted(tables: Tables, queue: QueueRow, request: RequestRow) -> None:
    """Adds an already admitted request to a queue again, ahead of new ones."""
    _push(tables, queue, request, request.arrived_at - ADMITTED_ADVANCE_S)


def pop(queue: QueueRow) -> RequestRow:
    """Removes the first request of a queue."""
    return heapq.heappop(queue.heap)[2]


def expected_cost_s(request: RequestRow) -> float:
    """Returns the expected run time in seconds, 0 for SQL text that has not run yet."""
    runs = request.group.run_times_by_sql.get(_sql_text(request))
    if not runs:
        return 0.0
    weights = range(1, len(runs) + 1)
    return sum(weight * run for weight, run in zip(weights, runs, strict=True)) / sum(weights)


def record_run(request: RequestRow, seconds: float) -> None:
    """Records the run time of a batch."""
    text, run_times = _sql_text(request), request.group.run_times_by_sql
    if request.stage not in MEASURED_STAGES or not text:
        return
    runs = run_times.get(text)
    if runs is None:
        _evict_oldest_text(request.group)
        runs = run_times[text] = deque(maxlen=RECENT_RUNS)
    runs.append(seconds)


def _evict_oldest_text(group: GroupRow) -> None:
    if len(group.run_times_by_sql) >= MAX_TRACKED_TEXTS:
        del group.run_times_by_sql[next(iter(group.run_times_by_sql))]


def _sql_text(request: RequestRow) -> str:
    return request.body.sql if isinstance(request.body, StatementRequest) else ""


def _push(tables: Tables, queue: QueueRow, request: RequestRow, rank: float) -> None:
    heapq.heappush(queue.heap, (rank, tables.next_number(), request))
