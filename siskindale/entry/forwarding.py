"""Decisions on where requests go, when they go again and what a caller is told.

Functions change the rows and return effects. A caller is told `not_run` only if every pool that the
request was sent to said so.
"""

import heapq
import itertools

import attrs

from siskindale.entry.tables import (
    Attempt,
    Discard,
    Effect,
    Pending,
    Policy,
    Pool,
    Probe,
    Request,
    Resolve,
    RetryBudget,
    Routes,
    Send,
    Tables,
)
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import Answer, BeginRequest, StatementRequest

# A pool that has work and says nothing for PROBE_AFTER_S is probed; one that does not answer the
# probe for SILENT_AFTER_S is avoided and probed again at doubling intervals.
PROBE_AFTER_S = 0.1
SILENT_AFTER_S = 0.4
AVOID_MIN_S = 2.0
AVOID_MAX_S = 10.0
# A tick this late means that this process was paused; answers may wait unread.
STALL_S = 0.2
# A message may be lost: reads and keyed writes go elsewhere after this part of their time.
OVERDUE_SHARE = 0.5
# The pool gets less time than the caller allows, so that its refusal still reaches the caller.
RETURN_SHARE = 0.1
RETURN_MAX_S = 0.05
MAX_ATTEMPTS = 4
NO_POOL_RETRY_MS = 1000
RECHECK_S = 0.1
BUDGET_MAX = 500.0
# Tokens per second without traffic, so that a quiet entry can resend at all.
BUDGET_REFILL_PER_S = 2.0

RETRIABLE = frozenset({RefusalKind.WRONG_POOL, RefusalKind.SHUTTING_DOWN, RefusalKind.UNAVAILABLE})


def new_tables(now: float) -> Tables:
    """Returns empty tables."""
    return Tables(RetryBudget(tokens=10.0, refilled_at=now), ticked_at=now)


def submit(tables: Tables, pending: Pending, routes: Routes, now: float) -> list[Effect]:
    """Takes a new request and sends it to a pool."""
    tables.pending[pending.number] = pending
    _refill(tables.budget, now)
    tables.budget.tokens = min(BUDGET_MAX, tables.budget.tokens + routes.retry_budget)
    return _proceed(tables, pending, routes, now)


def unsent(tables: Tables, correlation_id: int, routes: Routes, now: float) -> list[Effect]:
    """Handles a request that never left because the outbox of the pool is full."""
    pending, attempt = tables.attempts[correlation_id]
    refusal = Refusal(RefusalKind.UNAVAILABLE, f"pool {attempt.pool} takes no more requests")
    _judge(tables, attempt, Outcome.NOT_RUN, refusal)
    _silence(tables.pools[attempt.pool], now)
    _reconsider(tables, attempt.pool, now)
    return _proceed(tables, pending, routes, now)


def answered(
    tables: Tables, correlation_id: int, vm: str, answer: Answer, routes: Routes, now: float
) -> tuple[list[Effect], str | None]:
    """Handles an answer of a pool; returns also the reason if the answer is dropped."""
    found = tables.attempts.get(correlation_id)
    if found is None:
        return [], "not-pending"
    pending, attempt = found
    if pending.request.request_id != answer.request_id:
        return [], "other-request"
    if attempt.pool != vm:
        return [], "other-pool"
    _judge(tables, attempt, answer.outcome, answer.refusal)
    if answer.refusal is not None and answer.refusal.kind is RefusalKind.SHUTTING_DOWN:
        drained(tables, vm, now)
    if answer.outcome is Outcome.DONE:
        return [_resolve(tables, pending, answer, vm)], None
    return _proceed(tables, pending, routes, now), None


def heard(tables: Tables, vm: str, boot: str, now: float) -> None:
    """Notes a message of a pool."""
    pool = tables.pools.get(vm)
    if pool is None:
        return
    pool.heard_at = now
    pool.probed_at = None
    pool.silent = False
    pool.probe_delay_s = 0.0
    if pool.boot != boot:
        pool.boot = boot
        pool.draining_until = 0.0
        _reconsider(tables, vm, now)


def drained(tables: Tables, vm: str, now: float) -> None:
    """Notes that a pool takes no new work; a new boot of it does."""
    _pool(tables, vm, now).draining_until = now + AVOID_MAX_S


def tick(tables: Tables, routes: Routes, now: float) -> list[Effect]:
    """Looks at the pools and at the requests that are due."""
    _refill(tables.budget, now)
    effects: list[Effect] = watch_pools(tables, now)
    while tables.timers and tables.timers[0][0] <= now:
        _, number = heapq.heappop(tables.timers)
        pending = tables.pending.get(number)
        if pending is not None:
            effects += _proceed(tables, pending, routes, now)
    return effects


