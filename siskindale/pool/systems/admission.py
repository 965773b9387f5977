"""Admission: bounded queues by class, served in bundle order with a minimum share for each."""

from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import BeginRequest, StatementRequest
from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.systems import (
    batches,
    connections,
    discovery,
    ordering,
    routing,
    timers,
)
from siskindale.pool.tables import (
    GroupRow,
    Lane,
    Phase,
    QueueRow,
    RequestRow,
    Stage,
    Tables,
    TargetRow,
    TimerKind,
)

MAX_RETRIES = 5
MAX_RETRY_TOKENS = 50.0
TERM_RETRY_S = 0.02


def enqueue(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Queues a new request, or refuses it where waiting cannot help."""
    group = request.group
    queue = group.queues[request.lane][request.statement_class]
    if queue.live >= queue.statement_class.queue_limit:
        return _overloaded(tables, request, "the queue of the class is full", now)
    wait = expected_wait_s(group, request)
    if now + wait > request.deadline:
        return _overloaded(tables, request, "the expected wait exceeds the deadline", now)
    _append(tables, request, now, admitted=False)
    return []


def _overloaded(tables: Tables, request: RequestRow, detail: str, now: float) -> list[Effect]:
    retry_ms = max(1, round(expected_wait_s(request.group, request) * 1000))
    return answers.refuse(tables, request, RefusalKind.OVERLOADED, detail, retry_ms)


def expected_wait_s(group: GroupRow, request: RequestRow) -> float:
    """Returns the time in seconds until a request of this class would be served."""
    ahead = 0
    for name in group.queues[request.lane]:
        ahead += sum(group.queues[lane][name].live for lane in _same_slots(request.lane))
        if name == request.statement_class:
            break
    serving = [t for t in group.targets.values() if _serves(group, t, request.lane)]
    slots = sum(t.slots for t in serving)
    if not slots:
        return 0.0
    busy = sum(t.running for t in serving)
    service = sum(t.service_s for t in serving) / len(serving)
    return max(0, ahead + busy + 1 - slots) * service / slots


def _serves(group: GroupRow, target: TargetRow, lane: Lane) -> bool:
    return (target is group.primary) == (lane is not Lane.REPLICA) and bool(target.open)


def _same_slots(lane: Lane) -> tuple[Lane, ...]:
    return (Lane.REPLICA,) if lane is Lane.REPLICA else (Lane.READ, Lane.WRITE)


def _append(tables: Tables, request: RequestRow, now: float, admitted: bool) -> None:
    queue = request.group.queues[request.lane].get(request.statement_class)
    if queue is None:
        # The class left the bundle after the request was admitted.
        last = next(reversed(request.group.queues[request.lane].values()))
        queue, request.statement_class = last, last.statement_class.name
    request.phase = Phase.QUEUED
    queue.live += 1
    if admitted:
        ordering.push_back(tables, queue, request)
    else:
        ordering.push(tables, queue, request, now)
    tables.touch(request.group)


def requeue(tables: Tables, request: RequestRow, stage: Stage, now: float) -> list[Effect]:
    """Queues an admitted request for its next stage, ahead of those that came later."""
    request.stage = stage
    _append(tables, request, now, admitted=True)
    return []


def later(tables: Tables, request: RequestRow, now: float, delay_s: float) -> list[Effect]:
    """Queues an admitted request again after a delay."""
    request.phase = Phase.WAITING
    timers.schedule(tables, now + delay_s, TimerKind.RETRY, request)
    return []


def retry_due(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Queues a request whose delay is over."""
    if request.phase is not Phase.WAITING:
        return []
    return requeue(tables, request, request.stage, now)


def refuse_starved(tables: Tables, target: TargetRow) -> list[Effect]:
    """Refuses what waits for a primary whose connections are all held by other pools.

    The entry then tries one of those; waiting here would last until the deadline.
    """
    group = target.group
    if target is not group.primary or target.open:
        return []
    lanes = [group.queues.get(lane, {}) for lane in (Lane.READ, Lane.WRITE)]
    entries = [entry for lane in lanes for queue in lane.values() for entry in queue.waiting]
    waiting = [request for _, _, request in entries if request.phase is Phase.QUEUED]
    detail = "other pools hold all connections of the primary"
    return [
        effect
        for request in waiting
        for effect in answers.refuse(tables, request, RefusalKind.UNAVAILABLE, detail)
    ]


def may_retry(request: RequestRow) -> bool:
    """Takes one attempt from the retry budget; attempts without bound prolong an overload."""
    if request.retries >= MAX_RETRIES or request.group.retry_tokens < 1:
        return False
    request.retries += 1
    request.group.retry_tokens -= 1
    return True


def earn_retries(tables: Tables, group: GroupRow) -> None:
    """Adds the share of one request to the retry budget."""
    budget = tables.bundle.retry_budget if tables.bundle else 0.0
    group.retry_tokens = min(MAX_RETRY_TOKENS, group.retry_tokens + budget)


def dispatch(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Starts queued requests on free slots; reads that no replica can serve join the primary's."""
    return _dispatch_replicas(tables, group, now) + _dispatch_primary(tables, group, now)


def _dispatch_primary(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    effects: list[Effect] = []
    if not group.queues:
        return effects
    reads, writes = group.queues[Lane.READ], group.queues[Lane.WRITE]
    both = [queue for name in reads for queue in (reads[name], writes[name])]
    while (target := routing.primary(tables, group, now)) is not None:
        queues = both if connections.ready(target) else list(reads.values())
        queue = choose(queues)
        if queue is None:
            break
        request = pop(queues, queue)
        refusal = _recheck(tables, request, now)
        if refusal is not None:
            effects += refusal
        elif request.token.term > group.term:
            discovery.poll_soon(tables, group, now, discovery.POLL_UNSETTLED_S)
            effects += later(tables, request, now, TERM_RETRY_S)
        else:
            effects += batches.start(tables, request, connections.take(target), now)
    return effects


def _dispatch_replicas(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    effects: list[Effect] = []
    queues = list(group.queues.get(Lane.REPLICA, {}).values())
    while (queue := choose(queues)) is not None:
        request = queue.waiting[0][2]
        candidates = [] if tables.degraded else routing.replicas(tables, group, request, now)
        target = routing.best(candidates)
        if candidates and target is None:
            break
        pop(queues, queue)
        refusal = _recheck(tables, request, now)
        if refusal is not None:
            effects += refusal
        elif target is None:
            request.stage = Stage.READ
            _append(tables, request, now, admitted=False)
        else:
            effects += batches.start(tables, request, connections.take(target), now)
    return effects


def _recheck(tables: Tables, request: RequestRow, now: float) -> list[Effect] | None:
    """Refuses queued work that a pause of the program or of the store has made invalid."""
    if now >= request.deadline:
        return answers.expire(tables, request)
    if tables.degraded and needs_confirmed_bundle(request):
        return answers.refuse(
            tables, request, RefusalKind.BUNDLE_NOT_CONFIRMED, "the bundle is not confirmed"
        )
    return None


def needs_confirmed_bundle(request: RequestRow) -> bool:
    """Whether a request is not served while the bundle's head is unconfirmed."""
    body = request.body
    if isinstance(body, BeginRequest):
        return True
    return isinstance(body, StatementRequest) and body.access != "read" and body.key is None


def choose(queues: list[QueueRow]) -> QueueRow | None:
    """Returns the first class in bundle order, or one that has waited for its minimum share."""
    waiting = [queue for queue in queues if queue.live]
    if not waiting:
        return None
    for queue in waiting:
        while queue.waiting[0][2].phase is not Phase.QUEUED:
            ordering.pop(queue)
    starved = max(waiting, key=lambda queue: queue.deficit)
    return starved if starved.deficit >= 1 else waiting[0]


def pop(queues: list[QueueRow], queue: QueueRow) -> RequestRow:
    """Takes the head of a queue; the classes that keep waiting earn their share."""
    for other in queues:
        if other is not queue and other.live:
            other.deficit += other.statement_class.min_share
    queue.deficit = max(0.0, queue.deficit - 1)
    queue.live -= 1
    request = ordering.pop(queue)
    request.phase = Phase.WAITING
    return request
