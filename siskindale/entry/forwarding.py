"""Forwarding decisions: pool selection, retries and the answer to the caller.

The functions update the tables and return effects. A caller receives `not_run` only if every pool
that the request was sent to reported it.
"""

import heapq
import itertools

import attrs

from siskindale.entry.final_answers import final_answer
from siskindale.entry.pool_health import (
    PAUSE_THRESHOLD_S,
    PROBE_AFTER_S,
    PROBE_TIMEOUT_S,
    get_or_add_pool,
    is_avoided,
    mark_draining,
    mark_unresponsive,
    outstanding_requests,
    start_probe_if_due,
)
from siskindale.entry.tables import (
    Attempt,
    DiscardQueue,
    Effect,
    PendingRequest,
    Request,
    Resolution,
    RetryBudget,
    RetryPolicy,
    Routes,
    SendProbe,
    SendRequest,
    Tables,
)
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import Answer, BeginRequest, StatementRequest

# A message may be lost: after this fraction of their time, reads and keyed writes are sent to
# another pool.
RESEND_AFTER_FRACTION = 0.5
# Time withheld from the pool, so that its refusal still reaches the caller before the deadline.
REPLY_RESERVE_FRACTION = 0.1
REPLY_RESERVE_MAX_S = 0.05
MAX_ATTEMPTS = 4
RECHECK_INTERVAL_S = 0.1

RETRIABLE_REFUSALS = frozenset(
    {RefusalKind.WRONG_POOL, RefusalKind.SHUTTING_DOWN, RefusalKind.UNAVAILABLE}
)


def new_tables(now: float) -> Tables:
    """Returns empty tables."""
    return Tables(RetryBudget(tokens=10.0, refilled_at=now), last_tick_at=now)


def submit(tables: Tables, pending: PendingRequest, routes: Routes, now: float) -> list[Effect]:
    """Adds a new request and sends it to a pool."""
    tables.pending[pending.number] = pending
    tables.retry_budget.refill(now)
    tables.retry_budget.add(routes.retry_ratio)
    return _send_or_resolve(tables, pending, routes, now)


def handle_send_failure(
    tables: Tables, correlation_id: int, routes: Routes, now: float
) -> list[Effect]:
    """Handles a request that was not sent because the outbox of the pool is full."""
    pending, attempt = tables.attempts[correlation_id]
    refusal = Refusal(RefusalKind.UNAVAILABLE, f"pool {attempt.pool} takes no more requests")
    _record_outcome(tables, attempt, Outcome.NOT_RUN, refusal)
    mark_unresponsive(tables.pools[attempt.pool], now)
    _schedule_pool_requests(tables, attempt.pool, now)
    return _send_or_resolve(tables, pending, routes, now)


def handle_answer(
    tables: Tables, correlation_id: int, vm: str, answer: Answer, routes: Routes, now: float
) -> tuple[list[Effect], str | None]:
    """Handles an answer from a pool; also returns the reason if the answer is dropped."""
    found = tables.attempts.get(correlation_id)
    if found is None:
        return [], "not-pending"
    pending, attempt = found
    if pending.request.request_id != answer.request_id:
        return [], "other-request"
    if attempt.pool != vm:
        return [], "other-pool"
    _record_outcome(tables, attempt, answer.outcome, answer.refusal)
    if answer.refusal is not None and answer.refusal.kind is RefusalKind.SHUTTING_DOWN:
        mark_draining(tables, vm, now)
    if answer.outcome is Outcome.DONE:
        return [_resolve(tables, pending, answer, vm)], None
    return _send_or_resolve(tables, pending, routes, now), None


def record_message(tables: Tables, vm: str, boot: str, now: float) -> None:
    """Records that a message from a pool has arrived."""
    pool = tables.pools.get(vm)
    if pool is None:
        return
    pool.last_message_at = now
    pool.probe_sent_at = None
    pool.unresponsive = False
    pool.probe_delay_s = 0.0
    if pool.boot != boot:
        pool.boot = boot
        pool.draining_until = 0.0
        _schedule_pool_requests(tables, vm, now)