def watch_pools(tables: Tables, now: float) -> list[Effect]:
    """Probes quiet pools and finds the silent ones."""
    stalled = now - tables.ticked_at > STALL_S
    tables.ticked_at = now
    effects: list[Effect] = []
    for pool in tables.pools.values():
        if stalled and pool.probed_at is not None:
            pool.probed_at = now
        if _wants_probe(pool, now):
            effects.append(Probe(pool.vm))
        elif pool.probed_at is not None and now - pool.probed_at >= SILENT_AFTER_S:
            _silence(pool, now)
            effects.append(Discard(pool.vm))
            _reconsider(tables, pool.vm, now)
    return effects


def next_due(tables: Tables, now: float) -> float | None:
    """Returns the time of the next tick, None if there is nothing to wait for."""
    while tables.timers and tables.timers[0][1] not in tables.pending:
        heapq.heappop(tables.timers)
    dues = [tables.timers[0][0]] if tables.timers else []
    dues += [pool.probe_at for pool in tables.pools.values() if pool.silent]
    if any(pool.outstanding and not pool.silent for pool in tables.pools.values()):
        dues.append(now + PROBE_AFTER_S)
    return min(dues, default=None)


def forget(tables: Tables, vms: set[str]) -> None:
    """Removes pools that are not among `vms` and owe no answer."""
    for vm in [vm for vm, pool in tables.pools.items() if vm not in vms and not pool.outstanding]:
        del tables.pools[vm]


def _proceed(tables: Tables, pending: Pending, routes: Routes, now: float) -> list[Effect]:
    if now >= pending.deadline:
        return [_resolve(tables, pending, _final(pending, now), "")]
    wanted = _wants_attempt(tables, pending, now)
    if wanted and (not pending.attempts or tables.budget.tokens >= 1.0):
        vm = _choose(tables, pending, routes, now)
        if vm is not None:
            return [_send(tables, pending, vm, routes, now)]
    if all(attempt.verdict is not None for attempt in pending.attempts):
        return [_resolve(tables, pending, _final(pending, now), "")]
    _set_timer(tables, pending, now + RECHECK_S if wanted else _next_look(pending, now))
    return []


def _wants_attempt(tables: Tables, pending: Pending, now: float) -> bool:
    if not pending.attempts:
        return True
    if pending.policy is Policy.FIXED or len(pending.attempts) >= MAX_ATTEMPTS:
        return False
    last = pending.attempts[-1]
    if all(attempt.verdict is Outcome.NOT_RUN for attempt in pending.attempts):
        return _is_retriable(last)
    if pending.policy is Policy.ONCE:
        return False
    if last.verdict is None:
        return _is_silent(tables, pending, last, now)
    return last.verdict is Outcome.UNKNOWN or _is_retriable(last)


def _is_retriable(attempt: Attempt) -> bool:
    return attempt.refusal is not None and attempt.refusal.kind in RETRIABLE


def _is_silent(tables: Tables, pending: Pending, attempt: Attempt, now: float) -> bool:
    pool = tables.pools[attempt.pool]
    if pool.silent or (attempt.boot and attempt.boot != pool.boot):
        return True
    return pending.policy is not Policy.BEGIN and now >= _overdue_at(pending, attempt)


def _overdue_at(pending: Pending, attempt: Attempt) -> float:
    return attempt.sent_at + (pending.deadline - attempt.sent_at) * OVERDUE_SHARE


def _next_look(pending: Pending, now: float) -> float:
    overdue = _overdue_at(pending, pending.attempts[-1])
    resendable = pending.policy in (Policy.READ, Policy.KEYED)
    return overdue if resendable and overdue > now else pending.deadline


def _refill(budget: RetryBudget, now: float) -> None:
    added = (now - budget.refilled_at) * BUDGET_REFILL_PER_S
    budget.tokens = min(BUDGET_MAX, budget.tokens + added)
    budget.refilled_at = now


def _choose(tables: Tables, pending: Pending, routes: Routes, now: float) -> str | None:
    """Picks the least loaded of the first k usable pools, then the next in rank."""
    if pending.fixed_pool is not None:
        return pending.fixed_pool
    ranked = routes.ranked(pending.group)
    tried = pending.tried
    usable = [vm for vm in ranked if not _avoided(tables, vm, now)]
    first = [vm for vm in usable[: routes.pools_per_group] if vm not in tried]
    if first:
        return min(first, key=lambda vm: _outstanding(tables, vm))
    rest = [vm for vm in usable if vm not in tried]
    if rest:
        return rest[0]
    # With every pool avoided, a first attempt at one of them is better than none.
    return ranked[0] if ranked and not pending.attempts else None


def _avoided(tables: Tables, vm: str, now: float) -> bool:
    pool = tables.pools.get(vm)
    return pool is not None and pool.avoided(now)


