"""Order in which waiting statements get connections, and which of them are refused at once.

Load pattern: more statements arrive than a target can run, such as when all replicas lag and the
primary has to serve all reads. Statements of a higher priority go first. Within a priority those
go first that can still meet their objective; with the earliest deadline first, all of them would
wait until they are late. Of these, those go first whose workspaces have used least lately. A
statement that cannot be reached before its deadline is refused when it arrives, so that its client
can try again in time.
"""

import math
from collections.abc import Mapping, Sequence

import attrs

from siskindale.proxy.decisions.fairness import NO_WORK, RecentWork
from siskindale.proxy.tables import Group, Need, Target, Waiter

# Statements that a target runs and queues at any time, for each of its slots; with less it would be
# idle while replies travel. All others wait here, where their order is known.
STATEMENTS_PER_SLOT = 3
# A statement that gets its connection later than this before its objective is late all the same.
RUN_TIME_S = 0.03
# Share of the time until its deadline for which a statement waits for a busy target.
MAX_QUEUE_SHARE = 0.45
# A VM whose only statement at a target is a long one must not block its other statements.
MIN_RUNNING = 2


@attrs.frozen
class QueueBypass:
    """Whether a new statement may take a connection before statements that wait already.

    `except_primary` keeps the primary's connections for statements that only the primary can run.
    """

    allowed: bool
    except_primary: bool = False


def queue_bypass(waiters: Sequence[Waiter], need: Need) -> QueueBypass:
    """Decides whether a new statement must wait behind those that wait already.

    A connection that serves one workspace would not help the statements of others that wait.

    While the primary is lost or has no free connection, statements that wait for it must not block
    reads that replicas can serve.
    """
    queued_before = [
        waiter
        for waiter in waiters
        if waiter.need.priority <= need.priority and waiter.need.workspace == need.workspace
    ]
    if not queued_before:
        return QueueBypass(allowed=True)
    if need.primary_only or any(not waiter.need.primary_only for waiter in queued_before):
        return QueueBypass(allowed=False)
    return QueueBypass(allowed=True, except_primary=True)


def service_order(
    waiters: Sequence[Waiter], now: float, work: Mapping[str, RecentWork] = NO_WORK
) -> list[Waiter]:
    """Returns waiters in the order in which they get connections.

    `work` is what each workspace has used lately.
    """
    return sorted(waiters, key=lambda waiter: _rank(waiter.need, now, work))


def _rank(need: Need, now: float, work: Mapping[str, RecentWork]) -> tuple[int, bool, float, float]:
    used = work.get(need.workspace)
    late = need.objective_at < now + RUN_TIME_S
    return (need.priority, late, 0.0 if used is None else used.at(now), need.deadline)


def running_limit(slots: int, vm_count: int) -> int:
    """Returns how many statements a VM may have at a target that `vm_count` VMs use."""
    return max(MIN_RUNNING, math.ceil(STATEMENTS_PER_SLOT * slots / max(1, vm_count)))


def queue_deadline(need: Need, arrived_at: float) -> float:
    """Returns until when a statement waits for targets that are busy but can be reached.

    One that waits longer is overtaken by all that arrive after it. Its client gains more from
    trying again than from a refusal at the end of its time.
    """
    return arrived_at + MAX_QUEUE_SHARE * (need.deadline - arrived_at)


def expected_wait(
    group: Group, candidates: Sequence[Target], need: Need, vm_count: int, now: float
) -> float:
    """Returns the seconds after which a new statement would have its reply.

    `candidates` are the targets that could run it, also those that are busy. While there is none,
    the wait depends on a promotion and is taken for 0.
    """
    if not candidates:
        return 0.0
    rank = _rank(need, now, group.recent_work)
    ahead = sum(
        1
        for waiter in group.waiters
        if _rank(waiter.need, now, group.recent_work) <= rank
        and (need.primary_only or not waiter.need.primary_only)
    )
    replies_per_s = sum(
        running_limit(target.entry.slots, vm_count) / max(target.latency_s, 0.001)
        for target in candidates
    )
    return (ahead + 1) / replies_per_s
