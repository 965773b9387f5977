"""Admission: a bounded queue per class, served in bundle order with a minimum share per class."""

from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import BeginRequest, StatementRequest
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.stages import Phase, QueueKind, Stage, TimerKind
from siskindale.pool.systems import (
    batches,
    connections,
    discovery,
    ordering,
    routing,
    timers,
)
from siskindale.pool.tables import GroupRow, QueueRow, RequestRow, Tables, TargetRow

MAX_RETRIES = 5
MAX_RETRY_TOKENS = 50.0
TERM_RETRY_S = 0.02


def enqueue(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Queues a new request, or refuses it if the queue is full or the wait exceeds its deadline."""
    group = request.group
    queue = group.queues[request.queue_kind][request.statement_class]
    if queue.queued_count >= queue.statement_class.queue_limit:
        return _refuse_overloaded(tables, request, "the queue of the class is full", now)
    wait = expected_wait_s(group, request)
    if now + wait > request.deadline:
        return _refuse_overloaded(tables, request, "the expected wait exceeds the deadline", now)
    _add_to_queue(tables, request, now, admitted=False)
    return []


def _refuse_overloaded(
    tables: Tables, request: RequestRow, detail: str, now: float
) -> list[Effect]:
    retry_ms = max(1, round(expected_wait_s(request.group, request) * 1000))
    return answers.refuse(tables, request, RefusalKind.OVERLOADED, detail, retry_ms)


def expected_wait_s(group: GroupRow, request: RequestRow) -> float:
    """Estimates the time in seconds until a new request of this class would start."""
    ahead = 0
    for name in group.queues[request.queue_kind]:
        ahead += sum(
            group.queues[kind][name].queued_count
            for kind in _kinds_on_same_slots(request.queue_kind)
        )
        if name == request.statement_class:
            break
    serving = [t for t in group.targets.values() if _serves_kind(group, t, request.queue_kind)]
    slots = sum(t.slots for t in serving)
    if not slots:
        return 0.0
    busy = sum(t.running_batches for t in serving)
    service_time = sum(t.service_time_s for t in serving) / len(serving)
    return max(0, ahead + busy + 1 - slots) * service_time / slots


def _serves_kind(group: GroupRow, target: TargetRow, kind: QueueKind) -> bool:
    return (target is group.primary) == (kind is not QueueKind.REPLICA) and bool(
        target.open_connections
    )


def _kinds_on_same_slots(kind: QueueKind) -> tuple[QueueKind, ...]:
    return (QueueKind.REPLICA,) if kind is QueueKind.REPLICA else (QueueKind.READ, QueueKind.WRITE)


def _add_to_queue(tables: Tables, request: RequestRow, now: float, admitted: bool) -> None:
    queue = request.group.queues[request.queue_kind].get(request.statement_class)
    if queue is None:
        # The class was removed from the bundle after the request was admitted.
        last = next(reversed(request.group.queues[request.queue_kind].values()))
        queue, request.statement_class = last, last.statement_class.name
    request.phase = Phase.QUEUED
    queue.queued_count += 1
    if admitted:
        ordering.push_admitted(tables, queue, request)
    else:
        ordering.push_new(tables, queue, request, now)
    tables.mark_dirty(request.group)


def requeue(tables: Tables, request: RequestRow, stage: Stage, now: float) -> list[Effect]:
    """Queues an admitted request for its next stage, ahead of requests that arrived later."""
    request.stage = stage
    _add_to_queue(tables, request, now, admitted=True)
    return []


def schedule_requeue(
    tables: Tables, request: RequestRow, now: float, delay_s: float
) -> list[Effect]:
    """Schedules an admitted request to be queued again after a delay."""
    request.phase = Phase.WAITING
    timers.schedule(tables, now + delay_s, TimerKind.RETRY, request)
    return []


def requeue_due(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Queues a request whose delay has passed."""
    if request.phase is not Phase.WAITING:
        return []
    return requeue(tables, request, request.stage, now)


def refuse_without_connection(tables: Tables, target: TargetRow) -> list[Effect]:
    """Refuses requests for a primary whose connections are all held by other pools.

    The entry then tries one of those pools; here the requests would wait until their deadlines.
    """
    group = target.group
    if target is not group.primary or target.open_connections:
        return []
    queues_by_class = [group.queues.get(kind, {}) for kind in (QueueKind.READ, QueueKind.WRITE)]
    entries = [
        entry for queues in queues_by_class for queue in queues.values() for entry in queue.heap
    ]
    waiting = [request for _, _, request in entries if request.phase is Phase.QUEUED]
    detail = "other pools hold all connections of the primary"
    return [
        effect
        for request in waiting
        for effect in answers.refuse(tables, request, RefusalKind.UNAVAILABLE, detail)
    ]


def take_retry(request: RequestRow) -> bool:
    """Takes an attempt from the retry budget if one is left.

    The budget exists because unlimited retries would prolong an overload.
    """
    if request.retries >= MAX_RETRIES or request.group.retry_tokens < 1:
        return False
    request.retries += 1
    request.group.retry_tokens -= 1
    return True


def add_retry_tokens(tables: Tables, group: GroupRow) -> None:
    """Adds the tokens that one request contributes to the retry budget."""
    budget = tables.bundle.retry_budget if tables.bundle else 0.0
    group.retry_tokens = min(MAX_RETRY_TOKENS, group.retry_tokens + budget)


def dispatch(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Starts queued requests on free slots; reads that no replica can serve go to the primary."""
    return _dispatch_replicas(tables, group, now) + _dispatch_primary(tables, group, now)


def _dispatch_primary(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    effects: list[Effect] = []
    if not group.queues:
        return effects
    reads, writes = group.queues[QueueKind.READ], group.queues[QueueKind.WRITE]
    both = [queue for name in reads for queue in (reads[name], writes[name])]
    while (target := routing.available_primary(tables, group, now)) is not None:
        queues = both if connections.has_capacity(target) else list(reads.values())
        queue = choose_queue(queues)
        if queue is None:
            break
        request = pop_request(queues, queue)
        refusal = _refuse_if_invalid(tables, request, now)
        if refusal is not None:
            effects += refusal
        elif request.token.term > group.term:
            discovery.poll_soon(tables, group, now, discovery.UNSETTLED_POLL_INTERVAL_S)
            effects += schedule_requeue(tables, request, now, TERM_RETRY_S)
        else:
            effects += batches.start(tables, request, connections.take_idle(target), now)
    return effects


def _dispatch_replicas(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    effects: list[Effect] = []
    queues = list(group.queues.get(QueueKind.REPLICA, {}).values())
    while (queue := choose_queue(queues)) is not None:
        request = queue.heap[0][2]
        candidates = (
            [] if tables.degraded else routing.eligible_replicas(tables, group, request, now)
        )
        target = routing.least_loaded(candidates)
        if candidates and target is None:
            break
        pop_request(queues, queue)
        refusal = _refuse_if_invalid(tables, request, now)
        if refusal is not None:
            effects += refusal
        elif target is None:
            request.stage = Stage.READ
            _add_to_queue(tables, request, now, admitted=False)
        else:
            effects += batches.start(tables, request, connections.take_idle(target), now)
    return effects


def _refuse_if_invalid(tables: Tables, request: RequestRow, now: float) -> list[Effect] | None:
    """Refuses a queued request that may no longer run.

    This happens after the program was paused or the store was unavailable.
    """
    if now >= request.deadline:
        return answers.expire(tables, request)
    if tables.degraded and needs_confirmed_bundle(request):
        return answers.refuse(
            tables, request, RefusalKind.BUNDLE_NOT_CONFIRMED, "the bundle is not confirmed"
        )
    return None


def needs_confirmed_bundle(request: RequestRow) -> bool:
    """Whether a request must be refused while the bundle's head is unconfirmed."""
    body = request.body
    if isinstance(body, BeginRequest):
        return True
    return isinstance(body, StatementRequest) and body.access != "read" and body.key is None


def choose_queue(queues: list[QueueRow]) -> QueueRow | None:
    """Returns the first queue in bundle order, or one whose minimum share is due."""
    waiting = [queue for queue in queues if queue.queued_count]
    if not waiting:
        return None
    for queue in waiting:
        while queue.heap[0][2].phase is not Phase.QUEUED:
            ordering.pop(queue)
    starved = max(waiting, key=lambda queue: queue.deficit)
    return starved if starved.deficit >= 1 else waiting[0]


def pop_request(queues: list[QueueRow], queue: QueueRow) -> RequestRow:
    """Removes the head of a queue and adds to the deficit of the other classes that wait."""
    for other in queues:
        if other is not queue and other.queued_count:
            other.deficit += other.statement_class.min_share
    queue.deficit = max(0.0, queue.deficit - 1)
    queue.queued_count -= 1
    request = ordering.pop(queue)
    request.phase = Phase.WAITING
    return request