def _outstanding(tables: Tables, vm: str) -> int:
    pool = tables.pools.get(vm)
    return pool.outstanding if pool else 0


def _send(tables: Tables, pending: Pending, vm: str, routes: Routes, now: float) -> Send:
    if pending.attempts:
        tables.budget.tokens -= 1.0
    request = _addressed(tables, pending, vm, routes, now)
    pool = _pool(tables, vm, now)
    if pool.outstanding == 0:
        pool.busy_since = now
    pool.outstanding += 1
    attempt = Attempt(next(tables.numbers), vm, pool.boot, now)
    pending.attempts.append(attempt)
    tables.attempts[attempt.correlation_id] = (pending, attempt)
    _set_timer(tables, pending, _next_look(pending, now))
    return Send(vm, request, attempt.correlation_id)


def _addressed(tables: Tables, pending: Pending, vm: str, routes: Routes, now: float) -> Request:
    left = pending.deadline - now
    budget_ms = (left - min(RETURN_MAX_S, left * RETURN_SHARE)) * 1000
    request = pending.request
    if not isinstance(request, StatementRequest | BeginRequest):
        return attrs.evolve(request, budget_ms=budget_ms)
    # The pool accepts the group if only excluded pools stand before it in the rank.
    before = itertools.takewhile(lambda other: other != vm, routes.ranked(pending.group))
    tried = pending.tried
    excluded = tuple(o for o in before if o in tried or _avoided(tables, o, now))
    return attrs.evolve(request, budget_ms=budget_ms, excluded_pools=excluded)


def _set_timer(tables: Tables, pending: Pending, due: float) -> None:
    heapq.heappush(tables.timers, (min(due, pending.deadline), pending.number))


def _reconsider(tables: Tables, vm: str, now: float) -> None:
    """Makes all requests at a pool due."""
    for pending, attempt in tables.attempts.values():
        if attempt.pool == vm:
            heapq.heappush(tables.timers, (now, pending.number))


def _judge(tables: Tables, attempt: Attempt, verdict: Outcome, refusal: Refusal | None) -> None:
    attempt.verdict, attempt.refusal = verdict, refusal
    _close(tables, attempt)


def _close(tables: Tables, attempt: Attempt) -> None:
    if tables.attempts.pop(attempt.correlation_id, None) is not None:
        tables.pools[attempt.pool].outstanding -= 1


def _resolve(tables: Tables, pending: Pending, answer: Answer, vm: str) -> Resolve:
    for attempt in pending.attempts:
        _close(tables, attempt)
    del tables.pending[pending.number]
    last = pending.attempts[-1].pool if pending.attempts else ""
    return Resolve(pending.number, answer, vm or last, len(pending.attempts))


def _unsent_refusal(pending: Pending, now: float) -> Refusal:
    if now >= pending.deadline:
        detail = "the deadline passed before the request could be sent to a pool"
        return Refusal(RefusalKind.DEADLINE_EXCEEDED, detail)
    return Refusal(RefusalKind.UNAVAILABLE, "no pool of this database is known", NO_POOL_RETRY_MS)


def _final(pending: Pending, now: float) -> Answer:
    """Returns what is true of a request that no pool has done."""
    attempts = pending.attempts
    request_id = pending.request.request_id
    if not attempts:
        return Answer(request_id, Outcome.NOT_RUN, refusal=_unsent_refusal(pending, now))
    if all(attempt.verdict is Outcome.NOT_RUN for attempt in attempts):
        return Answer(request_id, Outcome.NOT_RUN, refusal=attempts[-1].refusal)
    told = [a.refusal.detail for a in attempts if a.refusal and a.verdict is Outcome.UNKNOWN]
    detail = told[-1] if told else "no pool answered within the deadline"
    return Answer(request_id, Outcome.UNKNOWN, refusal=Refusal(RefusalKind.ANSWER_LOST, detail))


def _pool(tables: Tables, vm: str, now: float) -> Pool:
    pool = tables.pools.get(vm)
    if pool is None:
        pool = tables.pools[vm] = Pool(vm, heard_at=now)
    return pool


def _wants_probe(pool: Pool, now: float) -> bool:
    """Decides on a probe and notes it in the row."""
    if pool.silent:
        if now < pool.probe_at:
            return False
        _silence(pool, now)
        return True
    if not pool.outstanding:
        pool.probed_at = None
        return False
    if pool.probed_at is None and now - max(pool.heard_at, pool.busy_since) >= PROBE_AFTER_S:
        pool.probed_at = now
        return True
    return False


def _silence(pool: Pool, now: float) -> None:
    pool.silent = True
    pool.probed_at = None
    pool.probe_delay_s = min(AVOID_MAX_S, max(AVOID_MIN_S, pool.probe_delay_s * 2))
    pool.probe_at = now + pool.probe_delay_s