def tick(tables: Tables, routes: Routes, now: float) -> list[Effect]:
    """Checks the pools and processes the requests whose timers have expired."""
    tables.retry_budget.refill(now)
    effects: list[Effect] = check_pools(tables, now)
    while tables.timers and tables.timers[0][0] <= now:
        _, number = heapq.heappop(tables.timers)
        pending = tables.pending.get(number)
        if pending is not None:
            effects += _send_or_resolve(tables, pending, routes, now)
    return effects


def check_pools(tables: Tables, now: float) -> list[Effect]:
    """Probes pools that send nothing and marks those that do not answer as unresponsive."""
    was_paused = now - tables.last_tick_at > PAUSE_THRESHOLD_S
    tables.last_tick_at = now
    effects: list[Effect] = []
    for pool in tables.pools.values():
        if was_paused and pool.probe_sent_at is not None:
            pool.probe_sent_at = now
        if start_probe_if_due(pool, now):
            effects.append(SendProbe(pool.vm))
        elif pool.probe_sent_at is not None and now - pool.probe_sent_at >= PROBE_TIMEOUT_S:
            mark_unresponsive(pool, now)
            effects.append(DiscardQueue(pool.vm))
            _schedule_pool_requests(tables, pool.vm, now)
    return effects


def next_tick_at(tables: Tables, now: float) -> float | None:
    """Returns the time of the next tick, or None if no timer is set."""
    while tables.timers and tables.timers[0][1] not in tables.pending:
        heapq.heappop(tables.timers)
    due_times = [tables.timers[0][0]] if tables.timers else []
    due_times += [pool.next_probe_at for pool in tables.pools.values() if pool.unresponsive]
    if any(pool.outstanding and not pool.unresponsive for pool in tables.pools.values()):
        due_times.append(now + PROBE_AFTER_S)
    return min(due_times, default=None)


def _send_or_resolve(
    tables: Tables, pending: PendingRequest, routes: Routes, now: float
) -> list[Effect]:
    if now >= pending.deadline:
        return [_resolve(tables, pending, final_answer(pending, now), "")]
    should_send = _should_send(tables, pending, now)
    if should_send and (not pending.attempts or tables.retry_budget.tokens >= 1.0):
        vm = _choose_pool(tables, pending, routes, now)
        if vm is not None:
            return [_start_attempt(tables, pending, vm, routes, now)]
    if all(attempt.outcome is not None for attempt in pending.attempts):
        return [_resolve(tables, pending, final_answer(pending, now), "")]
    _set_timer(
        tables, pending, now + RECHECK_INTERVAL_S if should_send else _next_check_at(pending, now)
    )
    return []


def _should_send(tables: Tables, pending: PendingRequest, now: float) -> bool:
    if not pending.attempts:
        return True
    if pending.policy is RetryPolicy.FIXED or len(pending.attempts) >= MAX_ATTEMPTS:
        return False
    last_attempt = pending.attempts[-1]
    if all(attempt.outcome is Outcome.NOT_RUN for attempt in pending.attempts):
        return _is_retriable(last_attempt)
    if pending.policy is RetryPolicy.AT_MOST_ONCE:
        return False
    if last_attempt.outcome is None:
        return _is_presumed_lost(tables, pending, last_attempt, now)
    return last_attempt.outcome is Outcome.UNKNOWN or _is_retriable(last_attempt)


def _is_retriable(attempt: Attempt) -> bool:
    return attempt.refusal is not None and attempt.refusal.kind in RETRIABLE_REFUSALS


def _is_presumed_lost(
    tables: Tables, pending: PendingRequest, attempt: Attempt, now: float
) -> bool:
    pool = tables.pools[attempt.pool]
    if pool.unresponsive or (attempt.boot and attempt.boot != pool.boot):
        return True
    return pending.policy is not RetryPolicy.BEGIN and now >= _resend_at(pending, attempt)


def _resend_at(pending: PendingRequest, attempt: Attempt) -> float:
    return attempt.sent_at + (pending.deadline - attempt.sent_at) * RESEND_AFTER_FRACTION


