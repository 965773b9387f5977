"""Metrics of the pool; the groups and classes of the bundle limit the number of label values."""

from collections.abc import Callable
from functools import cache

from prometheus_client import Counter, Gauge, Histogram

from siskindale.pool.effects import Reply
from siskindale.pool.stages import QueueKind
from siskindale.pool.tables import Tables

BUCKETS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)

REQUESTS = Counter("siskindale_pool_requests", "Answered requests", ("group", "class", "outcome"))
REFUSALS = Counter("siskindale_pool_refusals", "Requests without a result", ("kind",))
READS = Counter("siskindale_pool_reads", "Answered reads by role of the target", ("group", "role"))
DURATION = Histogram(
    "siskindale_pool_request_duration_seconds",
    "Time from arrival to answer",
    ("class",),
    buckets=BUCKETS,
)
AGE = Histogram("siskindale_pool_read_age_seconds", "Proved age of replica reads", buckets=BUCKETS)
QUEUED = Gauge("siskindale_pool_queued_requests", "Requests that wait", ("group", "class"))
CONNECTIONS = Gauge("siskindale_pool_connections", "Open data connections", ("group",))
TRANSACTIONS = Gauge("siskindale_pool_transactions", "Open transactions")
WRITABLE = Gauge("siskindale_pool_group_writable", "1 with a confirmed primary", ("group",))
SEEN = Gauge("siskindale_pool_seen_requests", "Request ids kept to recognise copies")

# Cached, because the label lookup of the library takes longer than the increment.
_requests = cache(lambda *labels: REQUESTS.labels(*labels))
_reads: Callable[..., Counter] = cache(lambda *labels: READS.labels(*labels))
_duration: Callable[..., Histogram] = cache(lambda *labels: DURATION.labels(*labels))


def count_answer(effect: Reply, now: float) -> None:
    """Counts an answer and observes its duration and age."""
    answer, request = effect.answer, effect.request
    if answer.refusal is not None:
        REFUSALS.labels(answer.refusal.kind.value).inc()
    if request is None:
        _requests("", "", answer.outcome.value).inc()
        return
    _requests(request.group.name, request.statement_class, answer.outcome.value).inc()
    _duration(request.statement_class).observe(now - request.arrived_at)
    if answer.refusal is None and not request.is_write:
        _reads(request.group.name, answer.role).inc()
    if answer.age_ms is not None:
        AGE.observe(answer.age_ms / 1000)


def update_gauges(tables: Tables) -> None:
    """Sets the gauges; called once a second instead of in each tick."""
    TRANSACTIONS.set(len(tables.transactions))
    SEEN.set(len(tables.seen_ids))
    for group in tables.groups.values():
        WRITABLE.labels(group.name).set(group.writable)
        CONNECTIONS.labels(group.name).set(
            sum(len(t.open_connections) for t in group.targets.values())
        )
        for name in tables.classes:
            queued = sum(group.queues[kind][name].queued_count for kind in QueueKind)
            QUEUED.labels(group.name, name).set(queued)
