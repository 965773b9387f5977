"""Forwarding decisions: pool selection, retries and the answer to the caller.

The functions update the tables and return effects. A caller receives `not_run` only if every pool
that the request was sent to reported it.
"""

import heapq
import itertools

import attrs

from siskindale.entry.tables import (
    Attempt,
    DiscardQueue,
    Effect,
    PendingRequest,
    PoolState,
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

# A pool with outstanding requests that sends nothing for PROBE_AFTER_S is probed. If the probe is
# not answered within PROBE_TIMEOUT_S, the pool is avoided and probed again at doubling intervals.
PROBE_AFTER_S = 0.1
PROBE_TIMEOUT_S = 0.4
AVOID_MIN_S = 2.0
AVOID_MAX_S = 10.0
# A longer gap between ticks means that this process was paused; answers may be waiting unread.
PAUSE_THRESHOLD_S = 0.2
# A message may be lost: after this fraction of their time, reads and keyed writes are sent to
# another pool.
RESEND_AFTER_FRACTION = 0.5
# Time withheld from the pool, so that its refusal still reaches the caller before the deadline.
REPLY_RESERVE_FRACTION = 0.1
REPLY_RESERVE_MAX_S = 0.05
MAX_ATTEMPTS = 4
NO_POOL_RETRY_MS = 1000
RECHECK_INTERVAL_S = 0.1
RETRY_BUDGET_MAX = 500.0
# Tokens added per second even without traffic, so that an idle entry can resend at all.
RETRY_BUDGET_REFILL_PER_S = 2.0

RETRIABLE_REFUSALS = frozenset(
    {RefusalKind.WRONG_POOL, RefusalKind.SHUTTING_DOWN, RefusalKind.UNAVAILABLE}
)


def new_tables(now: float) -> Tables:
    """Returns empty tables."""
    return Tables(RetryBudget(tokens=10.0, refilled_at=now), last_tick_at=now)


def submit(tables: Tables, pending: PendingRequest, routes: Routes, now: float) -> list[Effect]:
    """Adds a new request and sends it to a pool."""
    tables.pending[pending.number] = pending
    _refill_retry_budget(tables.retry_budget, now)
    tables.retry_budget.tokens = min(
        RETRY_BUDGET_MAX, tables.retry_budget.tokens + routes.retry_ratio
    )
    return _send_or_resolve(tables, pending, routes, now)


def handle_send_failure(
    tables: Tables, correlation_id: int, routes: Routes, now: float
) -> list[Effect]:
    """Handles a request that was not sent because the outbox of the pool is full."""
    pending, attempt = tables.attempts[correlation_id]
    refusal = Refusal(RefusalKind.UNAVAILABLE, f"pool {attempt.pool} takes no more requests")
    _record_outcome(tables, attempt, Outcome.NOT_RUN, refusal)
    _mark_unresponsive(tables.pools[attempt.pool], now)
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


def mark_draining(tables: Tables, vm: str, now: float) -> None:
    """Marks a pool as draining; after a restart, it takes new requests again."""
    _get_or_add_pool(tables, vm, now).draining_until = now + AVOID_MAX_S


def tick(tables: Tables, routes: Routes, now: float) -> list[Effect]:
    """Checks the pools and processes the requests whose timers have expired."""
    _refill_retry_budget(tables.retry_budget, now)
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
        if _start_probe_if_due(pool, now):
            effects.append(SendProbe(pool.vm))
        elif pool.probe_sent_at is not None and now - pool.probe_sent_at >= PROBE_TIMEOUT_S:
            _mark_unresponsive(pool, now)
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


def remove_departed_pools(tables: Tables, vms: set[str]) -> None:
    """Removes pools that are not among `vms` and have no outstanding requests."""
    for vm in [vm for vm, pool in tables.pools.items() if vm not in vms and not pool.outstanding]:
        del tables.pools[vm]


def _send_or_resolve(
    tables: Tables, pending: PendingRequest, routes: Routes, now: float
) -> list[Effect]:
    if now >= pending.deadline:
        return [_resolve(tables, pending, _final_answer(pending, now), "")]
    should_send = _should_send(tables, pending, now)
    if should_send and (not pending.attempts or tables.retry_budget.tokens >= 1.0):
        vm = _choose_pool(tables, pending, routes, now)
        if vm is not None:
            return [_start_attempt(tables, pending, vm, routes, now)]
    if all(attempt.outcome is not None for attempt in pending.attempts):
        return [_resolve(tables, pending, _final_answer(pending, now), "")]
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


def _refill_retry_budget(retry_budget: RetryBudget, now: float) -> None:
    added = (now - retry_budget.refilled_at) * RETRY_BUDGET_REFILL_PER_S
    retry_budget.tokens = min(RETRY_BUDGET_MAX, retry_budget.tokens + added)
    retry_budget.refilled_at = now


def _choose_pool(tables: Tables, pending: PendingRequest, routes: Routes, now: float) -> str | None:
    """Picks the least loaded of the first `pools_per_group` usable pools, else the next in rank."""
    if pending.fixed_pool is not None:
        return pending.fixed_pool
    ranked_vms = routes.ranked_vms(pending.group)
    tried_pools = pending.tried_pools
    usable = [vm for vm in ranked_vms if not _is_avoided(tables, vm, now)]
    preferred = [vm for vm in usable[: routes.pools_per_group] if vm not in tried_pools]
    if preferred:
        return min(preferred, key=lambda vm: _outstanding_requests(tables, vm))
    remaining = [vm for vm in usable if vm not in tried_pools]
    if remaining:
        return remaining[0]
    # If every pool is avoided, a first attempt at one of them is better than none.
    return ranked_vms[0] if ranked_vms and not pending.attempts else None


def _is_avoided(tables: Tables, vm: str, now: float) -> bool:
    pool = tables.pools.get(vm)
    return pool is not None and pool.is_avoided(now)


def _outstanding_requests(tables: Tables, vm: str) -> int:
    pool = tables.pools.get(vm)
    return pool.outstanding if pool else 0


def _start_attempt(
    tables: Tables, pending: PendingRequest, vm: str, routes: Routes, now: float
) -> SendRequest:
    if pending.attempts:
        tables.retry_budget.tokens -= 1.0
    request = _request_for_pool(tables, pending, vm, routes, now)
    pool = _get_or_add_pool(tables, vm, now)
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
    excluded = tuple(o for o in ranked_before if o in tried_pools or _is_avoided(tables, o, now))
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


def _not_sent_refusal(pending: PendingRequest, now: float) -> Refusal:
    if now >= pending.deadline:
        detail = "the deadline passed before the request could be sent to a pool"
        return Refusal(RefusalKind.DEADLINE_EXCEEDED, detail)
    return Refusal(RefusalKind.UNAVAILABLE, "no pool of this database is known", NO_POOL_RETRY_MS)


def _final_answer(pending: PendingRequest, now: float) -> Answer:
    """Returns the answer to a request that no pool has completed."""
    attempts = pending.attempts
    request_id = pending.request.request_id
    if not attempts:
        return Answer(request_id, Outcome.NOT_RUN, refusal=_not_sent_refusal(pending, now))
    if all(attempt.outcome is Outcome.NOT_RUN for attempt in attempts):
        return Answer(request_id, Outcome.NOT_RUN, refusal=attempts[-1].refusal)
    details = [a.refusal.detail for a in attempts if a.refusal and a.outcome is Outcome.UNKNOWN]
    detail = details[-1] if details else "no pool answered within the deadline"
    return Answer(request_id, Outcome.UNKNOWN, refusal=Refusal(RefusalKind.ANSWER_LOST, detail))


def _get_or_add_pool(tables: Tables, vm: str, now: float) -> PoolState:
    pool = tables.pools.get(vm)
    if pool is None:
        pool = tables.pools[vm] = PoolState(vm, last_message_at=now)
    return pool


def _start_probe_if_due(pool: PoolState, now: float) -> bool:
    """Returns whether to probe the pool now, and records the probe."""
    if pool.unresponsive:
        if now < pool.next_probe_at:
            return False
        _mark_unresponsive(pool, now)
        return True
    if not pool.outstanding:
        pool.probe_sent_at = None
        return False
    if (
        pool.probe_sent_at is None
        and now - max(pool.last_message_at, pool.busy_since) >= PROBE_AFTER_S
    ):
        pool.probe_sent_at = now
        return True
    return False


def _mark_unresponsive(pool: PoolState, now: float) -> None:
    pool.unresponsive = True
    pool.probe_sent_at = None
    pool.probe_delay_s = min(AVOID_MAX_S, max(AVOID_MIN_S, pool.probe_delay_s * 2))
    pool.next_probe_at = now + pool.probe_delay_s
