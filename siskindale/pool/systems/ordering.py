"""Order of requests within a class: arrival time plus a multiple of the expected cost.

Short statements overtake long ones, but a long one waits at most `AGING` times its own cost longer
than in order of arrival. The expected cost is the mean of the last runs of a statement's text, the
latest weighted most; the idea is from the case study "Message Queue for Saving a Very High Traffic
Data Analytics Based Web Application". Measured by `python -m bench ordering`.
"""

import heapq
from collections import deque

from siskindale.models.wire import StatementRequest
from siskindale.pool.tables import GroupRow, QueueRow, RequestRow, Stage, Tables

RECENT_RUNS = 10
AGING = 10.0
# Bounds the memory for callers that put values into the text of statements.
MAX_TEXTS = 1000
# Requests that were admitted before go ahead of all new ones, in order of their arrival.
READMITTED_S = 3600.0
COUNTED_STAGES = frozenset({Stage.READ, Stage.REPLICA_READ, Stage.WRITE, Stage.KEY_INSERT})


def push(tables: Tables, queue: QueueRow, request: RequestRow, now: float) -> None:
    """Adds a new request to a queue."""
    _push(tables, queue, request, now + AGING * expected_s(request))


def push_back(tables: Tables, queue: QueueRow, request: RequestRow) -> None:
    """Adds an admitted request to a queue again, ahead of new ones."""
    _push(tables, queue, request, request.arrived - READMITTED_S)


def pop(queue: QueueRow) -> RequestRow:
    """Removes the first request of a queue."""
    return heapq.heappop(queue.waiting)[2]


def expected_s(request: RequestRow) -> float:
    """Returns the expected cost in seconds, 0 for a text that has not run yet."""
    runs = request.group.costs.get(_text(request))
    if not runs:
        return 0.0
    weights = range(1, len(runs) + 1)
    return sum(weight * run for weight, run in zip(weights, runs, strict=True)) / sum(weights)


def note(request: RequestRow, seconds: float) -> None:
    """Keeps the cost of a run."""
    text, costs = _text(request), request.group.costs
    if request.stage not in COUNTED_STAGES or not text:
        return
    runs = costs.get(text)
    if runs is None:
        _make_room(request.group)
        runs = costs[text] = deque(maxlen=RECENT_RUNS)
    runs.append(seconds)


def _make_room(group: GroupRow) -> None:
    if len(group.costs) >= MAX_TEXTS:
        del group.costs[next(iter(group.costs))]


def _text(request: RequestRow) -> str:
    return request.body.sql if isinstance(request.body, StatementRequest) else ""


def _push(tables: Tables, queue: QueueRow, request: RequestRow, rank: float) -> None:
    heapq.heappush(queue.waiting, (rank, tables.next_number(), request))