def _next_check_at(pending: PendingRequest, now: float) -> float:
    resend_at = _resend_at(pending, pending.attempts[-1])
    resendable = pending.policy in (RetryPolicy.READ, RetryPolicy.KEYED)
    return resend_at if resendable and resend_at > now else pending.deadline


def _choose_pool(tables: Tables, pending: PendingRequest, routes: Routes, now: float) -> str | None:
    """Picks the least loaded of the first `pools_per_group` usable pools, else the next in rank."""
    if pending.fixed_pool is not None:
        return pending.fixed_pool
    ranked_vms = routes.ranked_vms(pending.group)
    tried_pools = pending.tried_pools
    usable = [vm for vm in ranked_vms if not is_avoided(tables, vm, now)]
    preferred = [vm for vm in usable[: routes.pools_per_group] if vm not in tried_pools]
    if preferred:
        return min(preferred, key=lambda vm: outstanding_requests(tables, vm))
    remaining = [vm for vm in usable if vm not in tried_pools]
    if remaining:
        return remaining[0]
    # If every pool is avoided, a first attempt at one of them is better than none.
    return ranked_vms[0] if ranked_vms and not pending.attempts else None


def _start_attempt(
    tables: Tables, pending: PendingRequest, vm: str, routes: Routes, now: float
) -> SendRequest:
    if pending.attempts:
        tables.retry_budget.tokens -= 1.0
    request = _request_for_pool(tables, pending, vm, routes, now)
    pool = get_or_add_pool(tables, vm, now)
    if pool.outstanding == 0:
        pool.busy_since = now
    pool.outstanding += 1
    attempt = Attempt(next(tables.number_sequence), vm, pool.boot, now)
    pending.attempts.append(attempt)
    tables.attempts[attempt.correlation_id] = (pending, attempt)
    _set_timer(tables, pending, _next_check_at(pending, now))
    return SendRequest(vm, request, attempt.correlation_id, repeated=len(pending.attempts) > 1)


def _request_for_pool(
    tables: Tables, pending: PendingRequest, vm: str, routes: Routes, now: float
) -> Request:
    time_left_s = pending.deadline - now
    budget_ms = (
        time_left_s - min(REPLY_RESERVE_MAX_S, time_left_s * REPLY_RESERVE_FRACTION)
    ) * 1000
    request = pending.request
    if not isinstance(request, StatementRequest | BeginRequest):
        return attrs.evolve(request, budget_ms=budget_ms)
    # The pool ranks itself without the excluded pools to decide whether it serves the group.
    ranked_before = itertools.takewhile(lambda other: other != vm, routes.ranked_vms(pending.group))
    tried_pools = pending.tried_pools
    excluded = tuple(o for o in ranked_before if o in tried_pools or is_avoided(tables, o, now))
    return attrs.evolve(request, budget_ms=budget_ms, excluded_pools=excluded)


def _set_timer(tables: Tables, pending: PendingRequest, due: float) -> None:
    heapq.heappush(tables.timers, (min(due, pending.deadline), pending.number))


def _schedule_pool_requests(tables: Tables, vm: str, now: float) -> None:
    """Schedules all requests that wait for a pool for the next tick."""
    for pending, attempt in tables.attempts.values():
        if attempt.pool == vm:
            heapq.heappush(tables.timers, (now, pending.number))


def _record_outcome(
    tables: Tables, attempt: Attempt, outcome: Outcome, refusal: Refusal | None
) -> None:
    attempt.outcome, attempt.refusal = outcome, refusal
    _close_attempt(tables, attempt)


def _close_attempt(tables: Tables, attempt: Attempt) -> None:
    if tables.attempts.pop(attempt.correlation_id, None) is not None:
        tables.pools[attempt.pool].outstanding -= 1


def _resolve(tables: Tables, pending: PendingRequest, answer: Answer, vm: str) -> Resolution:
    for attempt in pending.attempts:
        _close_attempt(tables, attempt)
    del tables.pending[pending.number]
    last_pool = pending.attempts[-1].pool if pending.attempts else ""
    return Resolution(pending.number, answer, vm or last_pool, len(pending.attempts))
